//! The state of a run: what was sent, what came back, and the history.

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

use super::{LoadSettings, Report, Row, exchange::Answer, transport};
use crate::{
    error::{FileSnafu, Result},
    history::{Outcome, Record, create_file, to_lines},
};

/// Time that answers have beyond the deadline of their request.
pub(super) const GRACE: Duration = Duration::from_secs(2);

/// Pause between checks for the end of a run.
const DRAIN_PAUSE: Duration = Duration::from_millis(5);

/// Highest latency that a histogram tells apart, in µs.
const MAX_LATENCY_US: u64 = 600_000_000;

/// A run in progress.
pub(super) struct Run {
    pub(super) settings: LoadSettings,
    /// One client per route.
    pub(super) clients: Vec<awc::Client>,
    state: RefCell<State>,
}

struct State {
    figures: Vec<Figures>,
    /// The element of `figures` that each route counts in.
    rows: Vec<usize>,
    open: u64,
    records: Vec<Record>,
    file: Option<BufWriter<File>>,
    /// The first failure to write the history.
    failed: Option<io::Error>,
}

/// The figures of all routes with one label.
struct Figures {
    row: Row,
    latency: Histogram<u64>,
    lag: Histogram<u64>,
}

impl Run {
    pub(super) fn new(settings: &LoadSettings) -> Result<Self> {
        let mut figures: Vec<Figures> = Vec::new();
        let mut rows = Vec::new();
        for route in &settings.routes {
            let known = figures.iter().position(|f| f.row.label == route.label);
            rows.push(known.unwrap_or(figures.len()));
            if known.is_none() {
                figures.push(Figures::new(&route.label));
            }
        }
        let file = settings.history.as_deref().map(create_file).transpose()?;
        let file = file.map(BufWriter::new);
        Ok(Self {
            settings: settings.clone(),
            clients: settings.routes.iter().map(|_| client(settings)).collect(),
            state: RefCell::new(State {
                figures,
                rows,
                open: 0,
                records: Vec::new(),
                file,
                failed: None,
            }),
        })
    }

    /// Waits until no request is open, at most for `limit`.
    pub(super) async fn drained(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while self.state.borrow().open > 0 && Instant::now() < end {
            sleep(DRAIN_PAUSE).await;
        }
    }

    /// Whether another request may be opened.
    pub(super) fn has_room(&self) -> bool {
        self.state.borrow().open < self.settings.max_open as u64
    }

    /// Counts a request that was not sent because too many were open.
    pub(super) fn skip(&self, route: usize) {
        self.state.borrow_mut().figures_mut(route).row.skipped += 1;
    }

    /// Counts a request that is about to be sent.
    pub(super) fn open(&self, route: usize, lag: Duration) {
        let mut state = self.state.borrow_mut();
        state.open += 1;
        let figures = state.figures_mut(route);
        figures.row.sent += 1;
        figures.lag.saturating_record(lag.as_micros() as u64);
    }

    /// Adds a record to the history.
    pub(super) fn record(&self, record: Record) {
        let state = &mut *self.state.borrow_mut();
        if let Some(file) = &mut state.file
            && state.failed.is_none()
        {
            state.failed = file.write_all(to_lines([&record]).as_bytes()).err();
        }
        if self.settings.keep_records {
            state.records.push(record);
        }
    }

    /// Counts an answer.
    pub(super) fn count(&self, route: usize, answer: &Answer, latency: Duration) {
        let mut state = self.state.borrow_mut();
        state.open -= 1;
        state.figures_mut(route).count(answer, latency);
    }

    /// The figures of the run; flushes the history.
    pub(super) fn report(&self) -> Result<Report> {
        let state = &mut *self.state.borrow_mut();
        if let (Some(file), Some(path)) = (&mut state.file, &self.settings.history) {
            let flushed = file.flush();
            let written = state.failed.take().map_or(flushed, Err);
            written.with_context(|_| FileSnafu {
                path: path.display().to_string(),
            })?;
        }
        let rows = state.figures.iter().map(Figures::finish).collect();
        Ok(Report::new(rows, std::mem::take(&mut state.records)))
    }
}

impl State {
    fn figures_mut(&mut self, route: usize) -> &mut Figures {
        &mut self.figures[self.rows[route]]
    }
}

impl Figures {
    fn new(label: &str) -> Self {
        Self {
            row: Row {
                label: label.to_owned(),
                ..Default::default()
            },
            latency: histogram(),
            lag: histogram(),
        }
    }

    fn count(&mut self, answer: &Answer, latency: Duration) {
        let row = &mut self.row;
        add(&mut row.outcomes, answer.outcome.as_str());
        *row.statuses.entry(answer.status).or_default() += 1;
        if let Some(reason) = &answer.reason {
            add(&mut row.reasons, reason);
        }
        if let Some(target) = &answer.target {
            add(&mut row.targets, target);
        }
        let served = matches!(answer.outcome, Outcome::Answered | Outcome::Direct);
        row.cut += u64::from(answer.cut);
        row.wrong += u64::from(served && !answer.cut && !answer.whole);
        if served && answer.whole && answer.status == 200 {
            row.correct += 1;
            self.latency.saturating_record(latency.as_micros() as u64);
        }
    }

    fn finish(&self) -> Row {
        let mut row = self.row.clone();
        let due = row.sent + row.skipped;
        row.correct_share = row.correct as f64 / due.max(1) as f64;
        row.p50 = self.latency.value_at_quantile(0.5);
        row.p90 = self.latency.value_at_quantile(0.9);
        row.p99 = self.latency.value_at_quantile(0.99);
        row.p999 = self.latency.value_at_quantile(0.999);
        row.max = self.latency.max();
        row.send_lag_p99 = self.lag.value_at_quantile(0.99);
        row
    }
}

fn add(counts: &mut BTreeMap<String, u64>, key: &str) {
    *counts.entry(key.to_owned()).or_default() += 1;
}

fn client(settings: &LoadSettings) -> awc::Client {
    let connector = awc::Connector::new()
        .connector(transport::connector())
        .limit(settings.connections);
    awc::Client::builder()
        .connector(connector)
        .timeout(Duration::from_millis(settings.timeout_ms) + GRACE)
        .disable_redirects()
        .finish()
}

fn histogram() -> Histogram<u64> {
    // The bounds and the precision are valid constants.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid histogram bounds")
}
