//! Model of the guarantees that the guard gives to entries. Panics when one is broken.

use std::{collections::BTreeMap, net::SocketAddr};

use plantainpost_core::{
    admission::{
        Admission, Announcement, ClosedReason, DispatchDecision, ExchangeOutcome, FenceState,
        Guard, GuardSettings, Offer, RefuseReason, RequestKey, TargetInstance, Urgency, Wakeup,
    },
    ids::RequestId,
    time::Instant,
};

const MAX_RECORDS: usize = 12;
pub(crate) const OUTCOMES: [ExchangeOutcome; 5] = [
    ExchangeOutcome::Completed {
        server_error: false,
    },
    ExchangeOutcome::Completed { server_error: true },
    ExchangeOutcome::NotStarted,
    ExchangeOutcome::Failed,
    ExchangeOutcome::TargetRefused,
];

#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    Wait {
        millis: u64,
    },
    Announce {
        port: u16,
        slots: u32,
        ttl_ms: u64,
        leaving: bool,
    },
    Withdraw,
    Drain(bool),
    Close(bool),
    /// Holds all starts.
    Hold {
        millis: u64,
    },
    /// `early_ms` is how much too early the connection converted the deadline.
    Offer {
        key: u8,
        early_ms: u64,
    },
    Dispatch {
        key: u8,
    },
    /// `outcome_index` is an index of [`OUTCOMES`].
    Finish {
        key: u8,
        outcome_index: usize,
        millis: u64,
    },
    Cancel {
        key: u8,
    },
    Fence {
        key: u8,
        early_ms: u64,
    },
    Expire,
}

/// What has happened to the request with a key.
#[derive(Clone, Copy, Debug, Default)]
struct RequestHistory {
    /// Number of accepted offers.
    accepted: u32,
    /// Number of final outcomes of accepted offers.
    ended: u32,
    dispatched: u32,
    /// The guard reported that the request was not run.
    reported_not_run: bool,
    holds_slot: bool,
}

pub(crate) struct Model {
    guard: Guard,
    now: Instant,
    held_until: Instant,
    histories: BTreeMap<u8, RequestHistory>,
}

/// Returns the deadline of the request with a key, as converted by one connection. All copies
/// of a request have the same true deadline.
fn converted_deadline(key: u8, early_ms: u64) -> Instant {
    let deadline = Instant::from_millis(1_000 + 400 * u64::from(key));
    deadline.saturating_sub_micros(early_ms * 1_000)
}

fn request_key(key: u8) -> RequestKey {
    RequestKey {
        id: RequestId(u128::from(key)),
        attempt: 0,
    }
}

impl Model {
    /// Creates a guard without a target. If it sheds load by value, requests differ in priority,
    /// workspace and latency target.
    pub(crate) fn new(sheds_load: bool) -> Self {
        let cfg = GuardSettings {
            max_records: MAX_RECORDS,
            ..GuardSettings::default()
        };
        let mut guard = Guard::new(cfg);
        guard.set_shedding(sheds_load);
        Model {
            guard,
            now: Instant::default(),
            held_until: Instant::default(),
            histories: BTreeMap::new(),
        }
    }

    fn urgency(&self, key: u8) -> Urgency {
        if !self.guard.sheds_load() {
            return Urgency::default();
        }
        Urgency {
            class: u32::from(key % 5),
            priority: u32::from(key % 3),
            capacity_share: u32::from(key % 4),
            due: key.is_multiple_of(2).then(|| converted_deadline(key, 500)),
        }
    }

    fn history(&mut self, key: u8) -> &mut RequestHistory {
        self.histories.entry(key).or_default()
    }

    /// Returns whether the record of a request with this deadline may have been removed.
    fn may_be_removed(&self, deadline: Instant) -> bool {
        deadline.saturating_add_millis(1_100) <= self.now
    }

