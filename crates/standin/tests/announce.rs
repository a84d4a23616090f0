//! Announcements of a target, against a small stand-in of the node's admin listener.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use googletest::prelude::*;
use plantainpost_standin::{
    process::wait_until,
    target::{self, TargetFaults, TargetSettings},
};

/// Longest wait for an announcement.
const LIMIT: Duration = Duration::from_secs(10);

/// The request lines and bodies that the admin listener received.
type Calls = Arc<Mutex<Vec<(String, String)>>>;

/// Answers every call with 204 and notes it. The threads end with the process.
fn admin() -> std::io::Result<(SocketAddr, Calls)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let calls = Calls::default();
    let noted = Arc::clone(&calls);
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let noted = Arc::clone(&noted);
            thread::spawn(move || serve(io, &noted));
        }
    });
    Ok((address, calls))
}

fn serve(mut io: TcpStream, calls: &Calls) -> std::io::Result<()> {
    let mut reader = BufReader::new(io.try_clone()?);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut length = 0;
        loop {
            let mut header = String::new();
            reader.read_line(&mut header)?;
            let header = header.trim().to_lowercase();
            if header.is_empty() {
                break;
            }
            if let Some(value) = header.strip_prefix("content-length: ") {
                length = value.parse().unwrap_or(0);
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let line = line.trim().to_owned();
        calls.lock().expect("no thread panics").push((line, body));
        io.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
    }
}

fn last(calls: &Calls) -> (String, String) {
    let calls = calls.lock().expect("no thread panics");
    calls.last().cloned().unwrap_or_default()
}

fn count(calls: &Calls) -> usize {
    calls.lock().expect("no thread panics").len()
}

/// Guards against a target that does not announce itself as section 3.2 of the design page
/// asks, lets its lease expire, announces a change late, or stays after it has stopped.
#[gtest]
fn a_target_announces_renews_and_withdraws() -> Result<()> {
    let (node, calls) = admin()?;
    let target = target::start(&TargetSettings {
        node: Some(node),
        ttl_ms: 300,
        ..Default::default()
    })?;
    wait_until("three announcements", LIMIT, || count(&calls) >= 3)?;
    verify_that!(target.is_announced(), eq(true))?;
    let (line, body) = last(&calls);
    verify_that!(line, eq("PUT /v1/target HTTP/1.1"))?;
    let mut expected = serde_json::json!({
        "service": "stock",
        "address": target.address().to_string(),
        "slots": 12,
        "connections": 220,
        "ttl_ms": 300,
        "leaving": false,
    });
    verify_that!(
        serde_json::from_str::<serde_json::Value>(&body)?,
        eq(&expected)
    )?;

    target.set_leaving(true);
    expected["leaving"] = true.into();
    wait_until("the change", LIMIT, || {
        serde_json::from_str::<serde_json::Value>(&last(&calls).1)
            .is_ok_and(|body| body == expected)
    })?;

    target.stop();
    verify_that!(last(&calls).0, eq("DELETE /v1/target HTTP/1.1"))
}

/// Guards against a silent target that renews its lease, and against one that does not come
/// back when the switch is turned off.
#[gtest]
fn a_silent_target_lets_its_lease_expire() -> Result<()> {
    let (node, calls) = admin()?;
    let target = target::start(&TargetSettings {
        node: Some(node),
        ttl_ms: 60,
        ..Default::default()
    })?;
    wait_until("an announcement", LIMIT, || count(&calls) >= 1)?;
    target.set_faults(TargetFaults {
        silent: true,
        ..Default::default()
    });
    // An announcement that was being sent may still arrive.
    thread::sleep(Duration::from_millis(100));
    let before = count(&calls);
    thread::sleep(Duration::from_millis(200));
    verify_that!(count(&calls), eq(before))?;
    target.set_faults(TargetFaults::default());
    wait_until("another announcement", LIMIT, || count(&calls) > before)?;
    Ok(())
}
