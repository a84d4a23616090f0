//! Replay of a service whose targets all become cold under load, in virtual time: entries, guards
//! and targets that crash above twice their warm-up rate.

use std::{collections::BTreeMap, net::SocketAddr};

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Admission, Announcement, ColdReport, DispatchDecision, ExchangeOutcome, Guard,
        GuardSettings, Offer, RefuseReason, RequestKey, TargetInstance, Urgency,
    },
    balance::{
        Balancer, BalancerSettings, RequestObservation, RequestOutcome, TargetView, WaitingRequest,
        policy_by_name,
    },
    collections::HashMap,
    eligibility::RequestScope,
    ids::{DataCentre, NodeName, RequestId},
    load::LoadSample,
    routing::WarmUp,
    time::{Instant, MICROS_PER_MILLI},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SERVICE: &str = "stock";
const TARGETS: usize = 11;
/// Entries, of which the first [`TARGETS`] have a target of the service on their host.
const ENTRIES: usize = 33;
const CALLS_PER_S: f64 = 600.0;
const WARM_UP_PER_S: usize = 15;
const COLD_MS: u64 = 3_000;
const SERVICE_MS: u64 = 100;
const TIMEOUT_MS: u64 = 1_500;
const ONE_WAY_MS: u64 = 1;
const RESTART_MS: u64 = 1_000;
const MAX_ATTEMPTS: usize = 12;

fn at(ms: u64) -> Instant {
    Instant::from_micros(1_000_000_000 + ms * MICROS_PER_MILLI)
}

fn node_name(index: usize) -> NodeName {
    NodeName::from(format!("n{index}").as_str())
}

#[derive(Clone, Copy)]
enum Event {
    ArriveAtGuard {
        call: usize,
        host: usize,
    },
    EndAtTarget {
        call: usize,
        host: usize,
        born_ms: u64,
    },
    Reply {
        call: usize,
        host: usize,
        reply: Reply,
        load: LoadSample,
    },
}

#[derive(Clone, Copy, PartialEq)]
enum Reply {
    Answered,
    Failed,
    Refused(RefuseReason),
}

struct Call {
    entry: usize,
    deadline_ms: u64,
    sent_ms: u64,
    tried: Vec<NodeName>,
}

struct Host {
    guard: Guard,
    born_ms: u64,
    seq: u64,
    cold_until_ms: u64,
    /// When a crashed target is back.
    down_until_ms: u64,
    cold_starts: Vec<u64>,
    running: usize,
}

#[derive(Debug, Default)]
struct Counts {
    answered: usize,
    answered_late_phase: usize,
    calls_late_phase: usize,
    refused_early: usize,
    refused_attempts: usize,
    crashes: usize,
    cold_starts: usize,
    most_in_a_second: usize,
    ejections: usize,
}

struct Replay {
    rule: Option<WarmUp>,
    rng: StdRng,
    now_ms: u64,
    next_event: u64,
    events: BTreeMap<(u64, u64), Event>,
    entries: Vec<Balancer>,
    hosts: Vec<Host>,
    calls: Vec<Call>,
    by_key: HashMap<RequestKey, usize>,
    counts: Counts,
}

fn new_entry(index: usize) -> Balancer {
    let cfg = BalancerSettings {
        entry: node_name(index),
        data_centre: DataCentre::from("pos"),
        ..BalancerSettings::default()
    };
    let policy = policy_by_name("predicted-completion").expect("the policy is known");
    let mut entry = Balancer::new(cfg, policy);
    let names: Vec<String> = (0..ENTRIES).map(|i| format!("n{i}")).collect();
    let views: Vec<TargetView<'_>> = names
        .iter()
        .map(|node| TargetView {
            node,
            data_centre: "pos",
            region: "west",
            slots: 18,
            weight: 1,
            draining: false,
            evacuated: false,
            stopping: false,
        })
        .collect();
    entry.set_targets(at(0), SERVICE, &views[..TARGETS]);
    entry.set_targets(at(0), "other", &views[TARGETS..]);
    entry
}

