//! Measurement of the pace of the target's host, where the target tells it.

use std::{cell::Cell, rc::Rc};

use plantainpost_http1::{self as http1, BodyPart, Connection, Framing, ResponseHead};
use slog::debug;
use tokio::sync::Notify;

use crate::{guard, node::Node};

/// Time for one measurement, in milliseconds. The target is on this host and answers at once;
/// later than this the answer is of no use for the request that waits for it.
const TIMEOUT_MS: u64 = 20;

/// Time between two looks at requests that are held, in milliseconds.
const WATCH_MS: u64 = 10;

/// Longest body of a health check, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Measurement in progress, and requests that are held.
#[derive(Default)]
pub(crate) struct PaceWatch {
    measuring: Cell<bool>,
    measured: Notify,
    held: Notify,
}

impl PaceWatch {
    /// Makes the watch look at the queue.
    pub(crate) fn wake(&self) {
        self.held.notify_one();
    }
}

/// Measures the pace if the last one is too old to decide on a start. Several requests share
/// one measurement.
pub(crate) async fn refresh(node: &Rc<Node>) {
    if node.pace.measuring.get() {
        node.pace.measured.notified().await;
        return;
    }
    if !node.guard.borrow_mut().start_pace_measurement(node.now()) {
        return;
    }
    node.pace.measuring.set(true);
    // A task of its own, so that the end of this request does not leave it unfinished.
    let for_task = Rc::clone(node);
    let measured = actix_rt::spawn(async move {
        measure(&for_task).await;
        for_task.pace.measuring.set(false);
        for_task.pace.measured.notify_waiters();
    });
    // The task does not panic, and nobody aborts it.
    let _ = measured.await;
}

async fn measure(node: &Rc<Node>) {
    let until = node.now().saturating_add_millis(TIMEOUT_MS);
    let answer = node.clock.before(until, ask(node)).await;
    match answer.flatten() {
        Some(head) => {
            node.metrics.count("pace.measured");
            guard::record_load_header(node, &head);
            let percent = node.guard.borrow().load_sample(node.now()).pace_percent;
            debug!(node.logger, "pace measured"; "pace" => percent);
        }
        None => node.metrics.count("pace.failed"),
    }
    let wakeups = node.guard.borrow_mut().expire(node.now());
    node.wake(wakeups);
}

async fn ask(node: &Node) -> Option<ResponseHead> {
    let now = node.now();
    let (addr, path) = {
        let guard = node.guard.borrow();
        let target = guard.target(now)?;
        let register = node.register.borrow();
        let rule = register.routes()?.service_rule(target.service.as_str())?;
        (target.address, rule.health_path.to_string())
    };
    let mut conn = node.targets.acquire(addr, now).await.ok()?;
    let host = ("host".to_owned(), addr.to_string().into());
    conn.send_head("GET", &path, &[host], Framing::None, &[])
        .await
        .ok()?;
    let head = conn.read_head("GET").await.ok()?;
    let names = &node.settings.headers;
    // A late answer to an earlier request names that request.
    if http1::header_value(&head.headers, names.request_id).is_some() {
        return None;
    }
    let mut body = conn.into_body(&head);
    let mut left = MAX_BODY_BYTES;
    loop {
        match body.next().await {
            BodyPart::Data(piece) if piece.len() <= left => left -= piece.len(),
            BodyPart::End => break,
            BodyPart::Data(_) | BodyPart::Truncated => return Some(head),
        }
    }
    if let Some(conn) = body
        .into_reusable_conn()
        .filter(Connection::has_no_unread_data)
    {
        node.targets.release(conn, node.now());
    }
    Some(head)
}

/// Measures the pace while requests are held, until the process exits.
pub(crate) async fn watch(node: Rc<Node>) {
    loop {
        node.pace.held.notified().await;
        while node.guard.borrow().is_delayed_by_slow_host(node.now()) {
            let at = node.now().saturating_add_millis(WATCH_MS);
            node.clock.sleep_until(at).await;
            refresh(&node).await;
        }
    }
}
