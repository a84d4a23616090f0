//! Sends one request of a load run and verifies its answer.

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
    RequestKind,
    run::{ANSWER_GRACE, LoadRun},
};
use crate::{
    body::{body_for_nonce, echo_body, sha256_hex},
    clock::now_us,
    history::{Outcome, Record},
};

/// The result of a request, with the verified properties of its answer.
pub(super) struct RequestResult {
    pub(super) outcome: Outcome,
    pub(super) status: u16,
    /// Whether the connection ended before the answer was complete.
    pub(super) cut: bool,
    /// Whether the answer is complete and every byte matches the expected answer.
    pub(super) whole: bool,
    /// Whether some byte of the answer differs from the expected one.
    pub(super) foreign: bool,
    pub(super) answer_nonce: Option<String>,
    pub(super) target: Option<String>,
    pub(super) reason: Option<String>,
}

/// The result of a request for which no answer head arrived.
const NO_ANSWER: RequestResult = RequestResult {
    outcome: Outcome::Failed,
    status: 0,
    cut: false,
    whole: false,
    foreign: false,
    answer_nonce: None,
    target: None,
    reason: None,
};

/// Sends a request in a task of its own, and records its result there. Its latency is counted from
/// `scheduled_at`. If too many requests are in flight, it is skipped.
pub(super) fn spawn_request(
    run: &Rc<LoadRun>,
    request_index: usize,
    kind_index: usize,
    nonce: String,
    scheduled_at: Instant,
) {
    let run = Rc::clone(run);
    let route_index = request_index % run.settings.routes.len();
    if !run.is_below_in_flight_limit() {
        run.count_skipped(route_index);
        return;
    }
    run.count_sent(route_index, scheduled_at.elapsed());
    actix_rt::spawn(async move {
        let kind = &run.settings.kinds[kind_index];
        run.record(Record::Sent {
            nonce: nonce.clone(),
            at: now_us(),
            service: kind.service.clone(),
            method: kind.method.clone(),
            idempotent: kind.is_idempotent(),
        });
        let limit = Duration::from_millis(run.settings.timeout_ms) + ANSWER_GRACE;
        let result = timeout(limit, send_request(&run, route_index, kind, &nonce))
            .await
            .unwrap_or(NO_ANSWER);
        let latency = scheduled_at.elapsed();
        run.count_result(route_index, &result, latency);
        run.record(Record::Answered {
            nonce,
            at: now_us(),
            outcome: result.outcome,
            status: result.status,
            cut: result.cut,
            whole: result.whole,
            foreign: result.foreign,
            answer_nonce: result.answer_nonce,
        });
    });
}

/// Sends one request, reads its answer and verifies it.
async fn send_request(
    run: &LoadRun,
    route_index: usize,
    kind: &RequestKind,
    nonce: &str,
) -> RequestResult {
    let body = body_for_nonce(nonce, kind.body_bytes);
    let req = build_request(run, route_index, kind, nonce);
    let sent = if body.is_empty() {
        req.send().await
    } else {
        req.send_body(body.clone()).await
    };
    let Ok(mut res) = sent else { return NO_ANSWER };
    let (received, cut) = read_body(&mut res).await;
    verify_answer(kind, nonce, &body, &res, &received, cut)
}

fn build_request(
    run: &LoadRun,
    route_index: usize,
    kind: &RequestKind,
    nonce: &str,
) -> ClientRequest {
    let address = run.settings.routes[route_index].address;
    let timeout_ms = run.settings.timeout_ms.to_string();
    let method = Method::from_bytes(kind.method.as_bytes()).unwrap_or(Method::GET);
    let mut req = run.clients[route_index]
        .request(method, format!("http://{address}{}", kind.path))
        .insert_header(("Host", kind.service.as_str()))
        .insert_header(("x-nonce", nonce));
    req = match run.settings.use_platform_headers {
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
    if let Some(key) = kind.key {
        req = req.insert_header(("plantainpost-key", key));
    }
    if let Some(us) = kind.work_us {
        req = req.insert_header(("x-work-us", us.to_string()));
    }
    req
}

/// Reads the body of an answer. Returns the bytes that arrived, and whether the body was cut.
async fn read_body<S>(res: &mut ClientResponse<S>) -> (Bytes, bool)
where
    ClientResponse<S>: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut received = BytesMut::new();
    while let Some(chunk) = res.next().await {
        match chunk {
            Ok(chunk) => received.extend_from_slice(&chunk),
            Err(_) => return (received.freeze(), true),
        }
    }
    (received.freeze(), false)
}

/// Compares an answer with the expected answer to the request.
fn verify_answer<S>(
    kind: &RequestKind,
    nonce: &str,
    sent: &[u8],
    res: &ClientResponse<S>,
    received: &[u8],
    cut: bool,
) -> RequestResult {
    let headers = res.headers();
    let outcome = outcome_of(headers);
    let answer_nonce = header_text(headers, "x-nonce");
    let digest = sha256_hex(sent);
    let expected = expected_body(kind, nonce, sent, &digest, headers);
    // With any other outcome the answer comes from a node and has no body of a target.
    let from_target = matches!(outcome, Outcome::Answered | Outcome::Direct);
    let head_matches = answer_nonce.as_deref() == Some(nonce)
        && header_text(headers, "x-service").as_ref() == Some(&kind.service)
        && header_text(headers, "x-body-sha256").as_deref() == Some(&digest);
    RequestResult {
        outcome,
        status: res.status().as_u16(),
        cut,
        whole: from_target && !cut && head_matches && received == expected,
        foreign: from_target && !(head_matches && expected.starts_with(received)),
        answer_nonce,
        target: header_text(headers, "x-target"),
        reason: header_text(headers, "plantainpost-reason"),
    }
}

/// Returns the body that a target must answer with.
fn expected_body(
    kind: &RequestKind,
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
    let target = header_text(headers, "x-target").unwrap_or_default();
    let service = header_text(headers, "x-service").unwrap_or_default();
    echo_body(nonce, sent.len(), digest, &target, &service)
}

fn outcome_of(headers: &HeaderMap) -> Outcome {
    match header_text(headers, "plantainpost-outcome").as_deref() {
        Some("answered") => Outcome::Answered,
        Some("not-run") => Outcome::NotRun,
        Some(_) => Outcome::Unknown,
        None => Outcome::Direct,
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}
