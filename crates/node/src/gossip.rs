//! Datagrams between peers: membership, notices of new configuration, and load probes. Also runs
//! the periodic work of a node.

use std::{net::SocketAddr, rc::Rc};

use plantainpost_core::{
    ids::NodeName,
    load::LoadSample,
    member::{Action, MemberEvent},
    time::Instant,
};
use plantainpost_wire::datagram::{self, Datagram, MAX_DATAGRAM_BYTES};
use slog::info;

use crate::{
    audit::{self, AuditEvent},
    config_recheck, config_sync, evacuation, fleet,
    node::Node,
    probe, quota,
};

/// Interval between ticks of the membership protocol, in milliseconds.
const TICK_MS: u64 = 100;

/// Number of random peers that a node notifies of new configuration.
///
/// Each round reaches up to eight times as many nodes, so that 860 nodes take four rounds. A node
/// that receives no notice (1 in 3,000, without loss) learns of the change from pings, one in
/// each direction per second. With four peers, 1 in 55 nodes receives no notice, and the last of
/// 100 nodes learns of the change after 0.8 s.
const CONFIG_NOTICE_FANOUT: usize = 8;

/// Ticks between two clean-ups of idle connections and unanswered probes.
const TICKS_PER_CLEANUP: u64 = 10;

/// Receives datagrams until the process exits.
pub(crate) async fn receive_datagrams(node: Rc<Node>) {
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, from)) = node.udp.recv_from(&mut buf).await else {
            // Reports an ICMP error of an earlier send, such as "port unreachable".
            node.metrics.count("udp.receive_error");
            continue;
        };
        node.metrics.count("udp.received");
        node.metrics.add("udp.received_bytes", length as i64);
        match datagram::decode(&node.keys, &buf[..length]) {
            Ok(datagram) => handle_datagram(&node, from, datagram).await,
            Err(_) => node.metrics.count("udp.dropped"),
        }
    }
}

async fn handle_datagram(node: &Rc<Node>, from: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Member(message) => {
            let now = node.now();
            let actions = {
                let mut rng = node.rng.borrow_mut();
                let mut members = node.members.borrow_mut();
                members.receive(now, from, &message, &mut *rng)
            };
            perform_actions(node, actions).await;
        }
        Datagram::ConfigProgress {
            from: peer,
            progress,
        } => {
            config_sync::on_peer_ahead(node, &peer, progress);
        }
        Datagram::LoadProbe { seq } => probe::send_reply(node, from, seq).await,
        Datagram::LoadReply {
            seq,
            from: peer,
            load,
            reported,
        } => probe::on_reply(node, seq, &peer, load, reported),
        Datagram::QuotaClaim {
            from: peer,
            incarnation,
            claims,
        } => quota::on_claims(node, from, &peer, incarnation, &claims).await,
        Datagram::QuotaGrant { to, grants } => quota::on_grants(node, to, &grants),
    }
}

/// Performs the actions that the membership protocol returned.
pub(crate) async fn perform_actions(node: &Rc<Node>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, message } => {
                send_datagram(node, to, &Datagram::Member(message)).await
            }
            Action::Event(event) => on_member_event(node, event),
        }
    }
    fleet::apply_changes(node);
}

fn on_member_event(node: &Rc<Node>, event: MemberEvent) {
    match &event {
        MemberEvent::PeerAhead { name, progress } => {
            config_sync::on_peer_ahead(node, name, *progress);
            return;
        }
        MemberEvent::Suspected { .. } => node.metrics.count("member.suspected"),
        MemberEvent::Died { .. } => node.metrics.count("member.died"),
        _ => (),
    }
    info!(node.logger, "membership"; "change" => ?event);
}

/// Sends a datagram. Errors are only counted, because the protocols tolerate loss.
pub(crate) async fn send_datagram(node: &Node, to: SocketAddr, datagram: &Datagram) {
    let sent = match datagram::encode(&node.keys, datagram) {
        Ok(bytes) => node.udp.send_to(&bytes, to).await.ok(),
        Err(_) => None,
    };
    match sent {
        Some(length) => {
            node.metrics.count("udp.sent");
            node.metrics.add("udp.sent_bytes", length as i64);
        }
        None => node.metrics.count("udp.send_error"),
    }
}

