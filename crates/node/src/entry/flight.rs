//! Evidence that an attempt gives about its target.

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
/// Dropping it without a report means that the attempt was cancelled.
pub(crate) struct Flight {
    node: Rc<Node>,
    peer: NodeName,
    sent: Instant,
    reported: bool,
}

impl Flight {
    /// Counts an attempt as in flight.
    pub(crate) fn start(node: &Rc<Node>, peer: &NodeName) -> Self {
        let sent = node.now();
        node.balancer
            .borrow_mut()
            .on_request_sent(sent, peer.as_str());
        Flight {
            node: Rc::clone(node),
            peer: peer.clone(),
            sent,
            reported: false,
        }
    }

    /// Returns the time since the attempt was sent, in microseconds.
    pub(crate) fn micros(&self) -> u64 {
        self.node.now().micros_since(self.sent)
    }

    /// Reports how the attempt ended. Only the first report counts.
    pub(crate) fn report(&mut self, outcome: RequestOutcome, load: Option<LoadSample>) {
        if std::mem::replace(&mut self.reported, true) {
            return;
        }
        let evidence = RequestObservation {
            outcome,
            latency_us: self.micros(),
            load,
        };
        let now = self.node.now();
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.on_request_ended(now, self.peer.as_str(), &evidence);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.report(RequestOutcome::Cancelled, None);
    }
}
