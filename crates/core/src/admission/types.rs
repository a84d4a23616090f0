//! Values that the guard takes and returns.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ids::RequestId, time::Instant};

/// Identifies one attempt of a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestKey {
    /// Request that the attempt belongs to.
    pub id: RequestId,
    /// Number of the attempt at this guard, chosen by the entry.
    pub attempt: u32,
}

/// Request that an entry asks the guard to run.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// Attempt on offer.
    pub key: RequestKey,
    /// Service that the entry expects behind this guard, in lower case.
    pub service: &'a str,
    /// Instant on the guard's clock after which the request must not be started.
    pub deadline: Instant,
    /// Whether the entry would rather hear of a slow moment of the target's host than wait
    /// for its end, because it knows of another target.
    pub may_decline: bool,
    /// How urgent the request is.
    pub urgency: Urgency,
}

/// How urgent a request is. The default is a request without a latency target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Urgency {
    /// Requests of one class take about the same time at a target; 0 for no class.
    pub class: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Instant until which the answer is worth most, if there is one.
    pub due: Option<Instant>,
}

/// Decision on an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot; call [`Guard::dispatch`](super::Guard::dispatch).
    Start,
    /// The request waits for a slot; a [`Wakeup`] follows.
    Queued,
    /// The request is refused.
    Refused(RefuseReason),
}

/// Reason of a refusal.
///
/// The order of the variants is part of the peer protocol; new ones go at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefuseReason {
    /// The queue is full, or the predicted wait exceeds the remaining time.
    Overloaded,
    /// The deadline has passed, or is too near for the work.
    Deadline,
    /// The target is leaving.
    Draining,
    /// No target is announced, or the one that the request waited for is gone.
    NoTarget,
    /// The target offers another service.
    WrongService,
    /// The request was fenced before.
    Fenced,
    /// Another copy is queued, started or finished.
    Duplicate,
    /// The record table has no room for a fence.
    TableFull,
    /// The target itself refused the request and said that it did not run it.
    TargetRefused,
    /// Work takes much longer than usual on the target's host at the moment.
    Slow,
}

impl RefuseReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [RefuseReason; 10] = [
        RefuseReason::Overloaded,
        RefuseReason::Deadline,
        RefuseReason::Draining,
        RefuseReason::NoTarget,
        RefuseReason::WrongService,
        RefuseReason::Fenced,
        RefuseReason::Duplicate,
        RefuseReason::TableFull,
        RefuseReason::TargetRefused,
        RefuseReason::Slow,
    ];

    /// Returns whether the refusal states that the request was not run and never
    /// will be. The other reasons say nothing about another copy.
    pub const fn is_not_run(self) -> bool {
        !matches!(self, RefuseReason::Duplicate | RefuseReason::TableFull)
    }

    /// Returns the reason as one word, as in the header `plantainpost-reason`.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefuseReason::Overloaded => "overloaded",
            RefuseReason::Deadline => "deadline",
            RefuseReason::Draining => "draining",
            RefuseReason::NoTarget => "no-target",
            RefuseReason::WrongService => "wrong-service",
            RefuseReason::Fenced => "fenced",
            RefuseReason::Duplicate => "duplicate",
            RefuseReason::TableFull => "table-full",
            RefuseReason::TargetRefused => "target-refused",
            RefuseReason::Slow => "slow",
        }
    }
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Decision at the moment of dispatch to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// Write the request to the target now.
    Go,
    /// Write nothing. The slot is already free.
    Refused(RefuseReason),
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The target answered.
    Completed {
        /// The status of the answer was a server error other than a refusal.
        server_error: bool,
    },
    /// Nothing was written to the target; the request is fenced.
    NotStarted,
    /// The exchange with the target failed after it had begun.
    Failed,
    /// The target answered 503 or refused the connection.
    TargetRefused,
}

/// News for a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wakeup {
    /// Request concerned.
    pub key: RequestKey,
    /// `Start` or `Refused`, never `Queued`.
    pub admission: Admission,
}

/// Answer to a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FenceState {
    /// The request was not run and never will be.
    Fenced,
    /// The request is with the target.
    Started,
    /// The exchange with the target has ended.
    Finished,
    /// Nothing is known: the deadline has passed, or the table has no room for a
    /// fence.
    Expired,
}
