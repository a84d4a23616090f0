//! Order in which peers are asked for a newer configuration.

use googletest::prelude::*;
use plantainpost_core::{
    config::{FetchCandidates, Position, Progress},
    ids::NodeName,
};

fn read_to(offset: u64) -> Progress {
    Progress {
        read_to: Position::from(offset),
        routes: None,
    }
}

fn next(candidates: &mut FetchCandidates, own_read_to: u64) -> Option<String> {
    let peer = candidates.next(read_to(own_read_to));
    peer.map(|(peer, _)| peer.as_str().to_owned())
}

/// Guards against a peer that does not answer and is asked again before the others, and against a
/// fetch from a peer that has read no further.
#[gtest]
fn silent_peer_is_asked_after_the_others() {
    let [a, b, c] = ["a", "b", "c"].map(NodeName::from);
    let mut candidates = FetchCandidates::default();
    expect_eq!(next(&mut candidates, 0), None);
    candidates.add(&a, read_to(5));
    expect_that!(candidates.record_failure(&a), eq(false));
    candidates.add(&b, read_to(4));
    candidates.add(&c, read_to(5));
    expect_eq!(next(&mut candidates, 3), Some("a".to_owned()));
    expect_that!(candidates.record_failure(&a), eq(true));
    // A notice of the silent peer does not put it first again.
    candidates.add(&a, read_to(6));
    expect_eq!(next(&mut candidates, 3), Some("b".to_owned()));
    candidates.remove(&b, read_to(4));
    expect_eq!(next(&mut candidates, 4), Some("c".to_owned()));
    expect_eq!(next(&mut candidates, 5), Some("a".to_owned()));
    expect_eq!(next(&mut candidates, 6), None);
}

/// Guards against a version that is missed because its notice arrives while the state of the same peer is
/// under way, which may be from before it; and against a peer that is asked for ever.
#[gtest]
fn notice_during_a_fetch_is_not_forgotten() {
    let a = NodeName::from("a");
    let mut candidates = FetchCandidates::default();
    candidates.add(&a, read_to(5));
    let (_, asked) = candidates.next(read_to(3)).expect("a peer");
    candidates.add(&a, read_to(6));
    candidates.remove(&a, asked);
    expect_eq!(next(&mut candidates, 5), Some("a".to_owned()));
    candidates.remove(&a, read_to(6));
    expect_eq!(next(&mut candidates, 5), None);
}

/// Guards against an unbounded list in a large fleet.
#[gtest]
fn candidates_are_bounded() {
    let mut candidates = FetchCandidates::default();
    for i in 0..100 {
        candidates.add(&NodeName::from(&*format!("n{i}")), read_to(1));
    }
    let mut count = 0;
    while let Some((peer, asked)) = candidates.next(Progress::default()) {
        candidates.remove(&peer, asked);
        count += 1;
    }
    expect_that!(count, le(8));
}
