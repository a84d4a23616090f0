//! Rules of a single owner, and which node it is.

use std::rc::Rc;

use googletest::prelude::*;
use plantainpost_core::{
    ids::{Incarnation, NodeName},
    member::MemberState,
    quota::{Claim, Claimant, FleetShare, GrantAnswer, Ownership, QuotaOwner},
    time::Instant,
};

use crate::sim::{limit, record};

/// When the owner of a fixture grants credit from an empty bucket.
const OPEN_MS: u64 = 2_000;

const WHOLE: FleetShare = FleetShare {
    known: 10,
    reachable: 10,
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn workspace() -> Rc<str> {
    Rc::from("swaps")
}

/// Returns an owner of one workspace with 10 requests a second that has run since zero and took the
/// workspace over from another node.
fn owner(burst: u64) -> QuotaOwner {
    let mut owner = QuotaOwner::new(Incarnation(5), at(0));
    owner.observe(at(500));
    owner.set_owned(at(600), WHOLE, std::iter::empty());
    own(&mut owner, 1_000, WHOLE, 10.0, burst);
    run(&mut owner, 1_000, OPEN_MS);
    owner
}

fn own(owner: &mut QuotaOwner, ms: u64, share: FleetShare, per_s: f64, burst: u64) {
    let owned = [(&workspace(), limit(per_s, burst))];
    owner.set_owned(at(ms), share, owned.into_iter());
}

fn run(owner: &mut QuotaOwner, from_ms: u64, to_ms: u64) {
    (from_ms..=to_ms)
        .step_by(100)
        .for_each(|ms| owner.observe(at(ms)));
}

fn claim(number: u64, needed: u32, advance: u32) -> Claim {
    Claim {
        workspace: workspace(),
        number,
        needed,
        advance,
        returned: 0,
        granted_by: Incarnation(5),
    }
}

fn answer(owner: &mut QuotaOwner, ms: u64, incarnation: u64, claim: &Claim) -> Option<GrantAnswer> {
    let node = NodeName::from("entry");
    let claimant = Claimant {
        node: &node,
        incarnation: Incarnation(incarnation),
    };
    owner
        .answer(at(ms), &claimant, claim)
        .map(|grant| grant.answer)
}

fn granted(answer: Option<GrantAnswer>) -> Option<u32> {
    match answer? {
        GrantAnswer::Granted { count, .. } => Some(count),
        GrantAnswer::NotOwner => None,
    }
}

/// Guards against a new owner that grants credit which its predecessor may have granted.
#[gtest]
fn a_new_owner_starts_empty_and_fills_at_the_rate() {
    let mut owner = owner(10);
    expect_that!(
        granted(answer(&mut owner, OPEN_MS, 1, &claim(1, 3, 0))),
        some(eq(0))
    );
    run(&mut owner, 2_100, 2_300);
    expect_that!(
        granted(answer(&mut owner, 2_300, 1, &claim(2, 5, 0))),
        some(eq(3))
    );
    let mut early = QuotaOwner::new(Incarnation(5), at(0));
    own(&mut early, 400, WHOLE, 10.0, 10);
    let refused = answer(&mut early, 2_900, 1, &claim(1, 1, 0));
    expect_that!(refused, some(eq(&GrantAnswer::NotOwner)));
}

/// Guards against a fleet that refuses the requests of all workspaces for seconds after its restart,
/// and against a node that gives itself credit whenever it takes a workspace over.
#[gtest]
fn a_node_that_has_just_started_has_a_half_full_bucket_once() {
    let mut owner = QuotaOwner::new(Incarnation(5), at(0));
    run(&mut owner, 100, 500);
    own(&mut owner, 500, WHOLE, 10.0, 20);
    let first = answer(&mut owner, 500, 1, &claim(1, 30, 0));
    expect_that!(granted(first), some(eq(10)));
    owner.set_owned(at(600), WHOLE, std::iter::empty());
    own(&mut owner, 700, WHOLE, 10.0, 20);
    let second = answer(&mut owner, 800, 1, &claim(2, 30, 0));
    expect_that!(second, some(eq(&GrantAnswer::NotOwner)));
}

/// Guards against credit from repeated, late or forged claims, and from an earlier process of the
/// holder.
#[gtest]
fn each_claim_is_granted_once() {
    let mut owner = owner(10);
    run(&mut owner, 2_100, 3_000);
    expect_that!(
        granted(answer(&mut owner, 3_000, 2, &claim(7, 2, 0))),
        some(eq(2))
    );
    expect_that!(
        granted(answer(&mut owner, 3_001, 2, &claim(7, 2, 0))),
        some(eq(2))
    );
    expect_that!(owner.level("swaps"), some(approx_eq(8.01)));
    expect_that!(answer(&mut owner, 3_002, 2, &claim(6, 2, 0)), none());
    expect_that!(answer(&mut owner, 3_003, 1, &claim(9, 2, 0)), none());
    expect_that!(
        granted(answer(&mut owner, 3_004, 3, &claim(1, 1, 0))),
        some(eq(1))
    );
}

/// Guards against credit in advance while other holders need what is left.
#[gtest]
fn credit_in_advance_comes_from_the_upper_half() {
    let mut owner = owner(10);
    run(&mut owner, 2_100, 4_000);
    expect_that!(
        granted(answer(&mut owner, 4_000, 1, &claim(1, 1, 20))),
        some(eq(5))
    );
    expect_that!(
        granted(answer(&mut owner, 4_000, 1, &claim(2, 2, 20))),
        some(eq(2))
    );
}

/// Guards against returned credit that adds to a bucket which has filled since, or that another
/// process granted.
#[gtest]
fn returned_credit_counts_once_and_only_while_the_bucket_is_low() {
    let returning = |number, returned, granted_by| Claim {
        returned,
        granted_by: Incarnation(granted_by),
        ..claim(number, 0, 0)
    };
    let mut owner = owner(10);
    run(&mut owner, 2_100, 2_400);
    expect_that!(
        granted(answer(&mut owner, 2_400, 1, &claim(1, 4, 0))),
        some(eq(4))
    );
    let rows = [
        (2, 1, 4, 0.0),
        (3, 1, 5, 1.0),
        (3, 1, 5, 1.0),
        (4, 9, 5, 4.0),
    ];
    for (number, returned, granted_by, level) in rows {
        answer(
            &mut owner,
            2_400,
            1,
            &returning(number, returned, granted_by),
        );
        expect_that!(
            owner.level("swaps"),
            some(approx_eq(level)),
            "claim {number}"
        );
    }
    expect_that!(
        granted(answer(&mut owner, 2_400, 1, &claim(5, 4, 0))),
        some(eq(4))
    );
    run(&mut owner, 2_500, 2_900);
    answer(&mut owner, 2_900, 1, &returning(6, 4, 5));
    expect_that!(owner.level("swaps"), some(approx_eq(5.0)));
}

/// Guards against an owner that grants the whole rate while members that it can't reach use theirs.
#[gtest]
fn an_owner_withholds_the_parts_of_members_out_of_reach() {
    let mut owner = owner(20);
    run(&mut owner, 2_100, 4_000);
    let half = FleetShare {
        known: 10,
        reachable: 5,
    };
    own(&mut owner, 4_000, half, 10.0, 20);
    // The members out of reach may have used 5 requests a second for 3 s before it was noticed.
    expect_that!(owner.level("swaps"), some(approx_eq(-5.0)));
    run(&mut owner, 4_100, 6_000);
    expect_that!(owner.level("swaps"), some(approx_eq(5.0)));
    own(&mut owner, 6_000, WHOLE, 10.0, 20);
    run(&mut owner, 6_100, 8_000);
    expect_that!(owner.level("swaps"), some(approx_eq(10.0)));
    run(&mut owner, 8_100, 8_300);
    expect_that!(owner.level("swaps"), some(approx_eq(13.0)));
    let rows = [
        (64, 64, 1_000),
        (64, 61, 1_000),
        (64, 48, 750),
        (2, 1, 500),
        (0, 0, 1_000),
    ];
    for (known, reachable, permille) in rows {
        let share = FleetShare { known, reachable };
        expect_that!(share.usable_permille(), eq(permille), "{share:?}");
    }
}

/// Guards against an owner that was paused and grants what others granted meanwhile.
#[gtest]
fn a_pause_adds_no_credit() {
    let mut owner = owner(10);
    run(&mut owner, 2_100, 2_500);
    owner.observe(at(4_400));
    expect_that!(owner.level("swaps"), some(approx_eq(10.0)));
    granted(answer(&mut owner, 4_400, 1, &claim(1, 10, 0)));
    owner.observe(at(6_300));
    expect_that!(owner.level("swaps"), some(approx_eq(5.0)));
    owner.observe(at(8_400));
    expect_that!(owner.level("swaps"), some(approx_eq(0.0)));
}

/// Guards against a lowered limit that takes effect only when the bucket is empty.
#[gtest]
fn a_lowered_limit_binds_at_once() {
    let mut owner = owner(100);
    run(&mut owner, 2_100, 9_000);
    own(&mut owner, 9_000, WHOLE, 1.0, 9);
    expect_that!(owner.level("swaps"), some(approx_eq(9.0)));
    own(&mut owner, 9_000, WHOLE, 1.0, 50);
    expect_that!(owner.level("swaps"), some(approx_eq(9.0)));
    owner.set_owned(at(9_000), WHOLE, std::iter::empty());
    expect_that!(
        answer(&mut owner, 9_000, 1, &claim(1, 1, 0)),
        some(eq(&GrantAnswer::NotOwner))
    );
}

/// Guards against owners that differ between nodes with the same members, and against owners that
/// can't serve.
#[gtest]
fn owners_are_live_members_and_do_not_depend_on_the_order() {
    let names: Vec<NodeName> = (0..40).map(|i| NodeName::from(&*format!("n{i}"))).collect();
    let states = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Leaving,
        MemberState::Dead,
        MemberState::Left,
    ];
    let mut records: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(index, name)| record(name, states[index % 5], Incarnation(1)))
        .collect();
    let owners = |records: &[_]| -> Vec<NodeName> {
        let mut ownership = Ownership::default();
        expect_true!(ownership.refresh(1, 0, records.iter()));
        expect_false!(ownership.refresh(1, 0, records.iter()));
        let name = |i| {
            ownership
                .owner(&format!("w{i}"))
                .expect("an owner")
                .node
                .clone()
        };
        (0..400).map(name).collect()
    };
    let before = owners(&records);
    records.reverse();
    expect_that!(owners(&records), eq(&before));
    let count = |name: &NodeName| before.iter().filter(|owner| *owner == name).count();
    for (index, name) in names.iter().enumerate() {
        let most = if index % 5 < 2 { 50 } else { 0 };
        expect_that!(count(name), le(most), "{name}");
    }
    // The loss of one member moves only its workspaces.
    records.retain(|record| record.name != before[0]);
    let moved = owners(&records)
        .iter()
        .zip(&before)
        .filter(|(a, b)| a != b)
        .count();
    expect_that!(moved, eq(count(&before[0])));
    let mut ownership = Ownership::default();
    ownership.refresh(1, 50, records.iter());
    expect_that!(
        ownership.share(),
        eq(FleetShare {
            known: 50,
            reachable: 15
        })
    );
}
