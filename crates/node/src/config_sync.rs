//! Replication of the configuration, from the log service and between peers.

use std::{cell::RefCell, rc::Rc};

use bytes::BytesMut;
use plantainpost_core::{
    config::{
        Adoption, BatchOutcome, FetchCandidates, LogPosition, Position, Progress, State, Verdict,
    },
    ids::NodeName,
    routing::RouteTable,
    workspace::WorkspaceTable,
};
use plantainpost_wire::{frame::FrameError, message::PeerMessage};
use rand::RngExt;
use serde_json::{Value, json};
use slog::{info, warn};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    audit::{self, AuditEvent},
    clock, fleet, gossip,
    log_service::LogError,
    node::Node,
    peer_pool::ConnectError,
};

/// Stream of the log service that holds the configuration.
pub(crate) const CONFIG_STREAM: &str = "config";

/// Reads of the configuration log per second by all nodes of the fleet together.
const FLEET_READS_PER_SECOND: u64 = 40;

/// Largest number of records in one read.
const MAX_RECORDS_PER_READ: usize = 100;

/// Timeout for connecting to a peer and for the beginning of its state, in milliseconds.
///
/// A configuration must take effect within 2 s of its confirmation, even if the first peers do
/// not respond.
const FETCH_REPLY_TIMEOUT_MS: u64 = 400;

/// Timeout for each further part of the state of a peer, in milliseconds. A part of 64 KiB takes 52 ms on an
/// idle 10 Mbit/s link; several nodes may fetch from the same peer.
const FETCH_PART_TIMEOUT_MS: u64 = 1_000;

/// Timeout for the whole state of a peer, in milliseconds. A state of 256 KiB takes 210 ms on an
/// idle 10 Mbit/s link; several nodes may fetch from the same peer.
const FETCH_TIMEOUT_MS: u64 = 3_200;

/// Longest encoded state of a peer, in bytes.
const MAX_STATE_BYTES: usize = 4 * 1024 * 1024;

/// Pending fetch of the configuration state of a peer.
#[derive(Default)]
pub(crate) struct StateFetch {
    candidates: RefCell<FetchCandidates>,
    requested: tokio::sync::Notify,
}

/// Requests the state of a peer that is ahead of this node.
pub(crate) fn on_peer_ahead(node: &Rc<Node>, peer: &NodeName, progress: Progress) {
    if progress.is_ahead_of(node.config.borrow().progress()) {
        node.state_fetch.candidates.borrow_mut().add(peer, progress);
        node.state_fetch.requested.notify_one();
    }
}

/// Reads the log at random intervals until the process exits.
pub(crate) async fn poll_log(node: Rc<Node>) {
    let mut is_log_up = true;
    loop {
        let outcome = read_all(&node).await;
        if outcome.is_ok() != is_log_up {
            is_log_up = outcome.is_ok();
            match &outcome {
                Ok(()) => info!(node.logger, "the log service answers again"),
                Err(e) => warn!(node.logger, "the log service does not answer"; "error" => %e),
            }
        }
        let next_read = node.now().saturating_add_millis(read_delay_ms(&node));
        node.clock.sleep_until(next_read).await;
    }
}

fn read_delay_ms(node: &Node) -> u64 {
    let members = node.members.borrow().members().count() as u64;
    let mean_ms =
        (members * 1_000 / FLEET_READS_PER_SECOND).max(node.settings.log_read_interval_ms);
    node.rng
        .borrow_mut()
        .random_range(mean_ms / 2..=mean_ms * 3 / 2)
}

/// Reads the log to its end and applies the records.
pub(crate) async fn read_all(node: &Rc<Node>) -> Result<(), LogError> {
    loop {
        let from = node.config.borrow().read_from();
        let read = node
            .log_service
            .read(CONFIG_STREAM, from, MAX_RECORDS_PER_READ)
            .await;
        let batch = read.inspect_err(|_| node.metrics.count("config.read_error"))?;
        node.metrics.count("config.read");
        let outcome = node.config.borrow_mut().apply(&batch);
        on_batch_applied(node, &outcome).await;
        let position = LogPosition {
            oldest: batch.oldest,
            next: batch.next,
        };
        if batch.records.is_empty() || node.config.borrow().read_from() >= batch.next {
            write_checkpoint_if_due(node, &position).await;
            return Ok(());
        }
    }
}

async fn on_batch_applied(node: &Rc<Node>, outcome: &BatchOutcome) {
    if outcome.older {
        node.metrics.count("config.older_log");
    }
    if outcome.gap {
        node.metrics.count("config.gap");
    }
    for decision in &outcome.decided {
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
            audit::record(node, event);
        }
    }
    on_state_changed(node, outcome.version_changed, outcome.advanced).await;
}

