//! Targets whose address is taken by a target of another service.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
};

use googletest::prelude::*;

use crate::platform_fixture::{
    FIRST_BORN_MS, PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange,
};

/// Announces a target of the service `orders` at `address` to the control listener of a node.
fn announce_next(control: SocketAddr, address: &str) -> String {
    let born = FIRST_BORN_MS + 10_000;
    let body = format!(
        r#"{{"address":"{address}","info":{{"service":"orders","version":"v1","zone":"pos",
        "maxConcurrency":12}},"status":{{"state":"ready","seq":1,"warmupMs":0}},"born":{born}}}"#
    );
    let head = format!(
        "PUT /-/instances/i-2 HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    exchange(control, format!("{head}{body}").as_bytes())
}

/// Guards against a request whose kept connection breaks and which is sent once more to the same address,
/// where a target of another service answers by now.
#[gtest]
fn request_is_not_sent_again_to_the_next_service_at_the_address() {
    let addresses: Arc<OnceLock<(SocketAddr, String)>> = Arc::default();
    let announced = Arc::clone(&addresses);
    let target = ScriptedTarget::start(move |head| {
        if !head.contains("request-id: moved") {
            return ScriptedReply::Keep(answer(head, "200 OK", "whole"));
        }
        let (control, address) = announced.get().expect("the node runs");
        announce_next(*control, address);
        // The first target has ended without an answer; what follows reaches the next one.
        ScriptedReply::Close(Vec::new())
    });
    let platform = PlatformFleet::start_with_target(&target);
    let control = platform.hosts[0].control;
    addresses
        .set((control, target.addr.to_string()))
        .expect("set once");
    // Leaves a connection that is kept.
    expect_that!(
        platform.get(0, "/safe/1", "first"),
        starts_with("HTTP/1.1 200")
    );
    let text = platform.get(0, "/safe/1", "moved");
    expect_that!(text, not(starts_with("HTTP/1.1 200")));
    let heads = target.received_heads();
    let sent = heads
        .iter()
        .filter(|head| head.contains("request-id: moved"));
    expect_that!(sent.count(), eq(1));
}