impl Replay {
    fn new(rule: Option<WarmUp>, seed: u64) -> Self {
        let host = || Host {
            guard: Guard::new(GuardSettings::default()),
            born_ms: 1,
            seq: 0,
            cold_until_ms: 0,
            down_until_ms: 0,
            cold_starts: Vec::new(),
            running: 0,
        };
        Replay {
            rule,
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            next_event: 0,
            events: BTreeMap::new(),
            entries: (0..ENTRIES).map(new_entry).collect(),
            hosts: (0..TARGETS).map(|_| host()).collect(),
            calls: Vec::new(),
            by_key: HashMap::default(),
            counts: Counts::default(),
        }
    }

    /// Runs for `end_ms`. All targets start anew at 2 s.
    fn run(mut self, end_ms: u64) -> Counts {
        for ms in 0..end_ms {
            self.now_ms = ms;
            for host in 0..TARGETS {
                self.step_host(host);
            }
            if ms % 100 == 0 {
                self.spread_member_records();
            }
            while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= ms) {
                let event = entry.remove();
                self.handle(event);
            }
            if self.rng.random_bool(CALLS_PER_S / 1_000.0) {
                let entry = self.rng.random_range(0..ENTRIES);
                self.calls.push(Call {
                    entry,
                    deadline_ms: ms + TIMEOUT_MS,
                    sent_ms: 0,
                    tried: Vec::new(),
                });
                self.counts.calls_late_phase += usize::from(ms >= end_ms - 4_000);
                self.attempt(self.calls.len() - 1);
            }
        }
        let events = self
            .entries
            .iter_mut()
            .map(|entry| entry.take_events().len());
        self.counts.ejections = events.sum();
        self.counts
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.next_event += 1;
        let key = (self.now_ms + after_ms, self.next_event);
        self.events.insert(key, event);
    }

    fn step_host(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[index];
        if now_ms == 2_000 || (host.down_until_ms > 0 && now_ms == host.down_until_ms) {
            host.born_ms = now_ms;
            host.seq = 0;
            host.cold_until_ms = now_ms + COLD_MS;
            host.cold_starts.clear();
            host.running = 0;
            host.down_until_ms = 0;
        }
        if (now_ms + index as u64 * 7).is_multiple_of(500) || now_ms == host.born_ms {
            self.heartbeat(index);
        }
        let now = at(now_ms);
        if self.hosts[index].guard.needs_checks_while_queued(now) {
            self.check_health(index);
        }
        let wakeups = self.hosts[index].guard.expire(now);
        for wakeup in wakeups {
            self.follow(index, wakeup.key, wakeup.admission);
        }
    }

    fn heartbeat(&mut self, index: usize) {
        let now = at(self.now_ms);
        let host = &mut self.hosts[index];
        if host.down_until_ms > 0 {
            return;
        }
        host.seq += 1;
        let announcement = Announcement {
            instance: TargetInstance {
                id: &host.born_ms.to_string(),
                started_unix_ms: host.born_ms,
                seq: host.seq,
            },
            service: SERVICE,
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            slots: 18,
            connections: 200,
            expires: now.saturating_add_millis(6_000),
            leaving: false,
        };
        host.guard.announce(now, announcement);
        host.guard.set_warm_up(now, self.rule);
        let left_ms = host.cold_until_ms.saturating_sub(self.now_ms);
        let generation = host.guard.target_generation();
        let report = ColdReport::Heartbeat(left_ms);
        host.guard.record_cold(now, generation, report);
    }

    fn check_health(&mut self, index: usize) {
        let now = at(self.now_ms);
        let host = &mut self.hosts[index];
        if host.guard.start_pace_measurement(now) && host.down_until_ms == 0 {
            let left_ms = host.cold_until_ms.saturating_sub(self.now_ms);
            let generation = host.guard.target_generation();
            host.guard.record_pace(now, 100);
            host.guard.record_health(now, generation, true);
            let report = ColdReport::Response(left_ms);
            host.guard.record_cold(now, generation, report);
        }
    }

    fn spread_member_records(&mut self) {
        let now = at(self.now_ms);
        let is_cold = |index: &usize| self.hosts[*index].guard.is_cold(now);
        let cold: Vec<NodeName> = (0..TARGETS).filter(is_cold).map(node_name).collect();
        for entry in &mut self.entries {
            entry.set_cold_nodes(now, &cold);
        }
    }

    fn attempt(&mut self, call: usize) {
        let now = at(self.now_ms);
        let Call {
            entry, deadline_ms, ..
        } = self.calls[call];
        let balancer = &mut self.entries[entry];
        let tried = &self.calls[call].tried;
        let scope = RequestScope {
            tried,
            ..RequestScope::default()
        };
        let waiting = WaitingRequest {
            deadline: at(deadline_ms),
            priority: 0,
        };
        if balancer.is_too_cold(now, SERVICE, &scope, &waiting) {
            self.counts.refused_early += 1;
            return;
        }
        let Ok(node) = balancer.choose_target(now, SERVICE, tried, &mut self.rng) else {
            return;
        };
        balancer.on_request_sent(now, node.as_str());
        let host = (0..TARGETS).find(|index| node_name(*index) == node);
        let host = host.expect("the node has a target");
        self.calls[call].tried.push(node);
        self.calls[call].sent_ms = self.now_ms;
        self.schedule(ONE_WAY_MS, Event::ArriveAtGuard { call, host });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ArriveAtGuard { call, host } => self.offer(call, host),
            Event::EndAtTarget {
                call,
                host,
                born_ms,
            } => {
                if self.hosts[host].born_ms == born_ms && self.hosts[host].down_until_ms == 0 {
                    self.hosts[host].running -= 1;
                    self.finish(call, host, Reply::Answered);
                } else {
                    self.finish(call, host, Reply::Failed);
                }
            }
            Event::Reply {
                call,
                host,
                reply,
                load,
            } => self.on_reply(call, host, reply, load),
        }
    }

    fn key(&self, call: usize) -> RequestKey {
        RequestKey {
            id: RequestId(call as u128),
            attempt: self.calls[call].tried.len() as u32,
        }
    }

    fn offer(&mut self, call: usize, host: usize) {
        self.check_health(host);
        let key = self.key(call);
        self.by_key.insert(key, call);
        let offer = Offer {
            key,
            service: SERVICE,
            deadline: at(self.calls[call].deadline_ms),
            has_alternative: false,
            answer_by: None,
            urgency: Urgency::default(),
        };
        let admission = self.hosts[host].guard.offer(at(self.now_ms), &offer);
        self.follow(host, key, admission);
    }

    fn follow(&mut self, host: usize, key: RequestKey, admission: Admission) {
        let call = self.by_key[&key];
        match admission {
            Admission::Queued => (),
            Admission::Refused(reason) => self.reply(call, host, Reply::Refused(reason)),
            Admission::Start => match self.hosts[host].guard.dispatch(at(self.now_ms), key) {
                DispatchDecision::Proceed => self.start(call, host),
                DispatchDecision::Refused(reason) => self.reply(call, host, Reply::Refused(reason)),
            },
        }
    }

    fn start(&mut self, call: usize, index: usize) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[index];
        if host.down_until_ms > 0 {
            return self.finish(call, index, Reply::Failed);
        }
        host.running += 1;
        let is_cold = now_ms < host.cold_until_ms;
        if is_cold {
            host.cold_starts.push(now_ms);
            self.counts.cold_starts += 1;
            let starts = host.cold_starts.iter().rev();
            let recent = starts.take_while(|ms| **ms + 1_000 >= now_ms).count();
            self.counts.most_in_a_second = self.counts.most_in_a_second.max(recent);
            if recent > 2 * WARM_UP_PER_S {
                host.down_until_ms = now_ms + RESTART_MS;
                self.counts.crashes += 1;
            }
        }
        let born_ms = host.born_ms;
        let service_ms = if is_cold { 2 * SERVICE_MS } else { SERVICE_MS };
        let end = Event::EndAtTarget {
            call,
            host: index,
            born_ms,
        };
        self.schedule(service_ms, end);
    }

    fn finish(&mut self, call: usize, host: usize, reply: Reply) {
        let outcome = match reply {
            Reply::Answered => ExchangeOutcome::Completed {
                server_error: false,
            },
            _ => ExchangeOutcome::Failed,
        };
        let key = self.key(call);
        let service_us = SERVICE_MS * MICROS_PER_MILLI;
        let guard = &mut self.hosts[host].guard;
        let wakeups = guard.finish(at(self.now_ms), key, outcome, service_us);
        self.reply(call, host, reply);
        for wakeup in wakeups {
            self.follow(host, wakeup.key, wakeup.admission);
        }
    }

    fn reply(&mut self, call: usize, host: usize, reply: Reply) {
        let load = self.hosts[host].guard.load_sample(at(self.now_ms));
        let event = Event::Reply {
            call,
            host,
            reply,
            load,
        };
        self.schedule(ONE_WAY_MS, event);
    }

    fn on_reply(&mut self, call: usize, host: usize, reply: Reply, load: LoadSample) {
        let now = at(self.now_ms);
        let node = node_name(host);
        let Call {
            entry,
            deadline_ms,
            sent_ms,
            ..
        } = self.calls[call];
        let outcome = match reply {
            Reply::Answered => RequestOutcome::Answered,
            Reply::Failed => RequestOutcome::Failed,
            Reply::Refused(_) => RequestOutcome::Refused,
        };
        let observation = RequestObservation {
            outcome,
            latency_us: (self.now_ms - sent_ms) * MICROS_PER_MILLI,
            load: Some(load),
        };
        let balancer = &mut self.entries[entry];
        balancer.on_request_ended(now, node.as_str(), &observation);
        if reply == Reply::Refused(RefuseReason::Cold) {
            let waiting = WaitingRequest {
                deadline: at(deadline_ms),
                priority: 0,
            };
            balancer.on_cold_refusal(now, node.as_str(), &waiting);
        }
        match reply {
            Reply::Answered => {
                self.counts.answered += 1;
                self.counts.answered_late_phase += usize::from(self.now_ms >= 8_000);
            }
            Reply::Failed => (),
            Reply::Refused(_) => {
                self.counts.refused_attempts += 1;
                let may_retry = self.calls[call].tried.len() < MAX_ATTEMPTS;
                if may_retry && self.now_ms < deadline_ms {
                    self.attempt(call);
                }
            }
        }
    }
}

