//! Limits on cold targets at the guard, in virtual time.

use std::net::SocketAddr;

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Admission, Announcement, ColdReport, DispatchDecision, ExchangeOutcome, Guard,
        GuardSettings, Offer, RefuseReason, RequestKey, TargetInstance, Urgency, Wakeup,
    },
    ids::RequestId,
    routing::WarmUp,
    time::{Instant, MICROS_PER_MILLI},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SERVICE_MS: u64 = 40;
const COLD_MS: u64 = 3_000;

fn at(ms: u64) -> Instant {
    Instant::from_micros(1_000_000_000 + ms * MICROS_PER_MILLI)
}

fn warm_up(per_second: u64) -> Option<WarmUp> {
    Some(WarmUp {
        duration_ms: COLD_MS,
        per_1000_s: per_second * 1_000,
    })
}

/// A target, the guard beside it, and the requests that it got.
struct Host {
    guard: Guard,
    rule: Option<WarmUp>,
    /// Start of the target in milliseconds; identifies the instance.
    born_ms: u64,
    seq: u64,
    /// True end of the cold period, in milliseconds.
    cold_until_ms: u64,
    running: Vec<(u64, RequestKey)>,
    next_id: u128,
    /// When requests started, and whether the target was cold then, in milliseconds.
    starts: Vec<(u64, bool)>,
    refused: Vec<RefuseReason>,
}

impl Host {
    fn new(rule: Option<WarmUp>) -> Self {
        let mut host = Host {
            guard: Guard::new(GuardSettings::default()),
            rule,
            born_ms: 1,
            seq: 0,
            cold_until_ms: 0,
            running: Vec::new(),
            next_id: 0,
            starts: Vec::new(),
            refused: Vec::new(),
        };
        host.heartbeat(0, 0);
        host
    }

    fn cold_left_ms(&self, ms: u64) -> u64 {
        self.cold_until_ms.saturating_sub(ms)
    }

    fn heartbeat(&mut self, ms: u64, warmup_ms: u64) {
        self.seq += 1;
        let announcement = Announcement {
            instance: TargetInstance {
                id: &self.born_ms.to_string(),
                started_unix_ms: self.born_ms,
                seq: self.seq,
            },
            service: "stock",
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            slots: 30,
            connections: 200,
            expires: at(3_600_000),
            leaving: false,
        };
        self.guard.announce(at(ms), announcement);
        self.guard.set_warm_up(at(ms), self.rule);
        let generation = self.guard.target_generation();
        self.guard
            .record_cold(at(ms), generation, ColdReport::Heartbeat(warmup_ms));
    }

    /// Ends the announcement of the target, as if it had expired.
    fn lapse(&mut self, ms: u64) {
        self.guard.withdraw_target(at(ms));
    }

    /// Checks the health of the target as a node does before a start. The check fails if
    /// `is_lost`.
    fn check_health(&mut self, ms: u64, is_lost: bool) {
        if !self.guard.start_pace_measurement(at(ms)) || is_lost {
            return;
        }
        let report = ColdReport::Response(self.cold_left_ms(ms));
        let generation = self.guard.target_generation();
        self.guard.record_pace(at(ms), 100);
        self.guard.record_health(at(ms), generation, true);
        self.guard.record_cold(at(ms), generation, report);
    }

    fn restart_node(&mut self) {
        self.guard = Guard::new(GuardSettings::default());
        self.running.clear();
    }

    /// Offers a request that is answered within `timeout_ms` or not at all.
    fn offer(&mut self, ms: u64, timeout_ms: u64) -> Admission {
        self.next_id += 1;
        let key = RequestKey {
            id: RequestId(self.next_id),
            attempt: 0,
        };
        let offer = Offer {
            key,
            service: "stock",
            deadline: at(ms + timeout_ms),
            has_alternative: false,
            answer_by: None,
            urgency: Urgency::default(),
        };
        let admission = self.guard.offer(at(ms), &offer);
        self.follow(ms, Wakeup { key, admission });
        admission
    }

    fn follow(&mut self, ms: u64, wakeup: Wakeup) {
        match wakeup.admission {
            Admission::Start => {
                let decision = self.guard.dispatch(at(ms), wakeup.key);
                if decision == DispatchDecision::Proceed {
                    self.starts.push((ms, ms < self.cold_until_ms));
                    self.running.push((ms + SERVICE_MS, wakeup.key));
                }
            }
            Admission::Refused(reason) => self.refused.push(reason),
            Admission::Queued => (),
        }
    }

