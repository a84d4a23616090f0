//! The HTTP interface of a target.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{
    HttpMessage, Method, Request, Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use bytes::Bytes;
use futures_util::{FutureExt, future::LocalBoxFuture};

use super::{
    RequestFailure, TargetFaults,
    state::{RequestBehaviour, SharedTarget},
};
use crate::{
    body::{body_for_nonce, echo_body, sha256_hex},
    history::to_lines,
    http::{json_lines_reply, json_reply, parse_header, text_reply},
    server::{Handler, Reply, ReplyEnd, ReplyFraming},
    timer::sleep_until,
};

/// Longest response body that a request may ask for.
const MAX_RESPONSE_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Path of the load report, whose requests don't count as requests of the service.
const LOAD_PATH: &str = "/load";

/// Path of the health check of the platform.
const HEALTH_PATH: &str = "/healthz";

/// Headers of the platform: the id of a request, which the response repeats; the incarnation
/// that a request is for; and the mark of responses to requests that were not run.
const REQUEST_ID_HEADER: &str = "plantainpost-request-id";
const EXPECT_INSTANCE_HEADER: &str = "plantainpost-expect-instance";
const NOT_RUN_HEADER: &str = "plantainpost-not-run";

/// Headers of the platform: the workspace of a request, and the remaining cold time of a target in ms.
const WORKSPACE_HEADER: &str = "plantainpost-tenant";
const COLD_HEADER: &str = "plantainpost-cold-ms";

/// Returns the handlers of the main and of the control listener.
pub(super) fn target_handlers(shared: Arc<SharedTarget>) -> (Rc<dyn Handler>, Rc<dyn Handler>) {
    (
        Rc::new(TargetHandler(Arc::clone(&shared))),
        Rc::new(ControlHandler(shared)),
    )
}

struct TargetHandler(Arc<SharedTarget>);

/// Request extension that marks a request which this target executes. The mark is set once, at
/// the start of the request, because the target may begin a new incarnation before its end.
struct ExecutedHere;

fn is_executed_here(req: &Request) -> bool {
    req.extensions().contains::<ExecutedHere>()
}

impl Handler for TargetHandler {
    fn request_started(&self, req: &Request) {
        if self.should_execute(req) {
            req.extensions_mut().insert(ExecutedHere);
            self.0
                .record_start(&parse_nonce(req), parse_header(req, WORKSPACE_HEADER));
        }
    }

    fn respond<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply> {
        async move {
            if is_load_report_request(req) {
                return json_reply(&serde_json::json!({
                    "in_flight": self.0.reported_load(),
                    "slots": self.0.settings.slots,
                }));
            }
            if !is_executed_here(req) {
                return self.reply_without_execution(req);
            }
            self.execute(req, &body).await
        }
        .boxed_local()
    }

    fn request_ended(&self, req: &Request, complete: bool) {
        if is_executed_here(req) {
            self.0.record_end(&parse_nonce(req), complete);
        }
    }
}

impl TargetHandler {
    /// Returns whether the request is one of the service and for the current incarnation.
    fn should_execute(&self, req: &Request) -> bool {
        let is_expected = parse_header::<String>(req, EXPECT_INSTANCE_HEADER)
            .is_none_or(|expected| expected == self.0.current_instance_id());
        is_expected && !is_load_report_request(req) && req.path() != HEALTH_PATH
    }

    /// Returns the response to a health check, or to a request for another incarnation.
    fn reply_without_execution(&self, req: &Request) -> Reply {
        if req.path() == HEALTH_PATH {
            let mut reply = text_reply(StatusCode::OK, "healthy");
            insert_header(&mut reply, COLD_HEADER, &self.0.cold_ms().to_string());
            return reply;
        }
        let mut reply = text_reply(
            StatusCode::MISDIRECTED_REQUEST,
            "request is for another incarnation",
        );
        insert_header(&mut reply, NOT_RUN_HEADER, "1");
        if let Some(id) = parse_header::<String>(req, REQUEST_ID_HEADER) {
            insert_header(&mut reply, REQUEST_ID_HEADER, &id);
        }
        reply
    }

