//! Budget for requests that a guard sends to its target once more.

/// Limit on requests that are sent to the target once more, on a new connection.
///
/// The target may have run such a request before it closed the connection, so that each one can be
/// additional load. Entries can't charge their retry budgets for it, as they don't see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResendSettings {
    /// Credit that a dispatched request adds, in percent of a resent request.
    pub credit_percent: u64,
    /// Maximum credit that is saved, in percent of a resent request. It is available from the start.
    pub max_saved_percent: u64,
}

impl Default for ResendSettings {
    fn default() -> Self {
        ResendSettings {
            credit_percent: 100,
            max_saved_percent: u64::MAX,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct ResendBudget {
    cfg: ResendSettings,
    /// At most `cfg.max_saved_percent`.
    saved_percent: u64,
}

impl ResendBudget {
    pub(super) fn new(cfg: ResendSettings) -> Self {
        ResendBudget {
            cfg,
            saved_percent: cfg.max_saved_percent,
        }
    }

    /// Adds the credit of a request that was dispatched.
    pub(super) fn on_dispatch(&mut self) {
        let earned = self.saved_percent.saturating_add(self.cfg.credit_percent);
        self.saved_percent = earned.min(self.cfg.max_saved_percent);
    }

    /// Returns whether a request may be sent once more, and charges for it if so.
    pub(super) fn try_take(&mut self) -> bool {
        match self.saved_percent.checked_sub(100) {
            Some(left) => {
                self.saved_percent = left;
                true
            }
            None => false,
        }
    }
}
