//! Measures the pace of the target's host, if the target reports it in its health check.
//!
//! The pace is the time that work currently takes on that host, in percent of the usual time.

use std::{cell::Cell, rc::Rc};

use plantainpost_http1::{self as http1, BodyPart, Connection, Framing, ResponseHead};
use slog::debug;
use tokio::sync::Notify;

use crate::{guard, node::Node};

/// Timeout of a measurement, in milliseconds. The target is on this host and normally responds at
/// once. A later response is of no use to the request that waits for it.
const MEASUREMENT_TIMEOUT_MS: u64 = 20;

/// Interval between measurements while requests are delayed, in milliseconds. The guard may ask for
/// fewer.
const DELAYED_INTERVAL_MS: u64 = 10;

/// Longest response body of a health check that is read, in bytes.
const MAX_HEALTH_BODY_BYTES: usize = 64 * 1024;

/// State of the pace measurement.
#[derive(Default)]
pub(crate) struct PaceMonitor {
    is_measuring: Cell<bool>,
    /// Wakes the tasks that wait for the measurement in progress.
    measured: Notify,
    /// Wakes the monitor task when a request is queued.
    request_queued: Notify,
}

impl PaceMonitor {
    /// Makes the monitor task check whether queued requests are delayed.
    pub(crate) fn notify_request_queued(&self) {
        self.request_queued.notify_one();
    }
}

/// Measures the pace if the last measurement is too old to admit a request. Concurrent requests
/// share one measurement.
pub(crate) async fn refresh_pace(node: &Rc<Node>) {
    if node.pace.is_measuring.get() {
        node.pace.measured.notified().await;
        return;
    }
    if !node.guard.borrow_mut().start_pace_measurement(node.now()) {
        return;
    }
    node.pace.is_measuring.set(true);
    // Runs as a separate task, so that it completes even if this request is cancelled.
    let node_for_task = Rc::clone(node);
    let task = actix_rt::spawn(async move {
        measure_pace(&node_for_task).await;
        node_for_task.pace.is_measuring.set(false);
        node_for_task.pace.measured.notify_waiters();
    });
    // Fails only if the task panics or is aborted, which does not happen.
    let _ = task.await;
}

async fn measure_pace(node: &Rc<Node>) {
    let generation = node.guard.borrow().target_generation();
    let deadline = node.now().saturating_add_millis(MEASUREMENT_TIMEOUT_MS);
    let head = node.clock.timeout_at(deadline, request_health(node)).await;
    match head.flatten() {
        Some(head) => {
            node.metrics.count("pace.measured");
            guard::record_health(node, &head, generation);
            let percent = node.guard.borrow().load_sample(node.now()).pace_percent;
            debug!(node.logger, "pace measured"; "pace" => percent);
        }
        None => node.metrics.count("pace.failed"),
    }
    let wakeups = node.guard.borrow_mut().expire(node.now());
    node.wake_waiters(wakeups);
}

/// Sends a health check to the target and returns the head of the response.
async fn request_health(node: &Node) -> Option<ResponseHead> {
    let now = node.now();
    let (addr, path) = {
        let guard = node.guard.borrow();
        let target = guard.target(now)?;
        let config = node.config.borrow();
        let rule = config.routes()?.service_rule(target.service.as_str())?;
        (target.address, rule.health_path.to_string())
    };
    let mut conn = node.target_pool.acquire(addr, now).await.ok()?;
    let host = ("host".to_owned(), addr.to_string().into());
    conn.send_head("GET", &path, &[host], Framing::None, &[])
        .await
        .ok()?;
    let head = conn.read_head("GET").await.ok()?;
    let names = &node.settings.headers;
    // A response with a request id is a late response to an earlier request.
    if http1::header_value(&head.headers, names.request_id).is_some() {
        return None;
    }
    let mut body = conn.into_body(&head);
    let mut remaining = MAX_HEALTH_BODY_BYTES;
    loop {
        match body.next().await {
            BodyPart::Data(chunk) if chunk.len() <= remaining => remaining -= chunk.len(),
            BodyPart::End => break,
            BodyPart::Data(_) | BodyPart::Truncated => return Some(head),
        }
    }
    if let Some(conn) = body
        .into_reusable_conn()
        .filter(Connection::has_no_unread_data)
    {
        node.target_pool.release(conn, node.now());
    }
    Some(head)
}

/// Measures the pace while requests are delayed by a slow host, or queued at a target that may become
/// cold, until the process exits.
pub(crate) async fn monitor_delayed_requests(node: Rc<Node>) {
    loop {
        node.pace.request_queued.notified().await;
        while node.guard.borrow().needs_checks_while_queued(node.now()) {
            let next = node.now().saturating_add_millis(DELAYED_INTERVAL_MS);
            node.clock.sleep_until(next).await;
            refresh_pace(&node).await;
        }
    }
}
