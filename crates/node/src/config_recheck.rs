//! Asks peers for the configuration after this node has started or was suspended, before decisions rely
//! on it.
//!
//! After a suspension, notices of changes may still wait in the node's sockets while requests that arrived
//! earlier start. After a start, the last record of the store may hold an older version than the one in
//! force, which running nodes have ignored.

use std::{cell::RefCell, rc::Rc};

use futures_util::{StreamExt, stream::FuturesUnordered};
use plantainpost_core::{config::Freshness, ids::NodeName, time::Instant};
use slog::info;
use tokio::sync::Notify;

use crate::{config_sync, node::Node};

/// Peers that are asked at the same time. One may be suspended as well, another cut off.
const ASKED_PEERS: usize = 3;

/// Time after the start in which a node looks for a peer to ask, in milliseconds.
const MAX_START_MS: u64 = 10_000;

/// Interval of the tries to ask a peer after the start, in milliseconds.
const START_CHECK_INTERVAL_MS: u64 = 50;

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
    if has_workspaces(node) == Some(true) {
        node.metrics.count("config.recheck");
        actix_rt::spawn(ask_peers(Rc::clone(node), now, pause_us));
    }
}

/// Returns whether the configuration has workspaces, for which its age matters; `None` without a
/// configuration.
fn has_workspaces(node: &Node) -> Option<bool> {
    let config = node.config.borrow();
    config.routes().map(|table| table.workspaces().is_some())
}

/// Asks one peer for its whole state after the start of this node, once it has a configuration with
/// workspaces and knows a peer.
pub(crate) async fn check_at_start(node: Rc<Node>) {
    let end = node.now().saturating_add_millis(MAX_START_MS);
    let mut asked_at = node.now();
    while asked_at < end {
        let peer = match has_workspaces(&node) {
            Some(true) => random_peers(&node, 1).pop(),
            Some(false) => return,
            None => None,
        };
        if let Some(peer) = peer
            && config_sync::refresh_from(&node, &peer, 0).await
        {
            info!(node.logger, "configuration checked after the start"; "peer" => %peer);
            return confirm(&node, asked_at);
        }
        let next_try = asked_at.saturating_add_millis(START_CHECK_INTERVAL_MS);
        node.clock.sleep_until(next_try).await;
        asked_at = node.now();
    }
}

fn random_peers(node: &Node, count: usize) -> Vec<NodeName> {
    let mut rng = node.rng.borrow_mut();
    let members = node.members.borrow();
    let peers = members.random_peers(count, &mut *rng);
    peers.into_iter().map(|(name, _)| name).collect()
}

fn confirm(node: &Node, asked_at: Instant) {
    node.config_recheck.freshness.borrow_mut().confirm(asked_at);
    node.config_recheck.confirmed.notify_waiters();
}

/// Waits until the configuration may be relied on: not at all unless the node has just started or was
/// suspended. Returns whether it has waited.
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
    let peers = random_peers(&node, ASKED_PEERS);
    let read_to = node.config.borrow().read_to();
    // A node without peers has no peer to ask.
    let mut is_confirmed = peers.is_empty();
    let replies = peers
        .iter()
        .map(|peer| config_sync::refresh_from(&node, peer, read_to));
    let mut replies: FuturesUnordered<_> = replies.collect();
    while !is_confirmed && let Some(has_replied) = replies.next().await {
        is_confirmed = has_replied;
    }
    info!(node.logger, "configuration checked after a suspension"; "pause_us" => pause_us,
        "confirmed" => is_confirmed, "us" => node.now().micros_since(asked_at));
    if is_confirmed {
        confirm(&node, asked_at);
    }
}