    fn check_not_run(&mut self, key: u8) {
        let history = self.history(key);
        assert_eq!(
            history.dispatched, 0,
            "{key} was run and is reported as not run"
        );
        history.reported_not_run = true;
    }

    fn record_end(&mut self, key: u8) {
        let history = self.history(key);
        history.ended += 1;
        history.holds_slot = false;
        assert!(
            history.ended <= history.accepted,
            "{key} has a second final outcome"
        );
    }

    fn record_start(&mut self, key: u8) {
        assert!(self.held_until <= self.now, "{key} is started in a hold");
        let history = self.history(key);
        assert!(
            history.ended < history.accepted,
            "{key} is started after its end"
        );
        history.holds_slot = true;
        let (in_flight, limit) = (self.guard.in_flight(), self.guard.concurrency_limit());
        assert!(
            in_flight <= limit,
            "{in_flight} in flight with a limit of {limit}"
        );
    }

    fn record_wakeups(&mut self, wakeups: Vec<Wakeup>) {
        for wakeup in wakeups {
            let key = wakeup.key.id.0 as u8;
            match wakeup.admission {
                Admission::Start => self.record_start(key),
                Admission::Queued => panic!("a wakeup says queued"),
                Admission::Refused(reason) => {
                    assert!(reason.is_not_run());
                    self.check_not_run(key);
                    self.record_end(key);
                }
            }
        }
    }

    fn offer(&mut self, key: u8, early_ms: u64) {
        let deadline = converted_deadline(key, early_ms);
        let offer = Offer {
            key: request_key(key),
            service: "stock",
            deadline,
            has_alternative: false,
            answer_by: None,
            urgency: self.urgency(key),
        };
        let admission = self.guard.offer(self.now, &offer);
        if let Admission::Refused(reason) = admission {
            // A copy that arrives after the record was removed is refused only because of its
            // deadline, which says nothing about the other copies.
            let is_late_copy = reason == RefuseReason::Deadline && self.may_be_removed(deadline);
            if reason.is_not_run() && !is_late_copy {
                self.check_not_run(key);
            }
            return;
        }
        assert!(deadline > self.now, "{key} is admitted after its deadline");
        assert!(
            self.guard.closed().is_none(),
            "{key} is admitted by a closed guard"
        );
        let history = self.history(key);
        assert_eq!(
            (history.accepted, history.reported_not_run),
            (0, false),
            "{key} is admitted again"
        );
        history.accepted = 1;
        if admission == Admission::Start {
            self.record_start(key);
        }
    }

    fn dispatch(&mut self, key: u8) {
        let holds_slot = self.history(key).holds_slot;
        let has_target = self.guard.target(self.now).is_some();
        match self.guard.dispatch(self.now, request_key(key)) {
            DispatchDecision::Proceed => {
                assert!(
                    holds_slot && has_target,
                    "{key} is dispatched without slot or target"
                );
                assert!(
                    self.guard.closed().is_none(),
                    "{key} is dispatched by a closed guard"
                );
                assert!(
                    self.now < converted_deadline(key, 0),
                    "{key} is dispatched too late"
                );
                let history = self.history(key);
                history.dispatched += 1;
                assert_eq!(
                    (history.dispatched, history.reported_not_run),
                    (1, false),
                    "{key} runs twice"
                );
            }
            DispatchDecision::Refused(reason)
                if holds_slot && self.history(key).dispatched == 0 =>
            {
                // Only a fenced request whose record was removed has an unknown outcome.
                if reason != RefuseReason::Duplicate
                    || !self.may_be_removed(converted_deadline(key, 0))
                {
                    assert!(reason.is_not_run());
                    self.check_not_run(key);
                }
                self.record_end(key);
            }
            DispatchDecision::Refused(_) => {}
        }
    }

    fn fence(&mut self, key: u8, early_ms: u64) {
        let dispatched = self.history(key).dispatched;
        match self.guard.fence(
            self.now,
            request_key(key),
            converted_deadline(key, early_ms),
        ) {
            FenceState::Fenced => self.check_not_run(key),
            FenceState::Started | FenceState::Finished => assert_eq!(dispatched, 1),
            FenceState::Expired => {}
        }
    }

