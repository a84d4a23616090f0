//! Graceful stop of a node, which lets requests in flight complete.

use std::{cell::Cell, fmt, rc::Rc};

use actix_rt::signal::unix::{SignalKind, signal};
use plantainpost_core::time::Instant;
use slog::{info, warn};

use crate::{
    audit::{self, AuditEvent},
    fleet, gossip,
    node::Node,
    settings::Routing,
};

/// Interval between checks whether requests are in flight, in milliseconds.
const IDLE_POLL_MS: u64 = 20;

/// Timeout to write the last entries of the audit trail, in milliseconds.
const AUDIT_FLUSH_TIMEOUT_MS: u64 = 2_000;

/// Time to send the responses to aborted requests, in milliseconds.
const ABORT_TIMEOUT_MS: u64 = 300;

/// Request counts of a node between its start and its stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunSummary {
    /// Requests received from callers.
    pub requests: i64,
    /// Requests that were answered by a target.
    pub answered: i64,
    /// Requests that were not run.
    pub not_run: i64,
    /// Requests with an unknown outcome.
    pub unknown: i64,
    /// Requests that were run on the target of this host.
    pub served: i64,
    /// Exchanges between entries and this guard, plus connections of callers, that were still open
    /// at the stop deadline. Their requests are aborted.
    pub cut: usize,
}

impl fmt::Display for RunSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "stopped: {} requests, {} answered, {} not run, {} unknown, {} served here, {} cut",
            self.requests, self.answered, self.not_run, self.unknown, self.served, self.cut
        )
    }
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_for_stop_signal(node: &Rc<Node>) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => (),
        _ = int.recv() => (),
    }
    // Another signal must not end the process while requests are in flight.
    let node = Rc::clone(node);
    actix_rt::spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => (),
                _ = int.recv() => (),
            }
            node.metrics.count("stop.signal_repeated");
            info!(
                node.logger,
                "already stopping; requests in flight are finished first"
            );
        }
    });
    Ok(())
}

/// Stops the node: announces it to peers, refuses new requests, and waits until no requests are in
/// flight.
pub(crate) async fn stop_node(node: &Rc<Node>, caller_connections: &Rc<Cell<usize>>) -> RunSummary {
    info!(node.logger, "stopping");
    audit::record(node, AuditEvent::Stopping);
    let limits = node.settings_state.current().stop;
    let started = node.now();
    let deadline = started.saturating_add_millis(limits.timeout_ms);
    node.stop.start(deadline);
    let is_draining = node.is_draining_for_stop();
    node.guard.borrow_mut().set_draining(is_draining);
    fleet::apply_changes(node);
    let drain_delay_end = started.saturating_add_millis(limits.drain_delay_ms);
    if limits.serves_during_drain_delay {
        node.guard.borrow_mut().set_stop_deadline(deadline);
    }
    announce_leaving(node).await;
    node.clock.sleep_until(drain_delay_end.min(deadline)).await;
    node.stop.start_closing();
    node.guard.borrow_mut().set_draining(true);
    wait_until_idle(node, caller_connections, deadline).await;
    let cut = open_exchanges_and_conns(node, caller_connections);
    if cut > 0 {
        warn!(node.logger, "requests were cut at the stop deadline"; "count" => cut);
        node.stop.abort_requests();
        let abort_deadline = node.now().saturating_add_millis(ABORT_TIMEOUT_MS);
        wait_until_idle(node, caller_connections, abort_deadline).await;
    }
    announce_left(node).await;
    if node.settings.routing == Routing::ByHostName {
        let flush_deadline = node.now().saturating_add_millis(AUDIT_FLUSH_TIMEOUT_MS);
        let _ = node
            .clock
            .timeout_at(flush_deadline, audit::flush(node))
            .await;
    }
    run_summary(node, cut)
}

async fn announce_leaving(node: &Rc<Node>) {
    let now = node.now();
    let actions = {
        let mut rng = node.rng.borrow_mut();
        node.members.borrow_mut().leave(now, &mut *rng)
    };
    gossip::perform_actions(node, actions).await;
}

async fn announce_left(node: &Rc<Node>) {
    let now = node.now();
    let actions = {
        let mut rng = node.rng.borrow_mut();
        node.members.borrow_mut().depart(now, &mut *rng)
    };
    gossip::perform_actions(node, actions).await;
}

/// Returns the number of open exchanges between entries and this guard, plus the open connections
/// of callers.
fn open_exchanges_and_conns(node: &Node, caller_connections: &Rc<Cell<usize>>) -> usize {
    let exchanges = Rc::strong_count(&node.exchanges) - 1;
    exchanges + caller_connections.get()
}

async fn wait_until_idle(node: &Rc<Node>, caller_connections: &Rc<Cell<usize>>, deadline: Instant) {
    loop {
        let now = node.now();
        if open_exchanges_and_conns(node, caller_connections) == 0 || now >= deadline {
            return;
        }
        let next = now.saturating_add_millis(IDLE_POLL_MS);
        node.clock.sleep_until(next).await;
    }
}

fn run_summary(node: &Node, cut: usize) -> RunSummary {
    let total = |name| node.metrics.total(name);
    RunSummary {
        requests: total("entry.request"),
        answered: total("entry.answered"),
        not_run: total("entry.not_run") + total("entry.bad_request"),
        unknown: total("entry.unknown"),
        served: total("guard.request") - total("guard.refused"),
        cut,
    }
}
