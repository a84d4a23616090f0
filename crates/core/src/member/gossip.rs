//! Names of the members whose changed records are still to be disseminated.

use std::collections::VecDeque;

use crate::{collections::HashSet, ids::NodeName};

/// How a changed record is disseminated to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PushPriority {
    /// Pushed at the next tick regardless of the byte budget. Used, for example, for
    /// targets that take no new work.
    Immediate,
    /// Pushed as soon as the byte budget allows.
    Budgeted,
    /// Piggybacked on probes only, because every node reaches the change by itself.
    PiggybackOnly,
}

/// Names with the number of times each was sent, least sent first.
type PiggybackQueue = VecDeque<(NodeName, u32)>;

/// Queues of changed records to disseminate.
#[derive(Default)]
pub(super) struct GossipQueues {
    /// Names added with [`PushPriority::Immediate`], piggybacked before all others.
    /// After a restart of the fleet, the normal queue holds every member for minutes.
    piggyback_urgent: PiggybackQueue,
    /// The other names to piggyback on probes. No name is in both queues.
    piggyback_normal: PiggybackQueue,
    /// Names to push at the next tick regardless of the byte budget.
    push_immediate: Vec<NodeName>,
    /// Names to push within the byte budget.
    push_budgeted: VecDeque<NodeName>,
    /// The names in `push_budgeted`.
    in_push_budgeted: HashSet<NodeName>,
}

impl GossipQueues {
    /// Queues a changed record.
    pub(super) fn add(&mut self, name: &NodeName, priority: PushPriority) {
        self.piggyback_urgent.retain(|(queued, _)| queued != name);
        self.piggyback_normal.retain(|(queued, _)| queued != name);
        let queue = match priority {
            PushPriority::Immediate => &mut self.piggyback_urgent,
            PushPriority::Budgeted | PushPriority::PiggybackOnly => &mut self.piggyback_normal,
        };
        queue.push_front((name.clone(), 0));
        match priority {
            PushPriority::Immediate => self.push_immediate.push(name.clone()),
            PushPriority::Budgeted if self.in_push_budgeted.insert(name.clone()) => {
                self.push_budgeted.push_back(name.clone());
            }
            PushPriority::Budgeted | PushPriority::PiggybackOnly => {}
        }
    }

    /// Removes and returns the names to push regardless of the byte budget.
    pub(super) fn take_immediate(&mut self) -> Vec<NodeName> {
        self.push_immediate.sort_unstable();
        self.push_immediate.dedup();
        std::mem::take(&mut self.push_immediate)
    }

    /// Returns the names to push within the byte budget, in order.
    pub(super) fn budgeted(&self) -> impl Iterator<Item = &NodeName> {
        self.push_budgeted.iter()
    }

    /// Returns the number of names to push within the byte budget.
    pub(super) fn budgeted_len(&self) -> usize {
        self.push_budgeted.len()
    }

    /// Removes the first `n` names to push within the byte budget.
    pub(super) fn pop_budgeted(&mut self, n: usize) {
        for name in self.push_budgeted.drain(..n) {
            self.in_push_budgeted.remove(&name);
        }
    }

    /// Returns at most `n` names to piggyback on a probe, urgent ones first.
    pub(super) fn next_piggybacked(&self, n: usize) -> Vec<NodeName> {
        let names = self.piggyback_urgent.iter().chain(&self.piggyback_normal);
        names.take(n).map(|(name, _)| name.clone()).collect()
    }

    /// Records that the first `n` names were piggybacked. A name that was sent
    /// `max_sends` times is removed.
    pub(super) fn record_sent(&mut self, n: usize, max_sends: u32) {
        let urgent = n.min(self.piggyback_urgent.len());
        let normal = (n - urgent).min(self.piggyback_normal.len());
        increment_sent(&mut self.piggyback_urgent, urgent, max_sends);
        increment_sent(&mut self.piggyback_normal, normal, max_sends);
    }
}

fn increment_sent(queue: &mut PiggybackQueue, n: usize, max_sends: u32) {
    queue.rotate_left(n);
    let start = queue.len() - n;
    for (_, sent) in queue.iter_mut().skip(start) {
        *sent += 1;
    }
    queue.retain(|(_, sent)| *sent < max_sends);
}
