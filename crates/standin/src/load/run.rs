//! The state of a load run: counts of requests and results, latencies, and the history.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs::File,
    io::{self, BufWriter, Write},
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use hdrhistogram::Histogram;
use snafu::ResultExt;

use super::{LoadReport, LoadSettings, ReportRow, exchange::RequestResult, transport};
use crate::{
    error::{FileSnafu, Result},
    history::{Outcome, Record, create_file, to_lines},
};

/// Time to wait for an answer beyond the timeout of its request.
pub(super) const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// Interval at which the end of a run is polled.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Highest latency that a histogram records, in µs; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// A load run in progress.
pub(super) struct LoadRun {
    pub(super) settings: LoadSettings,
    /// One client per route.
    pub(super) clients: Vec<awc::Client>,
    state: RefCell<RunState>,
}

struct RunState {
    stats: Vec<LabelStats>,
    /// Index in `stats` of each route.
    stats_indices: Vec<usize>,
    in_flight: u64,
    records: Vec<Record>,
    history_file: Option<BufWriter<File>>,
    /// The first error in writing the history; later records are not written.
    write_error: Option<io::Error>,
}

/// Statistics of all routes with one label.
struct LabelStats {
    row: ReportRow,
    latency: Histogram<u64>,
    send_lag: Histogram<u64>,
}

impl LoadRun {
    pub(super) fn new(settings: &LoadSettings) -> Result<Self> {
        let mut stats: Vec<LabelStats> = Vec::new();
        let mut stats_indices = Vec::new();
        for route in &settings.routes {
            let known = stats.iter().position(|s| s.row.label == route.label);
            stats_indices.push(known.unwrap_or(stats.len()));
            if known.is_none() {
                stats.push(LabelStats::new(&route.label));
            }
        }
        let file = settings
            .history_path
            .as_deref()
            .map(create_file)
            .transpose()?;
        let history_file = file.map(BufWriter::new);
        Ok(Self {
            settings: settings.clone(),
            clients: settings
                .routes
                .iter()
                .map(|_| new_client(settings))
                .collect(),
            state: RefCell::new(RunState {
                stats,
                stats_indices,
                in_flight: 0,
                records: Vec::new(),
                history_file,
                write_error: None,
            }),
        })
    }

    /// Waits until no request is in flight, at most for `limit`.
    pub(super) async fn wait_until_idle(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while self.state.borrow().in_flight > 0 && Instant::now() < end {
            sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Returns whether fewer requests are in flight than the settings allow.
    pub(super) fn is_below_in_flight_limit(&self) -> bool {
        self.state.borrow().in_flight < self.settings.max_in_flight as u64
    }

    /// Counts a request that was not sent because too many were in flight.
    pub(super) fn count_skipped(&self, route_index: usize) {
        self.state.borrow_mut().stats_mut(route_index).row.skipped += 1;
    }

    /// Counts a request that is about to be sent, `lag` after its scheduled time.
    pub(super) fn count_sent(&self, route_index: usize, lag: Duration) {
        let mut state = self.state.borrow_mut();
        state.in_flight += 1;
        let stats = state.stats_mut(route_index);
        stats.row.sent += 1;
        stats.send_lag.saturating_record(lag.as_micros() as u64);
    }

    /// Adds a record to the history.
    pub(super) fn record(&self, record: Record) {
        let state = &mut *self.state.borrow_mut();
        if let Some(file) = &mut state.history_file
            && state.write_error.is_none()
        {
            state.write_error = file.write_all(to_lines([&record]).as_bytes()).err();
        }
        if self.settings.keep_records {
            state.records.push(record);
        }
    }

    /// Counts the end of a request, `latency` after its scheduled time.
    pub(super) fn count_result(
        &self,
        route_index: usize,
        result: &RequestResult,
        latency: Duration,
    ) {
        let mut state = self.state.borrow_mut();
        state.in_flight -= 1;
        state.stats_mut(route_index).add_result(result, latency);
    }

    /// Flushes the history file and returns the report of the run.
    pub(super) fn report(&self) -> Result<LoadReport> {
        let state = &mut *self.state.borrow_mut();
        if let (Some(file), Some(path)) = (&mut state.history_file, &self.settings.history_path) {
            let flushed = file.flush();
            let written = state.write_error.take().map_or(flushed, Err);
            written.with_context(|_| FileSnafu {
                path: path.display().to_string(),
            })?;
        }
        let rows = state.stats.iter().map(LabelStats::to_row).collect();
        Ok(LoadReport::new(rows, std::mem::take(&mut state.records)))
    }
}

impl RunState {
    fn stats_mut(&mut self, route_index: usize) -> &mut LabelStats {
        &mut self.stats[self.stats_indices[route_index]]
    }
}

impl LabelStats {
    fn new(label: &str) -> Self {
        Self {
            row: ReportRow {
                label: label.to_owned(),
                ..Default::default()
            },
            latency: new_histogram(),
            send_lag: new_histogram(),
        }
    }

    fn add_result(&mut self, result: &RequestResult, latency: Duration) {
        let row = &mut self.row;
        increment(&mut row.outcomes, result.outcome.as_str());
        *row.statuses.entry(result.status).or_default() += 1;
        if let Some(reason) = &result.reason {
            increment(&mut row.reasons, reason);
        }
        if let Some(target) = &result.target {
            increment(&mut row.targets, target);
        }
        let from_target = matches!(result.outcome, Outcome::Answered | Outcome::Direct);
        row.cut += u64::from(result.cut);
        row.wrong += u64::from(from_target && !result.cut && !result.whole);
        if from_target && result.whole && result.status == 200 {
            row.correct += 1;
            self.latency.saturating_record(latency.as_micros() as u64);
        }
    }

    fn to_row(&self) -> ReportRow {
        let mut row = self.row.clone();
        let scheduled = row.sent + row.skipped;
        row.correct_share = row.correct as f64 / scheduled.max(1) as f64;
        row.p50 = self.latency.value_at_quantile(0.5);
        row.p90 = self.latency.value_at_quantile(0.9);
        row.p99 = self.latency.value_at_quantile(0.99);
        row.p999 = self.latency.value_at_quantile(0.999);
        row.max = self.latency.max();
        row.send_lag_p99 = self.send_lag.value_at_quantile(0.99);
        row
    }
}

fn increment(counts: &mut BTreeMap<String, u64>, key: &str) {
    *counts.entry(key.to_owned()).or_default() += 1;
}

fn new_client(settings: &LoadSettings) -> awc::Client {
    let connector = awc::Connector::new()
        .connector(transport::connector())
        .limit(settings.connections_per_route);
    awc::Client::builder()
        .connector(connector)
        .timeout(Duration::from_millis(settings.timeout_ms) + ANSWER_GRACE)
        .disable_redirects()
        .finish()
}

fn new_histogram() -> Histogram<u64> {
    // The bounds and the precision are valid constants.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid histogram bounds")
}
