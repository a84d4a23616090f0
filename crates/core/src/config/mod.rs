//! Configuration as an aggregate: plan, confirmation, checkpoint, replay.
