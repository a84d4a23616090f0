//! Load probes, within the measuring budget.
//!
//! A probe and its reply cost both sides processor time. Each side charges its own
//! budget before it does its part, so a node spends no more than its share whatever
//! its peers ask for.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use plantainpost_core::{
    collections::HashMap, ids::NodeName, load::LoadSample, measure::PROBE_COST_US, time::Instant,
};
use plantainpost_wire::datagram::{Datagram, ReportedLoad};

use crate::{
    audit::{self, AuditEvent},
    gossip,
    node::Node,
};

/// Time after which a reply is no longer evidence, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 250;

/// Probes sent in one tick.
const MAX_PER_TICK: usize = 8;

/// Refusals of the budget between two entries of the audit trail. The few refusals in
/// the first second of a node, when nothing may be spent, make no entry.
const REFUSALS_PER_ENTRY: u64 = 100;

struct Sent {
    to: NodeName,
    at: Instant,
}

/// Probes whose replies are awaited.
#[derive(Default)]
pub(crate) struct Probes {
    /// Probes younger than [`REPLY_TIMEOUT_MS`], by sequence number.
    open: RefCell<HashMap<u64, Sent>>,
}

/// Sends the probes that the balancer asks for.
pub(crate) async fn send_wanted(node: &Rc<Node>) {
    for _ in 0..MAX_PER_TICK {
        let now = node.now();
        let wanted = {
            let mut rng = node.rng.borrow_mut();
            node.balancer.borrow_mut().next_probe_target(now, &mut *rng)
        };
        let Some(to) = wanted else { return };
        let Some(addr) = gossip::udp_addr(node, &to) else {
            continue;
        };
        if !spend(node, now, PROBE_COST_US) {
            return;
        }
        node.metrics.count("probe.sent");
        let seq = rand::random();
        let sent = Sent { to, at: now };
        node.probes.open.borrow_mut().insert(seq, sent);
        gossip::send(node, addr, &Datagram::LoadProbe { seq }).await;
    }
}

/// Charges the measuring budget, and reports whether it allows the cost.
pub(crate) fn spend(node: &Node, now: Instant, cost_us: u64) -> bool {
    let mut budget = node.measuring.borrow_mut();
    let allowed = budget.try_spend(now, cost_us);
    let refused = budget.refused_charges();
    drop(budget);
    if !allowed {
        node.metrics.count("measure.refused");
        if refused.is_multiple_of(REFUSALS_PER_ENTRY) {
            audit::note(node, AuditEvent::BudgetReached { refused });
        }
    } else {
        node.metrics.add("measure.cost_us", cost_us as i64);
    }
    allowed
}

/// Answers a probe, if the budget allows it.
pub(crate) async fn reply(node: &Node, to: SocketAddr, seq: u64) {
    if !spend(node, node.now(), PROBE_COST_US) {
        return;
    }
    node.metrics.count("probe.answered");
    let reply = Datagram::LoadReply {
        seq,
        from: node.name().clone(),
        load: gossip::own_load(node),
        reported: node.report.get(node.now()),
    };
    gossip::send(node, to, &reply).await;
}

/// Takes the reply to a probe. Late and unexpected ones are dropped.
pub(crate) fn received(
    node: &Node,
    seq: u64,
    from: &NodeName,
    load: LoadSample,
    reported: Option<ReportedLoad>,
) {
    let now = node.now();
    let sent = node.probes.open.borrow_mut().remove(&seq);
    let Some(sent) = sent.filter(|sent| sent.to == *from) else {
        node.metrics.count("probe.unexpected");
        return;
    };
    let rtt_us = now.micros_since(sent.at).try_into().unwrap_or(u32::MAX);
    let mut balancer = node.balancer.borrow_mut();
    balancer.on_probe_reply(now, from.as_str(), rtt_us, load);
    if let Some(ReportedLoad { in_flight, slots }) = reported {
        balancer.on_load_report(now, from.as_str(), in_flight, slots);
    }
}

/// Forgets probes that were not answered.
pub(crate) fn expire(node: &Node, now: Instant) {
    let mut open = node.probes.open.borrow_mut();
    open.retain(|_, sent| now < sent.at.saturating_add_millis(REPLY_TIMEOUT_MS));
}
