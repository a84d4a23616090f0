//! Tests of the load generator: send times, connection limit, request mix and the comparison of two
//! routes.

use googletest::prelude::*;
use plantainpost_standin::{
    history::{Outcome, Record},
    load::{self, LoadReport, LoadRoute, LoadSettings, RequestKind},
    proxy::{Proxy, ProxyFaults},
    target::{self, ServiceTime, TargetHandle, TargetSettings},
};

fn start_target() -> Result<TargetHandle> {
    Ok(target::start(&TargetSettings {
        service_time: ServiceTime::Fixed(100),
        ..Default::default()
    })?)
}

fn run_load(settings: &LoadSettings) -> Result<LoadReport> {
    Ok(load::start(settings)?.wait()?)
}

/// Returns nonce, service and method of each request sent, in order.
fn sent_requests(report: &LoadReport) -> Vec<(String, String, String)> {
    let requests = report.records.iter().filter_map(|record| match record {
        Record::Sent {
            nonce,
            service,
            method,
            ..
        } => Some((nonce.clone(), service.clone(), method.clone())),
        _ => None,
    });
    requests.collect()
}

/// Guards against a closed loop, which hides the latency of a slow system: requests must be sent
/// without waiting for answers, and their latency must include the wait for a connection.
#[gtest]
fn requests_are_sent_without_waiting_for_answers() -> Result<()> {
    let target = start_target()?;
    let proxy = Proxy::start(target.address())?;
    // Two connections serve 20 requests per second, and 100 per second are sent.
    let report = run_load(&LoadSettings {
        routes: vec![LoadRoute::new("slow", proxy.address())],
        connections_per_route: 2,
        kinds: vec![RequestKind {
            work_us: Some(100_000),
            ..Default::default()
        }],
        duration_ms: 400,
        ..Default::default()
    })?;
    let row = &report.rows[0];
    verify_that!(row.sent, gt(20))?;
    verify_that!(row.correct, eq(row.sent))?;
    verify_that!(proxy.accepted_connections(), eq(2))?;
    // The last request waits for all others, which take 50 ms each, less the 400 ms in which
    // requests are sent.
    verify_that!(row.max, gt(row.sent * 50_000 - 400_000))
}

/// Guards against runs that a seed does not reproduce.
#[gtest]
fn the_same_seed_sends_the_same_requests() -> Result<()> {
    let target = start_target()?;
    let run = |seed| {
        run_load(&LoadSettings {
            routes: vec![LoadRoute::new("direct", target.address())],
            seed,
            duration_ms: 300,
            kinds: vec![
                "method=GET,weight=3".parse()?,
                "method=POST,body=10".parse()?,
            ],
            ..Default::default()
        })
    };
    let first = sent_requests(&run(1)?);
    verify_that!(first.len(), gt(10))?;
    verify_that!(sent_requests(&run(1)?), eq(&first))?;
    verify_that!(sent_requests(&run(2)?), not(eq(&first)))?;
    let posts = first.iter().filter(|(.., method)| method == "POST").count();
    verify_that!(posts, all![gt(0), lt(first.len() / 2)])
}

/// Guards against a comparison that subtracts the wrong rows or counts requests at the wrong
/// route.
#[gtest]
fn report_compares_two_labels() -> Result<()> {
    let target = start_target()?;
    let proxy = Proxy::start(target.address())?;
    proxy.set_faults(ProxyFaults {
        delay_ms: 50,
        ..Default::default()
    });
    let report = run_load(&LoadSettings {
        routes: vec![
            LoadRoute::new("direct", target.address()),
            LoadRoute::new("delayed", proxy.address()),
            LoadRoute::new("direct", target.address()),
        ],
        duration_ms: 500,
        ..Default::default()
    })?;
    let [direct, delayed] = &report.rows[..] else {
        return fail!("two labels make two rows");
    };
    verify_that!(direct.sent, ge(delayed.sent))?;
    verify_that!(delayed.p50, ge(100_000))?;
    let difference = report.difference.as_ref().expect("two rows are compared");
    verify_that!(difference.p50, eq(delayed.p50 as i64 - direct.p50 as i64))?;
    verify_that!(report.to_string(), contains_substring("difference"))
}

/// Guards against answers of another service that count as correct, a limit of requests in flight
/// that is ignored, and refused connections that are not counted.
#[gtest]
fn wrong_skipped_and_failed_requests_are_counted() -> Result<()> {
    let target = start_target()?;
    let direct = vec![LoadRoute::new("direct", target.address())];
    let other_service = RequestKind {
        service: "credit".to_owned(),
        ..Default::default()
    };
    let settings = LoadSettings {
        routes: direct.clone(),
        duration_ms: 200,
        kinds: vec![other_service],
        ..Default::default()
    };
    let row = run_load(&settings)?.rows.remove(0);
    verify_that!((row.correct, row.wrong), eq((0, row.sent)))?;

    let row = run_load(&LoadSettings {
        max_in_flight: 0,
        ..settings.clone()
    })?
    .rows
    .remove(0);
    verify_that!(row.sent, eq(0))?;
    verify_that!(row.skipped, gt(0))?;
    verify_that!(row.correct_share, eq(0.0))?;

    target.stop();
    let report = run_load(&settings)?;
    let failed = report.rows[0].outcomes.get(Outcome::Failed.as_str());
    verify_that!(failed, some(eq(&report.rows[0].sent)))
}

/// Guards against runs that start with invalid settings.
#[gtest]
fn invalid_settings_are_refused() -> Result<()> {
    let valid = LoadSettings {
        routes: vec![LoadRoute::new("direct", "127.0.0.1:1".parse()?)],
        ..Default::default()
    };
    let kind = |text: &str| text.parse::<RequestKind>();
    let rows = [
        LoadSettings {
            routes: Vec::new(),
            ..valid.clone()
        },
        LoadSettings {
            rate: 0.0,
            ..valid.clone()
        },
        LoadSettings {
            rate: f64::NAN,
            ..valid.clone()
        },
        LoadSettings {
            kinds: Vec::new(),
            ..valid.clone()
        },
        LoadSettings {
            kinds: vec![kind("weight=0")?],
            ..valid.clone()
        },
        LoadSettings {
            kinds: vec![kind("method=GE T")?],
            ..valid.clone()
        },
        LoadSettings {
            kinds: vec![kind("path=x")?],
            ..valid.clone()
        },
    ];
    for settings in rows {
        expect_that!(
            load::start(&settings)?.wait().is_err(),
            eq(true),
            "{settings:?}"
        );
    }
    for text in ["method", "colour=red", "body=-1", "chunked=maybe"] {
        expect_that!(kind(text).is_err(), eq(true), "{text}");
    }
    Ok(())
}
