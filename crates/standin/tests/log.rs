//! The log service over HTTP: offsets, retention and each fault switch.

mod common;

use std::time::{Duration, Instant};

use common::{call, send_raw};
use googletest::prelude::*;
use plantainpost_standin::log::{self, DownMode, LogFaults, LogHandle, LogSettings};

const APPEND: &str = "POST /-/log-append?topic=config&part=0";

/// The decoded response to a read.
struct ReadBatch {
    oldest_offset: u64,
    next_offset: u64,
    records: Vec<String>,
}

/// Encodes a record as it is sent: a length of 4 bytes and the data.
fn encode_record(data: &str) -> String {
    let length = char::from(u8::try_from(data.len()).expect("a short record"));
    format!("\0\0\0{length}{data}")
}

fn append(log: &LogHandle, data: &str) -> std::io::Result<(u16, String)> {
    call(log.address(), APPEND, &encode_record(data))
}

/// Reads from an offset; fails unless the status is 200.
fn read(log: &LogHandle, from: u64) -> Result<ReadBatch> {
    let line = format!("GET /-/log-read?topic=config&part=0&from={from}");
    let (status, body) = call(log.address(), &line, "")?;
    verify_that!(status, eq(200))?;
    let body = body.as_bytes();
    verify_that!(body.len(), ge(16))?;
    let parse_u64 = |at: usize| {
        body[at..at + 8]
            .iter()
            .fold(0, |n, b| n << 8 | u64::from(*b))
    };
    let mut batch = ReadBatch {
        next_offset: parse_u64(0),
        oldest_offset: parse_u64(8),
        records: Vec::new(),
    };
    let mut rest = &body[16..];
    while !rest.is_empty() {
        verify_that!(rest[..3], eq(&[0, 0, 0]))?;
        let end = 4 + usize::from(rest[3]);
        batch
            .records
            .push(String::from_utf8(rest[4..end].to_vec())?);
        rest = &rest[end..];
    }
    Ok(batch)
}

/// Guards against a stand-in whose appends and reads differ from those of the real log service.
#[gtest]
fn appends_and_reads_follow_the_interface_of_the_log_service() -> Result<()> {
    let log = log::start(&LogSettings::default())?;
    for (offset, data) in ["a", "b \"quoted\"", "c"].into_iter().enumerate() {
        let answer = append(&log, data)?;
        let end = offset + 1;
        let expected = format!("{{\"end\":{end},\"offset\":{offset}}}");
        verify_that!(answer, eq(&(200, expected)))?;
    }
    let batch = read(&log, 1)?;
    verify_that!((batch.oldest_offset, batch.next_offset), eq((0, 3)))?;
    verify_that!(batch.records, elements_are![eq("b \"quoted\""), eq("c")])?;
    verify_that!(read(&log, 7)?.records, is_empty())?;
    // An append is atomic: when one record is truncated, none of the call is appended.
    let truncated = format!("{}\0\0\0\u{9}d", encode_record("whole"));
    verify_that!(call(log.address(), APPEND, &truncated)?.0, eq(400))?;
    verify_that!(read(&log, 0)?.next_offset, eq(3))?;

    log.trim_before("config", 2);
    let (status, body) = call(log.address(), "GET /-/log-read?topic=config&from=0", "")?;
    verify_that!((status, body.as_str()), eq((410, "{\"first\":2}")))?;
    let batch = read(&log, 2)?;
    verify_that!((batch.oldest_offset, batch.next_offset), eq((2, 3)))?;
    verify_that!(batch.records, elements_are![eq("c")])?;

    log.restart_without_data();
    let batch = read(&log, 0)?;
    verify_that!(
        (batch.oldest_offset, batch.next_offset, batch.records.len()),
        eq((0, 0, 0))
    )
}

/// Guards against retention that loses offsets or keeps records too long.
#[gtest]
fn records_are_dropped_by_count_and_by_age() -> Result<()> {
    let log = log::start(&LogSettings {
        keep_records: 2,
        keep_ms: 500,
        ..Default::default()
    })?;
    for data in ["a", "b", "c"] {
        append(&log, data)?;
    }
    let batch = read(&log, 1)?;
    verify_that!(
        (batch.oldest_offset, batch.next_offset, batch.records.len()),
        eq((1, 3, 2))
    )?;
    std::thread::sleep(Duration::from_millis(600));
    let batch = read(&log, 3)?;
    verify_that!(
        (batch.oldest_offset, batch.next_offset, batch.records.len()),
        eq((3, 3, 0))
    )
}

