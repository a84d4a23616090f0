//! Refusals of a guard that are decided outside of it.

use std::net::SocketAddr;

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Admission, Announcement, DispatchDecision, FenceState, Guard, GuardSettings, Offer,
        RefuseReason, RequestKey, TargetInstance, Urgency,
    },
    ids::RequestId,
    time::Instant,
};

const DEADLINE: Instant = Instant::from_millis(10_000);

fn key(id: u128) -> RequestKey {
    RequestKey {
        id: RequestId(id),
        attempt: 0,
    }
}

fn offer(guard: &mut Guard, id: u128) -> Admission {
    let offer = Offer {
        key: key(id),
        service: "stock",
        deadline: DEADLINE,
        has_alternative: false,
        answer_by: None,
        urgency: Urgency::default(),
    };
    guard.offer(Instant::from_millis(1), &offer)
}

/// Guards against a refused request that runs all the same when a copy of it arrives, against a slot or
/// a place in the queue that is lost, and against "not run" for a request that runs.
#[gtest]
fn refused_requests_are_fenced_in_every_state() {
    let now = Instant::from_millis(1);
    let mut guard = Guard::new(GuardSettings::default());
    guard.announce(
        now,
        Announcement {
            instance: TargetInstance::default(),
            service: "stock",
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: 2,
            connections: 2,
            expires: Instant::from_millis(60_000),
            leaving: false,
        },
    );
    let refuse =
        |guard: &mut Guard, id| guard.refuse(now, key(id), DEADLINE, RefuseReason::KeyWithdrawn);
    for (id, expected) in [(1, Admission::Start), (2, Admission::Start)] {
        expect_that!(offer(&mut guard, id), eq(expected));
    }
    for id in [3, 4] {
        expect_that!(offer(&mut guard, id), eq(Admission::Queued));
    }
    expect_that!(guard.dispatch(now, key(1)), eq(DispatchDecision::Proceed));

    // A request that runs.
    expect_that!(refuse(&mut guard, 1), eq(RefuseReason::Duplicate));
    // A queued one, which gets a wakeup.
    expect_that!(refuse(&mut guard, 3), eq(RefuseReason::KeyWithdrawn));
    let woken: Vec<RequestKey> = guard.expire(now).iter().map(|w| w.key).collect();
    expect_that!(woken, elements_are![eq(&key(3))]);
    // One that holds a slot, which the next queued one gets.
    expect_that!(refuse(&mut guard, 2), eq(RefuseReason::KeyWithdrawn));
    let woken: Vec<_> = guard
        .expire(now)
        .iter()
        .map(|w| (w.key, w.admission))
        .collect();
    expect_that!(woken, elements_are![eq(&(key(4), Admission::Start))]);
    // One that was never offered.
    expect_that!(refuse(&mut guard, 5), eq(RefuseReason::KeyWithdrawn));

    for id in [2, 3, 5] {
        let refused = Admission::Refused(RefuseReason::Fenced);
        expect_that!(offer(&mut guard, id), eq(refused), "{id}");
        expect_that!(
            guard.fence(now, key(id), DEADLINE),
            eq(FenceState::Fenced),
            "{id}"
        );
    }
    let refused = DispatchDecision::Refused(RefuseReason::Fenced);
    expect_that!(guard.dispatch(now, key(2)), eq(refused));
    let counters = guard.counters();
    expect_that!(counters.refused(RefuseReason::KeyWithdrawn), eq(3));
    expect_that!(guard.in_flight(), eq(2));
}
