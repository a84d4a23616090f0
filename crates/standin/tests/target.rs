//! Each fault of a target as the load tool sees it, and the target's own account.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{LIMIT, call, raw};
use googletest::prelude::*;
use plantainpost_standin::{
    history::{CheckSettings, Record, Rule, check},
    load::{self, LoadReport, LoadSettings, RequestKind, Route},
    process::wait_until,
    target::{
        self, Fail, Interface, LoadFault, ServiceTime, TargetFaults, TargetHandle, TargetSettings,
    },
};

fn start(faults: TargetFaults) -> Result<TargetHandle> {
    Ok(target::start(&TargetSettings {
        service_time: ServiceTime::Fixed(100),
        faults,
        ..Default::default()
    })?)
}

fn run(target: &TargetHandle, kind: RequestKind) -> Result<LoadReport> {
    Ok(load::start(&LoadSettings {
        routes: vec![Route::new("direct", target.address())],
        rate: 100.0,
        duration_ms: 300,
        timeout_ms: 200,
        kinds: vec![kind],
        ..Default::default()
    })?
    .wait()?)
}

/// Guards against faults without effect, against a load tool that takes a cut answer for a
/// whole or a wrong one, and against a target that miscounts what it started.
#[gtest]
fn each_fault_shows() -> Result<()> {
    let sized = || RequestKind {
        answer_bytes: Some(50_000),
        ..Default::default()
    };
    let chunked = || RequestKind {
        answer_chunked: true,
        ..sized()
    };
    // Each row: the fault, the kind, the status of every answer, whether every answer is
    // correct, and whether every answer is cut.
    let rows = [
        (Fail::No, sized(), 200, true, false),
        (Fail::No, chunked(), 200, true, false),
        (Fail::Status500, sized(), 500, false, false),
        (Fail::Close, sized(), 0, false, false),
        (Fail::CloseAfterWork, sized(), 0, false, false),
        (Fail::CutAfterHead, sized(), 200, false, true),
        (Fail::CutAfterHead, chunked(), 200, false, true),
        (Fail::CutInBody, sized(), 200, false, true),
        (Fail::CutInBody, chunked(), 200, false, true),
        (Fail::CutInBody, RequestKind::default(), 200, false, true),
        (Fail::Never, sized(), 0, false, false),
    ];
    for (fail, kind, status, correct, cut) in rows {
        let label = format!("{fail:?} chunked={}", kind.answer_chunked);
        let target = start(TargetFaults {
            fail,
            ..Default::default()
        })?;
        let report = run(&target, kind)?;
        let row = &report.rows[0];
        let all = |yes: bool| if yes { row.sent } else { 0 };
        expect_that!(row.sent, gt(10), "{label}");
        expect_that!(row.statuses.get(&status), some(eq(&row.sent)), "{label}");
        expect_that!(row.correct, eq(all(correct)), "{label}");
        expect_that!(row.cut, eq(all(cut)), "{label}");
        expect_that!(row.wrong, eq(0), "{label}");
        // A closed connection is noticed a moment after the caller gave up.
        wait_until("the end of all requests", LIMIT, || target.in_flight() == 0)?;
        expect_that!(target.started(), eq(row.sent), "{label}");
        // All faults are told to the caller, so no rule is broken.
        let records = [target.stop(), report.records.clone()].concat();
        expect_that!(
            check(&records, &CheckSettings::default()),
            ok(anything()),
            "{label}"
        );
    }
    Ok(())
}

