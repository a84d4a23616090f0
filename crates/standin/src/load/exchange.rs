//! One request of a load run and the check of its answer.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs::File,
    io::{BufWriter, Write},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::{sleep, timeout};
use awc::http::{Method, header::HeaderMap};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use snafu::ResultExt;

use super::{Kind, LoadSettings, Report, Row};
use crate::{
    clock::now_us,
    error::{FileSnafu, Result},
    history::{Outcome, Record},
    pattern::{body_for, sha256_hex},
};

/// Time that answers have beyond the deadline of their request.
pub(super) const GRACE: Duration = Duration::from_secs(2);

/// Pause between checks for the end of a run.
const DRAIN_PAUSE: Duration = Duration::from_millis(5);

/// A run in progress.
pub(super) struct Run {
    settings: LoadSettings,
    clients: Vec<awc::Client>,
    state: RefCell<State>,
}

struct State {
    rows: Vec<(Row, Histogram<u64>)>,
    open: u64,
    history: Option<BufWriter<File>>,
}

/// What became of a request.
struct Answer {
    outcome: Outcome,
    status: u16,
    cut: bool,
    whole: bool,
    nonce: Option<String>,
}

impl Run {
    pub(super) fn new(settings: &LoadSettings) -> Result<Self> {
        let clients = settings.routes.iter().map(|_| client(settings)).collect();
        let rows = settings
            .routes
            .iter()
            .map(|route| (empty_row(&route.label), histogram()))
            .collect();
        let history = match &settings.history {
            Some(path) => Some(BufWriter::new(File::create(path).with_context(|_| {
                FileSnafu {
                    path: path.display().to_string(),
                }
            })?)),
            None => None,
        };
        Ok(Self {
            settings: settings.clone(),
            clients,
            state: RefCell::new(State {
                rows,
                open: 0,
                history,
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

    /// The figures so far; flushes the history.
    pub(super) fn report(&self, _sent: u64) -> Result<Report> {
        let mut state = self.state.borrow_mut();
        if let (Some(file), Some(path)) = (&mut state.history, &self.settings.history) {
            file.flush().with_context(|_| FileSnafu {
                path: path.display().to_string(),
            })?;
        }
        let rows = state
            .rows
            .iter()
            .map(|(row, histogram)| {
                let mut row = row.clone();
                row.correct_share = row.correct as f64 / row.sent.max(1) as f64;
                row.set_latency(histogram);
                row
            })
            .collect();
        Ok(Report::new(rows))
    }

    fn record(&self, record: &Record) {
        if let Some(file) = &mut self.state.borrow_mut().history
            && let Ok(line) = serde_json::to_string(record)
        {
            // A failed write shows as an error when the file is flushed at the end.
            drop(writeln!(file, "{line}"));
        }
    }

    fn count(&self, route: usize, answer: &Answer, latency: Duration) {
        let mut state = self.state.borrow_mut();
        state.open -= 1;
        let (row, histogram) = &mut state.rows[route];
        let outcome = serde_json::to_value(answer.outcome).unwrap_or_default();
        let outcome = outcome.as_str().unwrap_or_default().to_owned();
        *row.outcomes.entry(outcome).or_default() += 1;
        *row.statuses.entry(answer.status).or_default() += 1;
        let served = matches!(answer.outcome, Outcome::Answered | Outcome::Direct);
        row.cut += u64::from(answer.cut);
        row.wrong += u64::from(served && !answer.cut && !answer.whole);
        if served && answer.whole && answer.status == 200 {
            row.correct += 1;
            histogram.saturating_record(latency.as_micros() as u64);
        }
    }
}

/// Sends one request without waiting for its answer.
pub(super) fn spawn(run: &Rc<Run>, index: usize, kind: usize, nonce: String, due: Instant) {
    let run = Rc::clone(run);
    let route = index % run.settings.routes.len();
    {
        let mut state = run.state.borrow_mut();
        state.open += 1;
        state.rows[route].0.sent += 1;
    }
    actix_rt::spawn(async move {
        let kind = &run.settings.kinds[kind];
        run.record(&Record::Sent {
            nonce: nonce.clone(),
            at: now_us(),
            service: kind.service.clone(),
            method: kind.method.clone(),
            idempotent: kind.idempotent(),
        });
        let limit = Duration::from_millis(run.settings.timeout_ms) + GRACE;
        let answer = timeout(limit, exchange(&run, route, kind, &nonce))
            .await
            .unwrap_or(FAILED);
        let latency = due.elapsed();
        run.record(&Record::Answered {
            nonce,
            at: now_us(),
            outcome: answer.outcome,
            status: answer.status,
            cut: answer.cut,
            whole: answer.whole,
            answer_nonce: answer.nonce.clone(),
        });
        run.count(route, &answer, latency);
    });
}

const FAILED: Answer = Answer {
    outcome: Outcome::Failed,
    status: 0,
    cut: false,
    whole: false,
    nonce: None,
};

/// Sends one request and reads its answer.
async fn exchange(run: &Run, route: usize, kind: &Kind, nonce: &str) -> Answer {
    let address = run.settings.routes[route].address;
    let method = Method::from_bytes(kind.method.as_bytes()).unwrap_or(Method::GET);
    let body = body_for(nonce, kind.body_bytes);
    let mut req = run.clients[route]
        .request(method, format!("http://{address}{}", kind.path))
        .insert_header(("Host", kind.service.as_str()))
        .insert_header(("x-nonce", nonce))
        .insert_header((
            "plantainpost-timeout-ms",
            run.settings.timeout_ms.to_string(),
        ));
    if let Some(len) = kind.answer_bytes {
        req = req.insert_header(("x-answer-bytes", len.to_string()));
    }
    if kind.answer_chunked {
        req = req.insert_header(("x-answer-chunked", "1"));
    }
    if let Some(us) = kind.work_us {
        req = req.insert_header(("x-work-us", us.to_string()));
    }
    let sent = if kind.body_bytes > 0 {
        req.send_body(body.clone()).await
    } else {
        req.send().await
    };
    let Ok(mut res) = sent else { return FAILED };
    let outcome = outcome_of(res.headers());
    let status = res.status().as_u16();
    let mut received = BytesMut::new();
    let mut cut = false;
    while let Some(part) = res.next().await {
        match part {
            Ok(part) => received.extend_from_slice(&part),
            Err(_) => {
                cut = true;
                break;
            }
        }
    }
    let answer_nonce = text(res.headers(), "x-nonce");
    let whole = !cut
        && answer_nonce.as_deref() == Some(nonce)
        && text(res.headers(), "x-body-sha256") == Some(sha256_hex(&body))
        && body_matches(kind, nonce, &body, &received.freeze());
    Answer {
        outcome,
        status,
        cut,
        whole,
        nonce: answer_nonce,
    }
}

/// Whether the answer's body is the one that belongs to the request.
fn body_matches(kind: &Kind, nonce: &str, sent: &[u8], received: &Bytes) -> bool {
    if kind.method == "HEAD" {
        return received.is_empty();
    }
    if let Some(len) = kind.answer_bytes {
        return *received == body_for(nonce, len);
    }
    let Ok(json) = serde_json::from_slice::<serde_json::Value>(received) else {
        return false;
    };
    json["nonce"] == nonce && json["length"] == sent.len() && json["sha256"] == sha256_hex(sent)
}

fn outcome_of(headers: &HeaderMap) -> Outcome {
    match text(headers, "plantainpost-outcome").as_deref() {
        Some("answered") => Outcome::Answered,
        Some("not-run") => Outcome::NotRun,
        Some(_) => Outcome::Unknown,
        None => Outcome::Direct,
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn client(settings: &LoadSettings) -> awc::Client {
    awc::Client::builder()
        .connector(awc::Connector::new().limit(settings.connections))
        .timeout(Duration::from_millis(settings.timeout_ms) + GRACE)
        .disable_redirects()
        .finish()
}

fn histogram() -> Histogram<u64> {
    // The bounds and the precision are valid constants.
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid histogram bounds")
}

fn empty_row(label: &str) -> Row {
    Row {
        label: label.to_owned(),
        sent: 0,
        correct: 0,
        correct_share: 0.0,
        wrong: 0,
        cut: 0,
        outcomes: BTreeMap::new(),
        statuses: BTreeMap::new(),
        p50: 0,
        p90: 0,
        p99: 0,
        p999: 0,
        max: 0,
    }
}
