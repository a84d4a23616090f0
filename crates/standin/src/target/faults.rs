//! The fault switches of a target.

use serde::{Deserialize, Serialize};

/// Fault switches of a target. Setting them replaces all; the default is no fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Factor on the service time.
    pub slow_factor: f64,
    /// How long `slow_factor` applies, in ms since the switches were set; 0 means until they are
    /// set again.
    pub slow_ms: u64,
    /// Factor on the service time during the first `cold_ms` after the start of the target.
    pub cold_factor: f64,
    /// How long `cold_factor` applies, in ms since the start of the target.
    pub cold_ms: u64,
    /// How requests fail.
    pub fail: RequestFailure,
    /// Share of requests that `fail` applies to, in permille.
    pub fail_permille: u32,
    /// Delay in ms between the end of the work and the response.
    pub late_ms: u64,
    /// Whether each connection is closed after a response, without `Connection: close`.
    pub close_idle: bool,
    /// Fault of the load report.
    pub load: LoadReportFault,
    /// Age in ms of the load report when `load` is `Delayed`.
    pub load_delay_ms: u64,
    /// Whether the target announces that it is leaving.
    pub leaving: bool,
    /// Whether no announcements are sent, so that the lease expires.
    pub silent: bool,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            slow_ms: 0,
            cold_factor: 1.0,
            cold_ms: 0,
            fail: RequestFailure::No,
            fail_permille: 1000,
            late_ms: 0,
            close_idle: false,
            load: LoadReportFault::No,
            load_delay_ms: 0,
            leaving: false,
            silent: false,
        }
    }
}

/// How a request fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestFailure {
    /// It does not fail.
    #[default]
    No,
    /// It is answered with 500 at once.
    Status500,
    /// The connection is closed at once, without a response.
    Close,
    /// The connection is closed after the work, without a response.
    CloseAfterWork,
    /// The response is cut after its head.
    CutAfterHead,
    /// The response is cut in the middle of the body.
    CutInBody,
    /// The response is never sent; the connection stays open.
    Never,
    /// The response has neither `Content-Length` nor chunked coding; its body ends with the
    /// connection, and its head says `Connection: close`. The client codec of `actix-http` 3.20
    /// parses such a response as one without a body.
    Unframed,
    /// Like `Unframed`, but without `Connection: close`.
    UnframedSilent,
}

/// How the load report is wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadReportFault {
    /// It is correct.
    #[default]
    No,
    /// It always gives 0 requests in flight.
    Zero,
    /// It gives the load of `load_delay_ms` ago.
    Delayed,
}
