//! Guards that are closed because of an evacuation or before the first configuration.

use std::net::SocketAddr;

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Admission, Announcement, ClosedReason, DispatchDecision, ExchangeOutcome, Guard,
        GuardSettings, Offer, RefuseReason, RequestKey, TargetInstance, Urgency, Wakeup,
    },
    ids::RequestId,
    time::Instant,
};

const NOW: Instant = Instant::from_millis(1_000);
const EVACUATED: Option<ClosedReason> = Some(ClosedReason::Evacuated);

/// Returns a guard whose target works on two requests at once.
fn two_slots() -> Guard {
    let mut guard = Guard::new(GuardSettings::default());
    let announcement = Announcement {
        instance: TargetInstance {
            id: "i-1",
            started_unix_ms: 1,
            seq: 1,
        },
        service: "stock",
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 2,
        connections: 2,
        expires: Instant::from_millis(60_000),
        leaving: false,
    };
    guard.announce(NOW, announcement);
    guard
}

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
        deadline: NOW.saturating_add_millis(5_000),
        has_alternative: false,
        answer_by: None,
        urgency: Urgency::default(),
    };
    guard.offer(NOW, &offer)
}

/// Guards against requests that reach the target of an evacuated data centre from the queue or from a
/// slot, against requests in flight that are cut, and against queued ones that wait for their deadline
/// instead of being moved at once.
#[gtest]
fn only_dispatched_requests_survive_an_evacuation() {
    let mut guard = two_slots();
    for id in [1, 2] {
        expect_that!(offer(&mut guard, id), eq(Admission::Start));
    }
    expect_that!(offer(&mut guard, 3), eq(Admission::Queued));
    expect_that!(guard.dispatch(NOW, key(1)), eq(DispatchDecision::Proceed));
    guard.set_closed(NOW, EVACUATED);
    expect_that!(guard.next_expiry(), some(le(NOW)));
    let refused = Wakeup {
        key: key(3),
        admission: Admission::Refused(RefuseReason::Evacuated),
    };
    expect_that!(guard.expire(NOW), elements_are![eq(&refused)]);
    expect_that!(
        guard.dispatch(NOW, key(2)),
        eq(DispatchDecision::Refused(RefuseReason::Evacuated))
    );
    expect_that!(
        offer(&mut guard, 4),
        eq(Admission::Refused(RefuseReason::Evacuated))
    );
    let target = guard.target_generation();
    expect_false!(
        guard.try_resend(NOW, target),
        "a resend of the request in flight"
    );
    let load = guard.load_sample(NOW);
    expect_that!((load.in_flight, load.queued), eq((1, 0)));
    let outcome = ExchangeOutcome::Completed {
        server_error: false,
    };
    expect_that!(guard.finish(NOW, key(1), outcome, 10), is_empty());
    expect_that!(guard.counters().completed, eq(1));
    expect_that!(guard.counters().refused(RefuseReason::Evacuated), eq(3));
}

/// Guards against a guard that stays closed after the end of an evacuation.
#[gtest]
fn opened_guard_admits_requests() {
    let mut guard = two_slots();
    guard.set_closed(NOW, EVACUATED);
    offer(&mut guard, 1);
    guard.set_closed(NOW, None);
    expect_that!(offer(&mut guard, 2), eq(Admission::Start));
    expect_that!(guard.dispatch(NOW, key(2)), eq(DispatchDecision::Proceed));
    // The refused request was fenced.
    expect_that!(
        offer(&mut guard, 1),
        eq(Admission::Refused(RefuseReason::Fenced))
    );
}

/// Guards against requests that a restarted node lets through before it knows of an evacuation, and
/// against entries that avoid it for seconds after it has learnt the configuration.
#[gtest]
fn guard_without_configuration_refuses() {
    let mut guard = two_slots();
    guard.set_closed(NOW, Some(ClosedReason::NoConfiguration));
    expect_that!(
        offer(&mut guard, 1),
        eq(Admission::Refused(RefuseReason::NoTarget))
    );
    expect_false!(guard.load_sample(NOW).draining);
}

/// Guards against requests that start while the node does not know whether its data centre is evacuated,
/// and against requests that stay queued once it knows or gives up waiting.
#[gtest]
fn hold_delays_starts_until_it_ends() {
    let until = NOW.saturating_add_millis(1_000);
    let start = Wakeup {
        key: key(1),
        admission: Admission::Start,
    };
    for (name, ended_at) in [("ended early", NOW), ("expired", until)] {
        let mut guard = two_slots();
        guard.hold_starts(NOW, until);
        expect_that!(offer(&mut guard, 1), eq(Admission::Queued), "{name}");
        expect_that!(guard.expire(NOW), is_empty(), "{name}");
        expect_that!(guard.next_expiry(), some(eq(until)), "{name}");
        if ended_at < until {
            guard.hold_starts(NOW, NOW);
            expect_that!(guard.next_expiry(), some(le(NOW)), "{name}");
        }
        expect_that!(guard.expire(ended_at), elements_are![eq(&start)], "{name}");
    }
    let mut guard = two_slots();
    guard.hold_starts(NOW, until);
    offer(&mut guard, 1);
    guard.set_closed(NOW, EVACUATED);
    let refused = Wakeup {
        admission: Admission::Refused(RefuseReason::Evacuated),
        ..start
    };
    expect_that!(guard.expire(NOW), elements_are![eq(&refused)]);
}
