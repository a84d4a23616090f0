//! Membership protocol state machine.
