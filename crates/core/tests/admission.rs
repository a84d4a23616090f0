//! Fault cases of admission at the guard, as rows of scripts.
//!
//! A script is a list of `step = result`, separated by semicolons. Times are in
//! milliseconds. Results of steps that give wakeups are written `key:admission`;
//! a step without a result is not checked.

use std::net::SocketAddr;

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Admission, Announcement, Dispatch, FenceState, Finish, Guard, GuardSettings, Life, Offer,
        PaceSettings, RefuseReason, RequestKey, Urgency, Wakeup,
    },
    ids::RequestId,
    time::Instant,
};

/// Guard under a script, with its present time.
struct Script {
    guard: Guard,
    now: Instant,
}

fn key(name: &str) -> RequestKey {
    let attempt = u32::from(name.ends_with('\''));
    let id = RequestId(u128::from(name.as_bytes()[0]));
    RequestKey { id, attempt }
}

fn millis(word: &str) -> Instant {
    Instant::from_millis(word.parse().expect("milliseconds"))
}

fn admission(admission: Admission) -> String {
    match admission {
        Admission::Start => "start".into(),
        Admission::Queued => "queued".into(),
        Admission::Refused(reason) => reason.to_string(),
    }
}

fn wakeups(wakeups: Vec<Wakeup>) -> String {
    let name = |key: RequestKey| char::from(key.id.0 as u8);
    let words: Vec<_> = wakeups
        .into_iter()
        .map(|wakeup| format!("{}:{}", name(wakeup.key), admission(wakeup.admission)))
        .collect();
    words.join(" ")
}

fn finish(word: &str) -> Finish {
    match word {
        "ok" => Finish::Completed {
            server_error: false,
        },
        "error" => Finish::Completed { server_error: true },
        "not-started" => Finish::NotStarted,
        "failed" => Finish::Failed,
        "target-refused" => Finish::TargetRefused,
        _ => panic!("unknown end: {word}"),
    }
}

impl Script {
    fn new(max_records: usize) -> Self {
        Script {
            guard: Guard::new(GuardSettings {
                max_records,
                ..GuardSettings::default()
            }),
            now: Instant::default(),
        }
    }

    fn announce(&mut self, port: &str, slots: &str, expires: &str, leaving: bool) -> String {
        let announcement = Announcement {
            life: Life::default(),
            service: "Stock",
            address: SocketAddr::from(([127, 0, 0, 1], port.parse().expect("port"))),
            slots: slots.parse().expect("slots"),
            connections: 220,
            expires: millis(expires),
            leaving,
        };
        format!("{:?}", self.guard.announce(self.now, announcement)).to_lowercase()
    }

    fn offer(&mut self, name: &str, service: &str, deadline: &str) -> String {
        let (key, deadline) = (key(name), millis(deadline));
        admission(self.guard.offer(
            self.now,
            &Offer {
                key,
                service,
                deadline,
                may_decline: false,
                urgency: Urgency::default(),
            },
        ))
    }

    fn step(&mut self, step: &str) -> String {
        let (guard, now) = (&mut self.guard, self.now);
        match *step.split_whitespace().collect::<Vec<_>>() {
            ["at", time] => {
                self.now = millis(time);
                String::new()
            }
            ["announce", port, slots, expires] => self.announce(port, slots, expires, false),
            ["leave", port, slots, expires] => self.announce(port, slots, expires, true),
            ["withdraw"] => {
                guard.withdraw(now);
                String::new()
            }
            ["drain", on] => {
                guard.set_draining(on == "on");
                String::new()
            }
            ["offer", key, deadline] => self.offer(key, "stock", deadline),
            ["offer", key, deadline, service] => self.offer(key, service, deadline),
            ["dispatch", name] => match guard.dispatch(now, key(name)) {
                Dispatch::Go => "go".into(),
                Dispatch::Refused(reason) => reason.to_string(),
            },
            ["finish", name, end] => wakeups(guard.finish(now, key(name), finish(end), 5_000)),
            ["cancel", name] => wakeups(guard.cancel(now, key(name))),
            ["fence", name, deadline] => match guard.fence(now, key(name), millis(deadline)) {
                FenceState::Fenced => "fenced".into(),
                FenceState::Started => "started".into(),
                FenceState::Finished => "finished".into(),
                FenceState::Expired => "expired".into(),
            },
            ["expire"] => wakeups(guard.expire(now)),
            ["due"] => guard.next_expiry().is_some_and(|at| at <= now).to_string(),
            ["load"] => {
                let load = guard.load(now);
                format!("{}/{} +{}", load.in_flight, load.slots, load.queued)
            }
            ["records"] => guard.records().to_string(),
            _ => panic!("unknown step: {step}"),
        }
    }

