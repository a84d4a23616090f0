//! Asks peers for the configuration after this node was suspended, before decisions rely on it.
//!
//! The news of changes may still wait in the node's sockets while requests that arrived earlier start.

use std::{cell::RefCell, rc::Rc};

use futures_util::{StreamExt, stream::FuturesUnordered};
use plantainpost_core::{config::Freshness, time::Instant};
use slog::info;
use tokio::sync::Notify;

use crate::{config_sync, node::Node};

/// Peers that are asked at the same time. One may be suspended as well, another cut off.
const ASKED_PEERS: usize = 3;

/// Whether the configuration may be relied on.
pub(crate) struct ConfigRecheck {
    freshness: RefCell<Freshness>,
    /// Wakes the decisions that wait for the reply of a peer.
    confirmed: Notify,
}

impl ConfigRecheck {
    /// Creates the state of a node that starts at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        ConfigRecheck {
            freshness: RefCell::new(Freshness::new(now)),
            confirmed: Notify::new(),
        }
    }
}

/// Records that the process runs, and asks peers for the configuration if it was suspended and its
/// requests have keys.
pub(crate) fn observe(node: &Rc<Node>) {
    let now = node.now();
    let pause_us = node.config_recheck.freshness.borrow_mut().observe(now);
    let Some(pause_us) = pause_us else {
        return;
    };
    let has_workspaces = {
        let config = node.config.borrow();
        let table = config.routes();
        table.is_some_and(|table| table.workspaces().is_some())
    };
    if has_workspaces {
        node.metrics.count("config.recheck");
        actix_rt::spawn(ask_peers(Rc::clone(node), now, pause_us));
    }
}

/// Waits until the configuration may be relied on: not at all unless the node was suspended. Returns
/// whether it has waited.
pub(crate) async fn wait_until_current(node: &Rc<Node>) -> bool {
    observe(node);
    let mut has_waited = false;
    loop {
        let confirmed = node.config_recheck.confirmed.notified();
        let now = node.now();
        let until = node.config_recheck.freshness.borrow().doubted_until(now);
        let Some(until) = until else {
            return has_waited;
        };
        has_waited = true;
        // At the end of the time the next turn returns.
        let _ = node.clock.timeout_at(until, confirmed).await;
    }
}

async fn ask_peers(node: Rc<Node>, asked_at: Instant, pause_us: u64) {
    let peers = {
        let mut rng = node.rng.borrow_mut();
        let members = node.members.borrow();
        members.random_peers(ASKED_PEERS, &mut *rng)
    };
    // A node without peers has nobody to ask.
    let mut is_confirmed = peers.is_empty();
    let replies = peers
        .iter()
        .map(|(peer, _)| config_sync::refresh_from(&node, peer));
    let mut replies: FuturesUnordered<_> = replies.collect();
    while !is_confirmed && let Some(has_replied) = replies.next().await {
        is_confirmed = has_replied;
    }
    info!(node.logger, "configuration checked after a suspension"; "pause_us" => pause_us,
        "confirmed" => is_confirmed, "us" => node.now().micros_since(asked_at));
    if is_confirmed {
        node.config_recheck.freshness.borrow_mut().confirm(asked_at);
        node.config_recheck.confirmed.notify_waiters();
    }
}
