//! Workspaces: one with a quota, and one whose key is withdrawn and added again.

use std::collections::BTreeMap;

use super::evacuations::MIN_READABLE_US;
use crate::{clock::now_us, history::Record};

/// The workspace whose key is withdrawn. It has no other key.
const WITHDRAWN: &str = "withdrawn";

/// The workspace with a quota, its requests per second and its burst.
const LIMITED: &str = "limited";
const RATE_PER_S: usize = 20;
const BURST: usize = 10;

/// Key of the requests with which the soak checks the nodes.
pub(super) const CHECK_KEY: &str = "check-key";

/// Keys of the kinds of requests, in the order of the mix.
pub(super) const KEYS: [&str; 4] = ["limited-key", "withdrawn-key", "withdrawn-key", CHECK_KEY];

/// Time in µs after the acknowledgement of a withdrawal from which no request with the key may start:
/// the limit `configMs` of the users' sites for keys.
pub(super) const WITHDRAWAL_GRACE_US: u64 = 2_500_000;

/// Returns the largest numbers of requests that may start in 5 s: `quotaOver` and `quotaSlack` of the
/// users' sites.
pub(super) fn max_starts() -> BTreeMap<String, usize> {
    BTreeMap::from([(LIMITED.to_owned(), (RATE_PER_S * 5 + BURST) * 11 / 10 + 20)])
}

/// The workspaces of the configuration.
#[derive(Default)]
pub(super) struct Workspaces {
    is_withdrawal_wanted: bool,
    /// Whether the newest configuration lacks the key.
    is_withdrawn: bool,
    /// Whether the store has dropped the withdrawal before all nodes could have read it.
    is_expired: bool,
    /// Since when nodes can read the withdrawal, in µs since the Unix epoch; `None` while its bound
    /// does not apply.
    readable_since_us: Option<u64>,
    /// The times between which the bound of a withdrawal applies.
    pub(super) records: Vec<Record>,
    /// Number of times that the bound applied for longer than [`WITHDRAWAL_GRACE_US`].
    pub(super) checkable: u64,
}

impl Workspaces {
    /// Returns the workspaces as a member of the configuration.
    pub(super) fn tenants_json(&self) -> String {
        let key = ["withdrawn-key", "replaced-key"][usize::from(self.is_withdrawn)];
        format!(
            r#""tenants":{{"{LIMITED}":{{"apiKeys":["limited-key"],"ratePerS":{RATE_PER_S},
            "burst":{BURST}}},"{WITHDRAWN}":{{"apiKeys":["{key}"]}},
            "check":{{"apiKeys":["{CHECK_KEY}"]}}}},"#
        )
    }

    /// Sets whether the key is to be withdrawn.
    pub(super) fn set_wanted(&mut self, is_wanted: bool) {
        self.is_withdrawal_wanted = is_wanted;
    }

    /// Applies the wanted change. Returns whether a configuration must be published for it.
    pub(super) fn apply_wanted(&mut self) -> bool {
        if self.is_withdrawn == self.is_withdrawal_wanted {
            return false;
        }
        self.end_bound();
        self.is_withdrawn = self.is_withdrawal_wanted;
        self.is_expired = false;
        true
    }

    /// Notes that the newest configuration was lost and is written again.
    pub(super) fn on_rewritten(&mut self) {
        self.is_expired = false;
    }

    /// Begins the bound of a published withdrawal, or ends it if the store fails so early that all
    /// nodes may have missed the withdrawal. `is_lost` is set while the store lacks the newest
    /// configuration, and `may_be_unknown` if a node may have started without it meanwhile.
    pub(super) fn update_bound(&mut self, is_readable: bool, is_lost: bool, may_be_unknown: bool) {
        if may_be_unknown {
            self.end_bound();
        }
        if !is_readable {
            self.end_early_bound();
        } else if self.is_withdrawn
            && !self.is_expired
            && !is_lost
            && self.readable_since_us.is_none()
        {
            let at = now_us();
            self.readable_since_us = Some(at);
            let workspace = WITHDRAWN.to_owned();
            self.records.push(Record::KeyWithdrawn { at, workspace });
        }
    }

    /// Notes that the store is about to drop all records but the newest.
    pub(super) fn on_expiry(&mut self) {
        self.end_early_bound();
        self.is_expired |= self.readable_since_us.is_none();
    }

    fn end_early_bound(&mut self) {
        let now = now_us();
        let is_early = |since: u64| now.saturating_sub(since) < MIN_READABLE_US;
        if self.readable_since_us.is_some_and(is_early) {
            self.end_bound();
        }
    }

    fn end_bound(&mut self) {
        let Some(since_us) = self.readable_since_us.take() else {
            return;
        };
        let at = now_us();
        self.checkable += u64::from(at.saturating_sub(since_us) > WITHDRAWAL_GRACE_US);
        let workspace = WITHDRAWN.to_owned();
        self.records.push(Record::KeyRestored { at, workspace });
    }
}
