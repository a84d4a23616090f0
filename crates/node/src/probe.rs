//! Load probes, limited by the measurement budget.
//!
//! A probe and its reply cost processor time on both sides. Each side charges its own budget before
//! it sends, so that a node never exceeds its share, no matter how many probes its peers send.

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

/// Time after which a reply is ignored as out of date, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 250;

/// Largest number of probes sent in one tick.
const MAX_PROBES_PER_TICK: usize = 8;

/// Number of refusals by the budget per entry in the audit trail. The few refusals in the first
/// second of a node, when the budget is still empty, cause no entry.
const REFUSALS_PER_AUDIT_ENTRY: u64 = 100;

struct SentProbe {
    to: NodeName,
    at: Instant,
}

/// Probes that have no reply yet.
#[derive(Default)]
pub(crate) struct OutstandingProbes {
    /// Probes younger than [`REPLY_TIMEOUT_MS`], by sequence number.
    by_seq: RefCell<HashMap<u64, SentProbe>>,
}

/// Sends the probes that the balancer requests.
pub(crate) async fn send_due_probes(node: &Rc<Node>) {
    for _ in 0..MAX_PROBES_PER_TICK {
        let now = node.now();
        let next_target = {
            let mut rng = node.rng.borrow_mut();
            node.balancer.borrow_mut().next_probe_target(now, &mut *rng)
        };
        let Some(to) = next_target else { return };
        let Some(addr) = gossip::peer_udp_addr(node, &to) else {
            continue;
        };
        if !charge_budget(node, now, PROBE_COST_US) {
            return;
        }
        node.metrics.count("probe.sent");
        let seq = rand::random();
        let sent = SentProbe { to, at: now };
        node.probes.by_seq.borrow_mut().insert(seq, sent);
        gossip::send_datagram(node, addr, &Datagram::LoadProbe { seq }).await;
    }
}

/// Charges a cost to the measurement budget, and reports whether it was allowed.
pub(crate) fn charge_budget(node: &Node, now: Instant, cost_us: u64) -> bool {
    let mut budget = node.measurement_budget.borrow_mut();
    let allowed = budget.try_spend(now, cost_us);
    let refused = budget.refused_charges();
    drop(budget);
    if !allowed {
        node.metrics.count("measure.refused");
        if refused.is_multiple_of(REFUSALS_PER_AUDIT_ENTRY) {
            audit::record(node, AuditEvent::BudgetReached { refused });
        }
    } else {
        node.metrics.add("measure.cost_us", cost_us as i64);
    }
    allowed
}

/// Replies to a probe, if the budget allows it.
pub(crate) async fn send_reply(node: &Node, to: SocketAddr, seq: u64) {
    if !charge_budget(node, node.now(), PROBE_COST_US) {
        return;
    }
    node.metrics.count("probe.answered");
    let reply = Datagram::LoadReply {
        seq,
        from: node.name().clone(),
        load: gossip::local_load(node),
        reported: node.load_report.fresh_report(node.now()),
    };
    gossip::send_datagram(node, to, &reply).await;
}

/// Passes the reply to a probe to the balancer. Late and unexpected replies are dropped.
pub(crate) fn on_reply(
    node: &Node,
    seq: u64,
    from: &NodeName,
    load: LoadSample,
    reported: Option<ReportedLoad>,
) {
    let now = node.now();
    let sent = node.probes.by_seq.borrow_mut().remove(&seq);
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

/// Removes probes that received no reply in time.
pub(crate) fn expire_unanswered(node: &Node, now: Instant) {
    let mut by_seq = node.probes.by_seq.borrow_mut();
    by_seq.retain(|_, sent| now < sent.at.saturating_add_millis(REPLY_TIMEOUT_MS));
}
