//! Tests of the membership protocol.

mod fixture;
mod fleet;
mod messages;
mod rules;
#[path = "../../examples/membership/sim/mod.rs"]
mod sim;
