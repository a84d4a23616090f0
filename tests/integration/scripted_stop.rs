//! A planned stop of a real guard whose scripted entry reads slowly.

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use googletest::prelude::*;
use plantainpost_standin::process::Signal;
use plantainpost_wire::message::PeerMessage;

use crate::{
    fleet_fixture::{Fleet, WAIT_TIMEOUT, host_specs},
    scripted_peer::{ScriptedPeer, describe, now, post_head, request_key, run_script},
};

/// Difference between the lengths of successive answers. The guard buffers at most 64 KiB
/// outside of the socket, so several answers have their end in that buffer.
const LENGTH_STEP_BYTES: usize = 4 * 1024;

/// Number of concurrent answers. A socket can buffer up to 200 kB more or less than the
/// first one, so the lengths cover 288 KiB.
const ANSWER_COUNT: usize = 72;

/// Number of answers that are shorter than what the first socket buffered.
const SHORTER_COUNT: usize = 44;

/// Pause after which a suspended node has nothing more in its sockets. It only determines which
/// lengths the answers have.
const BUFFERED_READ_PAUSE: Duration = Duration::from_millis(500);

/// Requests an answer of `length` bytes and does not read it.
async fn request_without_reading(fleet: &Fleet, id: u128, length: usize) -> ScriptedPeer {
    let mut peer = ScriptedPeer::connect(fleet.nodes[0].peers).await;
    let length = length.to_string();
    let mut head = post_head(request_key(id), "slow", &[("x-answer-bytes", &length)]);
    head.deadline = now().saturating_add_millis(30_000);
    peer.send(PeerMessage::Request(head)).await;
    peer
}

/// Reads until nothing arrives for `max_pause` or the answer ends. Returns the number of body
/// bytes and whether the end of the body was received.
async fn read_available(peer: &mut ScriptedPeer, max_pause: Duration) -> (usize, bool) {
    let mut received = 0;
    loop {
        match timeout(max_pause, peer.rx.read()).await {
            Ok(Ok(PeerMessage::Response(_) | PeerMessage::Progress { .. })) => (),
            Ok(Ok(PeerMessage::Body(bytes))) => received += bytes.len(),
            Ok(Ok(PeerMessage::BodyEnd { .. })) => return (received, true),
            Ok(other) => {
                println!("after {received} bytes: {}", describe(&other));
                return (received, false);
            }
            Err(_) => return (received, false),
        }
    }
}

/// Returns the number of body bytes that the sockets buffer when the entry does not read.
async fn buffered_answer_bytes(fleet: &Fleet) -> usize {
    let mut peer = request_without_reading(fleet, 1, 20_000_000).await;
    sleep(Duration::from_secs(1)).await;
    let process = &fleet.nodes[0].process;
    process.signal(Signal::Stop).expect("the node runs");
    let (buffered, _) = read_available(&mut peer, BUFFERED_READ_PAUSE).await;
    process.signal(Signal::Cont).expect("the node runs");
    buffered
}

/// Guards against a planned stop that loses the end of an answer: the target has finished,
/// but the entry reads so slowly that the last bytes still wait for room in the socket.
#[gtest]
fn stop_sends_the_last_bytes_of_an_answer() {
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
        // Reads the longest answers first: these still count as in flight at the guard. Once
        // they have ended, only the last bytes of the others are unsent.
        for (length, peer) in peers.iter_mut().rev() {
            expect_that!(
                read_available(peer, WAIT_TIMEOUT).await,
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
