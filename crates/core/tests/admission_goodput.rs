//! Overload of one target under virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr};

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Admission, Announcement, Dispatch, Finish, Guard, GuardSettings, Life, Offer, RequestKey,
        Urgency, Wakeup,
    },
    collections::HashMap,
    ids::RequestId,
    time::{Instant, MICROS_PER_SECOND},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 12;
const MEAN_SERVICE_US: f64 = 20_000.0;
const RUN_US: u64 = 60 * MICROS_PER_SECOND;

/// Spread of service times around their mean.
#[derive(Clone, Copy, Debug)]
enum Service {
    Fixed,
    Uniform,
    Exponential,
}

/// Target and load of one run.
#[derive(Clone, Copy, Debug)]
struct Load {
    service: Service,
    /// Offered rate as a multiple of the capacity.
    factor: f64,
    timeout_us: u64,
    /// Requests that the target really works on at once; more slow all of them down.
    real_slots: u32,
    /// In-flight requests above which the target answers 503 at once.
    refuses_above: u32,
    refuses_until: Instant,
    /// The target answers every request with an error from this instant on.
    errors_from: Instant,
}

const LOAD: Load = Load {
    service: Service::Exponential,
    factor: 1.5,
    timeout_us: 100_000,
    real_slots: SLOTS,
    refuses_above: u32::MAX,
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
struct Outcome {
    offered: u64,
    in_time: u64,
    late: u64,
    /// Refused on arrival; refused after waiting.
    refused_at_once: u64,
    refused_later: u64,
    target_refused: u64,
    limit: u32,
}

struct Run {
    guard: Guard,
    load: Load,
    rng: StdRng,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    /// Instant of dispatch and deadline.
    open: HashMap<u128, (Instant, Instant)>,
    outcome: Outcome,
}

fn key(id: u128) -> RequestKey {
    RequestKey {
        id: RequestId(id),
        attempt: 0,
    }
}

impl Run {
    fn new(load: Load, seed: u64) -> Self {
        Run {
            guard: Guard::new(GuardSettings::default()),
            load,
            rng: StdRng::seed_from_u64(seed),
            now: Instant::default(),
            events: BinaryHeap::new(),
            open: HashMap::default(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        self.guard.announce(
            self.now,
            Announcement {
                life: Life::default(),
                service: "stock",
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                slots: SLOTS,
                connections: 220,
                expires: Instant::MAX,
                leaving: false,
            },
        );
        self.after(0, Event::Arrive);
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at.as_micros() > RUN_US {
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
        self.outcome.limit = self.guard.load(self.now).slots;
        self.outcome
    }

    fn after(&mut self, micros: u64, event: Event) {
        let at = self.now.saturating_add_micros(micros);
        self.events.push(Reverse((at, event)));
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive(&mut self) {
        let rate = f64::from(self.load.real_slots) / MEAN_SERVICE_US * self.load.factor;
        let gap = self.exponential() / rate;
        self.after(gap as u64, Event::Arrive);
        self.outcome.offered += 1;
        let id = u128::from(self.outcome.offered);
        let deadline = self.now.saturating_add_micros(self.load.timeout_us);
        self.open.insert(id, (self.now, deadline));
        let offer = Offer {
            key: key(id),
            service: "stock",
            deadline,
            may_decline: false,
            urgency: Urgency::default(),
        };
        match self.guard.offer(self.now, &offer) {
            Admission::Start => self.dispatch(id),
            Admission::Queued => self.after(self.load.timeout_us, Event::Expire),
            Admission::Refused(_) => {
                self.outcome.refused_at_once += 1;
                self.open.remove(&id);
            }
        }
    }

    /// Sends a request to the target. The target stops at the deadline.
    fn dispatch(&mut self, id: u128) {
        assert_eq!(self.guard.dispatch(self.now, key(id)), Dispatch::Go);
        let (started, deadline) = self.open.get_mut(&id).expect("open request");
        *started = self.now;
        let remaining = deadline.micros_since(self.now);
        let in_flight = self.guard.in_flight();
        if in_flight > self.load.refuses_above && self.now < self.load.refuses_until {
            return self.after(500, Event::End { id, refused: true });
        }
        let spread = match self.load.service {
            Service::Fixed => 1.0,
            Service::Uniform => 0.5 + self.rng.random::<f64>(),
            Service::Exponential => self.exponential(),
        };
        let slowdown =
            f64::from(in_flight.max(self.load.real_slots)) / f64::from(self.load.real_slots);
        let service = (MEAN_SERVICE_US * spread * slowdown) as u64;
        self.after(service.min(remaining), Event::End { id, refused: false });
    }

    fn end(&mut self, id: u128, refused: bool) {
        let (started, deadline) = self.open.remove(&id).expect("open request");
        let service_time = self.now.micros_since(started);
        let wakeups = if refused {
            self.outcome.target_refused += 1;
            self.guard
                .finish(self.now, key(id), Finish::TargetRefused, service_time)
        } else if self.now >= deadline {
            self.outcome.late += 1;
            self.guard.cancel(self.now, key(id))
        } else {
            self.outcome.in_time += 1;
            let finish = Finish::Completed {
                server_error: self.now >= self.load.errors_from,
            };
            self.guard.finish(self.now, key(id), finish, service_time)
        };
        self.wake(wakeups);
    }

    fn wake(&mut self, wakeups: Vec<Wakeup>) {
        for wakeup in wakeups {
            let id = wakeup.key.id.0;
            if wakeup.admission == Admission::Start {
                self.dispatch(id);
            } else {
                self.outcome.refused_later += 1;
                self.open.remove(&id);
            }
        }
    }
}

/// Runs a load, prints its figures, and returns goodput as a share of the capacity.
fn measure(load: Load, seed: u64) -> (f64, Outcome) {
    let outcome = Run::new(load, seed).run();
    let capacity = f64::from(load.real_slots) / MEAN_SERVICE_US * RUN_US as f64;
    let goodput = outcome.in_time as f64 / capacity;
    println!("{load:?} seed {seed}: goodput {goodput:.3} of capacity, {outcome:?}");
    (goodput, outcome)
}

/// Guards against overload that turns into late answers instead of early refusals.
#[gtest]
fn goodput_under_overload() {
    let rows = [
        (Service::Fixed, 100_000),
        (Service::Fixed, 50_000),
        (Service::Uniform, 100_000),
        (Service::Uniform, 60_000),
        (Service::Exponential, 100_000),
        (Service::Exponential, 200_000),
    ];
    for (service, timeout_us) in rows {
        for seed in 1..=2 {
            let load = Load {
                service,
                timeout_us,
                ..LOAD
            };
            let (goodput, outcome) = measure(load, seed);
            expect_that!(goodput, ge(0.95), "{load:?}");
            expect_that!(outcome.refused_later, eq(0), "{load:?}");
        }
    }
}

/// Guards against refusals and a low limit while the target has capacity to spare.
#[gtest]
fn nothing_is_refused_at_half_load() {
    for service in [Service::Fixed, Service::Uniform, Service::Exponential] {
        let load = Load {
            service,
            factor: 0.5,
            timeout_us: 1_000_000,
            ..LOAD
        };
        let (_, outcome) = measure(load, 1);
        expect_that!(outcome.refused_at_once + outcome.refused_later, eq(0));
        expect_that!(outcome.limit, eq(SLOTS));
    }
}

/// Guards against a guard that trusts an announcement of three times the real slots.
#[gtest]
fn misleading_announcement_lowers_the_limit() {
    for service in [Service::Fixed, Service::Uniform, Service::Exponential] {
        let load = Load {
            service,
            real_slots: SLOTS / 3,
            timeout_us: 300_000,
            ..LOAD
        };
        let (goodput, outcome) = measure(load, 1);
        expect_that!(outcome.limit, lt(SLOTS), "{load:?}");
        expect_that!(goodput, ge(0.95), "{load:?}");
    }
}

/// Guards against a guard that keeps sending what the target refuses.
#[gtest]
fn refusals_of_the_target_lower_the_limit() {
    let load = Load {
        refuses_above: 8,
        real_slots: 8,
        ..LOAD
    };
    let (goodput, outcome) = measure(load, 1);
    expect_that!(outcome.limit, le(9));
    expect_that!(goodput, ge(0.95));
}

/// Guards against a limit that stays low after the target has stopped refusing.
#[gtest]
fn limit_rises_after_refusals_have_ended() {
    let refuses_until = Instant::from_millis(10_000);
    let load = Load {
        refuses_above: 4,
        refuses_until,
        ..LOAD
    };
    let (_, outcome) = measure(load, 1);
    expect_that!(outcome.target_refused, gt(0));
    expect_that!(outcome.limit, eq(SLOTS));
}

/// Guards against a sampling of the service time at low concurrency that never ends,
/// because the target answers only errors from its middle on.
#[gtest]
fn errors_end_a_sampling() {
    // The first sampling lies between 100 and 300 ms.
    for millis in (100..300).step_by(20) {
        let errors_from = Instant::from_millis(millis);
        let load = Load {
            service: Service::Fixed,
            errors_from,
            ..LOAD
        };
        let (answered, _) = measure(load, 1);
        expect_that!(answered, ge(0.95), "errors from {millis} ms");
    }
}
