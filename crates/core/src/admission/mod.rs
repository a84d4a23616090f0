//! Admission control in front of a target: concurrency limit, queue, refusals and
//! request records.
//!
//! The node that accepts a request from a caller is its *entry*. The node on the
//! target's host runs the [`Guard`], which decides which requests reach the target.
//! The guard does no I/O; its caller follows this protocol:
//!
//! 1. [`Guard::offer`] returns `Start`, `Queued` or `Refused`.
//! 2. A [`Wakeup`] tells whether a queued request is admitted or refused.
//! 3. [`Guard::dispatch`] is called directly before the first byte of an admitted
//!    request is written to the target. The request is written only after
//!    [`DispatchDecision::Proceed`].
//! 4. Every request that got `Proceed` ends with [`Guard::finish`] or [`Guard::cancel`].
//!
//! Calls that return no wakeups can still make some due: [`Guard::next_expiry`] then
//! returns an instant that is not in the future, and [`Guard::expire`] returns them.
//!
//! An entry that does not know whether a request was run can *fence* it with
//! [`Guard::fence`]: a request that has not been started is then never run.

mod capacity_share;
mod class_service_times;
mod closed;
mod counters;
mod fair_order;
mod guard;
mod kept_answers;
mod leave;
mod limit;
mod make_room;
mod pace;
mod queue;
mod rate_limit;
mod records;
mod refuse;
mod resend;
mod service_time;
mod settings;
mod shedding;
mod start_rate;
mod target;
mod transitions;
mod types;
mod wait_correction;
mod warm_up;

pub(crate) use self::capacity_share::share_of_workspace;
pub(crate) use self::class_service_times::NO_CLASS;
pub use self::{
    capacity_share::{NEW_REQUESTS, TARGET_CALLS},
    closed::ClosedReason,
    counters::Counters,
    guard::Guard,
    kept_answers::{KeptAnswers, KeptAnswersSettings},
    leave::TargetLeave,
    limit::LimitSettings,
    pace::PaceSettings,
    resend::ResendSettings,
    service_time::ComparisonSettings,
    settings::GuardSettings,
    target::{AnnouncedTarget, Announcement, AnnouncementEffect, TargetInstance},
    types::{
        Admission, DispatchDecision, ExchangeOutcome, FenceState, Offer, RefuseReason, RequestKey,
        Urgency, Wakeup,
    },
    warm_up::ColdReport,
};
