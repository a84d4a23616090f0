//! Exchanges that are continued on another connection, with a scripted guard or entry.

use std::time::Duration;

use actix_rt::{net::TcpListener, time::sleep};
use googletest::prelude::*;
use plantainpost_core::admission::{FenceState, RequestKey};
use plantainpost_wire::message::{BodyLength, PeerMessage};

use crate::{
    fleet_fixture::{Fleet, host_specs},
    http_client::outcome_header,
    scripted_guard::{ScriptedGuardFleet, response_message},
    scripted_peer::{ScriptedPeer, describe, now, post_head, request_key, run_script},
};

/// Deadline of the requests to the scripted guard. No row may come near it.
const TIMEOUT_MS: u64 = 12_000;

/// What the scripted guard sends on the second connection, and then on the first.
type Replies = fn(RequestKey) -> (Vec<PeerMessage>, Vec<PeerMessage>);

fn answer(key: RequestKey) -> Vec<PeerMessage> {
    vec![
        response_message(key, BodyLength::Sized(4)),
        PeerMessage::Body(b"part"[..].into()),
        PeerMessage::BodyEnd {
            length: 4,
            load: None,
        },
    ]
}

fn fence_result(key: RequestKey, state: FenceState) -> Vec<PeerMessage> {
    vec![PeerMessage::FenceResult { key, state }]
}

/// Guards against an entry that waits for the deadline on a silent connection, that loses an answer
/// of a guard which continues on another connection, or that reports a request as not run without a
/// fence.
#[gtest]
fn silent_exchange_is_continued_on_another_connection() {
    let rows: [(&str, Replies, &str); 6] = [
        (
            "still running",
            |key| {
                (
                    [vec![PeerMessage::Progress { key }], answer(key)].concat(),
                    vec![],
                )
            },
            "answered",
        ),
        ("answered already", |key| (answer(key), vec![]), "answered"),
        (
            "never arrived",
            |key| (fence_result(key, FenceState::Fenced), vec![]),
            "not-run",
        ),
        (
            "started, can't be continued",
            |key| (fence_result(key, FenceState::Started), answer(key)),
            "answered",
        ),
        (
            "finished, answer late on the first",
            |key| (fence_result(key, FenceState::Finished), answer(key)),
            "answered",
        ),
        (
            "finished, answer lost",
            |key| (fence_result(key, FenceState::Finished), vec![]),
            "unknown",
        ),
    ];
    let scripted = ScriptedGuardFleet::start();
    run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        for (name, replies, wanted) in rows {
            let started_at = now();
            let caller = scripted.send_post(TIMEOUT_MS);
            let mut first = ScriptedPeer::accept(&listener, "stock-0").await;
            let key = first.next_request().await.key;
            let mut second = ScriptedPeer::accept(&listener, "stock-0").await;
            match second.next_message().await {
                Ok(PeerMessage::Resume { key: resumed, .. }) if resumed == key => (),
                other => panic!("{name}: expected to be asked for the request, not {other:?}"),
            }
            let (on_second, on_first) = replies(key);
            for msg in on_second {
                second.send(msg).await;
            }
            for msg in on_first {
                first.send(msg).await;
            }
            let text = caller.join().expect("no panic");
            expect_that!(outcome_header(&text), eq(wanted), "{name}: {text}");
            let deadline = started_at.saturating_add_millis(TIMEOUT_MS);
            expect_that!(now(), lt(deadline), "{name}: waited for the deadline");
            drop((first, second));
            sleep(Duration::from_millis(50)).await;
        }
    });
}

async fn resume(fleet: &Fleet, id: u128) -> ScriptedPeer {
    let mut peer = ScriptedPeer::connect(fleet.nodes[0].peers).await;
    let (key, deadline) = (request_key(id), now().saturating_add_millis(5_000));
    peer.send(PeerMessage::Resume { key, deadline }).await;
    peer
}

