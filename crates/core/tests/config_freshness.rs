//! Reliance on the configuration after a start or a suspension.

use googletest::prelude::*;
use plantainpost_core::{
    config::{Adoption, ConfigReplica, Freshness, Position, PublishedRecords},
    routing::{CallerLimits, RouteTable},
    time::Instant,
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Guards against a node that decides by an old configuration after its start or a suspension, against
/// one that waits although it was not suspended or no peer answers, against requests without a key that
/// wait after a start, and against a reply from before a second suspension.
#[gtest]
fn configuration_is_doubted_until_a_peer_replies() {
    let mut state = Freshness::new(at(0));
    expect_that!(state.doubted_until(at(10)), some(eq(at(1_000))));
    expect_that!(state.doubted_after_pause_until(at(10)), none());
    expect_that!(state.confirm(at(10)), eq(true));
    for ms in [100, 1_100, 1_200] {
        expect_that!(state.observe(at(ms)), none(), "{ms}");
        expect_that!(state.doubted_until(at(ms)), none(), "{ms}");
    }
    expect_that!(state.observe(at(4_200)), some(eq(3_000_000)));
    expect_that!(state.observe(at(4_300)), none());
    expect_that!(state.doubted_until(at(4_300)), some(eq(at(5_200))));
    expect_that!(
        state.doubted_after_pause_until(at(4_300)),
        some(eq(at(5_200)))
    );
    expect_that!(state.confirm(at(4_100)), eq(false));
    expect_that!(state.doubted_until(at(4_300)), some(eq(at(5_200))));

    expect_that!(state.observe(at(8_000)), some(gt(0)));
    expect_that!(state.confirm(at(4_300)), eq(false));
    expect_that!(state.doubted_until(at(8_100)), some(eq(at(8_900))));
    expect_that!(state.is_doubted_since(at(4_200)), eq(false));
    expect_that!(state.is_doubted_since(at(8_000)), eq(true));
    expect_that!(state.confirm(at(8_000)), eq(true));
    expect_that!(state.doubted_until(at(8_100)), none());

    expect_that!(state.observe(at(20_000)), some(gt(0)));
    expect_that!(state.doubted_until(at(20_999)), some(eq(at(21_000))));
    expect_that!(state.doubted_until(at(21_000)), none());
}

/// Guards against a node that starts nothing any more because it is suspended again and again, for more
/// than 1 s after less than 1 s of running, and no peer answers.
#[gtest]
fn wait_for_replies_is_bounded_over_several_suspensions() {
    let mut state = Freshness::new(at(0));
    state.confirm(at(0));
    // Resumed at, runs until, and the end of the wait.
    let rows = [
        (2_000, 2_600, Some(3_000)),
        (4_000, 4_300, Some(4_400)),
        (6_000, 6_600, Some(6_100)),
        (8_000, 8_600, None),
        (16_099, 16_100, None),
        (18_000, 18_400, Some(19_000)),
        (20_000, 20_100, Some(20_600)),
    ];
    for (resumed_at, last_seen, end) in rows {
        expect_that!(state.observe(at(resumed_at)), some(gt(0)), "{resumed_at}");
        expect_that!(
            state.doubted_until(at(resumed_at)),
            eq(end.map(at)),
            "{resumed_at}"
        );
        expect_that!(state.observe(at(last_seen)), none(), "{resumed_at}");
    }
}

fn table(version: u64) -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        head_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    RouteTable::new(version, Vec::new(), Vec::new(), limits)
}

/// Applies routes that were read up to `read_to`, and returns whether they came into force.
fn publish(replica: &mut ConfigReplica, read_to: u64, version: u64) -> bool {
    let effect = replica.apply_published(PublishedRecords {
        from: None,
        read_to: Position::from(read_to),
        table: Some(table(version)),
        evacuations: Vec::new(),
    });
    effect.routes_changed
}

/// Guards against a node that keeps an older version than the fleet because it has read only the last
/// record of the store, which running nodes have ignored.
#[gtest]
fn newer_routes_are_taken_from_a_state_that_has_read_no_further() {
    let mut running = ConfigReplica::new();
    let mut started = ConfigReplica::new();
    expect_that!(publish(&mut running, 9, 5), eq(true));
    expect_that!(publish(&mut running, 10, 4), eq(false));
    expect_that!(publish(&mut started, 10, 4), eq(true));
    let rows = [("first", Adoption::Adopted), ("second", Adoption::NotNewer)];
    for (name, expected) in rows {
        expect_that!(
            running.adopt_state(started.snapshot()),
            eq(Adoption::NotNewer),
            "{name}"
        );
        expect_that!(
            started.adopt_state(running.snapshot()),
            eq(expected),
            "{name}"
        );
        for replica in [&running, &started] {
            expect_that!(
                replica.routes().map(|table| table.version()),
                some(eq(5)),
                "{name}"
            );
            expect_that!(replica.read_to(), eq(10), "{name}");
        }
    }
}
