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

/// Request that an entry asks the guard to admit.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// Attempt to admit.
    pub key: RequestKey,
    /// Service that the entry expects behind this guard, in lower case.
    pub service: &'a str,
    /// Instant on the guard's clock after which the request must not be started.
    pub deadline: Instant,
    /// Whether the entry can try another target instead. The guard then refuses the request
    /// where it would otherwise delay it until the target's host is fast again, or queue it
    /// past `Urgency::due`.
    pub has_alternative: bool,
    /// Instant on the guard's clock at which the entry stops and cuts the request; `None` unless it
    /// is stopping.
    pub answer_by: Option<Instant>,
    /// How urgent the request is.
    pub urgency: Urgency,
}

/// How urgent a request is. The default is a request without a latency target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Urgency {
    /// Class of requests with a similar service time; 0 if the request has no class.
    pub class: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Share of the capacity that the request is charged to: its workspace as a hash of the name, 0 for
    /// calls of targets; see [`capacity_share`](crate::workspace::capacity_share).
    pub workspace: u32,
    /// Instant at which the latency target is missed; `None` without a latency target.
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
    /// The queue is full, or the predicted wait is too long for the deadline or the latency
    /// target.
    Overloaded,
    /// The deadline has passed, or the target is unlikely to answer before it.
    Deadline,
    /// The target is leaving, or the guard is draining, or the node will stop before the request
    /// ends.
    Draining,
    /// No target is announced, or its announcement ended while the request waited.
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
    /// The target's host is much slower than usual at the moment.
    Slow,
    /// The rate limit that the target states leaves no room before the deadline or the latency
    /// target.
    RateLimited,
    /// The operators have evacuated the data centre of the target.
    Evacuated,
    /// The key of the request was withdrawn after the entry had checked it.
    KeyWithdrawn,
    /// The request waited, and more valuable requests need its place in the queue.
    Displaced,
    /// The target is cold, and its warm-up rate leaves no room before the deadline or the latency
    /// target.
    Cold,
    /// The guard's node has no configuration, so it can't check the key of the request.
    NoConfiguration,
}

impl RefuseReason {
    /// All reasons, in the order of declaration.
    pub const ALL: [RefuseReason; 16] = [
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
        RefuseReason::RateLimited,
        RefuseReason::Evacuated,
        RefuseReason::KeyWithdrawn,
        RefuseReason::Displaced,
        RefuseReason::Cold,
        RefuseReason::NoConfiguration,
    ];

    /// Returns whether the refusal guarantees that the request was not run and never
    /// will be. The other reasons leave open whether another copy is run.
    pub const fn is_not_run(self) -> bool {
        !matches!(self, RefuseReason::Duplicate | RefuseReason::TableFull)
    }

    /// Returns the value of the `plantainpost-reason` header for this reason.
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
            RefuseReason::RateLimited => "rate-limited",
            RefuseReason::Evacuated => "evacuated",
            RefuseReason::KeyWithdrawn => "key-withdrawn",
            RefuseReason::Displaced => "displaced",
            RefuseReason::Cold => "cold",
            RefuseReason::NoConfiguration => "no-configuration",
        }
    }
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Result of the check directly before a request is written to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// Write the request to the target now.
    Proceed,
    /// Write nothing. The slot is already free.
    Refused(RefuseReason),
}

/// How the exchange with the target ended for a request that held a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// The target answered.
    Completed {
        /// Whether the status of the answer was a server error other than a refusal.
        server_error: bool,
    },
    /// Nothing was written to the target. The guard fences the request.
    NotStarted,
    /// The exchange with the target failed after it had begun.
    Failed,
    /// The target answered 503 or refused the connection.
    TargetRefused,
}

/// Tells the caller of the guard what became of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wakeup {
    /// The queued request.
    pub key: RequestKey,
    /// `Start` or `Refused`, never `Queued`.
    pub admission: Admission,
}

/// State of a request after an attempt to fence it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FenceState {
    /// The request was not run and never will be.
    Fenced,
    /// The request has been dispatched to the target, and the exchange has not ended.
    Started,
    /// The exchange with the target has ended.
    Finished,
    /// The state is unknown: the deadline has passed, or the record table has no room
    /// for a fence.
    Expired,
}
