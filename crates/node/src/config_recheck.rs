//! Asks peers for the configuration after this node has started or was suspended, before decisions rely
//! on it.
//!
//! After a suspension, notices of changes may still wait in the node's sockets while requests that arrived
//! earlier start. After a start, the last record of the store may hold an older version than the one in
//! force, which running nodes have ignored.

use std::{cell::RefCell, rc::Rc};

use plantainpost_core::{
    config::{Freshness, Progress},
    ids::NodeName,
    time::Instant,
};
use slog::info;
use tokio::sync::{Notify, mpsc};

use crate::{config_sync, node::Node};

/// Peers that are asked at the same time. One may be suspended as well, another cut off.
const ASKED_PEERS: usize = 3;

/// Time after the start in which a node looks for a peer to ask, in milliseconds.
const MAX_START_MS: u64 = 10_000;

/// Shortest interval of the tries to ask a peer, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;

/// Time for which a node that has a reply waits for those of the other peers, from the resume or the try on,
/// in milliseconds. Running nodes reply within a few.
const OTHER_REPLIES_TIMEOUT_MS: u64 = 100;

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

/// Records that the process runs. If it was suspended, asks peers for the configuration, and lets the guard
/// start nothing until one has replied or the time for that has passed.
pub(crate) fn observe(node: &Rc<Node>) {
    let now = node.now();
    let pause_us = node.config_recheck.freshness.borrow_mut().observe(now);
    if let Some(pause_us) = pause_us {
        on_resumed(node, now, pause_us);
    }
}

#[cold]
fn on_resumed(node: &Rc<Node>, now: Instant, pause_us: u64) {
    if random_peers(node, 1).is_empty() {
        confirm(node, now);
        return;
    }
    node.metrics.count("config.recheck");
    let until = node.config_recheck.freshness.borrow().doubted_until(now);
    node.guard
        .borrow_mut()
        .hold_starts(now, until.unwrap_or(now));
    actix_rt::spawn(ask_peers(Rc::clone(node), now, pause_us));
}

/// Returns whether a state that the store has lost matters: with workspaces, whose keys may be withdrawn,
/// and if the store states its era, because it may have been restored without the evacuations that peers
/// know. `None` without a configuration.
fn needs_check_at_start(node: &Node) -> Option<bool> {
    let config = node.config.borrow();
    let has_eras = config.progress().read_to.era > 0;
    let table = config.routes()?;
    Some(has_eras || table.workspaces().is_some())
}

/// Asks some peers for their whole state after the start of this node, once it has a configuration and
/// knows a peer. One of them may have started together with this node.
pub(crate) async fn check_at_start(node: Rc<Node>) {
    let end = node.now().saturating_add_millis(MAX_START_MS);
    let mut asked_at = node.now();
    while asked_at < end {
        let needs_check = needs_check_at_start(&node);
        if needs_check == Some(false) {
            return;
        }
        if needs_check == Some(true) && ask_some_peers(&node, asked_at, Progress::default()).await {
            info!(node.logger, "configuration checked after the start");
            confirm(&node, asked_at);
            return;
        }
        let next_try = asked_at.saturating_add_millis(CHECK_INTERVAL_MS);
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

/// Ends the doubt if a reply of a peer asked at `asked_at` is newer than the last suspension. Returns
/// whether it is.
fn confirm(node: &Rc<Node>, asked_at: Instant) -> bool {
    // The node may have been suspended again since the reply arrived.
    observe(node);
    let now = node.now();
    let config_recheck = &node.config_recheck;
    let is_confirmed = config_recheck.freshness.borrow_mut().confirm(asked_at);
    if !is_doubted(node, now) {
        let wakeups = {
            let mut guard = node.guard.borrow_mut();
            guard.hold_starts(now, now);
            guard.expire(now)
        };
        node.wake_waiters(wakeups);
    }
    config_recheck.confirmed.notify_waiters();
    is_confirmed
}

/// Waits until the configuration may be relied on: not at all unless the node has just started or was
/// suspended. Returns whether it has waited.
pub(crate) async fn wait_until_current(node: &Rc<Node>) -> bool {
    wait_while_doubted(node, Freshness::doubted_until).await
}

/// Like [`wait_until_current`], but does not wait after the start of the node.
pub(crate) async fn wait_after_suspension(node: &Rc<Node>) -> bool {
    wait_while_doubted(node, Freshness::doubted_after_pause_until).await
}

async fn wait_while_doubted(
    node: &Rc<Node>,
    doubted_until: fn(&Freshness, Instant) -> Option<Instant>,
) -> bool {
    let mut has_waited = false;
    loop {
        // The node may be suspended again while it waits.
        observe(node);
        let confirmed = node.config_recheck.confirmed.notified();
        let until = doubted_until(&node.config_recheck.freshness.borrow(), node.now());
        let Some(until) = until else {
            return has_waited;
        };
        has_waited = true;
        // At the end of the time the next turn returns.
        let _ = node.clock.timeout_at(until, confirmed).await;
    }
}

/// Asks peers until one has replied, the node goes on without, or it was suspended again: the next task
/// asks then. At least one round of peers is asked, also if nothing waits for it, because a reply ends the
/// time in which further suspensions cause no wait.
async fn ask_peers(node: Rc<Node>, resumed_at: Instant, pause_us: u64) {
    let mut asked_at = resumed_at;
    let is_confirmed = loop {
        let progress = node.config.borrow().progress();
        if ask_some_peers(&node, asked_at, progress).await {
            break confirm(&node, asked_at);
        }
        let next_try = asked_at.saturating_add_millis(CHECK_INTERVAL_MS);
        node.clock.sleep_until(next_try).await;
        asked_at = node.now();
        let is_own_doubt = {
            let freshness = node.config_recheck.freshness.borrow();
            freshness.is_doubted_since(resumed_at)
        };
        if !is_own_doubt || !is_doubted(&node, asked_at) {
            break false;
        }
    };
    info!(node.logger, "configuration checked after a suspension"; "pause_us" => pause_us,
        "confirmed" => is_confirmed, "us" => node.now().micros_since(resumed_at));
}

fn is_doubted(node: &Node, now: Instant) -> bool {
    let freshness = node.config_recheck.freshness.borrow();
    freshness.doubted_until(now).is_some()
}

/// Asks a few peers for what is newer than `progress`. Returns whether one has replied.
///
/// Waits some time for the replies of all, because one that was suspended as well may reply first, with an
/// old configuration. Replies that come later are still used.
async fn ask_some_peers(node: &Rc<Node>, asked_at: Instant, progress: Progress) -> bool {
    let peers = {
        let mut rng = node.rng.borrow_mut();
        node.members.borrow().spread_peers(ASKED_PEERS, &mut *rng)
    };
    let (tx, mut rx) = mpsc::unbounded_channel();
    for peer in peers {
        let (node, tx) = (Rc::clone(node), tx.clone());
        actix_rt::spawn(async move {
            let has_replied = config_sync::refresh_from(&node, &peer, progress).await;
            // Fails if the wait is over.
            let _ = tx.send(has_replied);
        });
    }
    drop(tx);
    let others_until = asked_at.saturating_add_millis(OTHER_REPLIES_TIMEOUT_MS);
    let mut has_reply = false;
    loop {
        let reply = match has_reply {
            true => node.clock.timeout_at(others_until, rx.recv()).await,
            false => Some(rx.recv().await),
        };
        match reply {
            Some(Some(has_replied)) => has_reply |= has_replied,
            Some(None) | None => return has_reply,
        }
    }
}
