//! Tests of the configuration aggregate.

/// A table of rows, `inputs => expected;` each.
macro_rules! rows {
    ($($($input:expr),* => $expected:expr;)*) => { [$(($($input),*, $expected)),*] };
}

#[path = "config/agreement.rs"]
mod agreement;
#[path = "config/checkpoint.rs"]
mod checkpoint;
#[path = "config/plan.rs"]
mod plan;
#[path = "config/replay.rs"]
mod replay;
#[path = "config/size.rs"]
mod size;
#[path = "config/world.rs"]
mod world;
