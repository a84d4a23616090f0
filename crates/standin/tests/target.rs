//! The fault switches of a target as the load tool sees them, and the target's own counters and
//! history.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{TIMEOUT, call, send_raw};
use googletest::prelude::*;
use plantainpost_standin::{
    history::{CheckSettings, Record, Rule, check},
    load::{self, LoadReport, LoadRoute, LoadSettings, RequestKind},
    process::wait_until,
    target::{
        self, Interface, LoadReportFault, RequestFailure, ServiceTime, TargetFaults, TargetHandle,
        TargetSettings,
    },
};

fn start_target(faults: TargetFaults) -> Result<TargetHandle> {
    Ok(target::start(&TargetSettings {
        service_time: ServiceTime::Fixed(100),
        faults,
        ..Default::default()
    })?)
}

fn run_load(target: &TargetHandle, kind: RequestKind) -> Result<LoadReport> {
    Ok(load::start(&LoadSettings {
        routes: vec![LoadRoute::new("direct", target.address())],
        rate: 100.0,
        duration_ms: 300,
        timeout_ms: 200,
        kinds: vec![kind],
        ..Default::default()
    })?
    .wait()?)
}

/// Guards against fault switches without effect, against a load tool that counts a truncated
/// response as correct or wrong instead of cut, and against a target that miscounts the requests
/// that it started.
#[gtest]
fn each_failure_is_seen_by_the_caller() -> Result<()> {
    let sized = || RequestKind {
        answer_bytes: Some(50_000),
        ..Default::default()
    };
    let chunked = || RequestKind {
        answer_chunked: true,
        ..sized()
    };
    // Each row: the failure, the kind of request, the status of every response (0 for none),
    // whether every response is correct, and whether every response is cut.
    let rows = [
        (RequestFailure::No, sized(), 200, true, false),
        (RequestFailure::No, chunked(), 200, true, false),
        (RequestFailure::Status500, sized(), 500, false, false),
        (RequestFailure::Close, sized(), 0, false, false),
        (RequestFailure::CloseAfterWork, sized(), 0, false, false),
        (RequestFailure::CutAfterHead, sized(), 200, false, true),
        (RequestFailure::CutAfterHead, chunked(), 200, false, true),
        (RequestFailure::CutInBody, sized(), 200, false, true),
        (RequestFailure::CutInBody, chunked(), 200, false, true),
        (
            RequestFailure::CutInBody,
            RequestKind::default(),
            200,
            false,
            true,
        ),
        (RequestFailure::Never, sized(), 0, false, false),
    ];
    for (fail, kind, status, correct, cut) in rows {
        let label = format!("{fail:?} chunked={}", kind.answer_chunked);
        let target = start_target(TargetFaults {
            fail,
            ..Default::default()
        })?;
        let report = run_load(&target, kind)?;
        let row = &report.rows[0];
        let all = |yes: bool| if yes { row.sent } else { 0 };
        expect_that!(row.sent, gt(10), "{label}");
        expect_that!(row.statuses.get(&status), some(eq(&row.sent)), "{label}");
        expect_that!(row.correct, eq(all(correct)), "{label}");
        expect_that!(row.cut, eq(all(cut)), "{label}");
        expect_that!(row.wrong, eq(0), "{label}");
        // The target notices a closed connection a moment after the caller gave up.
        wait_until("the end of all requests", TIMEOUT, || {
            target.in_flight() == 0
        })?;
        expect_that!(target.started_count(), eq(row.sent), "{label}");
        // The caller sees every failure, so no rule is broken.
        let records = [target.stop(), report.records.clone()].concat();
        expect_that!(
            check(&records, &CheckSettings::default()),
            ok(anything()),
            "{label}"
        );
    }
    Ok(())
}

