//! Reading the configuration log, and passing its state among peers.

use std::{cell::RefCell, rc::Rc};

use bytes::BytesMut;
use plantainpost_core::{
    config::{BatchOutcome, LogPosition, State, Verdict},
    ids::NodeName,
};
use plantainpost_wire::message::PeerMessage;
use rand::RngExt;
use slog::{info, warn};

use crate::{
    audit::{self, AuditEvent},
    fleet, gossip,
    log::LogError,
    node::Node,
};

/// Stream of the configuration.
pub(crate) const STREAM: &str = "config";

/// Reads of the configuration log per second that the whole fleet makes.
const FLEET_READS_PER_SECOND: u64 = 40;

/// Records in one read.
const READ_RECORDS: usize = 100;

/// Time for a peer to send its state, in milliseconds. A configuration is to be in force 2 s
/// after its confirmation, also when the first peers that are asked do not answer. A state of
/// 256 KiB takes 210 ms on a link of 10 Mbit/s.
const FETCH_MIN_MS: u64 = 400;

/// Longest time for a peer to send its state, in milliseconds. The time doubles after each
/// failure, for a state that takes longer than [`FETCH_MIN_MS`].
const FETCH_MAX_MS: u64 = 3_200;

/// Longest state of a peer, in bytes.
const MAX_STATE_BYTES: usize = 4 * 1024 * 1024;

/// A peer that has read further than this node.
#[derive(Default)]
pub(crate) struct Ahead {
    peer: RefCell<Option<NodeName>>,
    wake: tokio::sync::Notify,
}

/// Notes that a peer has read further, so that its state is fetched.
pub(crate) fn peer_ahead(node: &Rc<Node>, peer: &NodeName, read_to: u64) {
    if read_to > node.register.borrow().read_to() {
        node.ahead.peer.replace(Some(peer.clone()));
        node.ahead.wake.notify_one();
    }
}

/// Reads the log at random times until the process exits.
pub(crate) async fn read_log(node: Rc<Node>) {
    let mut log_is_up = true;
    loop {
        let outcome = read_all(&node).await;
        if outcome.is_ok() != log_is_up {
            log_is_up = outcome.is_ok();
            match &outcome {
                Ok(()) => info!(node.logger, "the log service answers again"),
                Err(e) => warn!(node.logger, "the log service does not answer"; "error" => %e),
            }
        }
        let at = node.now().saturating_add_millis(read_delay_ms(&node));
        node.clock.sleep_until(at).await;
    }
}

fn read_delay_ms(node: &Node) -> u64 {
    let members = node.members.borrow().members().count() as u64;
    let mean = (members * 1_000 / FLEET_READS_PER_SECOND).max(node.settings.log_read_every_ms);
    node.rng.borrow_mut().random_range(mean / 2..=mean * 3 / 2)
}

/// Reads to the end of the log.
pub(crate) async fn read_all(node: &Rc<Node>) -> Result<(), LogError> {
    loop {
        let from = node.register.borrow().read_from();
        let read = node.log_service.read(STREAM, from, READ_RECORDS).await;
        let batch = read.inspect_err(|_| node.metrics.count("config.read_error"))?;
        node.metrics.count("config.read");
        let applied = node.register.borrow_mut().apply(&batch);
        on_applied(node, &applied).await;
        let position = LogPosition {
            oldest: batch.oldest,
            next: batch.next,
        };
        if batch.records.is_empty() || node.register.borrow().read_from() >= batch.next {
            write_checkpoint_if_due(node, &position).await;
            return Ok(());
        }
    }
}

async fn on_applied(node: &Rc<Node>, applied: &BatchOutcome) {
    if applied.older {
        node.metrics.count("config.older_log");
    }
    if applied.gap {
        node.metrics.count("config.gap");
    }
    for decision in &applied.decided {
        if let Verdict::Void {
            winner_offset,
            winner_author,
            ..
        } = &decision.verdict
        {
            let event = AuditEvent::Void {
                id: decision.id.to_string(),
                author: decision.author.clone(),
                winner: *winner_offset,
                winner_author: winner_author.clone(),
            };
            audit::note(node, event);
        }
    }
    after_change(node, applied.version_changed, applied.advanced).await;
}