    fn advance(&mut self, ms: u64) {
        let mut wakeups = Vec::new();
        let running = std::mem::take(&mut self.running);
        for (end_ms, key) in running {
            if end_ms > ms {
                self.running.push((end_ms, key));
                continue;
            }
            let outcome = ExchangeOutcome::Completed {
                server_error: false,
            };
            let service_us = SERVICE_MS * MICROS_PER_MILLI;
            wakeups.extend(self.guard.finish(at(ms), key, outcome, service_us));
        }
        wakeups.extend(self.guard.expire(at(ms)));
        for wakeup in wakeups {
            self.follow(ms, wakeup);
        }
    }

    fn count_starts(&self, from_ms: u64, to_ms: u64) -> usize {
        let starts = self.starts.iter();
        starts
            .filter(|(ms, _)| (from_ms..to_ms).contains(ms))
            .count()
    }

    /// Returns the largest number of starts in any second at the cold target.
    fn most_cold_in_a_second(&self) -> usize {
        let cold = self.starts.iter().filter(|(_, is_cold)| *is_cold);
        let cold: Vec<u64> = cold.map(|(ms, _)| *ms).collect();
        let in_second = |(index, first): (usize, &u64)| {
            let later = cold[index..].iter();
            later.take_while(|ms| **ms <= first + 1_000).count()
        };
        cold.iter().enumerate().map(in_second).max().unwrap_or(0)
    }
}

/// Plays 40 s of random arrivals in which the target becomes cold again and restarts, the node
/// restarts, and heartbeats arrive late.
fn play_random_events(per_second: u64, seed: u64) -> Host {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut host = Host::new(warm_up(per_second));
    // Arrival and content of heartbeats on the way.
    let mut heartbeats: Vec<(u64, u64, u64)> = Vec::new();
    let mut load = 0.03;
    for ms in 1..40_000 {
        if ms % 500 == 0 {
            load = rng.random_range(0.0..0.08);
            let late_ms = match rng.random_bool(0.2) {
                true => rng.random_range(0..2_000),
                false => rng.random_range(0..3),
            };
            heartbeats.push((ms + late_ms, host.born_ms, host.cold_left_ms(ms)));
        }
        if rng.random_bool(0.000_3) {
            host.cold_until_ms = ms + COLD_MS;
        }
        if rng.random_bool(0.000_1) {
            host.born_ms = ms;
            host.cold_until_ms = ms + COLD_MS;
            host.seq = 0;
            host.heartbeat(ms, COLD_MS);
        }
        if rng.random_bool(0.000_2) {
            host.restart_node();
        }
        let born_ms = host.born_ms;
        let due = heartbeats.extract_if(.., |(due_ms, _, _)| *due_ms <= ms);
        for (_, from_born_ms, warmup_ms) in due.collect::<Vec<_>>() {
            if from_born_ms == born_ms {
                host.heartbeat(ms, warmup_ms);
            }
        }
        host.advance(ms);
        if host.guard.needs_checks_while_queued(at(ms)) {
            let is_lost = rng.random_bool(0.05);
            host.check_health(ms, is_lost);
        }
        let burst = if rng.random_bool(0.000_5) { 5 } else { 1 };
        if rng.random_bool(load) {
            let is_lost = rng.random_bool(0.05);
            host.check_health(ms, is_lost);
            for _ in 0..burst {
                host.offer(ms, rng.random_range(100..3_000));
            }
        }
    }
    host
}

/// Guards against a cold target that gets more requests in a second than it survives, whatever
/// happens to the node beside it.
#[gtest]
fn cold_target_keeps_its_bound_in_every_second() {
    for per_second in [2, 5, 15, 40] {
        let bound = per_second as usize * 3 / 2 + 8;
        let mut cold_starts = 0;
        for seed in 0..6 {
            let host = play_random_events(per_second, seed);
            cold_starts += host.starts.iter().filter(|(_, is_cold)| *is_cold).count();
            expect_that!(
                host.most_cold_in_a_second(),
                le(bound),
                "rate {per_second}, seed {seed}"
            );
        }
        // The bound must not be met by starting hardly anything.
        expect_that!(cold_starts, ge(6 * 5 * per_second.min(15) as usize));
    }
}

/// Guards against allowance that a guard has saved, or starts with, when it learns that its target
/// is cold, and against capacity of a cold target that stays unused.
#[gtest]
fn cold_target_gets_its_rate_from_the_first_moment() {
    for per_second in [2, 15, 40] {
        let mut host = Host::new(warm_up(per_second));
        host.cold_until_ms = 30_000;
        for ms in 0..20_000 {
            host.advance(ms);
            host.check_health(ms, false);
            if ms % 4 == 0 {
                host.offer(ms, 1_000);
            }
        }
        let rate = per_second as usize;
        expect_that!(host.count_starts(0, 1_000), le(rate + 1));
        expect_that!(host.count_starts(0, 20_000), ge(rate * 19));
        expect_that!(host.count_starts(0, 20_000), le(rate * 20 + 1));
    }
}