/// Notifies random peers how far this node has read the configuration log.
pub(crate) async fn send_config_notices(node: &Node) {
    let progress = node.config.borrow().progress();
    let peers = {
        let mut rng = node.rng.borrow_mut();
        node.members
            .borrow()
            .random_peers(CONFIG_NOTICE_FANOUT, &mut *rng)
    };
    let notice = Datagram::ConfigProgress {
        from: node.name().clone(),
        progress,
    };
    for (_, addr) in peers {
        send_datagram(node, addr, &notice).await;
    }
}

/// Runs the periodic work of the node until the process exits.
pub(crate) async fn run_ticks(node: Rc<Node>) {
    let mut ticks = 0_u64;
    let mut next_tick = node.now();
    loop {
        next_tick = next_tick.saturating_add_millis(TICK_MS).max(node.now());
        node.clock.sleep_until(next_tick).await;
        config_recheck::observe(&node);
        let now = node.now();
        let actions = {
            let mut rng = node.rng.borrow_mut();
            node.members.borrow_mut().tick(now, &mut *rng)
        };
        perform_actions(&node, actions).await;
        quota::tick(&node);
        probe::send_due_probes(&node).await;
        record_ejection_changes(&node);
        ticks += 1;
        if ticks.is_multiple_of(TICKS_PER_CLEANUP) {
            clean_up(&node, now);
        }
    }
}

fn record_ejection_changes(node: &Node) {
    let events = node.balancer.borrow_mut().take_events();
    for event in events {
        let target = event.node.clone();
        audit::record(
            node,
            AuditEvent::from_ejection_change(target, &event.change),
        );
    }
}

fn clean_up(node: &Node, now: Instant) {
    node.peer_pool.close_expired();
    node.target_pool.close_expired(now);
    probe::expire_unanswered(node, now);
    evacuation::log_unusual(node);
    let guard = node.guard.borrow();
    node.metrics
        .gauge("guard.in_flight", guard.in_flight().into());
    node.metrics.gauge("guard.queued", guard.queued() as u64);
    node.metrics
        .gauge("guard.records", guard.record_count() as u64);
    drop(guard);
    let spent = node.measurement_budget.borrow().spent_us(now);
    node.metrics.gauge("measure.spent_us", spent);
    node.metrics
        .gauge("peer.idle", node.peer_pool.idle_count() as u64);
    let held_bytes = node.hold_budget.borrow().held_bytes();
    node.metrics.gauge("entry.held_bytes", held_bytes as u64);
    node.metrics.flush();
}

/// Refuses queued requests whose deadline passes, until the process exits.
pub(crate) async fn expire_queued_requests(node: Rc<Node>) {
    loop {
        // The queue is checked on every tick as well as at the next deadline, because a request
        // with an earlier deadline may have been queued meanwhile.
        let latest = node.now().saturating_add_millis(TICK_MS);
        let next_expiry = node.guard.borrow().next_expiry().unwrap_or(latest);
        let earliest = node.now().saturating_add_millis(1);
        node.clock
            .sleep_until(next_expiry.clamp(earliest, latest))
            .await;
        // After a suspension this may run before the next tick, and would give slots.
        config_recheck::observe(&node);
        let wakeups = node.guard.borrow_mut().expire(node.now());
        node.wake_waiters(wakeups);
    }
}

/// Returns the load of the target on this host.
pub(crate) fn local_load(node: &Node) -> LoadSample {
    node.guard.borrow().load_sample(node.now())
}

/// Returns the UDP address of a peer, or `None` if it is not a member.
pub(crate) fn peer_udp_addr(node: &Node, peer: &NodeName) -> Option<SocketAddr> {
    let members = node.members.borrow();
    members.get(peer.as_str()).map(|record| record.udp_addr())
}