/// Guards against fault switches without effect, with the wrong effect, or that can't be turned
/// off.
#[gtest]
fn each_fault_switch_takes_effect() -> Result<()> {
    let no_faults = LogFaults::default;
    // Each row: the switches; the status of an append, `None` for no response; whether the append
    // takes effect; the number of records that a read returns when there were two before, `None`
    // when it fails.
    let rows = [
        (no_faults(), Some(200), true, Some(3)),
        (
            LogFaults {
                refuse: true,
                ..no_faults()
            },
            Some(503),
            false,
            None,
        ),
        (
            LogFaults {
                lose_answers: true,
                ..no_faults()
            },
            None,
            true,
            Some(3),
        ),
        (
            LogFaults {
                down: DownMode::Refuse,
                ..no_faults()
            },
            None,
            false,
            None,
        ),
        (
            LogFaults {
                down: DownMode::Close,
                ..no_faults()
            },
            None,
            false,
            None,
        ),
        (
            LogFaults {
                cut_answers: true,
                ..no_faults()
            },
            Some(200),
            true,
            None,
        ),
        (
            LogFaults {
                hide_newest: 2,
                ..no_faults()
            },
            Some(200),
            true,
            Some(1),
        ),
    ];
    let log = log::start(&LogSettings::default())?;
    for (faults, status, takes_effect, records) in rows {
        log.restart_without_data();
        log.append("config", "a");
        log.append("config", "b");
        let json = serde_json::to_string(&faults)?;
        let (put_status, _) = call(log.control(), "PUT /faults", &json)?;
        verify_that!(put_status, eq(204))?;
        let appended = append(&log, "c").ok().map(|(status, _)| status);
        expect_that!(appended, eq(status), "{json}");
        let kept = log.records("config").len();
        expect_that!(kept, eq(2 + usize::from(takes_effect)), "{json}");
        let read_count = read(&log, 0).ok().map(|batch| batch.records.len());
        expect_that!(read_count, eq(records), "{json}");
        log.set_faults(no_faults());
        // Opening the listener again may take a moment.
        let deadline = Instant::now() + Duration::from_secs(2);
        while read(&log, 0).is_err() && Instant::now() < deadline {}
        expect_that!(read(&log, 0)?.records.len(), eq(kept), "after {json}");
    }
    Ok(())
}

/// Guards against a delay without effect, and against one that also delays the append itself and
/// not only its response.
#[gtest]
fn a_delayed_append_takes_effect_before_its_response() -> Result<()> {
    let log = log::start(&LogSettings::default())?;
    log.set_faults(LogFaults {
        delay_ms: 600,
        ..Default::default()
    });
    let start = Instant::now();
    let address = log.address();
    let appended = std::thread::spawn(move || call(address, APPEND, &encode_record("a")));
    while log.records("config").is_empty() && start.elapsed() < Duration::from_secs(5) {}
    verify_that!(start.elapsed(), lt(Duration::from_millis(600)))?;
    let (status, _) = appended.join().expect("the thread does not panic")?;
    verify_that!(status, eq(200))?;
    verify_that!(start.elapsed(), ge(Duration::from_millis(600)))
}

/// Guards against control requests that are accepted although their path or body is invalid.
#[gtest]
fn invalid_control_requests_are_rejected() -> Result<()> {
    let log = log::start(&LogSettings::default())?;
    for (line, body, status) in [
        ("PUT /faults", "{\"donw\":\"refuse\"}", 400),
        ("PUT /faults", "", 400),
        ("POST /trim", "{}", 400),
        ("POST /append", "{}", 400),
        ("POST /restore", "", 409),
        ("GET /other", "", 404),
    ] {
        let (answer, _) = call(log.control(), line, body)?;
        expect_that!(answer, eq(status), "{line} {body}");
    }
    Ok(())
}

/// Returns the era that the answer to a request states; `None` if it states none.
fn stated_era(log: &LogHandle, line: &str, body: &str) -> Result<Option<u64>> {
    let head = format!("{line} HTTP/1.1\r\nconnection: close");
    let answer = send_raw(log.address(), &head, body)?.to_ascii_lowercase();
    let head = answer.split("\r\n\r\n").next().unwrap_or_default();
    let era = head
        .lines()
        .find_map(|line| line.strip_prefix("store-era: "));
    Ok(era.map(str::parse).transpose()?)
}

fn start_with_era(era: u64) -> Result<LogHandle> {
    Ok(log::start(&LogSettings {
        era: Some(era),
        ..Default::default()
    })?)
}

/// Guards against a restore that keeps lost records or doesn't give their offsets out again.
#[gtest]
fn restore_loses_the_records_after_the_copy() -> Result<()> {
    let log = start_with_era(0)?;
    log.append("config", "a");
    log.append_keyed("keyed.op", "k", b"1");
    let copy = log.copy();
    log.append("config", "lost");
    log.append_keyed("keyed.op", "k", b"2");
    log.append("later", "lost");
    log.restore(&copy);
    let batch = read(&log, 0)?;
    verify_that!((batch.oldest_offset, batch.next_offset), eq((0, 1)))?;
    verify_that!(batch.records, elements_are![eq("a")])?;
    verify_that!(log.records("keyed.op").len(), eq(1))?;
    verify_that!(log.records("later"), is_empty())?;
    verify_that!(log.append("config", "b"), eq(1))?;
    // A copy can be restored again.
    log.restore(&copy);
    verify_that!(read(&log, 0)?.records, elements_are![eq("a")])?;
    verify_that!(log.era(), some(eq(2)))
}

