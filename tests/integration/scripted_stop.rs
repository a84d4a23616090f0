//! A planned stop of a guard whose entry reads slowly.

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use googletest::prelude::*;
use plantainpost_standin::process::Signal;
use plantainpost_wire::message::PeerMessage;

use crate::{
    fleet_fixture::{Fleet, WAIT_TIMEOUT, host_specs},
    scripted_peer::{ScriptedPeer, describe, now, post_head, request_key, run_script},
};

/// Step between the lengths of answers. The guard holds at most 64 KiB outside of the
/// socket, so several of the lengths end there.
const LENGTH_STEP_BYTES: usize = 4 * 1024;

/// Answers at the same time. Sockets hold up to 200 kB more or less than the first one,
/// so the lengths cover 288 KiB.
const ANSWER_COUNT: usize = 72;

/// Answers that are shorter than what the first socket buffered.
const SHORTER_COUNT: usize = 44;

/// Asks for an answer of `length` bytes and does not read it.
async fn request_without_reading(fleet: &Fleet, id: u128, length: usize) -> ScriptedPeer {
    let mut peer = ScriptedPeer::connect(fleet.nodes[0].peers).await;
    let length = length.to_string();
    let mut head = post_head(request_key(id), "slow", &[("x-answer-bytes", &length)]);
    head.deadline = now().saturating_add_millis(30_000);
    peer.send(PeerMessage::Request(head)).await;
    peer
}

/// Reads what there is and returns the bytes of body and whether the end was there.
async fn read_available(peer: &mut ScriptedPeer) -> (usize, bool) {
    let mut received = 0;
    loop {
        match timeout(Duration::from_millis(500), peer.rx.read()).await {
            Ok(Ok(PeerMessage::Response(_))) => (),
            Ok(Ok(PeerMessage::Body(piece))) => received += piece.len(),
            Ok(Ok(PeerMessage::BodyEnd { .. })) => return (received, true),
            Ok(other) => {
                println!("after {received} bytes: {}", describe(&other));
                return (received, false);
            }
            Err(_) => return (received, false),
        }
    }
}

/// Returns the bytes of an answer that the sockets hold when nobody reads them.
async fn buffered_answer_bytes(fleet: &Fleet) -> usize {
    let mut peer = request_without_reading(fleet, 1, 20_000_000).await;
    sleep(Duration::from_secs(1)).await;
    let process = &fleet.nodes[0].process;
    process.signal(Signal::Stop).expect("the node runs");
    let (buffered, _) = read_available(&mut peer).await;
    process.signal(Signal::Cont).expect("the node runs");
    buffered
}

/// Guards against a planned stop that loses the last piece of an answer: the target has
/// finished, but the entry reads so slowly that the piece waits for room in the socket.
#[gtest]
fn stop_sends_the_last_piece() {
    let mut specs = host_specs("stock", 1);
    specs[0].target.slots = 2 * ANSWER_COUNT as u32;
    let mut fleet = Fleet::start(&specs);
    run_script(async {
        let buffered = buffered_answer_bytes(&fleet).await;
        let mut peers = Vec::new();
        for i in 0..ANSWER_COUNT {
            let length = buffered + i * LENGTH_STEP_BYTES - SHORTER_COUNT * LENGTH_STEP_BYTES;
            peers.push((
                length,
                request_without_reading(&fleet, 10 + i as u128, length).await,
            ));
        }
        sleep(Duration::from_secs(1)).await;
        let process = &fleet.nodes[0].process;
        process.signal(Signal::Term).expect("the node runs");
        sleep(Duration::from_secs(2)).await;
        // The longest ones are read first. What the guard still counts as in flight then
        // ends, and only the last pieces of the others are left.
        for (length, peer) in peers.iter_mut().rev() {
            expect_that!(
                read_available(peer).await,
                eq((*length, true)),
                "{buffered} buffered"
            );
            sleep(Duration::from_millis(100)).await;
        }
    });
    let node = &mut fleet.nodes[0];
    let status = node
        .process
        .wait_exit(WAIT_TIMEOUT)
        .expect("the node stops");
    expect_true!(status.success());
}