async fn send_request(fleet: &Fleet, id: u128, nonce: &str, work_us: &str) -> ScriptedPeer {
    let mut peer = ScriptedPeer::connect(fleet.nodes[0].peers).await;
    let head = post_head(request_key(id), nonce, &[("x-work-us", work_us)]);
    peer.send(PeerMessage::Request(head)).await;
    peer
}

async fn reply_text(peer: &mut ScriptedPeer) -> String {
    describe(&peer.next_reply().await).to_string()
}

/// Guards against a second run, a cancelled run or a lost answer of a request whose entry continues
/// on another connection: while it is queued, while it runs and after its end.
#[gtest]
fn guard_answers_on_the_connection_of_a_continued_exchange() {
    let mut specs = host_specs("stock", 1);
    specs[0].target.slots = 1;
    let fleet = Fleet::start(&specs);
    run_script(async {
        let running = send_request(&fleet, 1, "running", "800000").await;
        sleep(Duration::from_millis(100)).await;
        let mut queued = send_request(&fleet, 2, "queued", "1000").await;
        let early = queued.next_message().await;
        expect_true!(
            matches!(early, Ok(PeerMessage::Progress { .. })),
            "a queued request has a sign of life: {early:?}"
        );
        let mut resumed = resume(&fleet, 1).await;
        let mut resumed_queued = resume(&fleet, 2).await;
        let reply = resumed.next_message().await;
        expect_true!(
            matches!(reply, Ok(PeerMessage::Progress { .. })),
            "the exchange is continued: {reply:?}"
        );
        // The end of the first connections must not cancel the requests.
        drop((running, queued));
        expect_that!(reply_text(&mut resumed).await, eq("response 200"));
        expect_that!(reply_text(&mut resumed_queued).await, eq("response 200"));
        let mut again = resume(&fleet, 1).await;
        expect_that!(reply_text(&mut again).await, eq("response 200"));
        again.read_body().await;
        expect_that!(fleet.targets[0].execution_count("running"), eq(1));
        expect_that!(fleet.targets[0].execution_count("queued"), eq(1));
    });
}

/// Guards against a request that is run after its entry was told that it was not, and against an
/// exchange that is continued before the guard has the whole body.
#[gtest]
fn unknown_or_incomplete_request_is_fenced_not_continued() {
    let fleet = Fleet::start(&host_specs("stock", 1));
    run_script(async {
        let mut peer = resume(&fleet, 1).await;
        expect_that!(reply_text(&mut peer).await, eq("fence Fenced"));
        let mut late = send_request(&fleet, 1, "late", "1000").await;
        expect_that!(reply_text(&mut late).await, eq("refused fenced"));
        expect_that!(fleet.targets[0].execution_count("late"), eq(0));

        let mut peer = ScriptedPeer::connect(fleet.nodes[0].peers).await;
        let mut head = post_head(request_key(2), "upload", &[]);
        head.body = BodyLength::Sized(100_000);
        peer.send(PeerMessage::Request(head)).await;
        let reply = peer.next_reply().await;
        expect_true!(
            matches!(reply, Ok(PeerMessage::Continue { .. })),
            "{reply:?}"
        );
        let mut second = resume(&fleet, 2).await;
        expect_that!(reply_text(&mut second).await, eq("fence Started"));
    });
}

/// Guards against an answer that is kept for longer than a late entry needs, or given to the entry
/// of another request.
#[gtest]
fn answer_is_kept_for_a_short_time() {
    let fleet = Fleet::start(&host_specs("stock", 1));
    run_script(async {
        let mut peer = send_request(&fleet, 1, "once", "1000").await;
        expect_that!(reply_text(&mut peer).await, eq("response 200"));
        let mut other = resume(&fleet, 2).await;
        expect_that!(reply_text(&mut other).await, eq("fence Fenced"));
        sleep(Duration::from_millis(2_500)).await;
        let mut late = resume(&fleet, 1).await;
        expect_that!(reply_text(&mut late).await, eq("fence Finished"));
    });
}
