//! Simulation of an overloaded target in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr};

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Admission, Announcement, DispatchDecision, ExchangeOutcome, Guard, GuardSettings, Offer,
        RequestKey, TargetInstance, Urgency, Wakeup,
    },
    collections::HashMap,
    ids::RequestId,
    time::{Instant, MICROS_PER_SECOND},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 12;
const MEAN_SERVICE_US: f64 = 20_000.0;
const SIMULATED_US: u64 = 60 * MICROS_PER_SECOND;

/// Distribution of service times around their mean.
#[derive(Clone, Copy, Debug)]
enum ServiceTimeSpread {
    Fixed,
    Uniform,
    Exponential,
}

/// Behaviour of the target and offered load of one simulation.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    service_times: ServiceTimeSpread,
    /// Offered rate as a multiple of the capacity.
    load_factor: f64,
    timeout_us: u64,
    /// Number of requests that the target can work on at full speed; more of them slow all
    /// down.
    real_slots: u32,
    /// In-flight requests above which the target answers 503 at once.
    refuses_above_in_flight: u32,
    refuses_until: Instant,
    /// Instant from which on the target answers every request with an error.
    errors_from: Instant,
}

const BASE_SCENARIO: Scenario = Scenario {
    service_times: ServiceTimeSpread::Exponential,
    load_factor: 1.5,
    timeout_us: 100_000,
    real_slots: SLOTS,
    refuses_above_in_flight: u32::MAX,
    refuses_until: Instant::MAX,
    errors_from: Instant::MAX,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    End { id: u128, refused: bool },
    Expire,
}

#[derive(Debug, Default)]
struct RequestCounts {
    offered: u64,
    in_time: u64,
    late: u64,
    refused_on_arrival: u64,
    refused_after_waiting: u64,
    target_refused: u64,
    limit: u32,
}

struct Simulation {
    guard: Guard,
    scenario: Scenario,
    rng: StdRng,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    /// Instant of arrival, later of dispatch, and deadline of the requests in progress.
    in_progress: HashMap<u128, (Instant, Instant)>,
    counts: RequestCounts,
}

fn key(id: u128) -> RequestKey {
    RequestKey {
        id: RequestId(id),
        attempt: 0,
    }
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        Simulation {
            guard: Guard::new(GuardSettings::default()),
            scenario,
            rng: StdRng::seed_from_u64(seed),
            now: Instant::default(),
            events: BinaryHeap::new(),
            in_progress: HashMap::default(),
            counts: RequestCounts::default(),
        }
    }

    fn run(mut self) -> RequestCounts {
        self.guard.announce(
            self.now,
            Announcement {
                instance: TargetInstance::default(),
                service: "stock",
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                slots: SLOTS,
                connections: 220,
                expires: Instant::MAX,
                leaving: false,
            },
        );
        self.schedule_in(0, Event::Arrive);
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at.as_micros() > SIMULATED_US {
                break;
            }
            self.now = at;
            match event {
                Event::Arrive => self.arrive(),
                Event::End { id, refused } => self.end(id, refused),
                Event::Expire => {
                    let wakeups = self.guard.expire(self.now);
                    self.wake(wakeups);
                }
            }
        }
        self.counts.limit = self.guard.load_sample(self.now).slots;
        self.counts
    }

    fn schedule_in(&mut self, micros: u64, event: Event) {
        let at = self.now.saturating_add_micros(micros);
        self.events.push(Reverse((at, event)));
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive(&mut self) {
        let rate =
            f64::from(self.scenario.real_slots) / MEAN_SERVICE_US * self.scenario.load_factor;
        let gap = self.exponential() / rate;
        self.schedule_in(gap as u64, Event::Arrive);
        self.counts.offered += 1;
        let id = u128::from(self.counts.offered);
        let deadline = self.now.saturating_add_micros(self.scenario.timeout_us);
        self.in_progress.insert(id, (self.now, deadline));
        let offer = Offer {
            key: key(id),
            service: "stock",
            deadline,
            has_alternative: false,
            answer_by: None,
            urgency: Urgency::default(),
        };
        match self.guard.offer(self.now, &offer) {
            Admission::Start => self.dispatch(id),
            Admission::Queued => self.schedule_in(self.scenario.timeout_us, Event::Expire),
            Admission::Refused(_) => {
                self.counts.refused_on_arrival += 1;
                self.in_progress.remove(&id);
            }
        }
    }

    /// Sends a request to the target. The request ends at its deadline at the latest.
    fn dispatch(&mut self, id: u128) {
        assert_eq!(
            self.guard.dispatch(self.now, key(id)),
            DispatchDecision::Proceed
        );
        let (started, deadline) = self.in_progress.get_mut(&id).expect("request in progress");
        *started = self.now;
        let remaining = deadline.micros_since(self.now);
        let in_flight = self.guard.in_flight();
        if in_flight > self.scenario.refuses_above_in_flight
            && self.now < self.scenario.refuses_until
        {
            return self.schedule_in(500, Event::End { id, refused: true });
        }
        let spread = match self.scenario.service_times {
            ServiceTimeSpread::Fixed => 1.0,
            ServiceTimeSpread::Uniform => 0.5 + self.rng.random::<f64>(),
            ServiceTimeSpread::Exponential => self.exponential(),
        };
        let slowdown = f64::from(in_flight.max(self.scenario.real_slots))
            / f64::from(self.scenario.real_slots);
        let service_us = (MEAN_SERVICE_US * spread * slowdown) as u64;
        self.schedule_in(service_us.min(remaining), Event::End { id, refused: false });
    }

    fn end(&mut self, id: u128, refused: bool) {
        let (started, deadline) = self.in_progress.remove(&id).expect("request in progress");
        let service_time = self.now.micros_since(started);
        let wakeups = if refused {
            self.counts.target_refused += 1;
            self.guard.finish(
                self.now,
                key(id),
                ExchangeOutcome::TargetRefused,
                service_time,
            )
        } else if self.now >= deadline {
            self.counts.late += 1;
            self.guard.cancel(self.now, key(id))
        } else {
            self.counts.in_time += 1;
            let outcome = ExchangeOutcome::Completed {
                server_error: self.now >= self.scenario.errors_from,
            };
            self.guard.finish(self.now, key(id), outcome, service_time)
        };
        self.wake(wakeups);
    }

    fn wake(&mut self, wakeups: Vec<Wakeup>) {
        for wakeup in wakeups {
            let id = wakeup.key.id.0;
            if wakeup.admission == Admission::Start {
                self.dispatch(id);
            } else {
                self.counts.refused_after_waiting += 1;
                self.in_progress.remove(&id);
            }
        }
    }
}