    async fn execute(&self, req: &Request, body: &[u8]) -> Reply {
        let behaviour = self.0.draw_behaviour(parse_header(req, "x-work-us"));
        match behaviour.fail {
            RequestFailure::Status500 => {
                return self.echo_reply(req, body, StatusCode::INTERNAL_SERVER_ERROR);
            }
            RequestFailure::Close => return close_unanswered_reply(),
            _ => {}
        }
        {
            // The semaphore is never closed, so `acquire` succeeds.
            let _slot = self.0.slots.acquire().await;
            sleep_us(behaviour.work_us).await;
        }
        sleep_us(behaviour.late_ms.saturating_mul(1000)).await;
        let mut reply = self.echo_reply(req, body, StatusCode::OK);
        apply_faults(&behaviour, &mut reply);
        reply
    }

    /// Returns the response that tells the caller what the target received.
    fn echo_reply(&self, req: &Request, body: &[u8], status: StatusCode) -> Reply {
        let nonce = parse_nonce(req);
        let digest = sha256_hex(body);
        let (name, service) = (&self.0.settings.name, &self.0.settings.service);
        let mut reply = Reply::new(
            Response::with_body(status, ()),
            match parse_header::<usize>(req, "x-answer-bytes") {
                Some(len) => body_for_nonce(&nonce, len.min(MAX_RESPONSE_BODY_BYTES)),
                None => echo_body(&nonce, body.len(), &digest, name, service),
            },
        );
        if parse_header::<u8>(req, "x-answer-chunked") == Some(1) {
            reply.framing = ReplyFraming::Chunked;
        }
        for (name, value) in [
            ("x-nonce", nonce.as_str()),
            ("x-body-length", &body.len().to_string()),
            ("x-body-sha256", &digest),
            ("x-target", name),
            ("x-service", service),
        ] {
            insert_header(&mut reply, name, value);
        }
        if let Some(id) = parse_header::<String>(req, REQUEST_ID_HEADER) {
            insert_header(&mut reply, REQUEST_ID_HEADER, &id);
        }
        reply
    }
}

fn insert_header(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        let name = HeaderName::from_static(name);
        reply.head.headers_mut().insert(name, value);
    }
}

/// Applies the fault switches to a response.
fn apply_faults(behaviour: &RequestBehaviour, reply: &mut Reply) {
    if behaviour.close_idle {
        reply.end = ReplyEnd::CompleteThenClose;
    }
    match behaviour.fail {
        RequestFailure::CloseAfterWork => reply.end = ReplyEnd::CloseUnanswered,
        RequestFailure::CutAfterHead => reply.end = ReplyEnd::CutAfterHead,
        RequestFailure::CutInBody => reply.end = ReplyEnd::CutInBody,
        RequestFailure::Never => reply.end = ReplyEnd::NeverSent,
        RequestFailure::Unframed => reply.framing = ReplyFraming::Unframed,
        RequestFailure::UnframedSilent => reply.framing = ReplyFraming::UnframedSilent,
        RequestFailure::No | RequestFailure::Status500 | RequestFailure::Close => {}
    }
}

async fn sleep_us(us: u64) {
    sleep_until(Instant::now() + Duration::from_micros(us)).await;
}

fn close_unanswered_reply() -> Reply {
    let head = Response::with_body(StatusCode::OK, ());
    Reply {
        end: ReplyEnd::CloseUnanswered,
        ..Reply::new(head, "")
    }
}

fn is_load_report_request(req: &Request) -> bool {
    req.method() == Method::GET && req.path() == LOAD_PATH
}

fn parse_nonce(req: &Request) -> String {
    parse_header(req, "x-nonce").unwrap_or_default()
}

struct ControlHandler(Arc<SharedTarget>);

impl Handler for ControlHandler {
    fn respond<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply> {
        std::future::ready(self.handle_control(req, &body)).boxed_local()
    }
}

impl ControlHandler {
    fn handle_control(&self, req: &Request, body: &[u8]) -> Reply {
        match (req.method().as_str(), req.path()) {
            ("GET", "/faults") => json_reply(&self.0.faults()),
            ("PUT", "/faults") => match serde_json::from_slice::<TargetFaults>(body) {
                Ok(faults) => {
                    self.0.set_faults(faults);
                    Reply::new(Response::with_body(StatusCode::NO_CONTENT, ()), "")
                }
                Err(err) => text_reply(StatusCode::BAD_REQUEST, &err.to_string()),
            },
            ("GET", "/history") => json_lines_reply(to_lines(&self.0.history())),
            ("GET", "/counts") => json_reply(&self.0.execution_counts()),
            _ => text_reply(StatusCode::NOT_FOUND, "unknown method or path"),
        }
    }
}