/// Guards against requests that wait at a cold target although it cannot start them in time, and
/// against refusals whose reason or load sample does not say so.
#[gtest]
fn requests_beyond_the_warm_up_rate_are_refused_at_once() {
    let mut host = Host::new(warm_up(4));
    host.cold_until_ms = 10_000;
    host.check_health(0, false);
    let admissions: Vec<Admission> = (0..10).map(|_| host.offer(0, 1_000)).collect();
    expect_that!(admissions[0], eq(Admission::Start));
    expect_that!(admissions[1], eq(Admission::Queued));
    expect_that!(admissions[9], eq(Admission::Refused(RefuseReason::Cold)));
    let sample = host.guard.load_sample(at(0));
    expect_that!(sample.cold, eq(true));
    expect_that!(sample.start_interval_us, eq(250_000));
    expect_that!(sample.start_wait_us, ge(750_000));
}

/// Guards against requests that wait in vain when the target becomes cold while they are queued.
#[gtest]
fn queued_requests_are_refused_when_the_target_becomes_cold() {
    let mut host = Host::new(warm_up(2));
    for _ in 0..100 {
        host.offer(0, 1_000);
    }
    host.cold_until_ms = 5_000;
    host.check_health(1, false);
    host.advance(1);
    let cold = host.refused.iter().filter(|r| **r == RefuseReason::Cold);
    expect_that!(cold.count(), ge(38));
}

/// Guards against a wrong reason if the guard wakes up only after the deadline of a request: entries
/// back off from a cold target only if the reason says so.
#[gtest]
fn request_that_a_limit_delayed_past_its_deadline_says_so() {
    // The slots are full in the last row. An offer may reach the guard before the late wakeup.
    for (cold_ms, stated, offers, expected) in [
        (10_000, None, 2, RefuseReason::Cold),
        (300, None, 2, RefuseReason::Cold),
        (0, Some(4.0), 4, RefuseReason::RateLimited),
        (0, None, 31, RefuseReason::Deadline),
    ] {
        for offers_late in [0, 2] {
            let mut host = Host::new(warm_up(4));
            host.cold_until_ms = cold_ms;
            host.check_health(0, false);
            let generation = host.guard.target_generation();
            host.guard.record_rate_limit(at(0), generation, stated);
            for _ in 0..offers {
                host.offer(0, 400);
            }
            for _ in 0..offers_late {
                host.offer(401, 2_000);
            }
            host.advance(401);
            expect_that!(host.refused, container_eq([expected]), "{offers_late}");
        }
    }
}

/// Guards against a limit that is not the lower one of the two.
#[gtest]
fn lower_of_the_stated_and_the_warm_up_rate_binds() {
    for (stated, expected) in [(3.0, 3), (100.0, 10)] {
        let mut host = Host::new(warm_up(10));
        host.cold_until_ms = 30_000;
        let generation = host.guard.target_generation();
        host.guard
            .record_rate_limit(at(0), generation, Some(stated));
        for ms in 0..10_000 {
            host.advance(ms);
            host.check_health(ms, false);
            if ms % 10 == 0 {
                host.offer(ms, 500);
            }
        }
        let starts = host.count_starts(1_000, 10_000);
        expect_that!(starts, all![ge(9 * expected - 2), le(9 * expected + 4)]);
    }
}

/// Guards against a step from the warm-up rate to all the waiting load, and against a limit that
/// does not end.
#[gtest]
fn rate_rises_by_degrees_after_the_cold_period() {
    let mut host = Host::new(warm_up(10));
    host.cold_until_ms = 2_000;
    for ms in 0..6_000 {
        host.advance(ms);
        host.check_health(ms, false);
        if ms % 2 == 0 {
            host.offer(ms, 500);
        }
    }
    // The rate doubles every 750 ms of the 3 s after the cold period.
    let quarters = [2_000, 2_750, 3_500, 4_250].map(|ms| host.count_starts(ms, ms + 750));
    for (index, most) in [16, 30, 58, 114].into_iter().enumerate() {
        expect_that!(quarters[index], all![ge(most / 2), le(most)], "{index}");
    }
    expect_that!(host.count_starts(5_000, 6_000), ge(490));
    expect_that!(host.guard.load_sample(at(6_000)).cold, eq(false));
    expect_that!(host.guard.load_sample(at(6_000)).start_wait_us, eq(0));
}