/// Runs a scenario, prints its figures, and returns the goodput as a share of the capacity.
fn run_and_print(scenario: Scenario, seed: u64) -> (f64, RequestCounts) {
    let counts = Simulation::new(scenario, seed).run();
    let capacity = f64::from(scenario.real_slots) / MEAN_SERVICE_US * SIMULATED_US as f64;
    let goodput = counts.in_time as f64 / capacity;
    println!("{scenario:?} seed {seed}: goodput {goodput:.3} of capacity, {counts:?}");
    (goodput, counts)
}

/// Guards against late answers instead of early refusals under overload.
#[gtest]
fn goodput_stays_high_under_overload() {
    let rows = [
        (ServiceTimeSpread::Fixed, 100_000),
        (ServiceTimeSpread::Fixed, 50_000),
        (ServiceTimeSpread::Uniform, 100_000),
        (ServiceTimeSpread::Uniform, 60_000),
        (ServiceTimeSpread::Exponential, 100_000),
        (ServiceTimeSpread::Exponential, 200_000),
    ];
    for (service_times, timeout_us) in rows {
        for seed in 1..=2 {
            let scenario = Scenario {
                service_times,
                timeout_us,
                ..BASE_SCENARIO
            };
            let (goodput, counts) = run_and_print(scenario, seed);
            expect_that!(goodput, ge(0.95), "{scenario:?}");
            expect_that!(counts.refused_after_waiting, eq(0), "{scenario:?}");
        }
    }
}

/// Guards against refusals and a low limit while the target has capacity to spare.
#[gtest]
fn nothing_is_refused_at_half_load() {
    for service_times in [
        ServiceTimeSpread::Fixed,
        ServiceTimeSpread::Uniform,
        ServiceTimeSpread::Exponential,
    ] {
        let scenario = Scenario {
            service_times,
            load_factor: 0.5,
            timeout_us: 1_000_000,
            ..BASE_SCENARIO
        };
        let (_, counts) = run_and_print(scenario, 1);
        expect_that!(
            counts.refused_on_arrival + counts.refused_after_waiting,
            eq(0)
        );
        expect_that!(counts.limit, eq(SLOTS));
    }
}

/// Guards against overload of a target that announces three times its real slots.
#[gtest]
fn overstated_slots_lower_the_limit() {
    for service_times in [
        ServiceTimeSpread::Fixed,
        ServiceTimeSpread::Uniform,
        ServiceTimeSpread::Exponential,
    ] {
        let scenario = Scenario {
            service_times,
            real_slots: SLOTS / 3,
            timeout_us: 300_000,
            ..BASE_SCENARIO
        };
        let (goodput, counts) = run_and_print(scenario, 1);
        expect_that!(counts.limit, lt(SLOTS), "{scenario:?}");
        expect_that!(goodput, ge(0.95), "{scenario:?}");
    }
}

/// Guards against a limit that stays above what the target accepts.
#[gtest]
fn target_refusals_lower_the_limit() {
    let scenario = Scenario {
        refuses_above_in_flight: 8,
        real_slots: 8,
        ..BASE_SCENARIO
    };
    let (goodput, counts) = run_and_print(scenario, 1);
    expect_that!(counts.limit, le(9));
    expect_that!(goodput, ge(0.95));
}

/// Guards against a limit that stays low after the target has stopped refusing.
#[gtest]
fn limit_rises_after_target_refusals_end() {
    let refuses_until = Instant::from_millis(10_000);
    let scenario = Scenario {
        refuses_above_in_flight: 4,
        refuses_until,
        ..BASE_SCENARIO
    };
    let (_, counts) = run_and_print(scenario, 1);
    expect_that!(counts.target_refused, gt(0));
    expect_that!(counts.limit, eq(SLOTS));
}

/// Guards against sampling of the service time at low concurrency that never ends, because
/// the target answers only errors from the middle of the sampling on.
#[gtest]
fn sampling_ends_while_target_answers_errors() {
    // The first sampling takes place between 100 and 300 ms.
    for millis in (100..300).step_by(20) {
        let errors_from = Instant::from_millis(millis);
        let scenario = Scenario {
            service_times: ServiceTimeSpread::Fixed,
            errors_from,
            ..BASE_SCENARIO
        };
        let (goodput, _) = run_and_print(scenario, 1);
        expect_that!(goodput, ge(0.95), "errors from {millis} ms");
    }
}
