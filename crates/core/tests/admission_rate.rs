//! Rate limits that a target states in its answers, in virtual time.

use std::net::SocketAddr;

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Admission, Announcement, DispatchDecision, ExchangeOutcome, Guard, GuardSettings, Offer,
        RefuseReason, RequestKey, TargetInstance, Urgency, Wakeup,
    },
    ids::RequestId,
    time::{Instant, MICROS_PER_MILLI},
};

const SERVICE_US: u64 = 100 * MICROS_PER_MILLI;

fn at(ms: u64) -> Instant {
    Instant::from_micros(1_000_000 + ms * MICROS_PER_MILLI)
}

fn key(id: u128) -> RequestKey {
    RequestKey {
        id: RequestId(id),
        attempt: 0,
    }
}

fn announce(guard: &mut Guard, now: Instant, started_unix_ms: u64) {
    let announcement = Announcement {
        instance: TargetInstance {
            id: "i-1",
            started_unix_ms,
            seq: 1,
        },
        service: "stock",
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        slots: 12,
        connections: 100,
        expires: at(3_600_000),
        leaving: false,
    };
    guard.announce(now, announcement);
}

fn guard_with_target() -> Guard {
    let mut guard = Guard::new(GuardSettings::default());
    announce(&mut guard, at(0), 1);
    guard
}

fn state_limit(guard: &mut Guard, now: Instant, per_second: Option<f64>) {
    guard.record_rate_limit(now, guard.target_generation(), per_second);
}

/// Offers a request that waits for at most `wait_ms`.
fn offer(guard: &mut Guard, now: Instant, id: u128, wait_ms: u64) -> Admission {
    let offer = Offer {
        key: key(id),
        service: "stock",
        deadline: now.saturating_add_millis(wait_ms),
        has_alternative: false,
        answer_by: None,
        urgency: Urgency::default(),
    };
    guard.offer(now, &offer)
}

/// Offers `per_second` requests a second from `from_ms` to `to_ms`, each of which takes
/// [`SERVICE_US`]. Returns when requests were started, in milliseconds.
fn play(guard: &mut Guard, per_second: u64, from_ms: u64, to_ms: u64) -> Vec<u64> {
    let mut starts = Vec::new();
    let mut running: Vec<(Instant, RequestKey)> = Vec::new();
    let mut next_id = u128::from(from_ms) << 32;
    for ms in from_ms..to_ms {
        let now = at(ms);
        let mut wakeups: Vec<Wakeup> = Vec::new();
        running.retain(|(end, key)| {
            let is_done = *end <= now;
            if is_done {
                let outcome = ExchangeOutcome::Completed {
                    server_error: false,
                };
                wakeups.extend(guard.finish(now, *key, outcome, SERVICE_US));
            }
            !is_done
        });
        wakeups.extend(guard.expire(now));
        let woken = wakeups.iter().filter(|w| w.admission == Admission::Start);
        let mut admitted: Vec<RequestKey> = woken.map(|wakeup| wakeup.key).collect();
        if (ms * per_second) % 1_000 < per_second {
            next_id += 1;
            if offer(guard, now, next_id, 2_000) == Admission::Start {
                admitted.push(key(next_id));
            }
        }
        for key in admitted {
            expect_that!(guard.dispatch(now, key), eq(DispatchDecision::Proceed));
            starts.push(ms);
            running.push((now.saturating_add_micros(SERVICE_US), key));
        }
    }
    starts
}

/// Returns the largest number of starts in 4 s.
fn most_in_four_seconds(starts: &[u64]) -> usize {
    let in_window = |first: &u64| {
        let window = starts.iter().filter(|ms| **ms >= *first);
        window.take_while(|ms| **ms < first + 4_000).count()
    };
    starts.iter().map(in_window).max().unwrap_or_default()
}

/// Guards against a target that gets more requests than the limit that it states allows, and
/// against a limit that leaves capacity unused.
#[gtest]
fn target_gets_no_more_requests_than_its_stated_limit() {
    for limit in [0.0, 0.4, 2.4, 5.9, 30.0] {
        let mut guard = guard_with_target();
        state_limit(&mut guard, at(0), Some(limit));
        let starts = play(&mut guard, 100, 0, 20_000);
        let allowed = (limit * 4.0 * 1.5 + 5.0) as usize;
        expect_that!(most_in_four_seconds(&starts), le(allowed), "limit {limit}");
        expect_that!(starts.len(), ge((limit * 18.0) as usize), "limit {limit}");
        // Answers must go on telling whether the limit still holds.
        expect_that!(starts.len(), ge(4), "limit {limit}");
    }
}

/// Guards against a limit that holds although the answers no longer state it, and against one
/// that a replaced target has stated.
#[gtest]
fn limit_ends_with_the_answers_that_state_it() {
    let mut guard = guard_with_target();
    state_limit(&mut guard, at(0), Some(2.0));
    play(&mut guard, 50, 0, 4_000);
    state_limit(&mut guard, at(4_000), None);
    expect_that!(
        play(&mut guard, 50, 4_000, 8_000).len(),
        ge(4 * 50 * 9 / 10)
    );
    let generation = guard.target_generation();
    announce(&mut guard, at(8_000), 2);
    guard.record_rate_limit(at(8_000), generation, Some(2.0));
    expect_that!(guard.load_sample(at(8_000)).start_interval_us, eq(0));
    state_limit(&mut guard, at(8_000), Some(2.0));
    announce(&mut guard, at(8_100), 3);
    expect_that!(guard.load_sample(at(8_100)).start_interval_us, eq(0));
}

/// Guards against requests that wait until their deadline although the limit leaves no room for
/// them.
#[gtest]
fn requests_beyond_the_limit_are_refused_at_once() {
    let mut guard = guard_with_target();
    for id in 0..12 {
        expect_that!(offer(&mut guard, at(0), id, 2_000), eq(Admission::Start));
    }
    for id in 12..24 {
        expect_that!(offer(&mut guard, at(0), id, 2_000), eq(Admission::Queued));
    }
    state_limit(&mut guard, at(0), Some(2.0));
    let refused = Admission::Refused(RefuseReason::RateLimited);
    let wakeups = guard.expire(at(1));
    let refusals = wakeups.iter().filter(|wakeup| wakeup.admission == refused);
    // Of twelve requests four or five can start within their 2 s.
    expect_that!(refusals.count(), all![ge(7), le(8)]);
    let mut admissions = (24..30).map(|id| offer(&mut guard, at(1), id, 1_000));
    expect_that!(admissions.any(|admission| admission == refused), eq(true));
    expect_that!(guard.load_sample(at(1)).start_wait_us, gt(1_000_000));
}

/// Guards against a second send of a request that the limit leaves no room for.
#[gtest]
fn repeated_sends_count_against_the_limit() {
    let mut guard = guard_with_target();
    let target = guard.target_generation();
    expect_that!(guard.try_resend(at(0), target), eq(true));
    state_limit(&mut guard, at(0), Some(1.0));
    expect_that!(guard.try_resend(at(0), target), eq(true));
    expect_that!(guard.try_resend(at(0), target), eq(false));
    expect_that!(guard.try_resend(at(1_000), target), eq(true));
}
