//! One request of a load run and the check of its answer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::timeout;
use awc::{
    ClientRequest, ClientResponse,
    http::{Method, header::HeaderMap},
};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

use super::{
    Kind,
    run::{GRACE, Run},
};
use crate::{
    body::{body_for_nonce, echo_body, sha256_hex},
    clock::now_us,
    history::{Outcome, Record},
};

/// What became of a request.
pub(super) struct Answer {
    pub(super) outcome: Outcome,
    pub(super) status: u16,
    /// Whether the connection ended before the answer did.
    pub(super) cut: bool,
    /// Whether the answer is complete and every byte is as expected.
    pub(super) whole: bool,
    /// Whether some byte of the answer is not as expected.
    pub(super) foreign: bool,
    pub(super) nonce: Option<String>,
    pub(super) target: Option<String>,
    pub(super) reason: Option<String>,
}

/// No answer head arrived.
const FAILED: Answer = Answer {
    outcome: Outcome::Failed,
    status: 0,
    cut: false,
    whole: false,
    foreign: false,
    nonce: None,
    target: None,
    reason: None,
};

/// Sends one request without waiting for its answer.
pub(super) fn spawn(run: &Rc<Run>, index: usize, kind: usize, nonce: String, due: Instant) {
    let run = Rc::clone(run);
    let route = index % run.settings.routes.len();
    if !run.has_room() {
        run.skip(route);
        return;
    }
    run.open(route, due.elapsed());
    actix_rt::spawn(async move {
        let kind = &run.settings.kinds[kind];
        run.record(Record::Sent {
            nonce: nonce.clone(),
            at: now_us(),
            service: kind.service.clone(),
            method: kind.method.clone(),
            idempotent: kind.idempotent(),
        });
        let limit = Duration::from_millis(run.settings.timeout_ms) + GRACE;
        let answer = timeout(limit, exchange(&run, route, kind, &nonce))
            .await
            .unwrap_or(FAILED);
        let latency = due.elapsed();
        run.count(route, &answer, latency);
        run.record(Record::Answered {
            nonce,
            at: now_us(),
            outcome: answer.outcome,
            status: answer.status,
            cut: answer.cut,
            whole: answer.whole,
            foreign: answer.foreign,
            answer_nonce: answer.nonce,
        });
    });
}

/// Sends one request and reads its answer.
async fn exchange(run: &Run, route: usize, kind: &Kind, nonce: &str) -> Answer {
    let body = body_for_nonce(nonce, kind.body_bytes);
    let req = request(run, route, kind, nonce);
    let sent = if body.is_empty() {
        req.send().await
    } else {
        req.send_body(body.clone()).await
    };
    let Ok(mut res) = sent else { return FAILED };
    let (received, cut) = read(&mut res).await;
    check(kind, nonce, &body, &res, &received, cut)
}

fn request(run: &Run, route: usize, kind: &Kind, nonce: &str) -> ClientRequest {
    let address = run.settings.routes[route].address;
    let timeout_ms = run.settings.timeout_ms.to_string();
    let method = Method::from_bytes(kind.method.as_bytes()).unwrap_or(Method::GET);
    let mut req = run.clients[route]
        .request(method, format!("http://{address}{}", kind.path))
        .insert_header(("Host", kind.service.as_str()))
        .insert_header(("x-nonce", nonce));
    req = match run.settings.on_platform {
        true => req
            .insert_header(("plantainpost-request-id", nonce))
            .insert_header(("plantainpost-deadline-ms", timeout_ms)),
        false => req.insert_header(("plantainpost-timeout-ms", timeout_ms)),
    };
    if let Some(len) = kind.answer_bytes {
        req = req.insert_header(("x-answer-bytes", len.to_string()));
    }
    if kind.answer_chunked {
        req = req.insert_header(("x-answer-chunked", "1"));
    }
    if let Some(us) = kind.work_us {
        req = req.insert_header(("x-work-us", us.to_string()));
    }
    req
}

/// The body of an answer as far as it arrived, and whether it was cut.
async fn read<S>(res: &mut ClientResponse<S>) -> (Bytes, bool)
where
    ClientResponse<S>: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut received = BytesMut::new();
    while let Some(part) = res.next().await {
        match part {
            Ok(part) => received.extend_from_slice(&part),
            Err(_) => return (received.freeze(), true),
        }
    }
    (received.freeze(), false)
}

/// Compares an answer with the one that belongs to the request.
fn check<S>(
    kind: &Kind,
    nonce: &str,
    sent: &[u8],
    res: &ClientResponse<S>,
    received: &[u8],
    cut: bool,
) -> Answer {
    let headers = res.headers();
    let outcome = outcome_of(headers);
    let answer_nonce = text(headers, "x-nonce");
    let digest = sha256_hex(sent);
    let expected = expected_body(kind, nonce, sent, &digest, headers);
    // The other outcomes are told by a node, whose answer carries no body of a target.
    let served = matches!(outcome, Outcome::Answered | Outcome::Direct);
    let own_head = answer_nonce.as_deref() == Some(nonce)
        && text(headers, "x-service").as_ref() == Some(&kind.service)
        && text(headers, "x-body-sha256").as_deref() == Some(&digest);
    Answer {
        outcome,
        status: res.status().as_u16(),
        cut,
        whole: served && !cut && own_head && received == expected,
        foreign: served && !(own_head && expected.starts_with(received)),
        nonce: answer_nonce,
        target: text(headers, "x-target"),
        reason: text(headers, "plantainpost-reason"),
    }
}

/// The body that belongs to the request.
fn expected_body(
    kind: &Kind,
    nonce: &str,
    sent: &[u8],
    digest: &str,
    headers: &HeaderMap,
) -> Bytes {
    if kind.method == "HEAD" {
        return Bytes::new();
    }
    if let Some(len) = kind.answer_bytes {
        return body_for_nonce(nonce, len);
    }
    let target = text(headers, "x-target").unwrap_or_default();
    let service = text(headers, "x-service").unwrap_or_default();
    echo_body(nonce, sent.len(), digest, &target, &service)
}

fn outcome_of(headers: &HeaderMap) -> Outcome {
    match text(headers, "plantainpost-outcome").as_deref() {
        Some("answered") => Outcome::Answered,
        Some("not-run") => Outcome::NotRun,
        Some(_) => Outcome::Unknown,
        None => Outcome::Direct,
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}
