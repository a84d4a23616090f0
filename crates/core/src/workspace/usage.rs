//! Counts of requests by workspace, for metrics of bounded size.

use std::rc::Rc;

use crate::collections::HashMap;

/// Workspaces whose counts are kept apart. This bounds the memory when configurations with other names
/// follow one another.
const MAX_COUNTED_WORKSPACES: usize = 4_096;

/// Counts of the requests of one or several workspaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests that a target answered.
    pub answered: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
}

impl RequestCounts {
    /// Returns the number of all requests.
    pub fn total(&self) -> u64 {
        self.answered + self.not_run + self.unknown
    }

    fn add(&mut self, other: RequestCounts) {
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
    }
}

/// Counts of the requests of all workspaces.
#[derive(Debug, Default)]
pub struct WorkspaceUsage {
    /// At most [`MAX_COUNTED_WORKSPACES`].
    by_name: HashMap<Rc<str>, RequestCounts>,
    /// Counts of workspaces that are no longer kept apart.
    folded: RequestCounts,
}

impl WorkspaceUsage {
    /// Adds requests of a workspace.
    pub fn add(&mut self, name: &Rc<str>, counts: RequestCounts) {
        if let Some(own) = self.by_name.get_mut(name) {
            return own.add(counts);
        }
        if self.by_name.len() >= MAX_COUNTED_WORKSPACES {
            self.fold_less_busy_half();
        }
        self.by_name.insert(Rc::clone(name), counts);
    }

    /// Returns the counts of the busiest workspaces, at most `max`, busiest first, and the sum of all
    /// others.
    pub fn busiest(&self, max: usize) -> (Vec<(Rc<str>, RequestCounts)>, RequestCounts) {
        let mut listed = self.by_activity();
        let mut others = self.folded;
        for (_, counts) in listed.drain(max.min(listed.len())..) {
            others.add(counts);
        }
        (listed, others)
    }

    fn fold_less_busy_half(&mut self) {
        for (name, counts) in self.by_activity().split_off(MAX_COUNTED_WORKSPACES / 2) {
            self.by_name.remove(&name);
            self.folded.add(counts);
        }
    }

    fn by_activity(&self) -> Vec<(Rc<str>, RequestCounts)> {
        let all = self.by_name.iter();
        let mut all: Vec<_> = all
            .map(|(name, counts)| (Rc::clone(name), *counts))
            .collect();
        all.sort_by(|(a, a_counts), (b, b_counts)| {
            let by_total = b_counts.total().cmp(&a_counts.total());
            by_total.then_with(|| a.cmp(b))
        });
        all
    }
}
