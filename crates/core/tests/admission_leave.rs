//! Leaves of targets that a guard has acknowledged, and announcements that arrive after them.

use std::net::SocketAddr;

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Admission, Announcement, AnnouncementEffect, DispatchDecision, ExchangeOutcome, Guard,
        GuardSettings, Offer, RefuseReason, RequestKey, TargetInstance, TargetLeave, Urgency,
        Wakeup,
    },
    ids::RequestId,
    time::Instant,
};

/// Receipt of the leaves in milliseconds since the Unix epoch.
const LEFT_MS: u64 = 1_000_000;

const LEAVE: TargetLeave<'_> = TargetLeave {
    id: "i-1",
    received_unix_ms: LEFT_MS,
};

/// Announces an instance of `i-1`, which works on one request at once.
fn announce(guard: &mut Guard, now_ms: u64, started_unix_ms: u64, seq: u64) -> AnnouncementEffect {
    let now = Instant::from_millis(now_ms);
    let announcement = Announcement {
        instance: TargetInstance {
            id: "i-1",
            started_unix_ms,
            seq,
        },
        service: "stock",
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 1,
        connections: 1,
        expires: now.saturating_add_millis(9_000),
        leaving: false,
    };
    guard.announce(now, announcement)
}

/// Guards against an acknowledged leave that is forgotten because the guard has not heard of the
/// instance before, as after a restart of the node.
#[gtest]
fn leave_of_an_unknown_instance_binds_its_late_announcements() {
    let mut guard = Guard::new(GuardSettings::default());
    expect_false!(guard.mark_leaving(Instant::from_millis(0), &LEAVE));
    for (now_ms, started_ms, seq) in [(0, 1, 1), (3_000, 1, 7), (9_000, LEFT_MS, 1), (9_000, 0, 0)]
    {
        let effect = announce(&mut guard, now_ms, started_ms, seq);
        expect_that!(effect, eq(AnnouncementEffect::Late), "start {started_ms}");
    }
    expect_that!(guard.target(Instant::from_millis(9_000)), none());
}

/// Guards against a leave that is put down to an earlier instance with the same id, while the one
/// that sent it had not announced itself yet.
#[gtest]
fn leave_binds_every_instance_that_started_before_it() {
    let mut guard = Guard::new(GuardSettings::default());
    announce(&mut guard, 0, 1_000, 5);
    expect_true!(guard.mark_leaving(Instant::from_millis(100), &LEAVE));
    let effect = announce(&mut guard, 200, LEFT_MS - 500, 1);
    expect_that!(effect, eq(AnnouncementEffect::Late));
    expect_true!(guard.is_draining());
}

/// Guards against an instance that started after the leave and gets no requests, and against one
/// that a wrong clock keeps out for good.
#[gtest]
fn later_instance_with_the_id_of_one_that_left_is_used() {
    let mut guard = Guard::new(GuardSettings::default());
    guard.mark_leaving(Instant::from_millis(0), &LEAVE);
    let effect = announce(&mut guard, 100, LEFT_MS + 1, 1);
    expect_that!(effect, eq(AnnouncementEffect::New));
    expect_false!(guard.is_draining());

    let mut guard = Guard::new(GuardSettings::default());
    guard.mark_leaving(Instant::from_millis(0), &LEAVE);
    let effect = announce(&mut guard, 59_900, LEFT_MS - 1, 40);
    expect_that!(effect, eq(AnnouncementEffect::Late));
    let effect = announce(&mut guard, 61_400, LEFT_MS - 1, 41);
    expect_that!(effect, eq(AnnouncementEffect::New));
}

/// Guards against an instance whose leave is known by its own announcement and that is used again
/// once the leave is no longer kept.
#[gtest]
fn known_instance_that_left_is_never_used_again() {
    let mut guard = Guard::new(GuardSettings::default());
    announce(&mut guard, 0, 1_000, 5);
    guard.mark_leaving(Instant::from_millis(100), &LEAVE);
    let effect = announce(&mut guard, 600_000, 1_000, 6);
    expect_that!(effect, eq(AnnouncementEffect::Late));
}

/// Guards against leaves that use memory without bound.
#[gtest]
fn leaves_are_bounded_and_the_latest_ones_are_kept() {
    let mut guard = Guard::new(GuardSettings::default());
    for i in 0..10_000 {
        let id = format!("other-{i}");
        let leave = TargetLeave { id: &id, ..LEAVE };
        guard.mark_leaving(Instant::from_millis(0), &leave);
    }
    guard.mark_leaving(Instant::from_millis(0), &LEAVE);
    expect_that!(format!("{guard:?}").matches("other-").count(), le(64));
    let effect = announce(&mut guard, 100, 1, 1);
    expect_that!(effect, eq(AnnouncementEffect::Late));
}

/// Returns a guard with a target that may have left before the guard started, 10 s ago at most.
fn guard_with_failed_health_check() -> Guard {
    let mut guard = Guard::new(GuardSettings {
        announcements_settle_at: Instant::from_millis(10_000),
        ..GuardSettings::default()
    });
    announce(&mut guard, 100, 1, 7);
    let generation = guard.target_generation();
    expect_true!(guard.record_health(Instant::from_millis(110), generation, false));
    expect_true!(guard.is_draining());
    guard
}

