//! Displacement of single requests, and that nothing is displaced unless load is shed.

use std::net::SocketAddr;

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Admission, Announcement, DispatchDecision, ExchangeOutcome, FenceState, Guard,
        GuardSettings, Offer, RefuseReason, RequestKey, TargetInstance, Urgency, Wakeup,
    },
    ids::RequestId,
    time::Instant,
};

const NOW: Instant = Instant::from_millis(1_000);
const DEADLINE: Instant = Instant::from_millis(60_000);
/// Two slots, four places in the queue.
const SLOTS: u32 = 2;

fn key(id: u128) -> RequestKey {
    RequestKey {
        id: RequestId(id),
        attempt: 0,
    }
}

fn guard(sheds_load: bool) -> Guard {
    guard_of(SLOTS, sheds_load)
}

fn guard_of(slots: u32, sheds_load: bool) -> Guard {
    let mut guard = Guard::new(GuardSettings::default());
    guard.set_shedding(sheds_load);
    guard.announce(
        NOW,
        Announcement {
            instance: TargetInstance::default(),
            service: "stock",
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots,
            connections: slots + 8,
            expires: Instant::MAX,
            leaving: false,
        },
    );
    guard
}

fn offer(guard: &mut Guard, id: u128, urgency: Urgency) -> Admission {
    offer_until(guard, id, urgency, DEADLINE)
}

fn offer_until(guard: &mut Guard, id: u128, urgency: Urgency, deadline: Instant) -> Admission {
    let offer = Offer {
        key: key(id),
        service: "stock",
        deadline,
        has_alternative: false,
        answer_by: None,
        urgency,
    };
    guard.offer(NOW, &offer)
}

fn of(class: u32, priority: u32, workspace: u32) -> Urgency {
    Urgency {
        class,
        priority,
        workspace,
        due: Some(DEADLINE),
    }
}

/// Fills the slots and the queue with the requests 0 to 5, of which 2 to 5 wait.
fn fill(guard: &mut Guard, urgency: Urgency) {
    for id in 0..6 {
        let admission = offer(guard, id, urgency);
        let expected = if id < 2 {
            Admission::Start
        } else {
            Admission::Queued
        };
        assert_that!(admission, eq(expected));
    }
}

fn displaced(id: u128) -> Wakeup {
    Wakeup {
        key: key(id),
        admission: Admission::Refused(RefuseReason::Displaced),
    }
}

/// Guards against a displaced request that its entry hears nothing of, or that runs all the same.
#[gtest]
fn urgent_request_displaces_and_the_displaced_one_never_runs() {
    let mut guard = guard(true);
    fill(&mut guard, of(1, 1, 0));
    expect_that!(offer(&mut guard, 6, of(1, 0, 0)), eq(Admission::Queued));
    expect_that!(guard.next_expiry(), some(le(NOW)));
    expect_that!(guard.expire(NOW), eq(&vec![displaced(5)]));
    expect_that!(guard.fence(NOW, key(5), DEADLINE), eq(FenceState::Fenced));
    let refused = DispatchDecision::Refused(RefuseReason::Fenced);
    expect_that!(guard.dispatch(NOW, key(5)), eq(refused));
    expect_that!(guard.counters().refused(RefuseReason::Displaced), eq(1));
    // A less urgent one displaces nobody while its level is not behind.
    let refused = Admission::Refused(RefuseReason::Overloaded);
    expect_that!(offer(&mut guard, 7, of(1, 1, 0)), eq(refused));
}

/// Guards against another order or other refusals where the configuration does not ask for shedding.
#[gtest]
fn nothing_is_displaced_unless_load_is_shed() {
    let mut guard = guard(false);
    fill(&mut guard, of(1, 1, 0));
    let refused = Admission::Refused(RefuseReason::Overloaded);
    expect_that!(offer(&mut guard, 6, of(1, 0, 0)), eq(refused));
    expect_that!(guard.expire(NOW), is_empty());
}