pub(crate) async fn after_change(node: &Rc<Node>, version_changed: bool, advanced: bool) {
    let (version, read_to) = {
        let register = node.register.borrow();
        (register.version(), register.read_to())
    };
    node.members
        .borrow_mut()
        .set_config(version.map_or(0, |v| v + 1), read_to);
    if version_changed {
        node.metrics.count("config.version_changed");
        audit::note(node, AuditEvent::InForce { version });
    }
    fleet::refresh(node);
    if advanced {
        node.config_changed.notify_waiters();
        gossip::notify_config(node).await;
    }
}

async fn write_checkpoint_if_due(node: &Rc<Node>, position: &LogPosition) {
    let now = node.now();
    let members = node.members.borrow().members().count();
    let record = {
        let mut register = node.register.borrow_mut();
        let mut rng = node.rng.borrow_mut();
        if !register.checkpoint_due(now, position, members, &mut *rng) {
            return;
        }
        register.checkpoint_record(node.name().as_str()).encode()
    };
    let Ok(data) = record else {
        node.metrics.count("config.checkpoint_too_long");
        return;
    };
    match node.log_service.append(STREAM, &data).await {
        Ok(offset) => {
            node.metrics.count("config.checkpoint");
            audit::note(node, AuditEvent::Checkpoint { offset });
        }
        Err(_) => node.metrics.count("config.checkpoint_error"),
    }
}

/// Fetches the state of peers that have read further, until the process exits.
pub(crate) async fn follow_peers(node: Rc<Node>) {
    let mut timeout_ms = FETCH_MIN_MS;
    loop {
        node.ahead.wake.notified().await;
        let Some(peer) = node.ahead.peer.take() else {
            continue;
        };
        match fetch(&node, &peer, timeout_ms).await {
            Some(state) => {
                timeout_ms = FETCH_MIN_MS;
                adopt(&node, state).await;
            }
            // The next notice or ping of a peer that is ahead leads to another try.
            None => {
                node.metrics.count("config.fetch_error");
                warn!(node.logger, "configuration not fetched"; "peer" => %peer,
                    "timeout_ms" => timeout_ms);
                timeout_ms = (timeout_ms * 2).min(FETCH_MAX_MS);
            }
        }
    }
}

async fn adopt(node: &Rc<Node>, state: State) {
    let (before, adopted, after) = {
        let mut register = node.register.borrow_mut();
        let before = register.version();
        let routes = register.routes().cloned();
        let adopted = register.adopt_state(state);
        if let Some(table) = register
            .routes()
            .filter(|table| Some(*table) != routes.as_ref())
        {
            info!(node.logger, "routes in force"; "version" => table.version(),
                "routes" => table.len(), "read_to" => register.read_to(), "source" => "peer");
        }
        (before, adopted, register.version())
    };
    if adopted {
        node.metrics.count("config.adopted");
        after_change(node, before != after, true).await;
    }
}

async fn fetch(node: &Node, peer: &NodeName, timeout_ms: u64) -> Option<State> {
    let addr = {
        let members = node.members.borrow();
        members.get(peer.as_str())?.tcp_addr()
    };
    let have = node.register.borrow().read_to();
    let deadline = node.now().saturating_add_millis(timeout_ms);
    let fetch = async {
        let mut conn = node.peers.acquire(peer, addr, deadline).await.ok()?;
        let question = PeerMessage::FetchConfig { read_to: have };
        conn.tx.write(&question).await.ok()?;
        let mut buf = BytesMut::new();
        loop {
            match conn.rx.read().await.ok()? {
                PeerMessage::Body(piece) if buf.len() + piece.len() <= MAX_STATE_BYTES => {
                    buf.extend_from_slice(&piece);
                }
                PeerMessage::BodyEnd { length, .. } if length == buf.len() as u64 => break,
                _ => return None,
            }
        }
        node.peers.release(peer, conn);
        postcard::from_bytes(&buf).ok()
    };
    node.clock.before(deadline, fetch).await.flatten()
}