/// Passes a change of the configuration state to the membership, the balancer, the guard and
/// peers.
pub(crate) async fn on_state_changed(node: &Rc<Node>, version_changed: bool, advanced: bool) {
    let (version, progress) = {
        let config = node.config.borrow();
        (config.version(), config.progress())
    };
    let previous = {
        let mut members = node.members.borrow_mut();
        let previous = members.progress();
        members.set_config(version.map_or(0, |v| v + 1), progress);
        previous
    };
    record_era(node, previous.read_to, progress.read_to);
    if version_changed {
        node.metrics.count("config.version_changed");
        audit::record(node, AuditEvent::InForce { version });
    }
    fleet::apply_changes(node);
    if advanced {
        node.config_changed.notify_waiters();
        gossip::send_config_notices(node).await;
    }
}

/// Records that the store was restored since the node has read as far as `previous`.
fn record_era(node: &Node, previous: Position, read_to: Position) {
    if read_to.era <= previous.era {
        return;
    }
    node.metrics.gauge("store.era", read_to.era);
    if previous != Position::default() {
        node.metrics.count("store.restored");
        warn!(node.logger, "the store was restored"; "old_era" => previous.era,
            "old_read_to" => previous.offset, "era" => read_to.era, "read_to" => read_to.offset,
            "routes_version" => node.config.borrow().routes().map(|table| table.version()));
    }
}

async fn write_checkpoint_if_due(node: &Rc<Node>, position: &LogPosition) {
    let now = node.now();
    let members = node.members.borrow().members().count();
    let record = {
        let mut config = node.config.borrow_mut();
        let mut rng = node.rng.borrow_mut();
        if !config.checkpoint_due(now, position, members, &mut *rng) {
            return;
        }
        config.checkpoint_record(node.name().as_str()).encode()
    };
    let Ok(data) = record else {
        node.metrics.count("config.checkpoint_too_long");
        return;
    };
    match node.log_service.append(CONFIG_STREAM, &data).await {
        Ok(offset) => {
            node.metrics.count("config.checkpoint");
            audit::record(node, AuditEvent::Checkpoint { offset });
        }
        Err(_) => node.metrics.count("config.checkpoint_error"),
    }
}

/// Why the state of a peer was not fetched.
#[derive(Debug, Snafu)]
enum FetchError {
    /// The peer is no longer a member.
    #[snafu(display("the peer is not a member"))]
    UnknownPeer,
    /// No connection to the peer could be opened.
    #[snafu(display("can't connect: {source}"))]
    Connect { source: ConnectError },
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Connection { source: FrameError },
    /// The peer sent an unexpected message or too much data.
    #[snafu(display("the peer violated the protocol"))]
    Protocol,
    /// The state can't be decoded.
    #[snafu(display("the state can't be decoded: {source}"))]
    Decode { source: postcard::Error },
    /// The peer did not send its state in time.
    #[snafu(display("timeout"))]
    Timeout,
}

/// Fetches the state of peers that are ahead, until the process exits.
pub(crate) async fn fetch_from_peers(node: Rc<Node>) {
    let candidates = &node.state_fetch.candidates;
    loop {
        let progress = node.config.borrow().progress();
        let next_peer = candidates.borrow_mut().next(progress);
        let Some((peer, asked)) = next_peer else {
            node.state_fetch.requested.notified().await;
            continue;
        };
        let started_at = node.now();
        match fetch_state(&node, &peer, progress).await {
            Ok(state) => {
                candidates.borrow_mut().remove(&peer, asked);
                if let Some(state) = state {
                    adopt_state(&node, &peer, state).await;
                }
            }
            Err(FetchError::UnknownPeer) => candidates.borrow_mut().remove(&peer, asked),
            Err(e) => {
                node.metrics.count("config.fetch_error");
                warn!(node.logger, "configuration not fetched"; "peer" => %peer,
                    "error" => %e, "us" => node.now().micros_since(started_at));
                if !candidates.borrow_mut().record_failure(&peer) {
                    let retry_at = started_at.saturating_add_millis(FETCH_REPLY_TIMEOUT_MS);
                    let notified = node.state_fetch.requested.notified();
                    // Another peer may become known before the same one is asked again.
                    let _ = node.clock.timeout_at(retry_at, notified).await;
                }
            }
        }
    }
}

/// Where the routes in force come from, and since when they are in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoutesOrigin {
    /// Peer that sent the routes; `None` if the node read them on the store.
    peer: Option<NodeName>,
    /// When the routes came into force at this node, in milliseconds since the Unix epoch.
    in_force_unix_ms: u64,
}

/// Returns the routes in force for operators; null without routes.
pub(crate) fn routes_status(node: &Node) -> Value {
    let config = node.config.borrow();
    let Some(table) = config.routes() else {
        return Value::Null;
    };
    let origin = node.routes_origin.borrow();
    let workspaces = table.workspaces();
    json!({
        "version": table.version(),
        "routes": table.len(),
        "workspaces": workspaces.map(WorkspaceTable::len),
        "keys": workspaces.map(WorkspaceTable::key_count),
        "source": if origin.peer.is_some() { "peer" } else { "store" },
        "peer": origin.peer,
        "in_force_unix_ms": origin.in_force_unix_ms,
    })
}

