//! Tests of the replicated configuration.

/// Builds an array of test cases from rows of the form `inputs => expected;`.
macro_rules! rows {
    ($($($input:expr),* => $expected:expr;)*) => { [$(($($input),*, $expected)),*] };
}

#[path = "config/agreement.rs"]
mod agreement;
#[path = "config/checkpoint.rs"]
mod checkpoint;
#[path = "config/evacuations.rs"]
mod evacuations;
#[path = "config/fetch.rs"]
mod fetch;
#[path = "config/harness.rs"]
mod harness;
#[path = "config/plan.rs"]
mod plan;
#[path = "config/replay.rs"]
mod replay;
#[path = "config/restored_store.rs"]
mod restored_store;
#[path = "config/size.rs"]
mod size;
