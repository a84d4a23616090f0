//! The UDP socket: membership, notices of new configuration, and load probes.

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
    config_sync, fleet,
    node::Node,
    probe,
};

/// Time between two ticks of the membership protocol, in milliseconds.
const TICK_MS: u64 = 100;

/// Peers that a node tells of new configuration.
///
/// Each round reaches up to eight times as many nodes, so 860 nodes take four rounds. A node
/// that no notice reaches (1 in 3,000, without loss) learns of the change from pings, one
/// each way per second. With four peers it was 1 in 55, and the last of 100 nodes took 0.8 s.
const NOTICE_FANOUT: usize = 8;

/// Ticks between two clean-ups of idle connections and old requests.
const CLEANUP_TICKS: u64 = 10;

/// Receives datagrams until the process exits.
pub(crate) async fn receive(node: Rc<Node>) {
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, from)) = node.udp.recv_from(&mut buf).await else {
            // An ICMP error of an earlier send, such as "port unreachable".
            node.metrics.count("udp.receive_error");
            continue;
        };
        node.metrics.count("udp.received");
        node.metrics.add("udp.received_bytes", length as i64);
        match datagram::decode(&node.keys, &buf[..length]) {
            Ok(datagram) => handle(&node, from, datagram).await,
            Err(_) => node.metrics.count("udp.dropped"),
        }
    }
}

async fn handle(node: &Rc<Node>, from: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Member(message) => {
            let now = node.now();
            let actions = {
                let mut rng = node.rng.borrow_mut();
                let mut members = node.members.borrow_mut();
                members.receive(now, from, &message, &mut *rng)
            };
            perform(node, actions).await;
        }
        Datagram::ConfigProgress {
            from: peer,
            read_to,
        } => {
            config_sync::peer_ahead(node, &peer, read_to);
        }
        Datagram::LoadProbe { seq } => probe::reply(node, from, seq).await,
        Datagram::LoadReply {
            seq,
            from: peer,
            load,
            reported,
        } => probe::received(node, seq, &peer, load, reported),
    }
}

/// Does what the membership protocol asks for.
pub(crate) async fn perform(node: &Rc<Node>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, message } => send(node, to, &Datagram::Member(message)).await,
            Action::Event(event) => on_event(node, event),
        }
    }
    fleet::refresh(node);
}

fn on_event(node: &Rc<Node>, event: MemberEvent) {
    match &event {
        MemberEvent::PeerAhead { name, read_to } => {
            config_sync::peer_ahead(node, name, *read_to);
            return;
        }
        MemberEvent::Suspected { .. } => node.metrics.count("member.suspected"),
        MemberEvent::Died { .. } => node.metrics.count("member.died"),
        _ => (),
    }
    info!(node.logger, "membership"; "change" => ?event);
}

/// Sends a datagram. Loss is part of the protocol, so errors are only counted.
pub(crate) async fn send(node: &Node, to: SocketAddr, datagram: &Datagram) {
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

/// Tells some peers how far this node has read the configuration log.
pub(crate) async fn notify_config(node: &Node) {
    let read_to = node.register.borrow().read_to();
    let peers = {
        let mut rng = node.rng.borrow_mut();
        node.members.borrow().random_peers(NOTICE_FANOUT, &mut *rng)
    };
    let notice = Datagram::ConfigProgress {
        from: node.name().clone(),
        read_to,
    };
    for (_, addr) in peers {
        send(node, addr, &notice).await;
    }
}

/// Runs the periodic work of the node until the process exits.
pub(crate) async fn tick(node: Rc<Node>) {
    let mut ticks = 0_u64;
    let mut next = node.now();
    loop {
        next = next.saturating_add_millis(TICK_MS).max(node.now());
        node.clock.sleep_until(next).await;
        let now = node.now();
        let actions = {
            let mut rng = node.rng.borrow_mut();
            node.members.borrow_mut().tick(now, &mut *rng)
        };
        perform(&node, actions).await;
        probe::send_wanted(&node).await;
        note_balance(&node);
        ticks += 1;
        if ticks.is_multiple_of(CLEANUP_TICKS) {
            cleanup(&node, now);
        }
    }
}

fn note_balance(node: &Node) {
    let events = node.balancer.borrow_mut().take_events();
    for event in events {
        let target = event.node.clone();
        audit::note(node, AuditEvent::from_balance(target, &event.change));
    }
}

fn cleanup(node: &Node, now: Instant) {
    node.peers.expire();
    node.targets.expire(now);
    probe::expire(node, now);
    let guard = node.guard.borrow();
    node.metrics
        .gauge("guard.in_flight", guard.in_flight().into());
    node.metrics.gauge("guard.queued", guard.queued() as u64);
    node.metrics
        .gauge("guard.records", guard.record_count() as u64);
    drop(guard);
    let spent = node.measuring.borrow().spent_us(now);
    node.metrics.gauge("measure.spent_us", spent);
    node.metrics
        .gauge("peer.idle", node.peers.idle_count() as u64);
    node.metrics.flush();
}

/// Wakes queued requests whose deadline passes, until the process exits.
pub(crate) async fn expire_queue(node: Rc<Node>) {
    loop {
        // The queue is looked at on every tick as well as at the next deadline,
        // because an earlier deadline may have been queued meanwhile.
        let latest = node.now().saturating_add_millis(TICK_MS);
        let next = node.guard.borrow().next_expiry().unwrap_or(latest);
        let soonest = node.now().saturating_add_millis(1);
        node.clock.sleep_until(next.clamp(soonest, latest)).await;
        let wakeups = node.guard.borrow_mut().expire(node.now());
        node.wake(wakeups);
    }
}

/// Load of the target beside this node.
pub(crate) fn own_load(node: &Node) -> LoadSample {
    node.guard.borrow().load_sample(node.now())
}

/// Returns the UDP address of a peer.
pub(crate) fn udp_addr(node: &Node, peer: &NodeName) -> Option<SocketAddr> {
    let members = node.members.borrow();
    members.get(peer.as_str()).map(|record| record.udp_addr())
}
