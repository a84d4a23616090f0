//! RAII handles that release the slot or the queue place of a request when dropped.

use std::rc::Rc;

use plantainpost_core::{
    admission::{ExchangeOutcome, RequestKey},
    time::Instant,
};

use crate::node::Node;

/// A concurrency slot of the target, held by a dispatched request.
///
/// Dropping it without [`Slot::finish`] frees the slot and counts the request as failed, since
/// the exchange with the target was abandoned.
pub(super) struct Slot {
    node: Rc<Node>,
    key: RequestKey,
    dispatched_at: Instant,
    /// Time that is no part of the service time, in microseconds.
    excluded_us: u64,
    /// Pace of the target's host at the dispatch, in percent of the usual time (at 200, work takes
    /// twice as long); zero if unknown.
    pace_percent: u32,
    /// Value of `Guard::target_generation` at the dispatch.
    target_generation: u64,
    released: bool,
}

impl Slot {
    /// Takes over the slot of a request that was just dispatched.
    pub(super) fn new(node: &Rc<Node>, key: RequestKey) -> Self {
        let guard = node.guard.borrow();
        Slot {
            pace_percent: guard.load_sample(node.now()).pace_percent,
            target_generation: guard.target_generation(),
            node: Rc::clone(node),
            key,
            dispatched_at: node.now(),
            excluded_us: 0,
            released: false,
        }
    }

    /// Returns the pace of the target's host at the dispatch, in percent of the usual time
    /// (at 200, work takes twice as long); zero if it was unknown.
    pub(super) fn pace_percent(&self) -> u32 {
        self.pace_percent
    }

    /// Returns the value of `Guard::target_generation` at the dispatch.
    pub(super) fn target_generation(&self) -> u64 {
        self.target_generation
    }

    /// Returns the time since the dispatch, without the time excluded, in microseconds.
    pub(super) fn elapsed_us(&self) -> u64 {
        let elapsed_us = self.node.now().micros_since(self.dispatched_at);
        elapsed_us.saturating_sub(self.excluded_us)
    }

    /// Excludes time from the service time in which the entry took nothing of the response.
    pub(super) fn exclude_us(&mut self, micros: u64) {
        self.excluded_us = self.excluded_us.saturating_add(micros);
    }

    /// Frees the slot and reports how the exchange with the target ended.
    pub(super) fn finish(mut self, outcome: ExchangeOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: ExchangeOutcome) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let now = self.node.now();
        let micros = self.elapsed_us();
        self.node.metrics.latency("guard.service_us", micros);
        let mut guard = self.node.guard.borrow_mut();
        let wakeups = guard.finish(now, self.key, outcome, micros);
        drop(guard);
        self.node.wake_waiters(wakeups);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release(ExchangeOutcome::Failed);
    }
}

/// A request that is queued or holds a slot, and is not dispatched yet.
///
/// Dropping it cancels the request and frees its place in the queue or its slot.
pub(super) struct UndispatchedRequest {
    node: Rc<Node>,
    key: RequestKey,
    disarmed: bool,
}

impl UndispatchedRequest {
    /// Takes over a request that is queued or holds a slot.
    pub(super) fn new(node: &Rc<Node>, key: RequestKey) -> Self {
        UndispatchedRequest {
            node: Rc::clone(node),
            key,
            disarmed: false,
        }
    }

    /// Drops this handle without cancelling the request, which was dispatched or refused.
    pub(super) fn disarm(mut self) {
        self.disarmed = true;
    }
}

impl Drop for UndispatchedRequest {
    fn drop(&mut self) {
        if self.disarmed {
            return;
        }
        self.node.waiters.borrow_mut().remove(&self.key);
        let now = self.node.now();
        let wakeups = self.node.guard.borrow_mut().cancel(now, self.key);
        self.node.wake_waiters(wakeups);
    }
}
