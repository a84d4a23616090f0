//! Invalid input on every listener.

use std::net::UdpSocket;

use googletest::prelude::*;
use plantainpost_standin::process;

use crate::{
    fleet_fixture::{Fleet, WAIT_TIMEOUT, host_specs},
    http_client::{send_raw, send_request},
};

/// Guards against malformed requests that crash the process or get no clear error.
#[gtest]
fn bad_requests_get_clear_errors() {
    let fleet = Fleet::start(&host_specs("stock", 1));
    let callers = fleet.nodes[0].callers;
    let oversized = format!(
        "GET / HTTP/1.1\r\nhost: stock\r\nx: {}\r\n\r\n",
        "a".repeat(20_000)
    );
    let rows: [(&str, &[u8], &str); 7] = [
        ("not HTTP", b"\x00\xff\x13nonsense\r\n\r\n", "400"),
        ("no host", b"GET / HTTP/1.1\r\n\r\n", "400"),
        ("bad host", b"GET / HTTP/1.1\r\nhost: a b!\r\n\r\n", "400"),
        (
            "bad timeout",
            b"GET / HTTP/1.1\r\nhost: stock\r\nplantainpost-timeout-ms: soon\r\n\r\n",
            "400",
        ),
        (
            "two lengths",
            b"POST / HTTP/1.1\r\nhost: stock\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
            "400",
        ),
        (
            "length above the limit",
            b"POST / HTTP/1.1\r\nhost: stock\r\ncontent-length: 99999999999\r\n\r\n",
            "413",
        ),
        ("oversized header", oversized.as_bytes(), "431"),
    ];
    for (name, bytes, status) in rows {
        let answer = send_raw(callers, bytes);
        expect_that!(
            answer,
            starts_with(format!("HTTP/1.1 {status} ").as_str()),
            "{name}"
        );
    }
    let answer = send_request(callers, "GET", "stock", "");
    expect_that!(answer, starts_with("HTTP/1.1 200 "));
}

/// Guards against an invalid announcement that puts an unusable target into service.
#[gtest]
fn bad_announcements_are_refused() {
    let fleet = Fleet::start(&host_specs("stock", 1));
    let rows = [
        ("not JSON", "nonsense"),
        ("empty", "{}"),
        (
            "name for an address",
            r#"{"service":"stock","address":"localhost:80","slots":1,"connections":1,"ttl_ms":1000}"#,
        ),
        (
            "no slots",
            r#"{"service":"stock","address":"127.0.0.1:80","slots":0,"connections":1,"ttl_ms":1000}"#,
        ),
        (
            "negative slots",
            r#"{"service":"stock","address":"127.0.0.1:80","slots":-1,"connections":1,"ttl_ms":1000}"#,
        ),
        (
            "service with a line end",
            r#"{"service":"st\nock","address":"127.0.0.1:80","slots":1,"connections":1,"ttl_ms":1000}"#,
        ),
        (
            "unknown key",
            r#"{"service":"stock","address":"127.0.0.1:80","slots":1,"connections":1,"ttl_ms":1000,"x":1}"#,
        ),
        (
            "endless validity",
            r#"{"service":"stock","address":"127.0.0.1:80","slots":1,"connections":1,"ttl_ms":99999999999}"#,
        ),
    ];
    for (name, body) in rows {
        let text = format!(
            "PUT /v1/target HTTP/1.1\r\nhost: node\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = send_raw(fleet.nodes[0].admin, text.as_bytes());
        expect_that!(answer, starts_with("HTTP/1.1 400 "), "{name}");
        expect_that!(answer, contains_substring("error"), "{name}");
    }
    let answer = send_request(fleet.nodes[0].callers, "GET", "stock", "");
    expect_that!(answer, starts_with("HTTP/1.1 200 "));
}

/// Guards against random bytes on the peer ports that crash the process.
#[gtest]
fn random_bytes_from_peers_are_counted() {
    let fleet = Fleet::start(&host_specs("stock", 2));
    let peers = fleet.nodes[0].peers;
    let udp = UdpSocket::bind("127.0.0.1:0").expect("a socket can be opened");
    for length in [0, 1, 15, 16, 17, 400, 1_200, 1_201, 9_000] {
        let bytes: Vec<u8> = (0..length).map(|_| rand::random()).collect();
        udp.send_to(&bytes, peers).expect("the datagram is sent");
        send_raw(peers, &bytes);
    }
    let counted = process::wait_until("drops are counted", WAIT_TIMEOUT, || {
        let answer = send_request(fleet.nodes[0].admin, "GET", "node", "");
        let metrics = send_raw(
            fleet.nodes[0].admin,
            b"GET /v1/metrics HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n",
        );
        answer.starts_with("HTTP/1.1 404 ")
            && metrics.contains("udp.dropped")
            && metrics.contains("guard.handshake_failed")
    });
    expect_that!(counted.is_ok(), eq(true));
    let answer = send_request(fleet.nodes[0].callers, "GET", "stock", "");
    expect_that!(answer, starts_with("HTTP/1.1 200 "));
}
