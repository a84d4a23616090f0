//! A planned stop, which cuts off no request in flight.

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

/// Time between two looks at what is in flight, in milliseconds.
const POLL_MS: u64 = 20;

/// Time for the last entries of the audit trail, in milliseconds.
const AUDIT_TIMEOUT_MS: u64 = 2_000;

/// Time for the answers to requests that are cut, in milliseconds.
const CUT_MS: u64 = 300;

/// What a node did between its start and its stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Requests of callers.
    pub requests: i64,
    /// Requests that were answered by a target.
    pub answered: i64,
    /// Requests that were not run.
    pub not_run: i64,
    /// Requests with an unknown outcome.
    pub unknown: i64,
    /// Requests that were run on the target of this host.
    pub served: i64,
    /// Requests that were still in flight at the stop deadline.
    pub cut: usize,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "stopped: {} requests, {} answered, {} not run, {} unknown, {} served here, {} cut",
            self.requests, self.answered, self.not_run, self.unknown, self.served, self.cut
        )
    }
}

/// Waits for a signal to stop.
pub(crate) async fn wait_for_signal(node: &Rc<Node>) -> std::io::Result<()> {
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

/// Stops the node: tells peers, refuses new work, and waits until nothing is in
/// flight.
pub(crate) async fn stop(node: &Rc<Node>, callers: &Rc<Cell<usize>>) -> Summary {
    info!(node.logger, "stopping");
    audit::note(node, AuditEvent::Stopping);
    node.stop.start();
    let refuses = node.refuses_for_stop();
    node.guard.borrow_mut().set_draining(refuses);
    fleet::refresh(node);
    let limits = &node.settings.limits;
    let started = node.now();
    let deadline = started.saturating_add_millis(limits.stop_timeout_ms);
    let linger = started.saturating_add_millis(limits.stop_linger_ms);
    if limits.serves_while_lingering {
        node.guard.borrow_mut().set_stop_deadline(deadline);
    }
    tell_peers(node).await;
    node.clock.sleep_until(linger.min(deadline)).await;
    node.stop.close();
    node.guard.borrow_mut().set_draining(true);
    wait_until_idle(node, callers, deadline).await;
    let cut = in_flight(node, callers);
    if cut > 0 {
        warn!(node.logger, "requests were cut at the stop deadline"; "count" => cut);
        node.stop.cut();
        let until = node.now().saturating_add_millis(CUT_MS);
        wait_until_idle(node, callers, until).await;
    }
    depart(node).await;
    if node.settings.routing == Routing::ByName {
        let limit = node.now().saturating_add_millis(AUDIT_TIMEOUT_MS);
        let _ = node.clock.before(limit, audit::write_rest(node)).await;
    }
    summary(node, cut)
}

async fn tell_peers(node: &Rc<Node>) {
    let now = node.now();
    let actions = {
        let mut rng = node.rng.borrow_mut();
        node.members.borrow_mut().leave(now, &mut *rng)
    };
    gossip::perform(node, actions).await;
}

async fn depart(node: &Rc<Node>) {
    let now = node.now();
    let actions = {
        let mut rng = node.rng.borrow_mut();
        node.members.borrow_mut().depart(now, &mut *rng)
    };
    gossip::perform(node, actions).await;
}

/// Returns the requests whose exchange with an entry has not ended, and the connections
/// of callers that are not closed yet.
fn in_flight(node: &Node, callers: &Rc<Cell<usize>>) -> usize {
    let exchanges = Rc::strong_count(&node.exchanges) - 1;
    exchanges + callers.get()
}

async fn wait_until_idle(node: &Rc<Node>, callers: &Rc<Cell<usize>>, deadline: Instant) {
    loop {
        let now = node.now();
        if in_flight(node, callers) == 0 || now >= deadline {
            return;
        }
        let next = now.saturating_add_millis(POLL_MS);
        node.clock.sleep_until(next).await;
    }
}

fn summary(node: &Node, cut: usize) -> Summary {
    let total = |name| node.metrics.total(name);
    Summary {
        requests: total("entry.request"),
        answered: total("entry.answered"),
        not_run: total("entry.not_run") + total("entry.bad_request"),
        unknown: total("entry.unknown"),
        served: total("guard.request") - total("guard.refused"),
        cut,
    }
}