    fn finish(&mut self, key: u8, outcome: ExchangeOutcome, millis: u64) {
        // As callers of the guard must, the model finishes only requests that hold a slot, and
        // as "not started" only those that were not dispatched.
        let history = *self.history(key);
        if !history.holds_slot
            || (outcome == ExchangeOutcome::NotStarted) == (history.dispatched == 1)
        {
            return;
        }
        self.record_end(key);
        let wakeups = self
            .guard
            .finish(self.now, request_key(key), outcome, millis * 1_000);
        self.record_wakeups(wakeups);
    }

    fn cancel(&mut self, key: u8) {
        let history = *self.history(key);
        if history.ended < history.accepted {
            self.record_end(key);
        }
        let wakeups = self.guard.cancel(self.now, request_key(key));
        self.record_wakeups(wakeups);
    }

    pub(crate) fn announce(&mut self, port: u16, slots: u32, ttl_ms: u64, leaving: bool) {
        let announcement = Announcement {
            instance: TargetInstance::default(),
            service: "stock",
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            slots,
            connections: 220,
            expires: self.now.saturating_add_millis(ttl_ms),
            leaving,
        };
        self.guard.announce(self.now, announcement);
    }

    pub(crate) fn apply(&mut self, event: Event) {
        match event {
            Event::Wait { millis } => self.now = self.now.saturating_add_millis(millis),
            Event::Announce {
                port,
                slots,
                ttl_ms,
                leaving,
            } => {
                self.announce(port, slots, ttl_ms, leaving);
            }
            Event::Withdraw => self.guard.withdraw_target(self.now),
            Event::Drain(on) => self.guard.set_draining(on),
            Event::Close(on) => {
                let closed = on.then_some(ClosedReason::Evacuated);
                self.guard.set_closed(self.now, closed);
            }
            Event::Hold { millis } => {
                self.held_until = self.now.saturating_add_millis(millis);
                self.guard.hold_starts(self.now, self.held_until);
            }
            Event::Offer { key, early_ms } => self.offer(key, early_ms),
            Event::Dispatch { key } => self.dispatch(key),
            Event::Finish {
                key,
                outcome_index,
                millis,
            } => self.finish(key, OUTCOMES[outcome_index], millis),
            Event::Cancel { key } => self.cancel(key),
            Event::Fence { key, early_ms } => self.fence(key, early_ms),
            Event::Expire => {
                let wakeups = self.guard.expire(self.now);
                self.record_wakeups(wakeups);
            }
        }
        assert!(
            self.guard.record_count() <= MAX_RECORDS,
            "the table outgrows its bound"
        );
        let held_slots = self
            .histories
            .values()
            .filter(|history| history.holds_slot)
            .count();
        assert!(
            self.guard.in_flight() as usize <= held_slots,
            "a slot has no holder"
        );
    }

    /// Ends every request, as its task would, and checks that no state is left.
    pub(crate) fn finish_all(&mut self) {
        for _ in 0..3 {
            self.apply(Event::Expire);
            for key in self.histories.keys().copied().collect::<Vec<_>>() {
                self.dispatch(key);
                let outcome_index = if self.history(key).dispatched == 1 {
                    0
                } else {
                    2
                };
                self.apply(Event::Finish {
                    key,
                    outcome_index,
                    millis: 5,
                });
            }
            self.apply(Event::Wait { millis: 200_000 });
        }
        self.apply(Event::Expire);
        for (key, history) in &self.histories {
            assert_eq!(
                history.accepted, history.ended,
                "{key} has no final outcome"
            );
        }
        let guard = &self.guard;
        assert_eq!(
            (guard.in_flight(), guard.queued(), guard.record_count()),
            (0, 0, 0)
        );
        assert_eq!(guard.next_expiry(), None);
    }
}