/// Guards against a started request that is displaced, and against a switch that loses requests.
#[gtest]
fn switch_keeps_waiting_requests() {
    let mut guard = guard(false);
    fill(&mut guard, of(1, 1, 0));
    guard.set_shedding(true);
    expect_that!(guard.queued(), eq(4));
    for id in 6..10 {
        expect_that!(offer(&mut guard, id, of(1, 0, 0)), eq(Admission::Queued));
    }
    expect_that!(guard.expire(NOW).len(), ge(3));
    for id in 0..2 {
        expect_that!(guard.dispatch(NOW, key(id)), eq(DispatchDecision::Proceed));
    }
    guard.set_shedding(false);
    expect_that!(guard.queued(), eq(4));
    let outcome = ExchangeOutcome::Completed {
        server_error: false,
    };
    let woken = guard.finish(NOW, key(0), outcome, 10_000);
    expect_that!(woken.len(), eq(1));
}

/// Guards against a workspace that keeps the queue because it filled it first, and against calls of
/// running work that lose against new work.
#[gtest]
fn shares_decide_between_workspaces_of_a_level() {
    let mut guard = guard(true);
    fill(&mut guard, of(1, 1, 7));
    expect_that!(offer(&mut guard, 6, of(1, 1, 8)), eq(Admission::Queued));
    expect_that!(offer(&mut guard, 7, of(1, 1, 0)), eq(Admission::Queued));
    expect_that!(guard.expire(NOW), eq(&vec![displaced(5), displaced(4)]));
    for id in 0..2 {
        expect_that!(guard.dispatch(NOW, key(id)), eq(DispatchDecision::Proceed));
    }
    let outcome = ExchangeOutcome::Completed {
        server_error: false,
    };
    let mut starts = Vec::new();
    for id in 0..2 {
        let woken = guard.finish(NOW, key(id), outcome, 10_000);
        starts.extend(woken.iter().map(|wakeup| wakeup.key));
    }
    // First the request without a workspace, then the older one of two equal shares.
    expect_that!(starts, eq(&vec![key(7), key(2)]));
}

/// Guards against refusing several short requests in favour of one long one.
#[gtest]
fn long_requests_make_room_for_short_ones_of_the_same_value() {
    let mut guard = guard(true);
    let outcome = ExchangeOutcome::Completed {
        server_error: false,
    };
    for (id, class, service_us) in
        (100..120).flat_map(|id| [(id, 1, 10_000), (id + 100, 2, 90_000)])
    {
        offer(&mut guard, id, of(class, 0, 0));
        guard.dispatch(NOW, key(id));
        guard.finish(NOW, key(id), outcome, service_us);
    }
    fill(&mut guard, of(2, 0, 0));
    expect_that!(offer(&mut guard, 6, of(1, 0, 0)), eq(Admission::Queued));
    expect_that!(guard.expire(NOW), eq(&vec![displaced(5)]));
    let refused = Admission::Refused(RefuseReason::Overloaded);
    expect_that!(offer(&mut guard, 7, of(2, 0, 0)), eq(refused));
}

/// Guards against requests that wait in vain for a slot that others get, instead of going to another
/// target.
#[gtest]
fn hopeless_requests_are_refused_when_others_go_first() {
    let mut guard = guard(true);
    let outcome = ExchangeOutcome::Completed {
        server_error: false,
    };
    for id in 100..110 {
        offer(&mut guard, id, of(1, 1, 0));
        guard.dispatch(NOW, key(id));
        guard.finish(NOW, key(id), outcome, 25_000_000);
    }
    for id in 0..2 {
        expect_that!(offer(&mut guard, id, of(1, 1, 0)), eq(Admission::Start));
    }
    let admission = offer_until(&mut guard, 2, of(1, 1, 0), Instant::from_millis(41_000));
    expect_that!(admission, eq(Admission::Queued));
    for id in 3..5 {
        expect_that!(offer(&mut guard, id, of(1, 0, 0)), eq(Admission::Queued));
    }
    // 40 s are left, and two slots need 25 s for the requests ahead.
    let woken = guard.expire(NOW);
    expect_that!(woken, eq(&vec![displaced(2)]));
}