/// Guards against answers without the era, also errors, and against an era that a restore does not
/// raise.
#[gtest]
fn each_answer_states_the_era() -> Result<()> {
    let log = start_with_era(7)?;
    log.append("config", "a");
    log.append("config", "b");
    log.trim_before("config", 1);
    let rows = [
        ("append", APPEND, encode_record("c"), false),
        ("truncated record", APPEND, "\0\0\0\u{9}d".to_owned(), false),
        (
            "read",
            "GET /-/log-read?topic=config&from=1",
            String::new(),
            false,
        ),
        (
            "expired",
            "GET /-/log-read?topic=config&from=0",
            String::new(),
            false,
        ),
        (
            "beyond the end",
            "GET /-/log-read?topic=config&from=99",
            String::new(),
            false,
        ),
        (
            "newest",
            "GET /-/log-newest?topic=config",
            String::new(),
            false,
        ),
        ("no topic", "GET /-/log-read", String::new(), false),
        (
            "unknown path",
            "GET /other?topic=config",
            String::new(),
            false,
        ),
        (
            "fault switch",
            "GET /-/log-read?topic=config&from=1",
            String::new(),
            true,
        ),
    ];
    let copy = log.copy();
    for era in [7, 8] {
        for (name, line, body, refuse) in &rows {
            log.set_faults(LogFaults {
                refuse: *refuse,
                ..Default::default()
            });
            expect_that!(stated_era(&log, line, body)?, some(eq(era)), "{name}");
        }
        log.set_faults(LogFaults::default());
        log.restore(&copy);
    }
    let without_era = log::start(&LogSettings::default())?;
    without_era.restore(&copy);
    for (name, line, body, _) in &rows {
        expect_that!(stated_era(&without_era, line, body)?, none(), "{name}");
    }
    Ok(())
}

/// Guards against a read from beyond the end of a restored log that waits for its old offset, and
/// against a 410 from a service that states no era.
#[gtest]
fn only_a_service_with_eras_refuses_reads_beyond_the_end() -> Result<()> {
    let line = "GET /-/log-read?topic=config&from=3&waitMs=300";
    let (with_era, without_era) = (start_with_era(0)?, log::start(&LogSettings::default())?);
    for log in [&with_era, &without_era] {
        for data in ["a", "b", "c"] {
            log.append("config", data);
        }
        log.trim_before("config", 1);
        let start = Instant::now();
        expect_that!(call(log.address(), line, "")?.0, eq(200));
        expect_that!(start.elapsed(), ge(Duration::from_millis(300)));
        let copy = log.copy();
        log.append("config", "lost");
        log.restore(&copy);
    }
    let line = "GET /-/log-read?topic=config&from=4&waitMs=300";
    let refused = call(with_era.address(), line, "")?;
    expect_that!(refused, eq(&(410, "{\"first\":1}".to_owned())));
    let start = Instant::now();
    expect_that!(call(without_era.address(), line, "")?.0, eq(200));
    expect_that!(start.elapsed(), ge(Duration::from_millis(300)));
    Ok(())
}

/// Guards against a read that keeps waiting at its old offset while the service is restored.
#[gtest]
fn waiting_read_is_answered_by_the_restored_log() -> Result<()> {
    // Each row: number of records at the restore, status of the answer to a read from offset 3.
    for (kept, status) in [(1, 410), (3, 200), (5, 200)] {
        let source = start_with_era(0)?;
        for _ in 0..kept {
            source.append("config", "a");
        }
        let copy = source.copy();
        let log = start_with_era(0)?;
        for _ in 0..3 {
            log.append("config", "a");
        }
        let calls = log.call_count();
        let address = log.address();
        let waiting = std::thread::spawn(move || {
            let line =
                "GET /-/log-read?topic=config&from=3&waitMs=9000 HTTP/1.1\r\nconnection: close";
            let start = Instant::now();
            send_raw(address, line, "").map(|answer| (answer, start.elapsed()))
        });
        while log.call_count() == calls {}
        log.restore(&copy);
        let (answer, delay) = waiting.join().expect("the thread does not panic")?;
        expect_that!(answer, starts_with(format!("HTTP/1.1 {status} ")), "{kept}");
        expect_that!(
            answer.to_ascii_lowercase(),
            contains_substring("store-era: 1\r\n")
        );
        expect_that!(delay, lt(Duration::from_secs(3)), "{kept}");
    }
    Ok(())
}

/// Guards against control requests that keep no copy or restore none.
#[gtest]
fn control_requests_take_and_restore_a_copy() -> Result<()> {
    let log = start_with_era(0)?;
    log.append("config", "a");
    verify_that!(call(log.control(), "POST /copy", "")?.0, eq(204))?;
    for era in [1, 2] {
        log.append("config", "lost");
        verify_that!(call(log.control(), "POST /restore", "")?.0, eq(204))?;
        verify_that!(read(&log, 0)?.records, elements_are![eq("a")])?;
        verify_that!(log.era(), some(eq(era)))?;
    }
    Ok(())
}
