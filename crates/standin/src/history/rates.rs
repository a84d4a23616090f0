//! Rules on the number of starts within a time.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Time in µs for which the limit of cold targets holds.
const COLD_WINDOW_US: u64 = 1_000_000;

/// Time in µs for which the limit of a workspace holds: `quotaWindowS` of the users' sites.
const QUOTA_WINDOW_US: u64 = 5_000_000;

/// Times of starts within a window, in µs, oldest first.
#[derive(Default)]
struct RecentStarts(VecDeque<u64>);

impl RecentStarts {
    /// Adds a start and returns the number of starts within the window that ends with it.
    fn add(&mut self, at_us: u64, window_us: u64) -> usize {
        self.0.push_back(at_us);
        self.0
            .retain(|start_us| at_us.saturating_sub(*start_us) < window_us);
        self.0.len()
    }
}

/// Starts at cold targets.
#[derive(Default)]
pub(super) struct ColdStarts<'a> {
    /// By target, the end of the limit in µs, and the starts since the target has become cold.
    targets: HashMap<&'a str, (u64, RecentStarts)>,
}

impl<'a> ColdStarts<'a> {
    pub(super) fn on_cold(&mut self, target: &'a str, at_us: u64, until_us: u64) {
        let (previous_until_us, starts) = self.targets.entry(target).or_default();
        if *previous_until_us <= at_us {
            starts.0.clear();
        }
        *previous_until_us = until_us;
    }

    /// Adds a start. Returns the number of starts at the target in the last second; 0 if it is not
    /// cold.
    pub(super) fn add(&mut self, target: &str, at_us: u64) -> usize {
        match self.targets.get_mut(target) {
            Some((until_us, starts)) if at_us < *until_us => starts.add(at_us, COLD_WINDOW_US),
            _ => 0,
        }
    }
}

/// Requests of limited workspaces that were started.
#[derive(Default)]
pub(super) struct WorkspaceStarts<'a> {
    workspaces: BTreeMap<&'a str, RecentStarts>,
    /// Nonces of the requests. A request that is sent again counts once.
    counted: HashSet<&'a str>,
}

impl<'a> WorkspaceStarts<'a> {
    /// Adds a start. Returns the number of requests of the workspace in the last 5 s.
    pub(super) fn add(&mut self, workspace: &'a str, nonce: &'a str, at_us: u64) -> usize {
        let starts = self.workspaces.entry(workspace).or_default();
        match self.counted.insert(nonce) {
            true => starts.add(at_us, QUOTA_WINDOW_US),
            false => 0,
        }
    }
}
