//! Fault cases of admission at the guard, as a table of scripts.
//!
//! A script is a list of steps `step = result`, separated by semicolons. Times are in
//! milliseconds. Wakeups returned by a step are written `key:admission`. The result of a
//! step without `=` is not checked.
//!
//! A request is named by a letter; an apostrophe after the letter stands for its second attempt.
//! The result of `load` has the form `in-flight/slots +queued`.

use std::net::SocketAddr;

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Admission, Announcement, DispatchDecision, ExchangeOutcome, FenceState, Guard,
        GuardSettings, Offer, PaceSettings, RefuseReason, RequestKey, TargetInstance, Urgency,
        Wakeup,
    },
    ids::RequestId,
    time::Instant,
};

/// Guard on which a script runs, with the present time.
struct ScriptRun {
    guard: Guard,
    now: Instant,
}

fn parse_key(name: &str) -> RequestKey {
    let attempt = u32::from(name.ends_with('\''));
    let id = RequestId(u128::from(name.as_bytes()[0]));
    RequestKey { id, attempt }
}

fn instant_from_ms(word: &str) -> Instant {
    Instant::from_millis(word.parse().expect("milliseconds"))
}

fn admission_text(admission: Admission) -> String {
    match admission {
        Admission::Start => "start".into(),
        Admission::Queued => "queued".into(),
        Admission::Refused(reason) => reason.to_string(),
    }
}

fn wakeups_text(wakeups: Vec<Wakeup>) -> String {
    let name = |key: RequestKey| char::from(key.id.0 as u8);
    let words: Vec<_> = wakeups
        .into_iter()
        .map(|wakeup| format!("{}:{}", name(wakeup.key), admission_text(wakeup.admission)))
        .collect();
    words.join(" ")
}

fn parse_exchange_outcome(word: &str) -> ExchangeOutcome {
    match word {
        "ok" => ExchangeOutcome::Completed {
            server_error: false,
        },
        "error" => ExchangeOutcome::Completed { server_error: true },
        "not-started" => ExchangeOutcome::NotStarted,
        "failed" => ExchangeOutcome::Failed,
        "target-refused" => ExchangeOutcome::TargetRefused,
        _ => panic!("unknown exchange outcome: {word}"),
    }
}

impl ScriptRun {
    fn new(max_records: usize) -> Self {
        ScriptRun {
            guard: Guard::new(GuardSettings {
                max_records,
                ..GuardSettings::default()
            }),
            now: Instant::default(),
        }
    }

    fn announce(&mut self, port: &str, slots: &str, expires: &str, leaving: bool) -> String {
        let announcement = Announcement {
            instance: TargetInstance::default(),
            service: "Stock",
            address: SocketAddr::from(([127, 0, 0, 1], port.parse().expect("port"))),
            slots: slots.parse().expect("slots"),
            connections: 220,
            expires: instant_from_ms(expires),
            leaving,
        };
        format!("{:?}", self.guard.announce(self.now, announcement)).to_lowercase()
    }

    fn offer(&mut self, name: &str, service: &str, deadline: &str) -> String {
        let (key, deadline) = (parse_key(name), instant_from_ms(deadline));
        admission_text(self.guard.offer(
            self.now,
            &Offer {
                key,
                service,
                deadline,
                has_alternative: false,
                answer_by: None,
                urgency: Urgency::default(),
            },
        ))
    }

    fn run_step(&mut self, step: &str) -> String {
        let (guard, now) = (&mut self.guard, self.now);
        match *step.split_whitespace().collect::<Vec<_>>() {
            ["at", time] => {
                self.now = instant_from_ms(time);
                String::new()
            }
            ["announce", port, slots, expires] => self.announce(port, slots, expires, false),
            ["leave", port, slots, expires] => self.announce(port, slots, expires, true),
            ["withdraw"] => {
                guard.withdraw_target(now);
                String::new()
            }
            ["drain", on] => {
                guard.set_draining(on == "on");
                String::new()
            }
            ["offer", key, deadline] => self.offer(key, "stock", deadline),
            ["offer", key, deadline, service] => self.offer(key, service, deadline),
            ["dispatch", name] => match guard.dispatch(now, parse_key(name)) {
                DispatchDecision::Proceed => "go".into(),
                DispatchDecision::Refused(reason) => reason.to_string(),
            },
            ["finish", name, end] => {
                wakeups_text(guard.finish(now, parse_key(name), parse_exchange_outcome(end), 5_000))
            }
            ["cancel", name] => wakeups_text(guard.cancel(now, parse_key(name))),
            ["fence", name, deadline] => {
                match guard.fence(now, parse_key(name), instant_from_ms(deadline)) {
                    FenceState::Fenced => "fenced".into(),
                    FenceState::Started => "started".into(),
                    FenceState::Finished => "finished".into(),
                    FenceState::Expired => "expired".into(),
                }
            }
            ["expire"] => wakeups_text(guard.expire(now)),
            ["due"] => guard.next_expiry().is_some_and(|at| at <= now).to_string(),
            ["load"] => {
                let load = guard.load_sample(now);
                format!("{}/{} +{}", load.in_flight, load.slots, load.queued)
            }
            ["records"] => guard.record_count().to_string(),
            _ => panic!("unknown step: {step}"),
        }
    }

