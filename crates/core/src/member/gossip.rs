//! Names of the members whose changed records are still to be told to others.

use std::collections::VecDeque;

use crate::{collections::HashSet, ids::NodeName};

/// How soon a changed record is pushed to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    /// At the next tick, whatever it costs: targets that take no new work.
    Now,
    /// At the next tick if the byte budget allows.
    Soon,
    /// Only with probes: every node comes to it by itself.
    WithProbes,
}

/// Names with the number of times sent, least sent first.
type Queue = VecDeque<(NodeName, u32)>;

/// Changed records on their way to others.
#[derive(Default)]
pub(super) struct Gossip {
    /// Names added with `Now`, told with probes before all others. After a restart
    /// of the fleet the other queue holds every member for minutes.
    urgent: Queue,
    /// The other names told with probes. No name is in both queues.
    normal: Queue,
    /// Names for the next push, whatever it costs.
    now: Vec<NodeName>,
    /// Names for a push within the byte budget.
    soon: VecDeque<NodeName>,
    /// The names in `soon`.
    in_soon: HashSet<NodeName>,
}

impl Gossip {
    /// Notes that a record changed.
    pub(super) fn add(&mut self, name: &NodeName, urgency: Urgency) {
        self.urgent.retain(|(queued, _)| queued != name);
        self.normal.retain(|(queued, _)| queued != name);
        let queue = match urgency {
            Urgency::Now => &mut self.urgent,
            Urgency::Soon | Urgency::WithProbes => &mut self.normal,
        };
        queue.push_front((name.clone(), 0));
        match urgency {
            Urgency::Now => self.now.push(name.clone()),
            Urgency::Soon if self.in_soon.insert(name.clone()) => {
                self.soon.push_back(name.clone());
            }
            Urgency::Soon | Urgency::WithProbes => {}
        }
    }

    /// Returns the names to push now and forgets them.
    pub(super) fn take_now(&mut self) -> Vec<NodeName> {
        self.now.sort_unstable();
        self.now.dedup();
        std::mem::take(&mut self.now)
    }

    /// Returns the names to push within the budget, in order.
    pub(super) fn soon(&self) -> impl Iterator<Item = &NodeName> {
        self.soon.iter()
    }

    /// Returns the number of names to push within the budget.
    pub(super) fn soon_len(&self) -> usize {
        self.soon.len()
    }

    /// Forgets the first `n` names to push within the budget.
    pub(super) fn pop_soon(&mut self, n: usize) {
        for name in self.soon.drain(..n) {
            self.in_soon.remove(&name);
        }
    }

    /// Returns at most `n` names to tell with a probe, urgent ones first.
    pub(super) fn next(&self, n: usize) -> Vec<NodeName> {
        let names = self.urgent.iter().chain(&self.normal);
        names.take(n).map(|(name, _)| name.clone()).collect()
    }

    /// Counts the first `n` names as sent. A name sent `limit` times is forgotten.
    pub(super) fn sent(&mut self, n: usize, limit: u32) {
        let urgent = n.min(self.urgent.len());
        let normal = (n - urgent).min(self.normal.len());
        count_sent(&mut self.urgent, urgent, limit);
        count_sent(&mut self.normal, normal, limit);
    }
}

fn count_sent(queue: &mut Queue, n: usize, limit: u32) {
    queue.rotate_left(n);
    let start = queue.len() - n;
    for (_, sent) in queue.iter_mut().skip(start) {
        *sent += 1;
    }
    queue.retain(|(_, sent)| *sent < limit);
}