    fn run(&mut self, failure: &str, script: &str) {
        for (i, line) in script.split(';').enumerate() {
            let (step, want) = match line.split_once('=') {
                Some((step, want)) => (step.trim(), Some(want.trim())),
                None => (line.trim(), None),
            };
            let got = self.step(step);
            expect_true!(
                want.is_none_or(|want| got == want),
                "{failure}: step {i} `{step}` gave `{got}`, not `{want:?}`"
            );
        }
    }
}

/// Each row names the failure that it guards against. A target with one slot and
/// port 1 is announced until 60 s.
const FAULTS: &[(&str, &str)] = &[
    ("a duplicate of a started request runs twice",
     "offer a 1000 = start; offer a 1000 = duplicate; dispatch a = go; offer a 1000 = duplicate;
      dispatch a = duplicate; load = 1/1 +0"),
    ("a duplicate of a queued request is queued twice",
     "offer a 1000; offer b 1000 = queued; offer b 1000 = duplicate; load = 1/1 +1"),
    ("a duplicate of a finished request runs again",
     "offer a 1000; dispatch a; finish a ok; offer a 1000 = duplicate; dispatch a = duplicate"),
    ("a duplicate of a refused request runs although it was reported as not run",
     "drain on; offer a 1000 = draining; drain off; offer a 1000 = fenced"),
    ("a retry at the same guard is taken for a duplicate",
     "drain on; offer a 1000 = draining; drain off; offer a' 1000 = start"),
    ("a request that comes after its fence runs",
     "fence a 1000 = fenced; offer a 1000 = fenced; dispatch a = fenced"),
    ("a fence is dropped before a copy with a later converted deadline arrives",
     "fence a 1000 = fenced; at 1900; expire; offer a 1990 = fenced; at 3250; expire; records = 0"),
    ("a fence repeated with a later deadline is dropped at the earlier one",
     "fence a 1000; fence a 5000 = fenced; at 3500; expire; offer a 5000 = fenced"),
    ("a fenced queued request keeps its place or is never told",
     "offer a 1000; dispatch a; offer b 1000 = queued; fence b 1000 = fenced; load = 1/1 +0;
      due = true; expire = b:fenced; due = false; finish a ok = ; dispatch b = fenced"),
    ("a request that is fenced between admission and dispatch runs or leaks its slot",
     "offer a 1000 = start; offer b 1000 = queued; fence a 1000 = fenced; dispatch a = fenced;
      due = true; expire = b:start; dispatch b = go"),
    ("a fence reports a started or finished request as not run",
     "offer a 1000; dispatch a; fence a 1000 = started; finish a ok; fence a 1000 = finished"),
    ("a fence of a request cancelled in the queue gives an unknown outcome",
     "offer a 1000; offer b 1000; cancel b = ; fence b 1000 = fenced; offer b 1000 = fenced"),
    ("a fence after the deadline claims that the request was not run",
     "at 1000; fence a 1000 = expired; records = 0"),
    ("a request past its deadline is admitted",
     "at 1000; offer a 1000 = deadline; offer a 1500 = fenced; offer b 1001 = start"),
    ("a request whose deadline passes before dispatch runs",
     "offer a 1000 = start; at 1000; dispatch a = deadline; load = 0/1 +0; offer a 2000 = fenced"),
    ("a refused dispatch followed by its end frees the slot twice",
     "offer a 1000; offer b 5000; at 1000; dispatch a = deadline; finish a not-started = b:start;
      load = 1/1 +0"),
    ("a queued request waits past its deadline",
     "offer a 9000; dispatch a; offer b 500 = queued; offer c 800 = queued; at 500;
      expire = b:deadline; finish a ok = c:start"),
    ("a queued request past its deadline gets the free slot",
     "offer a 9000; dispatch a; offer b 500; offer c 800; at 600; finish a ok = b:deadline c:start"),
    ("a slot leaks when a request is cancelled before dispatch",
     "offer a 1000 = start; offer b 1000; cancel a = b:start; dispatch a = fenced"),
    ("a slot leaks when a started request is cancelled, or its record allows a copy",
     "offer a 1000; dispatch a; offer b 1000; cancel a = b:start; fence a 1000 = finished;
      finish a ok = ; load = 1/1 +0"),
    ("cancelling a finished, fenced or unknown request has an effect",
     "offer a 1000; dispatch a; finish a ok; cancel a = ; fence b 1000; cancel b = ; cancel c = ;
      load = 0/1 +0; records = 2"),
    ("a cancelled request gets the wakeup of its fence",
     "offer a 1000; offer b 1000; fence b 1000 = fenced; cancel b = ; expire = "),
    ("requests wait for a target whose announcement lapsed",
     "announce 1 1 100 = renewed; offer a 1000; dispatch a = go; offer b 1000 = queued; at 100;
      due = true; expire = b:no-target; finish a ok = ; offer c 1000 = no-target"),
    ("a request is dispatched on a lapsed announcement, or on one renewed after a lapse",
     "announce 1 2 100; offer a 1000 = start; offer b 1000 = start; at 100;
      dispatch a = no-target; announce 1 2 900 = new; dispatch b = no-target"),
    ("a renewal in time refuses requests",
     "announce 1 1 100; offer a 1000; offer b 1000; at 99; announce 1 1 900 = renewed; at 150;
      dispatch a = go; finish a ok = b:start"),
    ("a request admitted for one target goes to its replacement",
     "offer a 1000; offer b 1000; announce 2 1 900 = replaced; expire = b:no-target;
      dispatch a = no-target; offer c 1000 = start; dispatch c = go"),
    ("a withdrawn target gets requests",
     "offer a 1000; offer b 1000; withdraw; due = true; expire = b:no-target;
      dispatch a = no-target; offer c 1000 = no-target"),
    ("a draining guard accepts new requests or drops those that it admitted",
     "offer a 1000; offer b 1000; drain on; offer c 1000 = draining; dispatch a = go;
      finish a ok = b:start; dispatch b = go"),
    ("a leaving target gets new requests, or can't come back",
     "leave 1 1 900 = renewed; offer a 1000 = draining; announce 1 1 900; offer b 1000 = start"),
    ("a request for another service reaches the target",
     "offer a 1000 photos = wrong-service; offer a 1000 = fenced"),
    ("the queue grows beyond twice the slots or isn't FIFO",
     "offer a 1000; offer b 1000 = queued; offer c 1000 = queued; offer d 1000 = overloaded;
      dispatch a; finish a ok = b:start; offer e 1000 = queued; finish b not-started = c:start"),
    ("a request that can't be answered in time is queued",
     "offer a 1000; dispatch a; finish a ok; offer b 1000; offer c 10 = queued;
      offer d 14 = overloaded; offer e 15 = queued"),
    ("a new request overtakes the queue while a slot is free",
     "offer a 1000; offer b 1000; fence a 1000; offer c 1000 = queued; expire = b:start"),
    ("a target without slots gets requests",
     "announce 1 0 900; offer a 1000 = overloaded"),
    ("more slots are announced and queued requests still wait",
     "offer a 1000; offer b 1000; announce 1 2 900; due = true; expire = b:start"),
    ("fewer slots are announced and requests are still admitted up to the old number",
     "announce 1 2 900; offer a 1000; offer b 1000; offer c 1000; announce 1 1 900; dispatch a;
      finish a ok = ; dispatch b; finish b ok = c:start"),
    ("a request that was not written to the target counts as run",
     "offer a 1000; dispatch a; finish a not-started; fence a 1000 = fenced; offer a 1000 = fenced"),
    ("a failed exchange counts as not run",
     "offer a 1000; dispatch a; finish a failed; fence a 1000 = finished"),
    ("a record of a request still with the target is dropped at its deadline",
     "offer a 1000; dispatch a; at 9000; expire; records = 1; offer a 9999 = duplicate;
      finish a ok; expire; records = 0"),
];

/// Guards against the failure that each row names.
#[gtest]
fn faults() {
    for (failure, script) in FAULTS {
        let mut run = Script::new(64);
        run.run(failure, "announce 1 1 60000 = new");
        run.run(failure, script);
    }
}

/// Guards against a full table that grows, forgets a fence, or claims a fence that
/// it could not write.
#[gtest]
fn full_table() {
    let mut run = Script::new(2);
    run.run(
        "table full",
        "announce 1 1 60000; offer a 1000 = start; fence b 1000 = fenced; records = 2;
         offer c 9000 = table-full; fence d 9000 = expired; offer b 1000 = fenced;
         dispatch a = go; finish a ok; records = 2; at 3200; offer c 9000 = table-full;
         at 3250; offer c 9000 = start; records = 1",
    );
}

/// Guards against reasons that claim "not run" without a fence, and against a change
/// of the words that callers see.
#[gtest]
fn reasons() {
    for reason in RefuseReason::ALL {
        let is_known = !["duplicate", "table-full"].contains(&reason.as_str());
        expect_that!(reason.is_not_run(), eq(is_known), "{reason}");
        expect_that!(
            serde_json::to_string(&reason).expect("JSON"),
            eq(&format!("\"{reason}\""))
        );
    }
}

/// A guard with one target of 12 slots that told the usual pace and now tells another.
fn paced_guard(now: Instant, percent: u32) -> Guard {
    let mut guard = Guard::new(GuardSettings::default());
    guard.announce(
        now,
        Announcement {
            life: Life::default(),
            service: "stock",
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: 12,
            connections: 220,
            expires: now.saturating_add_millis(60_000),
            leaving: false,
        },
    );
    guard.note_pace(now, 100);
    guard.note_pace(now, percent);
    guard
}

fn paced_offer(id: u128, may_decline: bool) -> Offer<'static> {
    Offer {
        key: RequestKey {
            id: RequestId(id),
            attempt: 0,
        },
        service: "stock",
        deadline: Instant::from_millis(5_000),
        may_decline,
        urgency: Urgency::default(),
    }
}

/// Guards against work that starts in a slow moment of the target's host, where it takes
/// several times as long although the moment is short.
#[gtest]
fn a_slow_moment_is_declined_or_waited_for() {
    let now = Instant::from_millis(1_000);
    let mut guard = paced_guard(now, 500);
    let declined = guard.offer(now, &paced_offer(1, true));
    expect_that!(declined, eq(Admission::Refused(RefuseReason::Slow)));
    // Teach the guard a service time, so that waiting is worth something.
    guard.note_pace(now, 100);
    let first = paced_offer(2, false);
    expect_that!(guard.offer(now, &first), eq(Admission::Start));
    expect_that!(guard.dispatch(now, first.key), eq(Dispatch::Go));
    let done = Finish::Completed {
        server_error: false,
    };
    guard.finish(now, first.key, done, 100_000);
    guard.note_pace(now, 500);
    let held = paced_offer(3, false);
    expect_that!(guard.offer(now, &held), eq(Admission::Queued));
    expect_that!(guard.expire(now), is_empty());
    let calm = now.saturating_add_millis(40);
    guard.note_pace(calm, 100);
    let started = Wakeup {
        key: held.key,
        admission: Admission::Start,
    };
    expect_that!(guard.expire(calm), elements_are![eq(&started)]);
}

/// Guards against a request that waits for ever because the host stays slow.
#[gtest]
fn a_long_slow_time_is_not_waited_for() {
    let now = Instant::from_millis(1_000);
    let mut guard = paced_guard(now, 500);
    let held = paced_offer(1, false);
    guard.offer(now, &held);
    let later = now.saturating_add_millis(400);
    guard.note_pace(later, 500);
    expect_that!(guard.expire(later).len(), eq(1));
}

/// Guards against a limit that collapses because the target refuses a share of its requests
/// whatever their number. On such a target a limit of one served 4 requests a second instead
/// of 30, for half a minute after the fault had ended.
#[gtest]
fn refusals_at_random_leave_half_of_the_slots() {
    let mut now = Instant::from_millis(1_000);
    let mut guard = paced_guard(now, 100);
    for id in 0..200 {
        let offer = paced_offer(id, false);
        guard.offer(now, &offer);
        guard.dispatch(now, offer.key);
        now = now.saturating_add_millis(5);
        let finish = match id % 2 {
            0 => Finish::TargetRefused,
            _ => Finish::Completed {
                server_error: false,
            },
        };
        guard.finish(now, offer.key, finish, 5_000);
    }
    expect_that!(guard.limit(), ge(6));
}

/// Guards against a service that refuses everything for seconds after all its targets have
/// started again, because a target that is still cold tells a steady slow pace.
#[gtest]
fn a_steady_slow_pace_is_no_slow_moment() {
    let mut now = Instant::from_millis(1_000);
    let mut guard = paced_guard(now, 200);
    // The usual pace was told before the start, and is forgotten after a while.
    now = now.saturating_add_millis(1_100);
    guard.note_pace(now, 200);
    for id in 0..8 {
        now = now.saturating_add_millis(250);
        guard.note_pace(now, 200);
        let admission = guard.offer(now, &paced_offer(id, true));
        expect_that!(admission, eq(Admission::Start));
    }
    guard.note_pace(now, 1_000);
    let admission = guard.offer(now, &paced_offer(9, true));
    expect_that!(admission, eq(Admission::Refused(RefuseReason::Slow)));
}

/// Guards against requests that are queued although they will be refused after a wait, because
/// the target answers fewer requests than the times of its good answers promise.
#[gtest]
fn predictions_learn_from_waits() {
    let mut now = Instant::from_millis(1_000);
    let mut guard = paced_guard(now, 100);
    let offer = |id, due_ms: u64, now: Instant| Offer {
        urgency: Urgency {
            class: 1,
            priority: u32::from(due_ms == 400),
            due: Some(now.saturating_add_millis(due_ms)),
        },
        deadline: Instant::MAX,
        ..paced_offer(id, true)
    };
    let done = Finish::Completed {
        server_error: false,
    };
    // Teach a time of 100 ms.
    for id in 0..10 {
        let offer = offer(id, 5_000, now);
        guard.offer(now, &offer);
        guard.dispatch(now, offer.key);
        guard.finish(now, offer.key, done, 100_000);
    }
    // 12 slots and a queue of 20 requests, as at each of the steps below.
    let mut running: Vec<RequestKey> = Vec::new();
    for id in 100..132 {
        let offer = offer(id, 60_000, now);
        if guard.offer(now, &offer) == Admission::Start {
            guard.dispatch(now, offer.key);
            running.push(offer.key);
        }
    }
    expect_that!(guard.queued(), eq(20));
    let asks_400_ms = offer(1_000, 400, now);
    expect_that!(guard.offer(now, &asks_400_ms), eq(Admission::Queued));
    guard.cancel(now, asks_400_ms.key);
    for id in 200..260 {
        now = now.saturating_add_millis(100);
        let key = running.remove(0);
        // A failure says nothing about the time of a good answer.
        for wakeup in guard.finish(now, key, Finish::Failed, 100_000) {
            guard.dispatch(now, wakeup.key);
            running.push(wakeup.key);
        }
        guard.offer(now, &offer(id, 60_000, now));
    }
    expect_that!(guard.queued(), eq(20));
    let asks_400_ms = offer(1_001, 400, now);
    let admission = guard.offer(now, &asks_400_ms);
    expect_that!(admission, eq(Admission::Refused(RefuseReason::Overloaded)));
}

/// Guards against more health checks than the operators allow a target, where they allow few.
#[gtest]
fn the_pace_is_measured_no_more_often_than_allowed() {
    for per_second in [0, 1, 5, 60] {
        let mut guard = Guard::new(GuardSettings {
            pace: PaceSettings::with_rate(per_second),
            ..Default::default()
        });
        let mut now = Instant::from_millis(1_000);
        guard.note_pace(now, 100);
        let mut asked = 0;
        for _ in 0..10_000 {
            now = now.saturating_add_millis(1);
            if guard.ask_pace(now) {
                asked += 1;
                guard.note_pace(now, 100);
            }
        }
        expect_that!(
            asked,
            all![ge(per_second.min(1)), le(10 * per_second)],
            "{per_second}"
        );
    }
}

/// Guards against a request that a stopping node starts although it can't end before the
/// process does: it waited in the queue, and was cut at its target.
#[gtest]
fn no_request_starts_that_the_end_of_the_node_would_cut() {
    let now = Instant::from_millis(1_000);
    let mut guard = paced_guard(now, 100);
    let offer = |id| Offer {
        urgency: Urgency {
            class: 1,
            ..Urgency::default()
        },
        ..paced_offer(id, false)
    };
    let done = Finish::Completed {
        server_error: false,
    };
    for id in 0..10 {
        let offer = offer(id);
        guard.offer(now, &offer);
        guard.dispatch(now, offer.key);
        guard.finish(now, offer.key, done, 1_000_000);
    }
    let first = offer(100);
    guard.offer(now, &first);
    for id in 100..113 {
        let offer = offer(id);
        guard.offer(now, &offer);
        guard.dispatch(now, offer.key);
    }
    expect_that!(guard.queued(), eq(1));
    guard.set_end(now.saturating_add_millis(2_500));
    // The one that waits gets its slot too late.
    let late = now.saturating_add_millis(1_800);
    let wakeups = guard.finish(late, first.key, done, 1_000_000);
    let started: Vec<_> = wakeups.iter().map(|wakeup| wakeup.key).collect();
    expect_that!(started, elements_are![eq(&offer(112).key)]);
    let dispatch = guard.dispatch(late, offer(112).key);
    expect_that!(dispatch, eq(Dispatch::Refused(RefuseReason::Draining)));
    // A new one that could still end is taken before, and refused after that time.
    let early = now.saturating_add_millis(1_000);
    let mut other = paced_guard(now, 100);
    other.set_end(now.saturating_add_millis(2_500));
    expect_that!(other.offer(early, &offer(200)), eq(Admission::Start));
    let refused = guard.offer(late, &offer(201));
    expect_that!(refused, eq(Admission::Refused(RefuseReason::Draining)));
}

/// Guards against a refusal for want of time that is told as a full target: those who explain it
/// afterwards would look for load, and the time was spent before.
#[gtest]
fn too_little_time_is_no_overload() {
    let now = Instant::from_millis(1_000);
    let mut guard = paced_guard(now, 100);
    let offer = |id, millis| Offer {
        deadline: now.saturating_add_millis(millis),
        urgency: Urgency {
            class: 1,
            ..Urgency::default()
        },
        ..paced_offer(id, false)
    };
    for id in 1..=8 {
        let served = offer(id, 5_000);
        expect_that!(guard.offer(now, &served), eq(Admission::Start));
        guard.dispatch(now, served.key);
        let finish = Finish::Completed {
            server_error: false,
        };
        guard.finish(now, served.key, finish, 200_000);
    }
    let admission = guard.offer(now, &offer(100, 17));
    expect_that!(admission, eq(Admission::Refused(RefuseReason::Deadline)));
    expect_that!(guard.offer(now, &offer(101, 1_000)), eq(Admission::Start));
}
