//! An open-loop load tool: requests arrive at a rate and do not wait for answers.

mod exchange;
mod kind;
mod pace;
mod report;
mod run;
mod transport;

use std::{net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    error::{Result, SettingSnafu},
    server::ServerThread,
};

use run::{GRACE, Run};

pub use kind::Kind;
pub use report::{Difference, Report, Row};

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Where requests go. With more than one, requests alternate between them. Routes with
    /// the same label are counted in one row.
    pub routes: Vec<Route>,
    /// Arrivals per second over all routes.
    pub rate: f64,
    /// How long requests arrive, in ms.
    pub duration_ms: u64,
    /// The seed of arrival gaps, kinds and nonces.
    pub seed: u64,
    /// Most connections per route.
    pub connections: usize,
    /// The time that each request has, in ms; told in a header.
    pub timeout_ms: u64,
    /// Whether requests carry the headers of the users' platform.
    pub on_platform: bool,
    /// The kinds of requests, chosen by weight.
    pub kinds: Vec<Kind>,
    /// Most requests open at the same time; further ones are counted as skipped.
    pub max_open: usize,
    /// Where the history is written.
    pub history: Option<PathBuf>,
    /// Whether the report carries the history.
    pub keep_records: bool,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            routes: Vec::new(),
            rate: 100.0,
            duration_ms: 1000,
            seed: 1,
            connections: 64,
            timeout_ms: 10_000,
            on_platform: false,
            kinds: vec![Kind::default()],
            max_open: 20_000,
            history: None,
            keep_records: true,
        }
    }
}

/// One way to the targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The label of its row in the report.
    pub label: String,
    /// The address that requests are sent to.
    pub address: SocketAddr,
}

impl Route {
    /// A route with a label.
    pub fn new(label: impl Into<String>, address: SocketAddr) -> Self {
        Self {
            label: label.into(),
            address,
        }
    }
}

/// A load run in its own thread.
#[derive(Debug)]
pub struct LoadHandle {
    thread: ServerThread,
    report: std::sync::mpsc::Receiver<Result<Report>>,
}

impl LoadHandle {
    /// Waits for the end of the run.
    ///
    /// # Errors
    ///
    /// Fails like [`run`].
    pub fn wait(mut self) -> Result<Report> {
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
/// Fails when the thread cannot be started.
pub fn start(settings: &LoadSettings) -> Result<LoadHandle> {
    let (tx, report) = std::sync::mpsc::channel();
    let settings = settings.clone();
    let thread = ServerThread::start("standin-load", move |stopped| async move {
        let run = std::pin::pin!(run(&settings));
        if let futures_util::future::Either::Left((report, _)) =
            futures_util::future::select(run, stopped).await
        {
            // The receiver is gone when the handle was dropped.
            drop(tx.send(report));
        }
    })?;
    Ok(LoadHandle { thread, report })
}

/// Runs the load on the current actix `System` and waits for every answer.
///
/// # Errors
///
/// Fails when the settings have no meaning or the history cannot be written.
pub async fn run(settings: &LoadSettings) -> Result<Report> {
    check(settings)?;
    let run = Rc::new(Run::new(settings)?);
    let mut rng = StdRng::seed_from_u64(settings.seed);
    let mut arrivals = pace::start(settings, &mut rng)?;
    let mut index = 0;
    while let Some(arrival) = arrivals.recv().await {
        let kind = pick(&settings.kinds, rng.random());
        let nonce = format!("{:016x}{:08x}", rng.random::<u64>(), index);
        exchange::spawn(&run, index, kind, nonce, arrival);
        index += 1;
    }
    // Each request ends by its own limit, which is one `GRACE` earlier.
    let limit = Duration::from_millis(settings.timeout_ms) + GRACE + GRACE;
    run.drained(limit).await;
    run.report()
}

fn check(settings: &LoadSettings) -> Result<()> {
    let reason = if settings.routes.is_empty() {
        "at least one route is needed"
    } else if settings.kinds.iter().all(|kind| kind.weight == 0) {
        "at least one kind with a weight is needed"
    } else if settings.kinds.iter().any(|kind| !kind.is_valid()) {
        "a kind has an invalid method or path"
    } else if !settings.rate.is_finite() || settings.rate <= 0.0 {
        "the rate must be above zero"
    } else {
        return Ok(());
    };
    SettingSnafu { reason }.fail()
}

/// The index of the kind that a random number falls on.
fn pick(kinds: &[Kind], random: u32) -> usize {
    let total: u32 = kinds.iter().map(|kind| kind.weight).sum();
    let mut left = random % total;
    for (index, kind) in kinds.iter().enumerate() {
        if left < kind.weight {
            return index;
        }
        left -= kind.weight;
    }
    kinds.len() - 1
}
