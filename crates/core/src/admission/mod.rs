//! Admission at the guard: slots, queue, refusals and request records.
//!
//! [`Guard`] decides which requests reach the target beside it. The caller of the
//! guard does the I/O:
//!
//! 1. [`Guard::offer`] answers `Start`, `Queued` or `Refused`.
//! 2. A queued request hears of its admission or refusal through a [`Wakeup`].
//! 3. A started request calls [`Guard::dispatch`] directly before its first byte is
//!    written to the target, and is written only after [`Dispatch::Go`].
//! 4. Every request that got `Go` ends with [`Guard::finish`] or [`Guard::cancel`].
//!
//! Calls that return no wakeups can still make some due: [`Guard::next_expiry`] then
//! returns an instant that is not in the future, and [`Guard::expire`] hands them out.

mod counters;
mod guard;
mod limit;
mod pace;
mod queue;
mod records;
mod service_time;
mod steps;
mod target;
mod types;
mod waits;
mod work;

pub use self::{
    counters::Counters,
    guard::{Guard, GuardSettings},
    limit::LimitSettings,
    pace::PaceSettings,
    service_time::CompareSettings,
    target::{Announced, AnnouncedTarget, Announcement, Life},
    types::{
        Admission, Dispatch, FenceState, Finish, Offer, RefuseReason, RequestKey, Urgency, Wakeup,
    },
};
