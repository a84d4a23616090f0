//! Reliance on the configuration after a suspension.

use googletest::prelude::*;
use plantainpost_core::{config::Freshness, time::Instant};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Guards against a node that decides by an old configuration after a suspension, against one that waits
/// although it was not suspended or no peer answers, and against a reply from before a second suspension.
#[gtest]
fn configuration_is_doubted_after_a_pause_until_a_peer_replies() {
    let mut state = Freshness::new(at(0));
    for ms in [100, 1_100, 1_200] {
        expect_that!(state.observe(at(ms)), none(), "{ms}");
        expect_that!(state.doubted_until(at(ms)), none(), "{ms}");
    }
    expect_that!(state.observe(at(4_200)), some(eq(3_000_000)));
    expect_that!(state.observe(at(4_300)), none());
    expect_that!(state.doubted_until(at(4_300)), some(eq(at(5_200))));
    state.confirm(at(4_100));
    expect_that!(state.doubted_until(at(4_300)), some(eq(at(5_200))));

    expect_that!(state.observe(at(8_000)), some(gt(0)));
    state.confirm(at(4_300));
    expect_that!(state.doubted_until(at(8_100)), some(eq(at(9_000))));
    state.confirm(at(8_000));
    expect_that!(state.doubted_until(at(8_100)), none());

    expect_that!(state.observe(at(20_000)), some(gt(0)));
    expect_that!(state.doubted_until(at(20_999)), some(eq(at(21_000))));
    expect_that!(state.doubted_until(at(21_000)), none());
}
