//! Rules of a single holder.

use std::rc::Rc;

use googletest::prelude::*;
use plantainpost_core::{
    ids::{Incarnation, NodeName},
    quota::{Credit, Decision, Grant, GrantAnswer, HolderOutput, Peers, QuotaHolder, Ticket},
    time::Instant,
};
use rand::{SeedableRng, rngs::StdRng};

use crate::sim::limit;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn workspace() -> Rc<str> {
    Rc::from("swaps")
}

/// A holder with one workspace and a known owner.
struct Fixture {
    holder: QuotaHolder,
    owner: NodeName,
    rng: StdRng,
}

impl Fixture {
    fn new() -> Self {
        Fixture {
            holder: QuotaHolder::default(),
            owner: NodeName::from("owner"),
            rng: StdRng::seed_from_u64(1),
        }
    }

    fn request(&mut self, ms: u64) -> (std::result::Result<Decision, Ticket>, HolderOutput) {
        let peers = Peers {
            owner: Some(&self.owner),
            members: Some(10),
        };
        let limit = limit(10.0, 10);
        let rng = &mut self.rng;
        self.holder
            .request(at(ms), &workspace(), limit, &peers, rng)
    }

    fn on_time(&mut self, ms: u64) -> HolderOutput {
        let peers = Peers {
            owner: Some(&self.owner),
            members: Some(10),
        };
        self.holder.on_time(at(ms), "swaps", &peers, &mut self.rng)
    }

    fn on_answer(&mut self, ms: u64, number: u64, answer: GrantAnswer) -> Option<HolderOutput> {
        let peers = Peers {
            owner: Some(&self.owner),
            members: Some(10),
        };
        let grant = Grant {
            workspace: workspace(),
            number,
            owner: Incarnation(5),
            answer,
        };
        self.holder.on_grant(at(ms), &grant, &peers, &mut self.rng)
    }

    fn on_grant(&mut self, ms: u64, number: u64, count: u32) -> Option<HolderOutput> {
        let answer = GrantAnswer::Granted { count, wait_us: 0 };
        self.on_answer(ms, number, answer)
    }
}

fn numbers(out: &HolderOutput) -> Vec<(u64, u32)> {
    let claims = out.claims.iter().map(|outgoing| &outgoing.claim);
    claims.map(|claim| (claim.number, claim.needed)).collect()
}

fn credit(answer: std::result::Result<Decision, Ticket>) -> Option<Credit> {
    match answer {
        Ok(Decision::Granted(credit)) => Some(credit),
        _ => None,
    }
}

/// Guards against one message per request, and against requests that wait although credit came.
#[gtest]
fn waiting_requests_share_claims_and_use_credit_in_hand() {
    let mut f = Fixture::new();
    let (first, out) = f.request(0);
    expect_that!(numbers(&out), elements_are![eq(&(1, 1))]);
    let (second, out) = f.request(1);
    expect_that!(numbers(&out), is_empty());
    let out = f.on_grant(3, 1, 1).expect("an answer to the claim");
    let decided: Vec<Ticket> = out.decisions.iter().map(|(ticket, _)| *ticket).collect();
    expect_that!(decided, elements_are![eq(&first.expect_err("a ticket"))]);
    expect_that!(numbers(&out), elements_are![eq(&(2, 1))]);
    let out = f.on_grant(6, 2, 3).expect("an answer to the claim");
    expect_that!(out.decisions[0].0, eq(second.expect_err("a ticket")));
    for ms in [7, 8] {
        let (answer, out) = f.request(ms);
        expect_that!(credit(answer), some(anything()));
        expect_that!(numbers(&out), is_empty());
    }
    expect_that!(f.request(9).0, err(anything()));
}

/// Guards against credit from duplicated or unexpected grants, and against the use of credit after
/// its expiry, for example by a process that was paused.
#[gtest]
fn a_grant_is_used_once_and_before_it_expires() {
    let mut f = Fixture::new();
    f.request(0).0.expect_err("a ticket");
    expect_that!(f.on_grant(2, 9, 5).map(|out| out.decisions.len()), none());
    expect_that!(
        f.on_grant(3, 1, 3).map(|out| out.decisions.len()),
        some(eq(1))
    );
    expect_that!(f.on_grant(4, 1, 3).map(|out| out.decisions.len()), none());
    let taken = credit(f.request(499).0).expect("credit in hand");
    expect_false!(taken.is_expired(at(499)));
    expect_true!(taken.is_expired(at(500)));
    let (answer, out) = f.request(500);
    expect_that!(answer, err(anything()));
    expect_that!(out.claims[0].claim.returned, eq(1));
    expect_that!(out.claims[0].claim.granted_by, eq(Incarnation(5)));
    // The process is paused for 9 s. The answer of before the pause is too late.
    let out = f.on_grant(9_500, 2, 1).expect("an answer to the claim");
    expect_that!(out.decisions, is_empty());
    expect_that!(numbers(&out), elements_are![eq(&(3, 1))]);
    expect_that!(out.claims[0].claim.returned, eq(1));
}

/// Guards against credit that is lost or doubled when its request did not run.
#[gtest]
fn credit_of_requests_that_did_not_run_is_used_again() {
    let mut f = Fixture::new();
    f.request(0).0.expect_err("a ticket");
    let mut out = f.on_grant(3, 1, 1).expect("an answer to the claim");
    let decision = out.decisions.pop().expect("a decision").1;
    let granted = credit(Ok(decision)).expect("credit");
    f.holder.give_back(at(100), &granted);
    let again = credit(f.request(101).0).expect("the same credit");
    expect_that!(again, eq(&granted));
    let (_, out) = f.request(102);
    expect_that!(out.claims[0].claim.returned, eq(0));
    f.holder.give_back(at(600), &again);
    f.on_grant(601, 2, 0);
    let (_, out) = f.request(900);
    expect_that!(out.claims[0].claim.returned, eq(1));
}

