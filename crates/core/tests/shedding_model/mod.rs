//! Simulation of one overloaded target in virtual time, under the guard and under plain orders.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr};

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

/// Order in which requests are served, and which are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    EarliestDeadline,
    ShortestJob,
    /// The guard without shedding.
    Present,
    /// The guard with shedding.
    Shedding,
}

/// Requests of one route and workspace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    pub(crate) class: u32,
    pub(crate) priority: u32,
    pub(crate) workspace: u32,
    pub(crate) per_second: f64,
    pub(crate) service_us: u64,
    pub(crate) due_us: u64,
    pub(crate) timeout_us: u64,
    /// Factor of the rate in the burst, and length of the burst in microseconds.
    pub(crate) burst: (f64, u64),
}

/// One target and what it is asked for. Bursts begin after [`BURST_AT_US`].
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) name: &'static str,
    pub(crate) slots: u32,
    /// Whether service times are exponential; otherwise they differ from the mean by up to 40 %.
    pub(crate) is_exponential: bool,
    pub(crate) streams: Vec<Stream>,
}

pub(crate) const BURST_AT_US: u64 = 5 * MICROS_PER_SECOND;
const SIMULATED_US: u64 = 15 * MICROS_PER_SECOND;

impl Load {
    /// Scales the rates, so that the usual load is a share of the capacity.
    pub(crate) fn at_usual_load(mut self, share: f64) -> Self {
        let demand = |stream: &Stream| stream.per_second * stream.service_us as f64 / 1e6;
        let slots: f64 = self.streams.iter().map(demand).sum();
        for stream in &mut self.streams {
            stream.per_second *= share * f64::from(self.slots) / slots;
        }
        self
    }
}

/// Results of the requests of one stream that arrived in the burst.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) offered: f64,
    pub(crate) on_time: f64,
    pub(crate) late: f64,
}

impl Outcome {
    pub(crate) fn served(&self) -> f64 {
        (self.on_time + self.late) / self.offered.max(1.0)
    }

    pub(crate) fn add(&mut self, other: &Outcome) {
        self.offered += other.offered;
        self.on_time += other.on_time;
        self.late += other.late;
    }

    /// Returns the lost value in requests of the most urgent priority.
    pub(crate) fn lost_value(&self, priority: u32) -> f64 {
        (self.offered - self.on_time - self.late / 10.0) / f64::from(1_u32 << priority)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(u64),
    Expire,
}

#[derive(Clone, Copy)]
struct Request {
    stream: usize,
    arrived: Instant,
    started: Instant,
    service_us: u64,
    due: Instant,
    deadline: Instant,
}

/// A bounded queue of which the first request in the order starts and none is displaced.
struct PlainQueue {
    waiting: Vec<u64>,
    busy: u32,
}

pub(crate) struct Simulation<'a> {
    load: &'a Load,
    order: Order,
    guard: Guard,
    plain: PlainQueue,
    rng: StdRng,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    requests: HashMap<u64, Request>,
    next_id: u64,
    outcomes: Vec<Outcome>,
}

