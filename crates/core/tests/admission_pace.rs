//! Simulation of an overloaded target on a shared host, in virtual time.
//!
//! The host is slow for a quarter of the time, in periods of 150 ms, in which work takes five
//! times as long. A request keeps the pace at which it has started. More requests arrive than
//! the target can serve, so that the queue is seldom empty.

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
const MEAN_SERVICE_US: f64 = 190_000.0;
const LATENCY_TARGET_US: u64 = 800_000;
const DEADLINE_US: u64 = 1_500_000;
const SIMULATED_US: u64 = 60 * MICROS_PER_SECOND;

/// Time after which the pace of the host is drawn at random again.
const PACE_PERIOD_US: u64 = 150_000;
const SLOW_SHARE: f64 = 0.25;
const SLOW_PERCENT: u32 = 500;
const USUAL_PERCENT: u32 = 100;

/// Interval at which the node updates the pace while starts are delayed.
const POLL_INTERVAL_US: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ChangePace,
    PollPace,
    Arrive,
    End(u128),
}

struct Simulation {
    guard: Guard,
    load_factor: f64,
    rng: StdRng,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    pace_percent: u32,
    /// Instants of arrival and of dispatch of the requests in progress.
    in_progress: HashMap<u128, (Instant, Instant)>,
    arrived: u128,
    on_time: u64,
    started: u64,
    started_while_slow: u64,
}

fn key(id: u128) -> RequestKey {
    RequestKey {
        id: RequestId(id),
        attempt: 0,
    }
}

impl Simulation {
    fn new(load_factor: f64, seed: u64) -> Self {
        let mut guard = Guard::new(GuardSettings::default());
        let announcement = Announcement {
            instance: TargetInstance::default(),
            service: "stock",
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: SLOTS,
            connections: 220,
            expires: Instant::MAX,
            leaving: false,
        };
        guard.announce(Instant::default(), announcement);
        Simulation {
            guard,
            load_factor,
            rng: StdRng::seed_from_u64(seed),
            now: Instant::default(),
            events: BinaryHeap::new(),
            pace_percent: USUAL_PERCENT,
            in_progress: HashMap::default(),
            arrived: 0,
            on_time: 0,
            started: 0,
            started_while_slow: 0,
        }
    }

    fn run(mut self) -> Self {
        for event in [Event::ChangePace, Event::PollPace, Event::Arrive] {
            self.schedule_in(0, event);
        }
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at.as_micros() > SIMULATED_US {
                break;
            }
            self.now = at;
            match event {
                Event::ChangePace => self.change_pace(),
                Event::PollPace => self.poll_pace(),
                Event::Arrive => self.arrive(),
                Event::End(id) => self.end(id),
            }
        }
        self
    }

    fn schedule_in(&mut self, micros: u64, event: Event) {
        let at = self.now.saturating_add_micros(micros);
        self.events.push(Reverse((at, event)));
    }

    fn change_pace(&mut self) {
        let is_slow = self.rng.random_bool(SLOW_SHARE);
        self.pace_percent = if is_slow { SLOW_PERCENT } else { USUAL_PERCENT };
        self.schedule_in(PACE_PERIOD_US, Event::ChangePace);
    }

    fn poll_pace(&mut self) {
        self.guard.record_pace(self.now, self.pace_percent);
        let wakeups = self.guard.expire(self.now);
        self.wake(wakeups);
        self.schedule_in(POLL_INTERVAL_US, Event::PollPace);
    }

    fn arrive(&mut self) {
        let rate = f64::from(SLOTS) / MEAN_SERVICE_US * self.load_factor;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule_in(gap as u64, Event::Arrive);
        self.arrived += 1;
        let id = self.arrived;
        self.in_progress.insert(id, (self.now, self.now));
        self.guard.record_pace(self.now, self.pace_percent);
        let offer = Offer {
            key: key(id),
            service: "stock",
            deadline: self.now.saturating_add_micros(DEADLINE_US),
            has_alternative: false,
            answer_by: None,
            urgency: Urgency {
                class: 1,
                priority: 2,
                capacity_share: 0,
                due: Some(self.now.saturating_add_micros(LATENCY_TARGET_US)),
            },
        };
        match self.guard.offer(self.now, &offer) {
            Admission::Start => self.dispatch(id),
            Admission::Queued => (),
            Admission::Refused(_) => drop(self.in_progress.remove(&id)),
        }
    }

    fn dispatch(&mut self, id: u128) {
        assert_eq!(
            self.guard.dispatch(self.now, key(id)),
            DispatchDecision::Proceed
        );
        self.in_progress
            .get_mut(&id)
            .expect("request in progress")
            .1 = self.now;
        self.started += 1;
        self.started_while_slow += u64::from(self.pace_percent == SLOW_PERCENT);
        let spread = 0.7 + 0.6 * self.rng.random::<f64>();
        let micros =
            MEAN_SERVICE_US * spread * f64::from(self.pace_percent) / f64::from(USUAL_PERCENT);
        self.schedule_in(micros as u64, Event::End(id));
    }

    fn end(&mut self, id: u128) {
        let (arrived, started) = self.in_progress.remove(&id).expect("request in progress");
        self.on_time += u64::from(self.now.micros_since(arrived) <= LATENCY_TARGET_US);
        self.guard.record_pace(self.now, self.pace_percent);
        let outcome = ExchangeOutcome::Completed {
            server_error: false,
        };
        let time_us = self.now.micros_since(started);
        let wakeups = self.guard.finish(self.now, key(id), outcome, time_us);
        self.wake(wakeups);
    }

    fn wake(&mut self, wakeups: Vec<Wakeup>) {
        for wakeup in wakeups {
            let id = wakeup.key.id.0;
            match wakeup.admission {
                Admission::Start => self.dispatch(id),
                _ => drop(self.in_progress.remove(&id)),
            }
        }
    }
}

/// Guards against requests that were queued before a slow period and start in it: each
/// occupies its slot for the time of five others, and misses its latency target.
#[gtest]
fn queued_requests_wait_until_the_host_is_fast_again() {
    for seed in 1..=3 {
        let run = Simulation::new(1.3, seed).run();
        let slow_share = run.started_while_slow as f64 / run.started as f64;
        let capacity = f64::from(SLOTS) / MEAN_SERVICE_US * SIMULATED_US as f64;
        let goodput = run.on_time as f64 / capacity;
        println!("seed {seed}: started slow {slow_share:.3}, on time {goodput:.3} of the capacity");
        expect_that!(slow_share, le(0.05), "seed {seed}");
        // The host is not slow for three quarters of the time.
        expect_that!(goodput, ge(0.75 * 0.9), "seed {seed}");
    }
}
