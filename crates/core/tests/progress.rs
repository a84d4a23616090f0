//! Tests of the detection of silent exchanges and of kept answers.

use googletest::prelude::*;
use plantainpost_core::{
    admission::{KeptAnswers, KeptAnswersSettings, RequestKey},
    ids::RequestId,
    progress::{
        FIRST_INTERVAL_US, MAX_INTERVAL_US, ProgressSchedule, ProgressWatch, SilenceMargin,
        SilenceMarginSettings,
    },
    time::Instant,
};

const MARGIN_US: u64 = 100_000;

fn at_ms(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn key(id: u128) -> RequestKey {
    RequestKey {
        id: RequestId(id),
        attempt: 0,
    }
}

/// Guards against an alarm while both sides follow the schedule, and against a guard that sends
/// a sign of life for each short request.
#[gtest]
fn signs_of_life_arrive_before_the_alarm() {
    let one_way_us = 40_000;
    let sent_at = at_ms(1_000);
    let mut schedule = ProgressSchedule::start(sent_at.saturating_add_micros(one_way_us));
    let mut watch = ProgressWatch::start(sent_at, MARGIN_US);
    let mut count = 0;
    while schedule.next_at() < at_ms(11_000) {
        let now = schedule.next_at();
        schedule.on_sent(now);
        let received_at = now.saturating_add_micros(one_way_us);
        expect_that!(received_at, lt(watch.silent_at()));
        watch.on_message(received_at);
        count += 1;
    }
    // Without doubled intervals a request of 10 s would cause 66.
    expect_that!(count, le(10_000_000 / MAX_INTERVAL_US + 2));
}

/// Guards against a request that waits for its deadline when its guard never receives it.
#[gtest]
fn silence_is_noticed_within_a_fraction_of_a_second() {
    let watch = ProgressWatch::start(at_ms(0), MARGIN_US);
    expect_that!(
        watch.silent_at().as_micros(),
        eq(FIRST_INTERVAL_US + MARGIN_US)
    );
}

/// Guards against a storm of new connections when guards are overloaded, and against a margin
/// that stays high afterwards.
#[gtest]
fn false_alarms_raise_the_margin_for_some_time() {
    let cfg = SilenceMarginSettings::default();
    let mut margin = SilenceMargin::new(cfg);
    expect_that!(margin.margin_us(at_ms(0), 0), eq(cfg.base_us));
    expect_that!(
        margin.margin_us(at_ms(0), 10_000),
        eq(cfg.base_us + cfg.round_trips * 10_000)
    );
    margin.on_false_alarm(at_ms(0));
    expect_that!(margin.margin_us(at_ms(1), 0), eq(2 * cfg.base_us));
    for _ in 0..100 {
        margin.on_false_alarm(at_ms(1));
    }
    expect_that!(margin.margin_us(at_ms(2), 0), eq(cfg.max_us));
    expect_that!(margin.margin_us(at_ms(20_000), 0), eq(cfg.base_us));
}

/// Guards against kept answers that grow without bound, are given for another request, or are
/// given long after the request.
#[gtest]
fn kept_answers_are_bounded_in_bytes_and_time() {
    let cfg = KeptAnswersSettings {
        max_bytes: 100,
        keep_us: 1_000_000,
    };
    let mut kept = KeptAnswers::new(cfg);
    kept.put(at_ms(0), key(1), "one", 60);
    kept.put(at_ms(1), key(1), "again", 60);
    expect_that!(kept.get(at_ms(2), key(1)), some(eq(&"one")));
    expect_that!(kept.get(at_ms(2), key(2)), none());
    kept.put(at_ms(3), key(2), "two", 50);
    expect_that!(kept.get(at_ms(4), key(1)), none());
    expect_that!(kept.bytes(), eq(50));
    kept.put(at_ms(5), key(3), "too long", 101);
    expect_that!(kept.get(at_ms(6), key(3)), none());
    expect_that!(kept.get(at_ms(1_002), key(2)), some(eq(&"two")));
    expect_that!(kept.get(at_ms(1_003), key(2)), none());
    expect_that!(kept.bytes(), eq(0));
}