/// Records that `table` has come into force, read on the store or sent by `peer`.
pub(crate) fn record_routes(
    node: &Node,
    table: &RouteTable,
    read_to: Position,
    peer: Option<&NodeName>,
) {
    let in_force_unix_ms = clock::unix_ms();
    info!(node.logger, "routes in force"; "version" => table.version(), "routes" => table.len(),
        "era" => read_to.era, "read_to" => read_to.offset,
        "source" => if peer.is_some() { "peer" } else { "store" },
        "peer" => peer.map(NodeName::as_str));
    let sheds_load = table.has_competing_requests();
    node.guard.borrow_mut().set_shedding(sheds_load);
    node.metrics.gauge("guard.shedding", u64::from(sheds_load));
    node.metrics.gauge("routes.version", table.version());
    node.metrics
        .gauge("routes.in_force_unix_s", in_force_unix_ms / 1_000);
    node.routes_origin.replace(RoutesOrigin {
        peer: peer.cloned(),
        in_force_unix_ms,
    });
}

/// Fetches the state of a peer if that is ahead of `progress`, and takes what is newer in it. Returns
/// whether the peer has replied.
pub(crate) async fn refresh_from(node: &Rc<Node>, peer: &NodeName, progress: Progress) -> bool {
    match fetch_state(node, peer, progress).await {
        Ok(Some(state)) => adopt_state(node, peer, state).await,
        Ok(None) => (),
        Err(e) => {
            node.metrics.count("config.fetch_error");
            warn!(node.logger, "configuration not fetched"; "peer" => %peer, "error" => %e);
            return false;
        }
    }
    true
}

async fn adopt_state(node: &Rc<Node>, peer: &NodeName, state: State) {
    let (old_version, adoption, new_version) = {
        let mut config = node.config.borrow_mut();
        let old_version = config.version();
        let old_routes = config.routes().cloned();
        let adoption = config.adopt_state(state);
        if let Some(table) = config
            .routes()
            .filter(|table| Some(*table) != old_routes.as_ref())
        {
            record_routes(node, table, config.progress().read_to, Some(peer));
        }
        (old_version, adoption, config.version())
    };
    match adoption {
        Adoption::Adopted => {
            node.metrics.count("config.adopted");
            on_state_changed(node, old_version != new_version, true).await;
        }
        // The store or another peer was faster.
        Adoption::NotNewer => node.metrics.count("config.not_newer"),
        Adoption::Invalid | Adoption::Conflict => {
            node.metrics.count("config.state_refused");
            warn!(node.logger, "configuration of a peer refused"; "peer" => %peer,
                "reason" => adoption.as_str());
        }
    }
}

/// Fetches the state of a peer. Returns `None` if the peer is not ahead of `progress`.
///
/// The connection is a new one, because idle ones can all be dead after a network fault.
async fn fetch_state(
    node: &Node,
    peer: &NodeName,
    progress: Progress,
) -> Result<Option<State>, FetchError> {
    let addr = {
        let members = node.members.borrow();
        let record = members.get(peer.as_str()).context(UnknownPeerSnafu)?;
        record.tcp_addr()
    };
    let reply_deadline = node.now().saturating_add_millis(FETCH_REPLY_TIMEOUT_MS);
    let deadline = node.now().saturating_add_millis(FETCH_TIMEOUT_MS);
    let conn = node.peer_pool.connect(peer, addr, reply_deadline).await;
    let mut conn = conn.context(ConnectSnafu)?;
    let request = PeerMessage::FetchConfig { progress };
    let sent = node
        .clock
        .timeout_at(reply_deadline, conn.tx.write(&request))
        .await;
    sent.context(TimeoutSnafu)?.context(ConnectionSnafu)?;
    let mut buf = BytesMut::new();
    let mut read_deadline = reply_deadline;
    loop {
        let read = node.clock.timeout_at(read_deadline, conn.rx.read()).await;
        match read.context(TimeoutSnafu)?.context(ConnectionSnafu)? {
            PeerMessage::Body(chunk) if buf.len() + chunk.len() <= MAX_STATE_BYTES => {
                buf.extend_from_slice(&chunk);
            }
            PeerMessage::BodyEnd { length, .. } if length == buf.len() as u64 => break,
            _ => return ProtocolSnafu.fail(),
        }
        // A peer that stops in the middle must not delay the next one.
        let next_part_deadline = node.now().saturating_add_millis(FETCH_PART_TIMEOUT_MS);
        read_deadline = next_part_deadline.min(deadline);
    }
    node.peer_pool.release(peer, conn);
    if buf.is_empty() {
        return Ok(None);
    }
    postcard::from_bytes(&buf).map(Some).context(DecodeSnafu)
}
