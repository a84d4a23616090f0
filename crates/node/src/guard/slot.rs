//! A request that holds a slot of the target.

use std::rc::Rc;

use plantainpost_core::{
    admission::{ExchangeOutcome, RequestKey},
    time::Instant,
};

use crate::node::Node;

/// A slot held by a dispatched request.
///
/// Dropping it without a word means that the exchange with the target was
/// abandoned: the slot is freed and the request counts as failed.
pub(super) struct Slot {
    node: Rc<Node>,
    key: RequestKey,
    dispatched_at: Instant,
    /// Pace of the target's host at the dispatch, as far as it was known.
    pace_percent: u32,
    released: bool,
}

impl Slot {
    /// Takes charge of the slot of a request that was just dispatched.
    pub(super) fn new(node: &Rc<Node>, key: RequestKey) -> Self {
        let load = node.guard.borrow().load_sample(node.now());
        Slot {
            pace_percent: load.pace_percent,
            node: Rc::clone(node),
            key,
            dispatched_at: node.now(),
            released: false,
        }
    }

    /// Returns the pace of the target's host at the dispatch, in percent of the usual time;
    /// zero if it was not known.
    pub(super) fn pace_percent(&self) -> u32 {
        self.pace_percent
    }

    /// Returns the time since the dispatch, in microseconds.
    pub(super) fn micros(&self) -> u64 {
        self.node.now().micros_since(self.dispatched_at)
    }

    /// Frees the slot.
    pub(super) fn finish(mut self, outcome: ExchangeOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: ExchangeOutcome) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let now = self.node.now();
        let micros = now.micros_since(self.dispatched_at);
        self.node.metrics.latency("guard.service_us", micros);
        let mut guard = self.node.guard.borrow_mut();
        let wakeups = guard.finish(now, self.key, outcome, micros);
        drop(guard);
        self.node.wake(wakeups);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release(ExchangeOutcome::Failed);
    }
}

/// A request that the guard knows but has not dispatched.
///
/// Dropping it cancels the request.
pub(super) struct AdmittedRequest {
    node: Rc<Node>,
    key: RequestKey,
    disarmed: bool,
}

impl AdmittedRequest {
    /// Takes charge of a request that is queued or holds a slot.
    pub(super) fn new(node: &Rc<Node>, key: RequestKey) -> Self {
        AdmittedRequest {
            node: Rc::clone(node),
            key,
            disarmed: false,
        }
    }

    /// Hands over to [`Slot`], or ends without a cancellation.
    pub(super) fn disarm(mut self) {
        self.disarmed = true;
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        if self.disarmed {
            return;
        }
        self.node.waiters.borrow_mut().remove(&self.key);
        let now = self.node.now();
        let wakeups = self.node.guard.borrow_mut().cancel(now, self.key);
        self.node.wake(wakeups);
    }
}
