//! Load reports of the target itself.
//!
//! They are the weakest evidence: a report lags, and may mislead. The guard's own counts
//! travel on every answer; reports only go along with probe replies.

use std::{cell::Cell, rc::Rc};

use bytes::BytesMut;
use plantainpost_core::time::Instant;
use plantainpost_http1::{BodyPart, Connection, Framing};
use plantainpost_wire::datagram::ReportedLoad;
use serde::Deserialize;

use crate::{headers, node::Node, probe};

/// Path at which a target reports its load.
const PATH: &str = "/load";

/// Time between two polls, in milliseconds.
const POLL_EVERY_MS: u64 = 500;

/// Time after which a target that reports no load is asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 60_000;

/// Time for one poll, in milliseconds.
const TIMEOUT_MS: u64 = 250;

/// Longest report, in bytes.
const MAX_REPORT_BYTES: usize = 1_024;

/// Processor time that is charged for a poll, in microseconds: one small HTTP exchange.
const POLL_COST_US: u64 = 100;

/// Age at which a report is no longer passed on, in microseconds.
const MAX_AGE_US: u64 = 2_000_000;

#[derive(Debug, Deserialize)]
struct Report {
    in_flight: u32,
    slots: u32,
}

/// The last report of the target on this host.
#[derive(Default)]
pub(crate) struct LastReport {
    report: Cell<Option<(u32, u32, Instant)>>,
}

impl LastReport {
    /// Returns the last report, unless it is too old.
    pub(crate) fn get(&self, now: Instant) -> Option<ReportedLoad> {
        let (in_flight, slots, at) = self.report.get()?;
        (now.micros_since(at) <= MAX_AGE_US).then_some(ReportedLoad { in_flight, slots })
    }
}

/// Polls the target until the process exits.
pub(crate) async fn poll(node: Rc<Node>) {
    let mut next = node.now();
    loop {
        next = next.saturating_add_millis(POLL_EVERY_MS).max(node.now());
        node.clock.sleep_until(next).await;
        let target = {
            let guard = node.guard.borrow();
            guard.target(node.now()).map(|target| target.address)
        };
        let Some(target) = target else { continue };
        if !probe::spend(&node, node.now(), POLL_COST_US) {
            continue;
        }
        let deadline = node.now().saturating_add_millis(TIMEOUT_MS);
        let asked = node.clock.before(deadline, ask(&node, target)).await;
        match asked.flatten() {
            Some(report) => {
                let at = node.now();
                let report = (report.in_flight, report.slots, at);
                node.report.report.set(Some(report));
            }
            None => {
                node.metrics.count("report.missing");
                next = next.saturating_add_millis(ASK_AGAIN_MS);
            }
        }
    }
}

async fn ask(node: &Node, target: std::net::SocketAddr) -> Option<Report> {
    let mut conn = node.targets.acquire(target, node.now()).await.ok()?;
    let host = headers::header("host", target.to_string());
    conn.send_head("GET", PATH, &[host], Framing::None, &[])
        .await
        .ok()?;
    let head = conn.read_head("GET").await.ok()?;
    let mut body = conn.into_body(&head);
    let mut buf = BytesMut::new();
    loop {
        match body.next().await {
            BodyPart::Data(piece) if buf.len() + piece.len() <= MAX_REPORT_BYTES => {
                buf.extend_from_slice(&piece);
            }
            BodyPart::End => break,
            BodyPart::Data(_) | BodyPart::Truncated => return None,
        }
    }
    if let Some(conn) = body
        .into_reusable_conn()
        .filter(Connection::has_no_unread_data)
    {
        node.targets.release(conn, node.now());
    }
    (head.status == 200).then_some(())?;
    serde_json::from_slice(&buf).ok()
}