    fn run(&mut self, failure: &str, script: &str) {
        for (i, line) in script.split(';').enumerate() {
            let (step, want) = match line.split_once('=') {
                Some((step, want)) => (step.trim(), Some(want.trim())),
                None => (line.trim(), None),
            };
            let got = self.run_step(step);
            expect_true!(
                want.is_none_or(|want| got == want),
                "{failure}: step {i} `{step}` gave `{got}`, not `{want:?}`"
            );
        }
    }
}

/// The failure that a script guards against, and the script. Before each script, a target
/// with one slot and port 1 is announced until 60 s.
const FAULT_SCRIPTS: &[(&str, &str)] = &[
    ("a duplicate of a started request runs twice",
     "offer a 1000 = start; offer a 1000 = duplicate; dispatch a = go; offer a 1000 = duplicate;
      dispatch a = duplicate; load = 1/1 +0"),
    ("a duplicate of a queued request is queued twice",
     "offer a 1000; offer b 1000 = queued; offer b 1000 = duplicate; load = 1/1 +1"),
    ("a duplicate of a finished request runs again",
     "offer a 1000; dispatch a; finish a ok; offer a 1000 = duplicate; dispatch a = duplicate"),
    ("a duplicate of a refused request runs although it was reported as not run",
     "drain on; offer a 1000 = draining; drain off; offer a 1000 = fenced"),
    ("a retry at the same guard is treated as a duplicate",
     "drain on; offer a 1000 = draining; drain off; offer a' 1000 = start"),
    ("a request that arrives after its fence runs",
     "fence a 1000 = fenced; offer a 1000 = fenced; dispatch a = fenced"),
    ("a fence is removed before a copy with a later converted deadline arrives",
     "fence a 1000 = fenced; at 1900; expire; offer a 1990 = fenced; at 3250; expire; records = 0"),
    ("a fence repeated with a later deadline is removed at the earlier one",
     "fence a 1000; fence a 5000 = fenced; at 3500; expire; offer a 5000 = fenced"),
    ("a fenced queued request stays in the queue or gets no wakeup",
     "offer a 1000; dispatch a; offer b 1000 = queued; fence b 1000 = fenced; load = 1/1 +0;
      due = true; expire = b:fenced; due = false; finish a ok = ; dispatch b = fenced"),
    ("a request that is fenced between admission and dispatch runs or leaks its slot",
     "offer a 1000 = start; offer b 1000 = queued; fence a 1000 = fenced; dispatch a = fenced;
      due = true; expire = b:start; dispatch b = go"),
    ("fencing reports a started or finished request as not run",
     "offer a 1000; dispatch a; fence a 1000 = started; finish a ok; fence a 1000 = finished"),
    ("fencing a request cancelled in the queue gives an unknown outcome",
     "offer a 1000; offer b 1000; cancel b = ; fence b 1000 = fenced; offer b 1000 = fenced"),
    ("fencing after the deadline reports that the request was not run",
     "at 1000; fence a 1000 = expired; records = 0"),
    ("a request past its deadline is admitted",
     "at 1000; offer a 1000 = deadline; offer a 1500 = fenced; offer b 1001 = start"),
    ("a request whose deadline passes before dispatch runs",
     "offer a 1000 = start; at 1000; dispatch a = deadline; load = 0/1 +0; offer a 2000 = fenced"),
    ("a refused dispatch followed by `finish` frees the slot twice",
     "offer a 1000; offer b 5000; at 1000; dispatch a = deadline; finish a not-started = b:start;
      load = 1/1 +0"),
    ("a queued request waits beyond its deadline",
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
    ("requests wait for a target whose announcement expired",
     "announce 1 1 100 = renewed; offer a 1000; dispatch a = go; offer b 1000 = queued; at 100;
      due = true; expire = b:no-target; finish a ok = ; offer c 1000 = no-target"),
    ("a request is dispatched after the announcement expired, or was renewed after that",
     "announce 1 2 100; offer a 1000 = start; offer b 1000 = start; at 100;
      dispatch a = no-target; announce 1 2 900 = new; dispatch b = no-target"),
    ("a renewal before expiry refuses requests",
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
    ("a request that can't be answered before its deadline is queued",
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
    ("a record of a request still in progress at the target is removed at its deadline",
     "offer a 1000; dispatch a; at 9000; expire; records = 1; offer a 9999 = duplicate;
      finish a ok; expire; records = 0"),
];

/// Guards against the failure that each row of the table names.
#[gtest]
fn fault_scripts_yield_the_expected_results() {
    for (failure, script) in FAULT_SCRIPTS {
        let mut run = ScriptRun::new(64);
        run.run(failure, "announce 1 1 60000 = new");
        run.run(failure, script);
    }
}

/// Guards against a full record table that grows, loses a fence, or reports a fence that it
/// could not store.
#[gtest]
fn full_table_refuses_and_keeps_fences() {
    let mut run = ScriptRun::new(2);
    run.run(
        "table full",
        "announce 1 1 60000; offer a 1000 = start; fence b 1000 = fenced; records = 2;
         offer c 9000 = table-full; fence d 9000 = expired; offer b 1000 = fenced;
         dispatch a = go; finish a ok; records = 2; at 3200; offer c 9000 = table-full;
         at 3250; offer c 9000 = start; records = 1",
    );
}

/// Guards against refuse reasons that mean "not run" without a fence, and against a change of
/// the texts that callers receive.
#[gtest]
fn refuse_reasons_keep_their_text_and_meaning() {
    for reason in RefuseReason::ALL {
        let is_known = !["duplicate", "table-full"].contains(&reason.as_str());
        expect_that!(reason.is_not_run(), eq(is_known), "{reason}");
        expect_that!(
            serde_json::to_string(&reason).expect("JSON"),
            eq(&format!("\"{reason}\""))
        );
    }
}

/// Returns a guard whose target has 12 slots, and has reported the usual pace and then
/// `percent`.
fn guard_with_pace(now: Instant, percent: u32) -> Guard {
    let mut guard = Guard::new(GuardSettings::default());
    guard.announce(
        now,
        Announcement {
            instance: TargetInstance::default(),
            service: "stock",
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: 12,
            connections: 220,
            expires: now.saturating_add_millis(60_000),
            leaving: false,
        },
    );
    guard.record_pace(now, 100);
    guard.record_pace(now, percent);
    guard
}

fn basic_offer(id: u128, has_alternative: bool) -> Offer<'static> {
    Offer {
        key: RequestKey {
            id: RequestId(id),
            attempt: 0,
        },
        service: "stock",
        deadline: Instant::from_millis(5_000),
        has_alternative,
        answer_by: None,
        urgency: Urgency::default(),
    }
}

/// Guards against work that starts in a slow period of the target's host: it takes several
/// times as long, even if the period is short.
#[gtest]
fn slow_host_refuses_or_delays_requests() {
    let now = Instant::from_millis(1_000);
    let mut guard = guard_with_pace(now, 500);
    let refused = guard.offer(now, &basic_offer(1, true));
    expect_that!(refused, eq(Admission::Refused(RefuseReason::Slow)));
    // The delay depends on the service time, so the guard needs a sample of it.
    guard.record_pace(now, 100);
    let first = basic_offer(2, false);
    expect_that!(guard.offer(now, &first), eq(Admission::Start));
    expect_that!(
        guard.dispatch(now, first.key),
        eq(DispatchDecision::Proceed)
    );
    let done = ExchangeOutcome::Completed {
        server_error: false,
    };
    guard.finish(now, first.key, done, 100_000);
    guard.record_pace(now, 500);
    let delayed = basic_offer(3, false);
    expect_that!(guard.offer(now, &delayed), eq(Admission::Queued));
    expect_that!(guard.expire(now), is_empty());
    let fast_again = now.saturating_add_millis(40);
    guard.record_pace(fast_again, 100);
    let started = Wakeup {
        key: delayed.key,
        admission: Admission::Start,
    };
    expect_that!(guard.expire(fast_again), elements_are![eq(&started)]);
}

/// Guards against a request that waits forever because the host stays slow.
#[gtest]
fn delay_ends_while_host_stays_slow() {
    let now = Instant::from_millis(1_000);
    let mut guard = guard_with_pace(now, 500);
    let delayed = basic_offer(1, false);
    guard.offer(now, &delayed);
    let later = now.saturating_add_millis(400);
    guard.record_pace(later, 500);
    expect_that!(guard.expire(later).len(), eq(1));
}

/// Guards against a limit that drops to one because the target refuses a share of its requests
/// regardless of their number. Such a limit serves 4 requests per second instead of 30, for
/// half a minute after the fault has ended.
#[gtest]
fn refusals_unrelated_to_load_leave_half_of_the_slots() {
    let mut now = Instant::from_millis(1_000);
    let mut guard = guard_with_pace(now, 100);
    for id in 0..200 {
        let offer = basic_offer(id, false);
        guard.offer(now, &offer);
        guard.dispatch(now, offer.key);
        now = now.saturating_add_millis(5);
        let outcome = match id % 2 {
            0 => ExchangeOutcome::TargetRefused,
            _ => ExchangeOutcome::Completed {
                server_error: false,
            },
        };
        guard.finish(now, offer.key, outcome, 5_000);
    }
    expect_that!(guard.concurrency_limit(), ge(6));
}

/// Guards against a service that refuses all requests for seconds after its targets have
/// restarted, because a target that is still warming up reports a steady slow pace.
#[gtest]
fn steady_slow_pace_is_no_slow_period() {
    let mut now = Instant::from_millis(1_000);
    let mut guard = guard_with_pace(now, 200);
    // The usual pace was reported before the restart; its window ends after a while.
    now = now.saturating_add_millis(1_100);
    guard.record_pace(now, 200);
    for id in 0..8 {
        now = now.saturating_add_millis(250);
        guard.record_pace(now, 200);
        let admission = guard.offer(now, &basic_offer(id, true));
        expect_that!(admission, eq(Admission::Start));
    }
    guard.record_pace(now, 1_000);
    let admission = guard.offer(now, &basic_offer(9, true));
    expect_that!(admission, eq(Admission::Refused(RefuseReason::Slow)));
}

/// Guards against requests that are queued and then refused after a wait, because the target
/// answers fewer requests than the service times of its successful answers suggest.
#[gtest]
fn predictions_are_corrected_by_observed_waits() {
    let mut now = Instant::from_millis(1_000);
    let mut guard = guard_with_pace(now, 100);
    let offer = |id, due_ms: u64, now: Instant| Offer {
        urgency: Urgency {
            class: 1,
            priority: u32::from(due_ms == 400),
            capacity_share: 0,
            due: Some(now.saturating_add_millis(due_ms)),
        },
        deadline: Instant::MAX,
        ..basic_offer(id, true)
    };
    let done = ExchangeOutcome::Completed {
        server_error: false,
    };
    // Gives the guard samples of a service time of 100 ms.
    for id in 0..10 {
        let offer = offer(id, 5_000, now);
        guard.offer(now, &offer);
        guard.dispatch(now, offer.key);
        guard.finish(now, offer.key, done, 100_000);
    }
    // Fills 12 slots and queues 20 requests; the loop below keeps these numbers.
    let mut running: Vec<RequestKey> = Vec::new();
    for id in 100..132 {
        let offer = offer(id, 60_000, now);
        if guard.offer(now, &offer) == Admission::Start {
            guard.dispatch(now, offer.key);
            running.push(offer.key);
        }
    }
    expect_that!(guard.queued(), eq(20));
    let needs_answer_in_400_ms = offer(1_000, 400, now);
    expect_that!(
        guard.offer(now, &needs_answer_in_400_ms),
        eq(Admission::Queued)
    );
    guard.cancel(now, needs_answer_in_400_ms.key);
    for id in 200..260 {
        now = now.saturating_add_millis(100);
        let key = running.remove(0);
        // A failed exchange adds no sample of the service time.
        for wakeup in guard.finish(now, key, ExchangeOutcome::Failed, 100_000) {
            guard.dispatch(now, wakeup.key);
            running.push(wakeup.key);
        }
        guard.offer(now, &offer(id, 60_000, now));
    }
    expect_that!(guard.queued(), eq(20));
    let needs_answer_in_400_ms = offer(1_001, 400, now);
    let admission = guard.offer(now, &needs_answer_in_400_ms);
    expect_that!(admission, eq(Admission::Refused(RefuseReason::Overloaded)));
}

/// Guards against more pace measurements than the allowed rate of health checks, also where
/// that rate is low.
#[gtest]
fn pace_measurements_stay_within_the_allowed_rate() {
    for per_second in [0, 1, 5, 60] {
        let mut guard = Guard::new(GuardSettings {
            pace: PaceSettings::with_max_rate(per_second),
            ..Default::default()
        });
        let mut now = Instant::from_millis(1_000);
        guard.record_pace(now, 100);
        let mut measurements = 0;
        for _ in 0..10_000 {
            now = now.saturating_add_millis(1);
            if guard.start_pace_measurement(now) {
                measurements += 1;
                guard.record_pace(now, 100);
            }
        }
        expect_that!(
            measurements,
            all![ge(per_second.min(1)), le(10 * per_second)],
            "{per_second}"
        );
    }
}

/// Guards against a request that a stopping node takes from the queue and starts, although
/// it can't end before the process exits and would be cut at the target.
#[gtest]
fn stopping_node_starts_no_request_that_it_would_cut() {
    let now = Instant::from_millis(1_000);
    let mut guard = guard_with_pace(now, 100);
    let offer = |id| Offer {
        urgency: Urgency {
            class: 1,
            ..Urgency::default()
        },
        ..basic_offer(id, false)
    };
    let done = ExchangeOutcome::Completed {
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
    guard.set_stop_deadline(now.saturating_add_millis(2_500));
    // The queued request gets its slot too late.
    let late = now.saturating_add_millis(1_800);
    let wakeups = guard.finish(late, first.key, done, 1_000_000);
    let started: Vec<_> = wakeups.iter().map(|wakeup| wakeup.key).collect();
    expect_that!(started, elements_are![eq(&offer(112).key)]);
    let dispatch = guard.dispatch(late, offer(112).key);
    expect_that!(
        dispatch,
        eq(DispatchDecision::Refused(RefuseReason::Draining))
    );
    // A new request is admitted while it can still end before the stop, and refused later.
    let early = now.saturating_add_millis(1_000);
    let mut other = guard_with_pace(now, 100);
    other.set_stop_deadline(now.saturating_add_millis(2_500));
    expect_that!(other.offer(early, &offer(200)), eq(Admission::Start));
    let refused = guard.offer(late, &offer(201));
    expect_that!(refused, eq(Admission::Refused(RefuseReason::Draining)));
}

/// Guards against a request that is cut because its entry stops: a guard that does not stop starts
/// no request that takes longer than its entry runs, whether it was queued or not.
#[gtest]
fn guard_starts_no_request_that_a_stopping_entry_would_cut() {
    let now = Instant::from_millis(1_000);
    let mut guard = guard_with_pace(now, 100);
    let done = ExchangeOutcome::Completed {
        server_error: false,
    };
    let offer = |id, stop_ms: Option<u64>| Offer {
        answer_by: stop_ms.map(|ms| now.saturating_add_millis(ms)),
        ..basic_offer(id, false)
    };
    for id in 1..=8 {
        let served = offer(id, None);
        expect_that!(guard.offer(now, &served), eq(Admission::Start));
        guard.dispatch(now, served.key);
        guard.finish(now, served.key, done, 1_000_000);
    }
    let refused = eq(Admission::Refused(RefuseReason::Draining));
    expect_that!(guard.offer(now, &offer(10, Some(500))), refused);
    expect_that!(
        guard.offer(now, &offer(11, Some(3_000))),
        eq(Admission::Start)
    );
    // A request that got its slot in time may be dispatched too late.
    let late = now.saturating_add_millis(2_500);
    let dispatch = guard.dispatch(late, offer(11, None).key);
    expect_that!(
        dispatch,
        eq(DispatchDecision::Refused(RefuseReason::Draining))
    );
    expect_that!(guard.offer(late, &offer(12, None)), eq(Admission::Start));
}

/// Guards against a refusal for lack of time that is reported as overload: operators would
/// look for load on the target, but the time was spent before the request arrived there.
#[gtest]
fn too_short_deadline_is_not_reported_as_overload() {
    let now = Instant::from_millis(1_000);
    let mut guard = guard_with_pace(now, 100);
    let offer = |id, timeout_ms| Offer {
        deadline: now.saturating_add_millis(timeout_ms),
        urgency: Urgency {
            class: 1,
            ..Urgency::default()
        },
        ..basic_offer(id, false)
    };
    for id in 1..=8 {
        let served = offer(id, 5_000);
        expect_that!(guard.offer(now, &served), eq(Admission::Start));
        guard.dispatch(now, served.key);
        let outcome = ExchangeOutcome::Completed {
            server_error: false,
        };
        guard.finish(now, served.key, outcome, 200_000);
    }
    let admission = guard.offer(now, &offer(100, 17));
    expect_that!(admission, eq(Admission::Refused(RefuseReason::Deadline)));
    expect_that!(guard.offer(now, &offer(101, 1_000)), eq(Admission::Start));
}
