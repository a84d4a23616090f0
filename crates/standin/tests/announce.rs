//! Announcements of a target, against a stub of a node's admin listener.

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

/// Longest wait for announcements.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The request lines and bodies that the admin listener received.
type Calls = Arc<Mutex<Vec<(String, String)>>>;

/// Starts a stub that records every call and answers it with 204. Its threads run until the
/// process ends.
fn start_admin_stub() -> std::io::Result<(SocketAddr, Calls)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let calls = Calls::default();
    let thread_calls = Arc::clone(&calls);
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let thread_calls = Arc::clone(&thread_calls);
            thread::spawn(move || serve_connection(io, &thread_calls));
        }
    });
    Ok((address, calls))
}

fn serve_connection(mut io: TcpStream, calls: &Calls) -> std::io::Result<()> {
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

fn last_call(calls: &Calls) -> (String, String) {
    let calls = calls.lock().expect("no thread panics");
    calls.last().cloned().unwrap_or_default()
}

fn call_count(calls: &Calls) -> usize {
    calls.lock().expect("no thread panics").len()
}

/// Guards against a target that sends wrong announcements (their format is in section 3.2 of the
/// design page), does not renew its lease, announces a change only at the next renewal, or does
/// not withdraw its announcement when it stops.
#[gtest]
fn a_target_announces_itself_renews_and_withdraws() -> Result<()> {
    let (node, calls) = start_admin_stub()?;
    let target = target::start(&TargetSettings {
        node: Some(node),
        ttl_ms: 300,
        ..Default::default()
    })?;
    wait_until("three announcements", TIMEOUT, || call_count(&calls) >= 3)?;
    verify_that!(target.is_announced(), eq(true))?;
    let (line, body) = last_call(&calls);
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
    wait_until("the change", TIMEOUT, || {
        serde_json::from_str::<serde_json::Value>(&last_call(&calls).1)
            .is_ok_and(|body| body == expected)
    })?;

    target.stop();
    verify_that!(last_call(&calls).0, eq("DELETE /v1/target HTTP/1.1"))
}

/// Guards against a silent target that still renews its lease, and against one that does not
/// announce itself again when the switch is turned off.
#[gtest]
fn a_silent_target_sends_no_announcements() -> Result<()> {
    let (node, calls) = start_admin_stub()?;
    let target = target::start(&TargetSettings {
        node: Some(node),
        ttl_ms: 60,
        ..Default::default()
    })?;
    wait_until("an announcement", TIMEOUT, || call_count(&calls) >= 1)?;
    target.set_faults(TargetFaults {
        silent: true,
        ..Default::default()
    });
    // An announcement that is already in flight may still arrive.
    thread::sleep(Duration::from_millis(100));
    let before = call_count(&calls);
    thread::sleep(Duration::from_millis(200));
    verify_that!(call_count(&calls), eq(before))?;
    target.set_faults(TargetFaults::default());
    wait_until("another announcement", TIMEOUT, || {
        call_count(&calls) > before
    })?;
    Ok(())
}
