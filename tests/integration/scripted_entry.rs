//! A scripted entry and a real guard: which requests the guard refuses or never runs.

use std::{fs, future::Future, io::Read, path::Path, pin::Pin, time::Duration};

use googletest::prelude::*;
use plantainpost_standin::process::Signal;
use plantainpost_wire::message::{BodyLength, PeerMessage, PeerRequestHead};

use crate::{
    fleet_fixture::{FLEET_KEY, Fleet, WAIT_TIMEOUT, host_specs},
    http_client::announce_listener,
    scripted_peer::{ScriptedPeer, describe, now, post_head, request_key, run_script},
};

/// Sends a request on a new connection and returns the guard's first message as text.
async fn first_reply(fleet: &Fleet, id: u128, nonce: &str, headers: &[(&str, &str)]) -> String {
    let mut peer = ScriptedPeer::connect(fleet.nodes[0].peers).await;
    let head = post_head(request_key(id), nonce, headers);
    peer.send(PeerMessage::Request(head)).await;
    describe(&peer.next_reply().await).to_string()
}

/// Fences a request on a new connection and returns the guard's first message as text.
async fn fence_reply(fleet: &Fleet, id: u128) -> String {
    let mut peer = ScriptedPeer::connect(fleet.nodes[0].peers).await;
    let deadline = now().saturating_add_millis(5_000);
    let key = request_key(id);
    peer.send(PeerMessage::Fence { key, deadline }).await;
    describe(&peer.next_reply().await).to_string()
}

/// Guards against a second run of a request that arrives again while it runs or after its
/// end, and against a run of a request that arrives after its fence.
#[gtest]
fn duplicate_is_refused() {
    let fleet = Fleet::start(&host_specs("stock", 1));
    run_script(async {
        let work = [("x-work-us", "300000")];
        let mut first = ScriptedPeer::connect(fleet.nodes[0].peers).await;
        let head = post_head(request_key(1), "twice", &work);
        first.send(PeerMessage::Request(head)).await;
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        expect_that!(
            first_reply(&fleet, 1, "twice", &work).await,
            eq("refused duplicate")
        );
        expect_that!(fence_reply(&fleet, 1).await, eq("fence Started"));
        expect_that!(&*describe(&first.next_reply().await), eq("response 200"));
        expect_that!(
            first_reply(&fleet, 1, "twice", &work).await,
            eq("refused duplicate")
        );
        expect_that!(fence_reply(&fleet, 1).await, eq("fence Finished"));
        expect_that!(fleet.targets[0].execution_count("twice"), eq(1));
        expect_that!(fence_reply(&fleet, 2).await, eq("fence Fenced"));
        expect_that!(
            first_reply(&fleet, 2, "late", &work).await,
            eq("refused fenced")
        );
        expect_that!(fleet.targets[0].execution_count("late"), eq(0));
    });
}

/// Makes node 0 drain, which is the guard of `stock-0`.
type StartDraining = fn(&mut Fleet);

/// Guards against new work for a leaving target from an entry that does not know that it is
/// leaving, for example one with an old configuration or one that was frozen.
#[gtest]
fn draining_guard_refuses_new_work() {
    let rows: [(&str, StartDraining); 4] = [
        ("announcement", |fleet| fleet.targets[0].set_leaving(true)),
        ("configuration", |fleet| {
            fleet.plan_and_confirm(1, &["leave", "--target", "stock-0"]);
        }),
        ("data centre", |fleet| {
            fleet.plan_and_confirm(1, &["leave", "--data-centre", "pos"]);
        }),
        ("planned stop", |fleet| {
            let process = &fleet.nodes[0].process;
            process.signal(Signal::Term).expect("the node runs");
        }),
    ];
    for (name, start_draining) in rows {
        let mut fleet = Fleet::start(&host_specs("stock", 2));
        run_script(async {
            // Connects first, because a stopping node may soon close its listener.
            let mut peer = ScriptedPeer::connect(fleet.nodes[0].peers).await;
            peer.send(PeerMessage::Request(post_head(
                request_key(1),
                "before",
                &[],
            )))
            .await;
            expect_that!(
                &*describe(&peer.next_reply().await),
                eq("response 200"),
                "{name}"
            );
            peer.read_body().await;
            start_draining(&mut fleet);
            actix_rt::time::sleep(Duration::from_millis(500)).await;
            peer.send(PeerMessage::Request(post_head(
                request_key(2),
                "after",
                &[],
            )))
            .await;
            let reply = describe(&peer.next_reply().await);
            expect_that!(&*reply, eq("refused draining"), "{name}");
            expect_that!(fleet.targets[0].execution_count("after"), eq(0), "{name}");
        });
    }
}

