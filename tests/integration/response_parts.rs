//! An entry that takes the parts of responses from scripted guards.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use actix_rt::net::TcpListener;
use googletest::prelude::*;
use plantainpost_wire::message::{BodyLength, PeerMessage};

use crate::{
    http_client::{get_admin, outcome_header},
    scripted_guard::{ScriptedGuardFleet, response_message},
    scripted_peer::{ScriptedPeer, run_script},
};

/// Number of parts of a response, of one byte each.
const PARTS: usize = 600_000;

/// Guards against an entry that has no time for other callers while it takes the parts of one response,
/// before it passes on the head and afterwards.
#[gtest]
fn entry_answers_others_while_it_takes_small_parts() {
    let scripted = ScriptedGuardFleet::start();
    let admin = scripted.fleet.nodes[0].admin;
    let is_done = Arc::new(AtomicBool::new(false));
    let done = Arc::clone(&is_done);
    let asker = thread::spawn(move || {
        let mut longest = Duration::ZERO;
        while !done.load(Ordering::Relaxed) {
            let asked = Instant::now();
            get_admin(admin, "/v1/metrics");
            longest = longest.max(asked.elapsed());
        }
        longest
    });
    let text = run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        let caller = scripted.send_post(20_000);
        let mut peer = ScriptedPeer::accept(&listener, "stock-0").await;
        let key = peer.next_request().await.key;
        peer.send(response_message(key, BodyLength::Sized(PARTS as u64)))
            .await;
        let part = PeerMessage::Body(b"x"[..].into());
        for _ in 0..PARTS {
            peer.tx.queue(&part).expect("a short message");
        }
        let length = PARTS as u64;
        peer.send(PeerMessage::BodyEnd { length, load: None }).await;
        caller.join().expect("no panic")
    });
    is_done.store(true, Ordering::Relaxed);
    let longest = asker.join().expect("no panic");
    println!("others were answered within {longest:?}");
    expect_that!(outcome_header(&text), eq("answered"));
    expect_that!(longest, lt(Duration::from_millis(500)));
}
