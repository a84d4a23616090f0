//! Load reports from the target itself.
//!
//! They are the least reliable source of load: a report is out of date and may be wrong. The
//! guard's own counts are part of every response; reports are only sent with probe replies.

use std::{cell::Cell, rc::Rc};

use bytes::BytesMut;
use plantainpost_core::time::Instant;
use plantainpost_http1::{BodyPart, Connection, Framing};
use plantainpost_wire::datagram::ReportedLoad;
use serde::Deserialize;

use crate::{headers, node::Node, probe};

/// Path at which a target reports its load.
const LOAD_PATH: &str = "/load";

/// Interval between polls, in milliseconds.
const POLL_INTERVAL_MS: u64 = 500;

/// Additional delay before a target that reports no load is polled again, in milliseconds.
const NO_REPORT_DELAY_MS: u64 = 60_000;

/// Timeout of a poll, in milliseconds.
const POLL_TIMEOUT_MS: u64 = 250;

/// Longest report, in bytes.
const MAX_REPORT_BYTES: usize = 1_024;

/// Processor time charged to the measurement budget for a poll, in microseconds: one small HTTP
/// request.
const POLL_COST_US: u64 = 100;

/// Age above which a report is not sent to peers, in microseconds.
const MAX_REPORT_AGE_US: u64 = 2_000_000;

#[derive(Debug, Deserialize)]
struct LoadReport {
    in_flight: u32,
    slots: u32,
}

/// The last load report of the target on this host.
#[derive(Default)]
pub(crate) struct LoadReportCache {
    /// Requests in flight, slots, and time of the report.
    last: Cell<Option<(u32, u32, Instant)>>,
}

impl LoadReportCache {
    /// Returns the last report, unless it is too old.
    pub(crate) fn fresh_report(&self, now: Instant) -> Option<ReportedLoad> {
        let (in_flight, slots, at) = self.last.get()?;
        (now.micros_since(at) <= MAX_REPORT_AGE_US).then_some(ReportedLoad { in_flight, slots })
    }
}

/// Polls the load of the target until the process exits.
pub(crate) async fn poll_target(node: Rc<Node>) {
    let mut next_poll = node.now();
    loop {
        next_poll = next_poll
            .saturating_add_millis(POLL_INTERVAL_MS)
            .max(node.now());
        node.clock.sleep_until(next_poll).await;
        let target = {
            let guard = node.guard.borrow();
            guard.target(node.now()).map(|target| target.address)
        };
        let Some(target) = target else { continue };
        if !probe::charge_budget(&node, node.now(), POLL_COST_US) {
            continue;
        }
        let deadline = node.now().saturating_add_millis(POLL_TIMEOUT_MS);
        let response = node
            .clock
            .timeout_at(deadline, request_report(&node, target))
            .await;
        match response.flatten() {
            Some(report) => {
                let at = node.now();
                let report = (report.in_flight, report.slots, at);
                node.load_report.last.set(Some(report));
            }
            None => {
                node.metrics.count("report.missing");
                next_poll = next_poll.saturating_add_millis(NO_REPORT_DELAY_MS);
            }
        }
    }
}

/// Requests the load report of the target. Returns `None` if the exchange fails or the report is
/// not valid.
async fn request_report(node: &Node, target: std::net::SocketAddr) -> Option<LoadReport> {
    let mut conn = node.target_pool.acquire(target, node.now()).await.ok()?;
    let host = headers::header("host", target.to_string());
    conn.send_head("GET", LOAD_PATH, &[host], Framing::None, &[])
        .await
        .ok()?;
    let head = conn.read_head("GET").await.ok()?;
    let mut body = conn.into_body(&head);
    let mut buf = BytesMut::new();
    loop {
        match body.next().await {
            BodyPart::Data(chunk) if buf.len() + chunk.len() <= MAX_REPORT_BYTES => {
                buf.extend_from_slice(&chunk);
            }
            BodyPart::End => break,
            BodyPart::Data(_) | BodyPart::Truncated => return None,
        }
    }
    if let Some(conn) = body
        .into_reusable_conn()
        .filter(Connection::has_no_unread_data)
    {
        node.target_pool.release(conn, node.now());
    }
    (head.status == 200).then_some(())?;
    serde_json::from_slice(&buf).ok()
}
