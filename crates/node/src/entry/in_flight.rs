//! Reports of attempts in flight and their results to the balancer.

use std::rc::Rc;

use plantainpost_core::{
    balance::{RequestObservation, RequestOutcome},
    ids::NodeName,
    load::LoadSample,
    time::Instant,
};

use crate::node::Node;

/// An attempt that the balancer counts as in flight.
///
/// Dropping it without a report records the attempt as cancelled.
pub(crate) struct InFlightAttempt {
    node: Rc<Node>,
    peer: NodeName,
    sent_at: Instant,
    /// Time that is no part of the latency, in microseconds.
    excluded_us: u64,
    reported: bool,
}

impl InFlightAttempt {
    /// Registers an attempt with the balancer as in flight.
    pub(crate) fn start(node: &Rc<Node>, peer: &NodeName) -> Self {
        let sent_at = node.now();
        node.balancer
            .borrow_mut()
            .on_request_sent(sent_at, peer.as_str());
        InFlightAttempt {
            node: Rc::clone(node),
            peer: peer.clone(),
            sent_at,
            excluded_us: 0,
            reported: false,
        }
    }

    /// Returns the time since the attempt was sent, without the time excluded, in microseconds.
    pub(crate) fn elapsed_us(&self) -> u64 {
        let elapsed_us = self.node.now().micros_since(self.sent_at);
        elapsed_us.saturating_sub(self.excluded_us)
    }

    /// Excludes time from the latency in which the response waited for its caller.
    pub(crate) fn exclude_us(&mut self, micros: u64) {
        self.excluded_us = self.excluded_us.saturating_add(micros);
    }

    /// Reports to the balancer how the attempt ended. Calls after the first have no effect.
    pub(crate) fn report(&mut self, outcome: RequestOutcome, load: Option<LoadSample>) {
        if std::mem::replace(&mut self.reported, true) {
            return;
        }
        let observation = RequestObservation {
            outcome,
            latency_us: self.elapsed_us(),
            load,
        };
        let now = self.node.now();
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.on_request_ended(now, self.peer.as_str(), &observation);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.report(RequestOutcome::Cancelled, None);
    }
}