/// Guards against a response with no visible end of the body that counts as correct: the client
/// codec takes the body as empty, which the load tool must count as wrong.
#[gtest]
fn unframed_responses_count_as_wrong() -> Result<()> {
    for fail in [RequestFailure::Unframed, RequestFailure::UnframedSilent] {
        let target = start_target(TargetFaults {
            fail,
            ..Default::default()
        })?;
        let report = run_load(&target, RequestKind::default())?;
        expect_that!(report.rows[0].sent, gt(10), "{fail:?}");
        // On a reused connection, the bytes of the body may be read as the response to the next
        // request, which then fails.
        let row = &report.rows[0];
        let failed = row.statuses.get(&0).copied().unwrap_or(0);
        expect_that!(row.wrong, gt(10), "{fail:?}");
        expect_that!(row.wrong + failed, eq(row.sent), "{fail:?}");
        expect_that!(row.correct, eq(0), "{fail:?}");
        let broken = check(&report.records, &CheckSettings::default()).expect_err("a broken rule");
        expect_that!(broken.rule, eq(Rule::AnswerNotWhole), "{fail:?}");
    }
    Ok(())
}

/// Guards against a target that ignores `fail_permille`.
#[gtest]
fn fail_permille_applies_to_a_share_of_requests() -> Result<()> {
    let target = start_target(TargetFaults {
        fail: RequestFailure::Status500,
        fail_permille: 500,
        ..Default::default()
    })?;
    let report = run_load(&target, RequestKind::default())?;
    let row = &report.rows[0];
    verify_that!(row.statuses.get(&200), some(ge(&3)))?;
    verify_that!(row.statuses.get(&500), some(ge(&3)))?;
    verify_that!(row.correct, eq(row.statuses[&200]))
}

/// Guards against factors and delays that have no effect or don't end after their time.
#[gtest]
fn factors_and_delays_slow_down_responses() -> Result<()> {
    let no_faults = TargetFaults::default;
    let rows = [
        (no_faults(), false),
        (
            TargetFaults {
                slow_factor: 2000.0,
                ..no_faults()
            },
            true,
        ),
        (
            TargetFaults {
                slow_factor: 2000.0,
                slow_ms: 1,
                ..no_faults()
            },
            false,
        ),
        (
            TargetFaults {
                cold_factor: 2000.0,
                cold_ms: 60_000,
                ..no_faults()
            },
            true,
        ),
        (
            TargetFaults {
                cold_factor: 2000.0,
                cold_ms: 1,
                ..no_faults()
            },
            false,
        ),
        (
            TargetFaults {
                late_ms: 200,
                ..no_faults()
            },
            true,
        ),
    ];
    for (faults, slow) in rows {
        let target = start_target(faults.clone())?;
        thread::sleep(Duration::from_millis(5));
        let start = Instant::now();
        call(target.address(), "GET /", "")?;
        // The service time is 0.1 ms, or 200 ms with the factor 2000.
        expect_that!(
            start.elapsed() >= Duration::from_millis(200),
            eq(slow),
            "{faults:?}"
        );
    }
    Ok(())
}

/// Guards against a target that processes more requests at once than it has slots, or that never
/// answers a request that had to wait.
#[gtest]
fn requests_beyond_the_slots_wait() -> Result<()> {
    let target = target::start(&TargetSettings {
        slots: 2,
        ..Default::default()
    })?;
    let start = Instant::now();
    let address = target.address();
    let line = "GET / HTTP/1.1\r\nconnection: close\r\nx-work-us: 50000";
    let callers = (0..6).map(|_| thread::spawn(move || send_raw(address, line, "")));
    for caller in callers.collect::<Vec<_>>() {
        let answer = caller.join().expect("the thread does not panic")?;
        verify_that!(answer, starts_with("HTTP/1.1 200"))?;
    }
    verify_that!(start.elapsed(), ge(Duration::from_millis(150)))
}

/// Guards against a connection that stays open although `close_idle` is set, or that is closed
/// with `Connection: close`.
#[gtest]
fn idle_connections_are_closed_without_a_connection_header() -> Result<()> {
    let target = start_target(TargetFaults {
        close_idle: true,
        ..Default::default()
    })?;
    // `send_raw` returns only when the server closes the connection.
    let answer = send_raw(target.address(), "GET / HTTP/1.1\r\nx-nonce: n1", "")?;
    verify_that!(answer, contains_substring("\"nonce\":\"n1\""))?;
    verify_that!(
        answer.to_lowercase(),
        not(contains_substring("connection: close"))
    )?;
    verify_that!(target.execution_count("n1"), eq(1))
}

