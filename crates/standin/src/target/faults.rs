//! The fault switches of a target.

use serde::{Deserialize, Serialize};

/// Fault switches of a target. A value states all of them; the default is no fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Factor on the service time.
    pub slow_factor: f64,
    /// How long `slow_factor` holds, in ms from the switch; 0 means until the next switch.
    pub slow_ms: u64,
    /// Factor on the service time after the start of the target.
    pub cold_factor: f64,
    /// How long `cold_factor` holds, in ms from the start of the target.
    pub cold_ms: u64,
    /// How requests fail.
    pub fail: Fail,
    /// Share of requests that `fail` applies to, in permille.
    pub fail_permille: u32,
    /// Delay in ms between the end of the work and the answer.
    pub late_ms: u64,
    /// Close each connection after an answer without telling the client.
    pub close_idle: bool,
    /// The load report that is given.
    pub load: LoadFault,
    /// Age in ms of the load report when `load` is `Delayed`.
    pub load_delay_ms: u64,
    /// Whether the target announces that it is leaving.
    pub leaving: bool,
    /// Whether announcements are withheld, so that the lease expires.
    pub silent: bool,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            slow_ms: 0,
            cold_factor: 1.0,
            cold_ms: 0,
            fail: Fail::No,
            fail_permille: 1000,
            late_ms: 0,
            close_idle: false,
            load: LoadFault::No,
            load_delay_ms: 0,
            leaving: false,
            silent: false,
        }
    }
}

/// How a request fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fail {
    /// It does not fail.
    #[default]
    No,
    /// It is answered with 500 at once.
    Status500,
    /// The connection is closed at once without an answer.
    Close,
    /// The connection is closed after the work, without an answer.
    CloseAfterWork,
    /// The answer is cut after its head.
    CutAfterHead,
    /// The answer is cut in the body.
    CutInBody,
    /// The answer is never sent; the connection stays open.
    Never,
    /// The answer has neither a content length nor chunks and ends with the connection; its
    /// head says `Connection: close`. The client codec of `actix-http` 3.20 takes such an
    /// answer for one without a body.
    Unframed,
    /// Like `Unframed`, but the head does not say that the connection is closed.
    UnframedSilent,
}

/// How the load report misleads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadFault {
    /// It is true.
    #[default]
    No,
    /// It always tells no requests in flight.
    Zero,
    /// It tells the load of some time ago.
    Delayed,
}