/// Guards against a level that starves for minutes because one request of a more urgent level, which has
/// no others, was lost long ago.
#[gtest]
fn a_lost_urgent_request_does_not_starve_a_level() {
    const STEP_MS: u64 = 25;
    const SERVICE_STEPS: u64 = 4;
    const LOST_AT_STEP: u64 = 40;
    const STEPS: u64 = 500;
    let mut guard = guard(true);
    let send = |guard: &mut Guard, now: Instant, id: u128, priority: u32, is_late: bool| {
        let due = if is_late { now } else { DEADLINE };
        let offer = Offer {
            key: key(id),
            service: "stock",
            deadline: now.saturating_add_millis(10_000),
            has_alternative: is_late,
            answer_by: None,
            urgency: Urgency {
                class: 1 + priority,
                priority,
                workspace: 0,
                due: Some(due),
            },
        };
        guard.offer(now, &offer)
    };
    let mut running: Vec<(u64, u128)> = Vec::new();
    let mut low_starts = 0;
    let mut id = 0;
    for step in 0..STEPS {
        let now = NOW.saturating_add_millis(step * STEP_MS);
        let mut started = Vec::new();
        // Twice the capacity at priority 1, and a few at priority 2, whose ids are odd.
        for priority in [1, 1, 2] {
            id += 2;
            let id = id + u128::from(priority == 2);
            if send(&mut guard, now, id, priority, false) == Admission::Start {
                started.push(id);
            }
        }
        if step == LOST_AT_STEP {
            let refused = Admission::Refused(RefuseReason::Overloaded);
            expect_that!(send(&mut guard, now, 1_000_000, 0, true), eq(refused));
        }
        let ended = running.extract_if(.., |(end, _)| *end <= step);
        let ended: Vec<u128> = ended.map(|(_, id)| id).collect();
        let outcome = ExchangeOutcome::Completed {
            server_error: false,
        };
        let mut wakeups = guard.expire(now);
        for id in ended {
            wakeups.extend(guard.finish(now, key(id), outcome, SERVICE_STEPS * STEP_MS * 1_000));
        }
        let woken = wakeups.iter().filter(|w| w.admission == Admission::Start);
        started.extend(woken.map(|wakeup| wakeup.key.id.0));
        for id in started {
            expect_that!(guard.dispatch(now, key(id)), eq(DispatchDecision::Proceed));
            low_starts += usize::from(step > LOST_AT_STEP + 100 && id % 2 == 1);
            running.push((step + SERVICE_STEPS, id));
        }
    }
    // The last 9 s of two slots are 180 starts, of which a tenth is for the lowest level.
    expect_that!(low_starts, ge(10));
}

/// Guards against an order whose determination takes time quadratic in the length of the queue.
#[gtest]
fn arrival_at_a_long_queue_takes_little_time() {
    let mut guards = [250, 2_000].map(|waiting: u32| {
        let mut guard = guard_of(waiting, false);
        for id in 0..u128::from(2 * waiting) {
            offer(&mut guard, id, of(1, (id % 3) as u32, 0));
        }
        guard.set_shedding(true);
        guard
    });
    // The median of the ratios counts, as other processes slow down single arrivals.
    let mut ratios = [0.0; 21];
    for (index, ratio) in ratios.iter_mut().enumerate() {
        let [short, long] = guards.each_mut().map(|guard| {
            let start = std::time::Instant::now();
            let urgency = of(1, index as u32 % 3, 0);
            assert_that!(
                offer(guard, 10_000 + index as u128, urgency),
                eq(Admission::Queued)
            );
            start.elapsed().as_secs_f64()
        });
        *ratio = long / short;
    }
    ratios.sort_by(f64::total_cmp);
    println!("{ratios:.1?}");
    // 8 times as many requests wait. Sorting them takes 11 times as long, a quadratic order 64 times.
    expect_that!(ratios[ratios.len() / 2], le(16.0));
}