fn replay(rule: Option<WarmUp>, seed: u64) -> Counts {
    Replay::new(rule, seed).run(12_000)
}

const RULE: WarmUp = WarmUp {
    duration_ms: COLD_MS,
    per_1000_s: WARM_UP_PER_S as u64 * 1_000,
};

/// Guards against targets that crash again and again because they get more than they can start while
/// they are cold, against cold capacity that stays unused, and against a flood of refused attempts.
#[gtest]
fn cold_targets_become_warm_under_load() {
    for seed in 0..3 {
        let counts = replay(Some(RULE), seed);
        expect_that!(counts.crashes, eq(0), "{seed}");
        expect_that!(counts.most_in_a_second, le(WARM_UP_PER_S * 3 / 2 + 8));
        let cold_capacity = TARGETS * WARM_UP_PER_S * (COLD_MS as usize / 1_000);
        expect_that!(counts.cold_starts, ge(cold_capacity * 9 / 10), "{seed}");
        expect_that!(counts.ejections, eq(0), "{seed}");
        // 1,800 calls arrive while the targets are cold.
        expect_that!(counts.refused_early, ge(600), "{seed}");
        expect_that!(counts.refused_attempts, le(1_800), "{seed}");
        let answered = counts.answered_late_phase;
        expect_that!(answered, ge(counts.calls_late_phase * 98 / 100), "{seed}");
    }
    // The replay must be able to fail.
    expect_that!(replay(None, 0).crashes, ge(TARGETS));
}