/// Guards against load reports that don't follow their fault switch.
#[gtest]
fn load_reports_follow_their_fault_switch() -> Result<()> {
    let target = start_target(TargetFaults {
        fail: RequestFailure::Never,
        ..Default::default()
    })?;
    let address = target.address();
    let caller = thread::spawn(move || send_raw(address, "GET / HTTP/1.1", ""));
    wait_until("a request in flight", TIMEOUT, || target.in_flight() == 1)?;
    let report = |load, load_delay_ms| -> Result<String> {
        let faults = TargetFaults {
            load,
            load_delay_ms,
            ..target.faults()
        };
        target.set_faults(faults);
        Ok(call(target.address(), "GET /load", "")?.1)
    };
    verify_that!(
        report(LoadReportFault::No, 0)?,
        eq("{\"in_flight\":1,\"slots\":12}")
    )?;
    verify_that!(
        report(LoadReportFault::Zero, 0)?,
        eq("{\"in_flight\":0,\"slots\":12}")
    )?;
    verify_that!(
        report(LoadReportFault::Delayed, 60_000)?,
        contains_substring("\"in_flight\":0")
    )?;
    thread::sleep(Duration::from_millis(20));
    verify_that!(
        report(LoadReportFault::Delayed, 10)?,
        contains_substring("\"in_flight\":1")
    )?;
    // A request for the load report does not count as a request of the service.
    verify_that!(target.started_count(), eq(1))?;
    target.stop();
    drop(caller.join());
    Ok(())
}

/// Guards against a control address that does not serve the history and the counts.
#[gtest]
fn the_control_address_serves_history_and_counts() -> Result<()> {
    let target = start_target(TargetFaults::default())?;
    send_raw(
        target.address(),
        "GET / HTTP/1.1\r\nconnection: close\r\nx-nonce: n1",
        "",
    )?;
    let faults = serde_json::to_string(&TargetFaults {
        leaving: true,
        ..Default::default()
    })?;
    verify_that!(call(target.control(), "PUT /faults", &faults)?.0, eq(204))?;
    verify_that!(
        call(target.control(), "GET /counts", "")?.1,
        eq("{\"n1\":1}")
    )?;
    let (_, lines) = call(target.control(), "GET /history", "")?;
    let records = plantainpost_standin::history::parse_lines(&lines)?;
    verify_that!(
        records,
        elements_are![
            matches_pattern!(Record::Serving { .. }),
            matches_pattern!(Record::Started {
                nonce: eq("n1"),
                ..
            }),
            matches_pattern!(Record::Ended { ok: eq(&true), .. }),
            matches_pattern!(Record::Leaving { .. }),
        ]
    )
}

/// Guards against a request whose end is not recorded because its target has begun a new
/// incarnation meanwhile. The soak test would wait for that end.
#[gtest]
fn a_request_ends_after_its_target_began_a_new_incarnation() -> Result<()> {
    let target = target::start(&TargetSettings {
        service_time: ServiceTime::Fixed(300_000),
        interface: Interface::Platform,
        ..Default::default()
    })?;
    let address = target.address();
    let line = "GET / HTTP/1.1\r\nplantainpost-expect-instance: target-0\r\nconnection: close";
    let running = thread::spawn(move || send_raw(address, line, ""));
    wait_until("the start", TIMEOUT, || target.in_flight() == 1)?;
    target.set_leaving(true);
    target.set_leaving(false);
    let answer = running.join().expect("the thread does not panic")?;
    expect_that!(answer, starts_with("HTTP/1.1 200"));
    wait_until("the end", TIMEOUT, || target.in_flight() == 0)?;
    let second_response = send_raw(address, line, "")?;
    expect_that!(second_response, starts_with("HTTP/1.1 421"));
    Ok(())
}