/// Guards against requests that wait without end for an owner, and against claims without end.
#[gtest]
fn without_an_answer_the_node_decides_after_three_tries() {
    let mut f = Fixture::new();
    let (_, out) = f.request(0);
    expect_that!(numbers(&out), elements_are![eq(&(1, 1))]);
    expect_that!(f.holder.due_at("swaps"), some(eq(at(60))));
    expect_that!(numbers(&f.on_time(59)), is_empty());
    expect_that!(numbers(&f.on_time(60)), elements_are![eq(&(1, 1))]);
    f.on_answer(61, 1, GrantAnswer::NotOwner);
    expect_that!(numbers(&f.on_time(120)), elements_are![eq(&(1, 1))]);
    let out = f.on_time(180);
    expect_that!((out.decisions.len(), out.decided_alone), eq((1, 1)));
    // Requests are decided at once, 0.5 a second for 4 s and then one a second.
    let mut ran = 0;
    let mut probes = 0;
    for ms in (200..24_000).step_by(10) {
        let (answer, out) = f.request(ms);
        ran += u32::from(credit(answer.or_else(|_| fail_waiting())).is_some());
        probes += out.claims.len();
    }
    expect_that!(ran, all![ge(20), le(23)]);
    expect_that!(probes, all![ge(80), le(96)]);
    // An answer ends this.
    let (_, out) = f.request(24_100);
    let number = out
        .claims
        .first()
        .map_or(probes as u64 + 1, |sent| sent.claim.number);
    f.on_grant(24_101, number, 0)
        .expect("an answer to the probe");
    expect_that!(f.request(24_102).0, err(anything()));
}

/// Guards against nodes that together use more than the limit while no owner answers, at once or
/// after a time without requests.
#[gtest]
fn the_parts_of_all_nodes_are_the_limit() {
    const NODES: usize = 64;
    let peers = Peers {
        owner: None,
        members: Some(NODES),
    };
    let mut rng = StdRng::seed_from_u64(3);
    let mut fleet: Vec<QuotaHolder> = (0..NODES).map(|_| QuotaHolder::default()).collect();
    let mut granted = |from_ms, to_ms, limit| {
        let mut count = 0;
        for ms in (from_ms..to_ms).step_by(10) {
            for holder in &mut fleet {
                let (answer, _) = holder.request(at(ms), &workspace(), limit, &peers, &mut rng);
                count += u32::from(credit(answer).is_some());
            }
        }
        count
    };
    // Half of the limit for 4 s, since an owner may not know yet that it is out of reach.
    expect_that!(granted(0, 4_000, limit(100.0, 0)), all![ge(180), le(220)]);
    expect_that!(
        granted(4_000, 8_000, limit(100.0, 0)),
        all![ge(360), le(440)]
    );
    expect_that!(
        granted(8_000, 208_000, limit(1.0, 0)),
        all![ge(180), le(230)]
    );
    // Each node has had time for three requests. Only few of these may start now.
    expect_that!(
        granted(400_000, 400_010, limit(1.0, 0)),
        all![ge(1), le(20)]
    );
    // A node that has just started does not know how many share the limit.
    let started = Peers {
        members: None,
        ..peers
    };
    let mut holder = QuotaHolder::default();
    let (answer, _) = holder.request(at(0), &workspace(), limit(1e6, 0), &started, &mut rng);
    expect_that!(
        answer.ok(),
        some(matches_pattern!(Decision::Refused { .. }))
    );
}

fn fail_waiting() -> std::result::Result<Decision, Ticket> {
    panic!("the request waits")
}

/// Guards against a flood of claims for a workspace at its limit.
#[gtest]
fn at_the_limit_few_claims_are_sent() {
    let mut f = Fixture::new();
    f.request(0).0.expect_err("a ticket");
    let answer = |count, wait_us| GrantAnswer::Granted { count, wait_us };
    let out = f.on_answer(3, 1, answer(0, 50_000)).expect("an answer");
    expect_that!(
        out.decisions[0].1,
        eq(&Decision::Refused { wait_us: 50_000 })
    );
    // Credit comes before the next claim, so requests wait for it.
    let (_, out) = f.request(4);
    expect_that!(numbers(&out), is_empty());
    let out = f.on_time(103);
    expect_that!(numbers(&out), elements_are![eq(&(2, 1))]);
    // Credit comes late, so requests are refused, with the time until there is credit.
    f.on_answer(105, 2, answer(0, 9_000_000))
        .expect("an answer");
    let refused = Decision::Refused { wait_us: 8_950_000 };
    expect_that!(f.request(155).0.ok(), some(eq(&refused)));
    expect_that!(numbers(&f.request(356).1), elements_are![eq(&(3, 1))]);
}

/// Guards against a dry run that uses credit, or that decides otherwise than the next request.
#[gtest]
fn copies_decide_alike_and_use_no_credit() {
    let mut f = Fixture::new();
    f.request(0).0.expect_err("a ticket");
    f.on_grant(3, 1, 3).expect("an answer to the claim");
    for ms in [4, 5, 6] {
        for _ in 0..3 {
            let copy = f.holder.copy_for("swaps");
            let mut tried = Fixture {
                holder: copy,
                ..Fixture::new()
            };
            let is_granted = credit(tried.request(ms).0).is_some();
            expect_that!(is_granted, eq(ms < 6));
        }
        expect_that!(credit(f.request(ms).0).is_some(), eq(ms < 6));
    }
}