/// Guards against an answer whose end cannot be seen but that counts as whole: the client
/// codec takes it for an empty body, which the load tool must call wrong.
#[gtest]
fn unframed_answers_are_wrong() -> Result<()> {
    for fail in [Fail::Unframed, Fail::UnframedSilent] {
        let target = start(TargetFaults {
            fail,
            ..Default::default()
        })?;
        let report = run(&target, RequestKind::default())?;
        expect_that!(report.rows[0].sent, gt(10), "{fail:?}");
        // The bytes of the body may meet the next request on a reused connection, which then
        // fails.
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

/// Guards against a share of failing requests that is ignored.
#[gtest]
fn a_share_of_requests_fails() -> Result<()> {
    let target = start(TargetFaults {
        fail: Fail::Status500,
        fail_permille: 500,
        ..Default::default()
    })?;
    let report = run(&target, RequestKind::default())?;
    let row = &report.rows[0];
    verify_that!(row.statuses.get(&200), some(ge(&3)))?;
    verify_that!(row.statuses.get(&500), some(ge(&3)))?;
    verify_that!(row.correct, eq(row.statuses[&200]))
}

/// Guards against slow switches that have no effect or do not end.
#[gtest]
fn slow_switches_slow_down() -> Result<()> {
    let no = TargetFaults::default;
    let rows = [
        (no(), false),
        (
            TargetFaults {
                slow_factor: 2000.0,
                ..no()
            },
            true,
        ),
        (
            TargetFaults {
                slow_factor: 2000.0,
                slow_ms: 1,
                ..no()
            },
            false,
        ),
        (
            TargetFaults {
                cold_factor: 2000.0,
                cold_ms: 60_000,
                ..no()
            },
            true,
        ),
        (
            TargetFaults {
                cold_factor: 2000.0,
                cold_ms: 1,
                ..no()
            },
            false,
        ),
        (
            TargetFaults {
                late_ms: 200,
                ..no()
            },
            true,
        ),
    ];
    for (faults, slow) in rows {
        let target = start(faults.clone())?;
        thread::sleep(Duration::from_millis(5));
        let begin = Instant::now();
        call(target.address(), "GET /", "")?;
        // The service time is 0.1 ms; the factor of 2000 makes it 200 ms.
        expect_that!(
            begin.elapsed() >= Duration::from_millis(200),
            eq(slow),
            "{faults:?}"
        );
    }
    Ok(())
}

/// Guards against a target that works on more requests than it has slots, or forgets one.
#[gtest]
fn requests_beyond_the_slots_wait() -> Result<()> {
    let target = target::start(&TargetSettings {
        slots: 2,
        ..Default::default()
    })?;
    let begin = Instant::now();
    let address = target.address();
    let line = "GET / HTTP/1.1\r\nconnection: close\r\nx-work-us: 50000";
    let callers = (0..6).map(|_| thread::spawn(move || raw(address, line, "")));
    for caller in callers.collect::<Vec<_>>() {
        let answer = caller.join().expect("the thread does not panic")?;
        verify_that!(answer, starts_with("HTTP/1.1 200"))?;
    }
    verify_that!(begin.elapsed(), ge(Duration::from_millis(150)))
}

/// Guards against a connection that stays open, or whose end is announced, when the switch
/// asks for the opposite.
#[gtest]
fn idle_connections_are_closed_without_notice() -> Result<()> {
    let target = start(TargetFaults {
        close_idle: true,
        ..Default::default()
    })?;
    // `raw` returns only when the server ends the connection.
    let answer = raw(target.address(), "GET / HTTP/1.1\r\nx-nonce: n1", "")?;
    verify_that!(answer, contains_substring("\"nonce\":\"n1\""))?;
    verify_that!(
        answer.to_lowercase(),
        not(contains_substring("connection: close"))
    )?;
    verify_that!(target.executions("n1"), eq(1))
}

/// Guards against load reports that do not mislead as told.
#[gtest]
fn load_reports_mislead_as_told() -> Result<()> {
    let target = start(TargetFaults {
        fail: Fail::Never,
        ..Default::default()
    })?;
    let address = target.address();
    let caller = thread::spawn(move || raw(address, "GET / HTTP/1.1", ""));
    wait_until("a request in flight", LIMIT, || target.in_flight() == 1)?;
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
        report(LoadFault::No, 0)?,
        eq("{\"in_flight\":1,\"slots\":12}")
    )?;
    verify_that!(
        report(LoadFault::Zero, 0)?,
        eq("{\"in_flight\":0,\"slots\":12}")
    )?;
    verify_that!(
        report(LoadFault::Delayed, 60_000)?,
        contains_substring("\"in_flight\":0")
    )?;
    thread::sleep(Duration::from_millis(20));
    verify_that!(
        report(LoadFault::Delayed, 10)?,
        contains_substring("\"in_flight\":1")
    )?;
    // A load poll is not a request of the service.
    verify_that!(target.started(), eq(1))?;
    target.stop();
    drop(caller.join());
    Ok(())
}

/// Guards against a control address that does not tell the history and the counts.
#[gtest]
fn the_control_address_tells_history_and_counts() -> Result<()> {
    let target = start(TargetFaults::default())?;
    raw(
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

/// Guards against a request that a target runs and never ends, because it has begun another
/// life meanwhile; the soak would wait for its end.
#[gtest]
fn a_request_ends_in_another_life_of_its_target() -> Result<()> {
    let target = target::start(&TargetSettings {
        service_time: ServiceTime::Fixed(300_000),
        interface: Interface::Platform,
        ..Default::default()
    })?;
    let address = target.address();
    let line = "GET / HTTP/1.1\r\nplantainpost-expect-instance: target-0\r\nconnection: close";
    let running = thread::spawn(move || raw(address, line, ""));
    wait_until("the start", LIMIT, || target.in_flight() == 1)?;
    target.set_leaving(true);
    target.set_leaving(false);
    let answer = running.join().expect("the thread does not panic")?;
    expect_that!(answer, starts_with("HTTP/1.1 200"));
    wait_until("the end", LIMIT, || target.in_flight() == 0)?;
    let again = raw(address, line, "")?;
    expect_that!(again, starts_with("HTTP/1.1 421"));
    Ok(())
}