/// Guards against a limit on targets of services without a rule, on targets that do not say
/// that they are cold, and on another target of the same host.
#[gtest]
fn targets_that_are_not_cold_are_not_limited() {
    for (rule, cold_until_ms) in [(None, 10_000), (warm_up(1), 0)] {
        let mut host = Host::new(rule);
        host.cold_until_ms = cold_until_ms;
        host.check_health(0, false);
        let admissions = (0..30).map(|_| host.offer(0, 1_000));
        expect_that!(admissions.collect::<Vec<_>>(), each(eq(&Admission::Start)));
        expect_that!(host.guard.is_cold(at(0)), eq(false));
    }
    let mut host = Host::new(warm_up(1));
    host.heartbeat(0, 5_000);
    let old_generation = host.guard.target_generation();
    expect_that!(host.guard.is_cold(at(1)), eq(true));
    host.born_ms = 2;
    host.heartbeat(1, 0);
    expect_that!(host.guard.is_cold(at(1)), eq(false));
    let report = ColdReport::Response(5_000);
    host.guard.record_cold(at(2), old_generation, report);
    expect_that!(host.guard.is_cold(at(2)), eq(false));
}

/// Guards against a target that gets its full rate, or more than the bound while it is cold, because its
/// announcement lapsed and the same instance returned.
#[gtest]
fn lapsed_announcement_does_not_end_the_limit() {
    let mut host = Host::new(warm_up(10));
    host.cold_until_ms = 2_000;
    host.check_health(0, false);
    for ms in [1_000, 3_000] {
        host.check_health(ms, false);
        for _ in 0..30 {
            host.offer(ms, 100);
        }
        let before = host.guard.load_sample(at(ms));
        host.lapse(ms);
        host.heartbeat(ms, 0);
        let after = host.guard.load_sample(at(ms));
        expect_that!(
            (after.cold, after.start_interval_us),
            eq((true, before.start_interval_us)),
            "{ms}"
        );
        expect_that!(host.guard.is_cold(at(ms)), eq(ms < 2_000));
        expect_that!(after.start_wait_us, gt(0), "{ms}");
    }
}

/// Guards against a late heartbeat, from before a target became cold again, that ends the limit, and
/// against one from before it became warm that limits it again.
#[gtest]
fn late_heartbeat_does_not_end_the_cold_period() {
    let mut host = Host::new(warm_up(5));
    host.cold_until_ms = 3_000;
    host.check_health(0, false);
    host.heartbeat(100, 0);
    expect_that!(host.guard.is_cold(at(100)), eq(true));
    host.heartbeat(200, 50);
    expect_that!(host.guard.is_cold(at(2_999)), eq(true));
    host.check_health(3_000, false);
    let interval_us = host.guard.load_sample(at(4_000)).start_interval_us;
    expect_that!(interval_us, gt(0));
    host.heartbeat(4_000, 500);
    expect_that!(host.guard.is_cold(at(4_000)), eq(true));
    host.check_health(4_000, false);
    let sample = host.guard.load_sample(at(4_000));
    expect_that!(sample.start_interval_us, eq(interval_us));
    host.check_health(7_000, false);
    host.heartbeat(7_000, 500);
    host.check_health(7_050, false);
    expect_that!(host.guard.load_sample(at(7_050)).cold, eq(false));
}

/// Guards against a target whose coldness is not noticed because its ordinary answers report the pace
/// of its host, so that no health check is due.
#[gtest]
fn health_is_checked_although_answers_report_the_pace() {
    let mut host = Host::new(warm_up(5));
    host.check_health(0, false);
    for ms in 1..200 {
        host.guard.record_pace(at(ms), 100);
        if ms == 100 {
            host.cold_until_ms = 3_000;
        }
        host.check_health(ms, false);
    }
    expect_that!(host.guard.is_cold(at(200)), eq(true));
}

/// Guards against starts before the guard learned that the target is cold that add up with those
/// afterwards to more than the bound.
#[gtest]
fn starts_before_the_check_count() {
    let mut host = Host::new(warm_up(4));
    host.check_health(0, false);
    host.cold_until_ms = COLD_MS;
    for ms in 1..12 {
        host.offer(ms, 500);
    }
    expect_that!(host.count_starts(0, 12), eq(11));
    // The next check is due 50 ms after the first one.
    for ms in 50..3_000 {
        host.advance(ms);
        host.check_health(ms, false);
        host.offer(ms, 500);
    }
    expect_that!(host.most_cold_in_a_second(), le(14));
    expect_that!(host.count_starts(1_000, 2_000), eq(4));
}
