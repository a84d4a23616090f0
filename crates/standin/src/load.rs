//! An open-loop load generator: requests are sent at a given rate, regardless of outstanding
//! answers.

mod arrivals;
mod exchange;
mod kind;
mod report;
mod run;
mod transport;

use std::{net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    error::{Result, SettingSnafu},
    server::ServerThread,
};

use run::{ANSWER_GRACE, LoadRun};

pub use kind::RequestKind;
pub use report::{LatencyDifference, LoadReport, ReportRow};

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The addresses that requests are sent to, in turn. Routes with the same label share one
    /// row of the report.
    pub routes: Vec<LoadRoute>,
    /// Mean number of requests per second over all routes. The gaps between them are exponentially
    /// distributed.
    pub rate: f64,
    /// Time in ms during which requests are sent.
    pub duration_ms: u64,
    /// Seed of the gaps between requests, of their kinds and of their nonces.
    pub seed: u64,
    /// Maximum number of connections per route.
    pub connections_per_route: usize,
    /// Timeout of each request in ms, sent in a header.
    pub timeout_ms: u64,
    /// Whether requests carry the header fields of the users' platform (request id and deadline)
    /// instead of the timeout header.
    pub use_platform_headers: bool,
    /// The kinds of requests, chosen at random by weight.
    pub kinds: Vec<RequestKind>,
    /// Maximum number of requests in flight; further ones are not sent but counted as skipped.
    pub max_in_flight: usize,
    /// File that the history is written to; `None` for no file.
    pub history_path: Option<PathBuf>,
    /// Whether the report contains the history.
    pub keep_records: bool,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            routes: Vec::new(),
            rate: 100.0,
            duration_ms: 1000,
            seed: 1,
            connections_per_route: 64,
            timeout_ms: 10_000,
            use_platform_headers: false,
            kinds: vec![RequestKind::default()],
            max_in_flight: 20_000,
            history_path: None,
            keep_records: true,
        }
    }
}

/// A labelled address that requests are sent to: that of a node or of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadRoute {
    /// Label of the row in the report that counts its requests.
    pub label: String,
    /// The address that requests are sent to.
    pub address: SocketAddr,
}

impl LoadRoute {
    /// Creates a route to `address`.
    pub fn new(label: impl Into<String>, address: SocketAddr) -> Self {
        Self {
            label: label.into(),
            address,
        }
    }
}

/// Handle of a load run in its own thread. Dropping it ends the run.
#[derive(Debug)]
pub struct LoadHandle {
    thread: ServerThread,
    report: std::sync::mpsc::Receiver<Result<LoadReport>>,
}

impl LoadHandle {
    /// Waits for the end of the run and returns its report.
    ///
    /// # Errors
    ///
    /// Fails in the cases listed at [`run`].
    pub fn wait(mut self) -> Result<LoadReport> {
        let report = self.report.recv().unwrap_or_else(|_| {
            SettingSnafu {
                reason: "the load thread ended without a report",
            }
            .fail()
        });
        self.thread.stop();
        report
    }
}

/// Starts a load run in its own thread.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start(settings: &LoadSettings) -> Result<LoadHandle> {
    let (tx, report) = std::sync::mpsc::channel();
    let settings = settings.clone();
    let thread = ServerThread::start("standin-load", move |stopped| async move {
        let run = std::pin::pin!(run(&settings));
        if let futures_util::future::Either::Left((report, _)) =
            futures_util::future::select(run, stopped).await
        {
            // Sending fails if the handle was dropped.
            drop(tx.send(report));
        }
    })?;
    Ok(LoadHandle { thread, report })
}

/// Sends the requests on the current actix `System` and waits until all have ended.
///
/// # Errors
///
/// Fails if the settings are invalid or the history cannot be written.
pub async fn run(settings: &LoadSettings) -> Result<LoadReport> {
    validate(settings)?;
    let run = Rc::new(LoadRun::new(settings)?);
    let mut rng = StdRng::seed_from_u64(settings.seed);
    let mut arrivals = arrivals::start_thread(settings, &mut rng)?;
    let mut request_index = 0;
    while let Some(scheduled_at) = arrivals.recv().await {
        let kind_index = choose_kind(&settings.kinds, rng.random());
        let nonce = format!("{:016x}{:08x}", rng.random::<u64>(), request_index);
        exchange::spawn_request(&run, request_index, kind_index, nonce, scheduled_at);
        request_index += 1;
    }
    // Each request gives up one `ANSWER_GRACE` earlier than this limit.
    let limit = Duration::from_millis(settings.timeout_ms) + ANSWER_GRACE + ANSWER_GRACE;
    run.wait_until_idle(limit).await;
    run.report()
}

fn validate(settings: &LoadSettings) -> Result<()> {
    let reason = if settings.routes.is_empty() {
        "at least one route is needed"
    } else if settings.kinds.iter().all(|kind| kind.weight == 0) {
        "at least one kind with a weight above zero is needed"
    } else if settings.kinds.iter().any(|kind| !kind.is_valid()) {
        "a kind has an invalid method or path"
    } else if !settings.rate.is_finite() || settings.rate <= 0.0 {
        "the rate must be above zero"
    } else {
        return Ok(());
    };
    SettingSnafu { reason }.fail()
}

/// Returns the index of the kind that `random` selects, in proportion to the weights.
fn choose_kind(kinds: &[RequestKind], random: u32) -> usize {
    let total_weight: u32 = kinds.iter().map(|kind| kind.weight).sum();
    let mut remaining = random % total_weight;
    for (index, kind) in kinds.iter().enumerate() {
        if remaining < kind.weight {
            return index;
        }
        remaining -= kind.weight;
    }
    kinds.len() - 1
}