/// Breaks off a request body.
type CutBody = for<'a> fn(&'a mut ScriptedPeer) -> Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Guards against a truncated request body that the guard terminates cleanly, so that it
/// looks complete to the target. A listener of the test records the bytes as the target.
#[gtest]
fn truncated_request_body_is_never_terminated_cleanly() {
    let chunked = BodyLength::Chunked;
    let sized = BodyLength::Sized(100_000);
    let rows: [(&str, BodyLength, CutBody); 5] = [
        ("chunked, closed", chunked, |_| Box::pin(async {})),
        ("sized, closed", sized, |_| Box::pin(async {})),
        ("chunked, wrong length", chunked, |peer| {
            Box::pin(send_body_end(peer, 7))
        }),
        ("sized, too short", sized, |peer| {
            Box::pin(send_body_end(peer, 4))
        }),
        ("chunked, another request", chunked, |peer| {
            Box::pin(async {
                let head = post_head(request_key(77), "inside", &[]);
                peer.send(PeerMessage::Request(head)).await;
            })
        }),
    ];
    let fleet = Fleet::start(&host_specs("stock", 1));
    let target = announce_listener(&fleet, 0);
    for (number, (name, body, cut_body)) in rows.into_iter().enumerate() {
        run_script(async {
            let mut peer = ScriptedPeer::connect(fleet.nodes[0].peers).await;
            let head = post_head(request_key(10 + number as u128), name, &[]);
            let head = PeerRequestHead { body, ..head };
            peer.send(PeerMessage::Request(head)).await;
            peer.send(PeerMessage::Body(b"part"[..].into())).await;
            let reply = peer.next_reply().await;
            let started = matches!(reply, Ok(PeerMessage::Continue { .. }));
            expect_true!(started, "{name}: {reply:?}");
            cut_body(&mut peer).await;
        });
        let (mut io, _) = target.accept().expect("the guard connects");
        io.set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a timeout can be set");
        let mut received = Vec::new();
        // The guard may reset the connection instead of closing it.
        let _ = io.read_to_end(&mut received);
        let text = String::from_utf8_lossy(&received);
        expect_that!(text, contains_substring("part"), "{name}");
        expect_that!(text, not(ends_with("0\r\n\r\n")), "{name}");
        expect_that!(text, not(contains_substring("inside")), "{name}");
    }
}

async fn send_body_end(peer: &mut ScriptedPeer, length: u64) {
    peer.send(PeerMessage::BodyEnd { length, load: None }).await;
}

/// Guards against starting a request after its deadline when it has waited in the socket
/// buffer of a frozen guard, and against losing one whose deadline has not passed.
#[gtest]
fn frozen_guard_starts_no_expired_request() {
    let fleet = Fleet::start(&host_specs("stock", 1));
    let rows = [("expired", 500, 0), ("in time", 10_000, 1)];
    for (number, (nonce, timeout_ms, runs)) in rows.into_iter().enumerate() {
        run_script(async {
            let mut peer = ScriptedPeer::connect(fleet.nodes[0].peers).await;
            let process = &fleet.nodes[0].process;
            process.signal(Signal::Stop).expect("the node runs");
            let mut head = post_head(request_key(20 + number as u128), nonce, &[]);
            head.deadline = now().saturating_add_millis(timeout_ms);
            peer.send(PeerMessage::Request(head)).await;
            actix_rt::time::sleep(Duration::from_millis(1_200)).await;
            process.signal(Signal::Cont).expect("the node runs");
            let reply = describe(&peer.next_reply().await);
            let wanted = ["refused deadline", "response 200"][runs as usize];
            expect_that!(&*reply, eq(wanted), "{nonce}");
        });
        expect_that!(fleet.targets[0].execution_count(nonce), eq(runs), "{nonce}");
    }
}

/// Guards against a key that was withdrawn and is in use again after a restart: a node accepts the keys
/// of its settings only.
#[gtest]
fn restarted_node_accepts_no_withdrawn_key() {
    const OLD_KEY: [u8; 32] = [0x5a; 32];
    const NEW_KEY: [u8; 32] = [0xa5; 32];
    let mut fleet = Fleet::start_with_settings(&host_specs("stock", 1), |_, text| {
        let key_file = text
            .lines()
            .find_map(|line| line.strip_prefix("key_file = "));
        let second = Path::new(key_file.expect("a key file")).with_file_name("second.key");
        fs::write(&second, OLD_KEY).expect("the key can be written");
        text.push_str(&format!("second_key_file = {}\n", second.display()));
    });
    let peers = fleet.nodes[0].peers;
    let accepts = |key: [u8; 32]| run_script(ScriptedPeer::is_accepted(peers, &key));
    expect_true!(accepts(FLEET_KEY));
    expect_true!(accepts(OLD_KEY));
    fleet.write_file("second.key", &NEW_KEY);
    fleet.nodes[0].kill_and_restart();
    fleet.wait_ready();
    expect_true!(accepts(FLEET_KEY));
    expect_true!(accepts(NEW_KEY));
    expect_false!(accepts(OLD_KEY));
}