/// Guards against a target that left before a restart and is used again because of a late heartbeat,
/// and against one that fails its health check for another reason and is never used again.
#[gtest]
fn target_that_may_have_left_is_not_used_until_it_is_known_to_be_there() {
    let mut guard = guard_with_failed_health_check();
    announce(&mut guard, 3_000, 1, 8);
    expect_true!(guard.is_draining(), "another late heartbeat");
    let generation = guard.target_generation();
    expect_true!(guard.record_health(Instant::from_millis(3_010), generation, true));
    expect_false!(guard.is_draining(), "the health check passes");

    let mut guard = guard_with_failed_health_check();
    announce(&mut guard, 9_000, 1, 8);
    guard.record_health(Instant::from_millis(11_000), generation, false);
    expect_true!(guard.is_draining(), "it is still not known");
    announce(&mut guard, 11_100, 1, 9);
    expect_false!(guard.is_draining(), "no heartbeat is that late");

    let mut guard = guard_with_failed_health_check();
    announce(&mut guard, 200, 5_000, 1);
    expect_false!(guard.is_draining(), "another instance");
}

/// Guards against a health check that takes a target out of use at any time: a target can serve
/// requests while it fails.
#[gtest]
fn failed_health_check_has_no_effect_later() {
    let mut guard = Guard::new(GuardSettings::default());
    announce(&mut guard, 100, 1, 7);
    let generation = guard.target_generation();
    expect_false!(guard.record_health(Instant::from_millis(110), generation, false));
    expect_false!(guard.is_draining());
}

fn key(id: u128) -> RequestKey {
    RequestKey {
        id: RequestId(id),
        attempt: 0,
    }
}

fn offer(guard: &mut Guard, now_ms: u64, id: u128) -> Admission {
    let offer = Offer {
        key: key(id),
        service: "stock",
        deadline: Instant::from_millis(20_000),
        has_alternative: false,
        answer_by: None,
        urgency: Urgency::default(),
    };
    guard.offer(Instant::from_millis(now_ms), &offer)
}

/// Returns a guard with one slot, in which request 1 runs, and with requests 2 and 3 in its queue. The
/// target has said at 1 s that it leaves. Its requests take 10 ms as far as the guard knows.
fn guard_with_queue_and_leaving_target(start_after_leave_us: u64) -> Guard {
    let mut guard = Guard::new(GuardSettings {
        start_after_leave_us,
        ..GuardSettings::default()
    });
    announce(&mut guard, 0, 1, 1);
    for id in 10..40 {
        let now = Instant::from_millis(id as u64 * 10);
        expect_that!(offer(&mut guard, id as u64 * 10, id), eq(Admission::Start));
        guard.dispatch(now, key(id));
        let outcome = ExchangeOutcome::Completed {
            server_error: false,
        };
        guard.finish(now.saturating_add_millis(10), key(id), outcome, 10_000);
    }
    expect_that!(offer(&mut guard, 900, 1), eq(Admission::Start));
    guard.dispatch(Instant::from_millis(900), key(1));
    for id in [2, 3] {
        expect_that!(offer(&mut guard, 900, id), eq(Admission::Queued));
    }
    guard.mark_leaving(Instant::from_millis(1_000), &LEAVE);
    guard
}

fn finish_first(guard: &mut Guard, now_ms: u64) -> Vec<Wakeup> {
    let outcome = ExchangeOutcome::Completed {
        server_error: false,
    };
    guard.finish(Instant::from_millis(now_ms), key(1), outcome, 10_000)
}

/// Guards against a request that was queued before its target said that it leaves, and that starts
/// there when the target may be about to exit.
#[gtest]
fn queued_requests_start_for_a_limited_time_after_a_leave() {
    let refused = |id| Wakeup {
        key: key(id),
        admission: Admission::Refused(RefuseReason::Draining),
    };
    let mut guard = guard_with_queue_and_leaving_target(2_000_000);
    let wakeups = finish_first(&mut guard, 2_900);
    let started = Wakeup {
        key: key(2),
        admission: Admission::Start,
    };
    expect_that!(wakeups, elements_are![eq(&started)]);
    let late = guard.dispatch(Instant::from_millis(3_001), key(2));
    let draining = DispatchDecision::Refused(RefuseReason::Draining);
    expect_that!(late, eq(draining), "its connection was opened too late");

    let mut guard = guard_with_queue_and_leaving_target(2_000_000);
    // A further heartbeat that says so does not extend the time.
    guard.mark_leaving(Instant::from_millis(2_500), &LEAVE);
    expect_that!(guard.next_expiry(), some(le(Instant::from_millis(3_000))));
    let wakeups = guard.expire(Instant::from_millis(3_000));
    expect_that!(wakeups, elements_are![eq(&refused(2)), eq(&refused(3))]);
    expect_that!(finish_first(&mut guard, 3_100), is_empty());
    let target = guard.target_generation();
    expect_false!(guard.try_resend(Instant::from_millis(3_100), target));
}

/// Guards against a queued request that waits in vain for a target which leaves before its turn.
#[gtest]
fn queued_requests_whose_turn_comes_too_late_are_refused_at_the_leave() {
    for (start_after_leave_us, refused) in [(2_000_000, vec![]), (5_000, vec![key(3)])] {
        let mut guard = guard_with_queue_and_leaving_target(start_after_leave_us);
        let wakeups = guard.expire(Instant::from_millis(1_000));
        let keys: Vec<_> = wakeups.iter().map(|wakeup| wakeup.key).collect();
        expect_that!(keys, eq(&refused), "{start_after_leave_us}");
    }
}