fn key(id: u64) -> RequestKey {
    RequestKey {
        id: RequestId(u128::from(id)),
        attempt: 0,
    }
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(load: &'a Load, order: Order, seed: u64) -> Self {
        let mut guard = Guard::new(GuardSettings::default());
        guard.set_shedding(order == Order::Shedding);
        guard.announce(
            Instant::default(),
            Announcement {
                instance: TargetInstance::default(),
                service: "stock",
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                slots: load.slots,
                connections: 220,
                expires: Instant::MAX,
                leaving: false,
            },
        );
        Simulation {
            load,
            order,
            guard,
            plain: PlainQueue {
                waiting: Vec::new(),
                busy: 0,
            },
            rng: StdRng::seed_from_u64(seed),
            now: Instant::default(),
            events: BinaryHeap::new(),
            requests: HashMap::default(),
            next_id: 0,
            outcomes: vec![Outcome::default(); load.streams.len()],
        }
    }

    /// Runs the simulation and returns the outcome of each stream.
    pub(crate) fn run(mut self) -> Vec<Outcome> {
        for stream in 0..self.load.streams.len() {
            self.schedule_arrival(stream);
        }
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at.as_micros() > SIMULATED_US {
                break;
            }
            self.now = at;
            match event {
                Event::Arrive(stream) => self.arrive(stream),
                Event::End(id) => self.end(id),
                Event::Expire => self.wake_due(),
            }
        }
        self.outcomes
    }

    fn schedule(&mut self, micros: u64, event: Event) {
        let at = self.now.saturating_add_micros(micros);
        self.events.push(Reverse((at, event)));
    }

    fn is_burst(&self, stream: &Stream, at: Instant) -> bool {
        (BURST_AT_US..BURST_AT_US + stream.burst.1).contains(&at.as_micros())
    }

    fn schedule_arrival(&mut self, index: usize) {
        let stream = &self.load.streams[index];
        let factor = if self.is_burst(stream, self.now) {
            stream.burst.0
        } else {
            1.0
        };
        let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / (stream.per_second * factor);
        // A gap that crosses the start of the burst is drawn again there, at the new rate.
        let gap_us = (gap_s * 1e6) as u64;
        self.schedule(gap_us, Event::Arrive(index));
    }

    fn arrive(&mut self, index: usize) {
        self.schedule_arrival(index);
        let stream = self.load.streams[index];
        let id = self.next_id;
        self.next_id += 1;
        let request = Request {
            stream: index,
            arrived: self.now,
            started: self.now,
            service_us: (stream.service_us as f64 * self.spread()) as u64,
            due: self.now.saturating_add_micros(stream.due_us),
            deadline: self.now.saturating_add_micros(stream.timeout_us),
        };
        self.requests.insert(id, request);
        if self.is_counted(&request) {
            self.outcomes[index].offered += 1.0;
        }
        match self.order {
            Order::EarliestDeadline | Order::ShortestJob => self.offer_plain(id),
            Order::Present | Order::Shedding => self.offer_to_guard(id, &stream, &request),
        }
    }

    fn spread(&mut self) -> f64 {
        let random: f64 = self.rng.random();
        match self.load.is_exponential {
            true => -(1.0 - random).ln(),
            false => 0.6 + 0.8 * random,
        }
    }

    /// Only the time of the bursts counts, as the load before and after is served by any order.
    fn is_counted(&self, request: &Request) -> bool {
        let longest = self.load.streams.iter().map(|stream| stream.burst.1).min();
        let end = BURST_AT_US + longest.unwrap_or_default();
        (BURST_AT_US..end).contains(&request.arrived.as_micros())
    }

    fn offer_plain(&mut self, id: u64) {
        if self.plain.waiting.len() < 2 * self.load.slots as usize {
            self.plain.waiting.push(id);
        }
        self.start_plain();
    }

    fn start_plain(&mut self) {
        while self.plain.busy < self.load.slots {
            let (requests, streams) = (&self.requests, &self.load.streams);
            let order = |id: &u64| match self.order {
                Order::ShortestJob => streams[requests[id].stream].service_us,
                _ => requests[id].deadline.as_micros(),
            };
            let now = self.now;
            self.plain.waiting.retain(|id| {
                let service_us = streams[requests[id].stream].service_us;
                now.saturating_add_micros(service_us * 3 / 5) < requests[id].deadline
            });
            let waiting = &mut self.plain.waiting;
            let Some(next) =
                (0..waiting.len()).min_by_key(|&at| (order(&waiting[at]), waiting[at]))
            else {
                return;
            };
            let id = waiting.remove(next);
            self.plain.busy += 1;
            self.start(id);
        }
    }

    fn offer_to_guard(&mut self, id: u64, stream: &Stream, request: &Request) {
        let offer = Offer {
            key: key(id),
            service: "stock",
            deadline: request.deadline,
            has_alternative: false,
            answer_by: None,
            urgency: Urgency {
                class: stream.class,
                priority: stream.priority,
                capacity_share: stream.workspace,
                due: Some(request.due),
            },
        };
        match self.guard.offer(self.now, &offer) {
            Admission::Start => self.start_dispatched(id),
            Admission::Queued => self.schedule(stream.timeout_us, Event::Expire),
            Admission::Refused(_) => {}
        }
        self.wake_due();
    }

    fn wake_due(&mut self) {
        let wakeups = self.guard.expire(self.now);
        self.wake(wakeups);
    }

    fn wake(&mut self, wakeups: Vec<Wakeup>) {
        for wakeup in wakeups {
            if wakeup.admission == Admission::Start {
                self.start_dispatched(wakeup.key.id.0 as u64);
            }
        }
    }

    fn start_dispatched(&mut self, id: u64) {
        let decision = self.guard.dispatch(self.now, key(id));
        assert_eq!(decision, DispatchDecision::Proceed);
        self.start(id);
    }

    fn start(&mut self, id: u64) {
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("a known request");
        request.started = now;
        let time_us = request.service_us.min(request.deadline.micros_since(now));
        self.schedule(time_us, Event::End(id));
    }

    fn end(&mut self, id: u64) {
        let request = self.requests[&id];
        let service_us = self.now.micros_since(request.started);
        let is_answered = service_us == request.service_us;
        if is_answered && self.is_counted(&request) {
            let outcome = &mut self.outcomes[request.stream];
            match self.now <= request.due {
                true => outcome.on_time += 1.0,
                false => outcome.late += 1.0,
            }
        }
        match (self.order, is_answered) {
            (Order::EarliestDeadline | Order::ShortestJob, _) => {
                self.plain.busy -= 1;
                self.start_plain();
            }
            (_, true) => {
                let outcome = ExchangeOutcome::Completed {
                    server_error: false,
                };
                let wakeups = self.guard.finish(self.now, key(id), outcome, service_us);
                self.wake(wakeups);
            }
            (_, false) => {
                let wakeups = self.guard.cancel(self.now, key(id));
                self.wake(wakeups);
            }
        }
    }
}
