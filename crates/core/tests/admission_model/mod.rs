//! Model of the promises that the guard makes to entries.

use std::{collections::BTreeMap, net::SocketAddr};

use plantainpost_core::{
    admission::{
        Admission, Announcement, Dispatch, FenceState, Finish, Guard, GuardSettings, Life, Offer,
        RefuseReason, RequestKey, Urgency, Wakeup,
    },
    ids::RequestId,
    time::Instant,
};

const MAX_RECORDS: usize = 12;
pub(crate) const ENDS: [Finish; 5] = [
    Finish::Completed {
        server_error: false,
    },
    Finish::Completed { server_error: true },
    Finish::NotStarted,
    Finish::Failed,
    Finish::TargetRefused,
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
    /// `early_ms` stands for the conversion of the deadline by another connection.
    Offer {
        key: u8,
        early_ms: u64,
    },
    Dispatch {
        key: u8,
    },
    Finish {
        key: u8,
        end: usize,
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

/// What the model knows of a key.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Accepted offers; final outcomes of accepted offers.
    accepted: u32,
    ended: u32,
    dispatched: u32,
    /// The guard claimed that the request was not run.
    not_run: bool,
    holds_slot: bool,
}

pub(crate) struct Model {
    guard: Guard,
    now: Instant,
    seen: BTreeMap<u8, Seen>,
}

/// True deadline of a key, so that copies of a request agree on it.
fn deadline(key: u8, early_ms: u64) -> Instant {
    let deadline = Instant::from_millis(1_000 + 400 * u64::from(key));
    deadline.saturating_sub_micros(early_ms * 1_000)
}

fn request(key: u8) -> RequestKey {
    RequestKey {
        id: RequestId(u128::from(key)),
        attempt: 0,
    }
}

impl Model {
    pub(crate) fn new() -> Self {
        let cfg = GuardSettings {
            max_records: MAX_RECORDS,
            ..GuardSettings::default()
        };
        Model {
            guard: Guard::new(cfg),
            now: Instant::default(),
            seen: BTreeMap::new(),
        }
    }

    fn seen(&mut self, key: u8) -> &mut Seen {
        self.seen.entry(key).or_default()
    }

    /// Returns whether a record for this deadline may have been dropped.
    fn is_forgotten(&self, deadline: Instant) -> bool {
        deadline.saturating_add_millis(1_100) <= self.now
    }

    fn claim_not_run(&mut self, key: u8) {
        let seen = self.seen(key);
        assert_eq!(
            seen.dispatched, 0,
            "{key} was run and is reported as not run"
        );
        seen.not_run = true;
    }

    fn end(&mut self, key: u8) {
        let seen = self.seen(key);
        seen.ended += 1;
        seen.holds_slot = false;
        assert!(
            seen.ended <= seen.accepted,
            "{key} has a second final outcome"
        );
    }

    fn start(&mut self, key: u8) {
        let seen = self.seen(key);
        assert!(seen.ended < seen.accepted, "{key} is started after its end");
        seen.holds_slot = true;
        let (in_flight, limit) = (self.guard.in_flight(), self.guard.limit());
        assert!(
            in_flight <= limit,
            "{in_flight} in flight with a limit of {limit}"
        );
    }

    fn wake(&mut self, wakeups: Vec<Wakeup>) {
        for wakeup in wakeups {
            let key = wakeup.key.id.0 as u8;
            match wakeup.admission {
                Admission::Start => self.start(key),
                Admission::Queued => panic!("a wakeup says queued"),
                Admission::Refused(reason) => {
                    assert!(reason.is_not_run());
                    self.claim_not_run(key);
                    self.end(key);
                }
            }
        }
    }

    fn offer(&mut self, key: u8, early_ms: u64) {
        let deadline = deadline(key, early_ms);
        let offer = Offer {
            key: request(key),
            service: "stock",
            deadline,
            may_decline: false,
            urgency: Urgency::default(),
        };
        let admission = self.guard.offer(self.now, &offer);
        if let Admission::Refused(reason) = admission {
            // A copy of a request so old that its record is gone is refused by its
            // deadline alone.
            let is_late_copy = reason == RefuseReason::Deadline && self.is_forgotten(deadline);
            if reason.is_not_run() && !is_late_copy {
                self.claim_not_run(key);
            }
            return;
        }
        assert!(deadline > self.now, "{key} is admitted after its deadline");
        let seen = self.seen(key);
        assert_eq!(
            (seen.accepted, seen.not_run),
            (0, false),
            "{key} is admitted again"
        );
        seen.accepted = 1;
        if admission == Admission::Start {
            self.start(key);
        }
    }

    fn dispatch(&mut self, key: u8) {
        let held = self.seen(key).holds_slot;
        let is_live = self.guard.target(self.now).is_some();
        match self.guard.dispatch(self.now, request(key)) {
            Dispatch::Go => {
                assert!(
                    held && is_live,
                    "{key} is dispatched without slot or target"
                );
                assert!(self.now < deadline(key, 0), "{key} is dispatched too late");
                let seen = self.seen(key);
                seen.dispatched += 1;
                assert_eq!(
                    (seen.dispatched, seen.not_run),
                    (1, false),
                    "{key} runs twice"
                );
            }
            Dispatch::Refused(reason) if held && self.seen(key).dispatched == 0 => {
                // Only a fence whose record has been dropped gives an unknown outcome.
                if reason != RefuseReason::Duplicate || !self.is_forgotten(deadline(key, 0)) {
                    assert!(reason.is_not_run());
                    self.claim_not_run(key);
                }
                self.end(key);
            }
            Dispatch::Refused(_) => {}
        }
    }

    fn fence(&mut self, key: u8, early_ms: u64) {
        let dispatched = self.seen(key).dispatched;
        match self
            .guard
            .fence(self.now, request(key), deadline(key, early_ms))
        {
            FenceState::Fenced => self.claim_not_run(key),
            FenceState::Started | FenceState::Finished => assert_eq!(dispatched, 1),
            FenceState::Expired => {}
        }
    }

    fn finish(&mut self, key: u8, finish: Finish, millis: u64) {
        // The model follows the contract: only a request that holds a slot ends, and
        // "not started" is said only of one that was not dispatched.
        let seen = *self.seen(key);
        if !seen.holds_slot || (finish == Finish::NotStarted) == (seen.dispatched == 1) {
            return;
        }
        self.end(key);
        let wakeups = self
            .guard
            .finish(self.now, request(key), finish, millis * 1_000);
        self.wake(wakeups);
    }

    fn cancel(&mut self, key: u8) {
        let seen = *self.seen(key);
        if seen.ended < seen.accepted {
            self.end(key);
        }
        let wakeups = self.guard.cancel(self.now, request(key));
        self.wake(wakeups);
    }

    pub(crate) fn announce(&mut self, port: u16, slots: u32, ttl_ms: u64, leaving: bool) {
        let announcement = Announcement {
            life: Life::default(),
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
            Event::Withdraw => self.guard.withdraw(self.now),
            Event::Drain(on) => self.guard.set_draining(on),
            Event::Offer { key, early_ms } => self.offer(key, early_ms),
            Event::Dispatch { key } => self.dispatch(key),
            Event::Finish { key, end, millis } => self.finish(key, ENDS[end], millis),
            Event::Cancel { key } => self.cancel(key),
            Event::Fence { key, early_ms } => self.fence(key, early_ms),
            Event::Expire => {
                let wakeups = self.guard.expire(self.now);
                self.wake(wakeups);
            }
        }
        assert!(
            self.guard.records() <= MAX_RECORDS,
            "the table outgrows its bound"
        );
        let held = self.seen.values().filter(|seen| seen.holds_slot).count();
        assert!(
            self.guard.in_flight() as usize <= held,
            "a slot has no holder"
        );
    }

    /// Lets every request end, as its task would, and checks that nothing is left.
    pub(crate) fn settle(&mut self) {
        for _ in 0..3 {
            self.apply(Event::Expire);
            for key in self.seen.keys().copied().collect::<Vec<_>>() {
                self.dispatch(key);
                let end = if self.seen(key).dispatched == 1 { 0 } else { 2 };
                self.apply(Event::Finish {
                    key,
                    end,
                    millis: 5,
                });
            }
            self.apply(Event::Wait { millis: 200_000 });
        }
        self.apply(Event::Expire);
        for (key, seen) in &self.seen {
            assert_eq!(seen.accepted, seen.ended, "{key} has no final outcome");
        }
        let guard = &self.guard;
        assert_eq!(
            (guard.in_flight(), guard.queued(), guard.records()),
            (0, 0, 0)
        );
        assert_eq!(guard.next_expiry(), None);
    }
}
