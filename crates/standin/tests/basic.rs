//! Target, load tool and log service against each other, without faults.

use googletest::prelude::*;
use plantainpost_standin::{
    load::{self, LoadRoute, LoadSettings, RequestKind},
    log::{self, LogSettings},
    target::{self, ServiceTime, TargetSettings},
};

/// Guards against a load tool or target that miscounts requests, or corrupts bodies of one of
/// the request and response framings.
#[gtest]
fn a_target_answers_every_kind_of_request() -> Result<()> {
    let target = target::start(&TargetSettings {
        service_time: ServiceTime::Fixed(500),
        ..Default::default()
    })?;
    let report = load::start(&LoadSettings {
        routes: vec![LoadRoute::new("direct", target.address())],
        rate: 300.0,
        kinds: vec![
            RequestKind::default(),
            RequestKind {
                method: "HEAD".to_owned(),
                ..Default::default()
            },
            RequestKind {
                method: "POST".to_owned(),
                body_bytes: 70_000,
                ..Default::default()
            },
            RequestKind {
                answer_bytes: Some(300_000),
                ..Default::default()
            },
            RequestKind {
                answer_bytes: Some(300_000),
                answer_chunked: true,
                ..Default::default()
            },
        ],
        ..Default::default()
    })?
    .wait()?;
    let row = &report.rows[0];
    println!("{report}");
    verify_that!(row.sent, gt(200))?;
    verify_that!(row.correct, eq(row.sent))?;
    verify_that!(target.started_count(), eq(row.sent))?;
    verify_that!(target.in_flight(), eq(0))
}

/// Guards against offsets that do not count from 0 in each topic.
#[gtest]
fn the_log_counts_offsets_per_topic() -> Result<()> {
    let log = log::start(&LogSettings::default())?;
    expect_that!(log.append("config", "a"), eq(0));
    expect_that!(log.append("config", "b"), eq(1));
    expect_that!(log.append("audit", "c"), eq(0));
    verify_that!(log.records("config").len(), eq(2))
}
