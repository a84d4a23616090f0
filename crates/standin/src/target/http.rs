//! The HTTP side of a target.

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
    Fail, TargetFaults,
    state::{Decision, Shared},
};
use crate::{
    history::to_lines,
    http::{json_lines_reply, json_reply, parse_header, text_reply},
    pattern::{body_for, echo, sha256_hex},
    server::{Framing, Handler, Reply, ReplyEnd},
    timer::sleep_until,
};

/// Largest answer body that a request may ask for.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// The path of the load report, which is not a request of the service.
const LOAD_PATH: &str = "/load";

/// The path of the health check on the platform.
const HEALTH_PATH: &str = "/healthz";

/// Headers of the platform: the id of a request, which answers repeat; the incarnation that a
/// request is for; and the mark of answers to requests that were not run.
const REQUEST_ID: &str = "plantainpost-request-id";
const EXPECTED: &str = "plantainpost-expect-instance";
const NOT_RUN: &str = "plantainpost-not-run";

/// The handlers of the main and the control listener.
pub(super) fn handlers(shared: Arc<Shared>) -> (Rc<dyn Handler>, Rc<dyn Handler>) {
    (Rc::new(Main(Arc::clone(&shared))), Rc::new(Control(shared)))
}

struct Main(Arc<Shared>);

/// Marks a request that runs here. The target may begin another life before its end.
struct Begun;

fn has_begun(req: &Request) -> bool {
    req.extensions().contains::<Begun>()
}

impl Handler for Main {
    fn request_started(&self, req: &Request) {
        if self.is_work(req) {
            req.extensions_mut().insert(Begun);
            self.0.begin(&nonce(req));
        }
    }

    fn respond<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply> {
        async move {
            if is_load(req) {
                return json_reply(&serde_json::json!({
                    "in_flight": self.0.reported_load(),
                    "slots": self.0.settings.slots,
                }));
            }
            if !has_begun(req) {
                return self.no_work(req);
            }
            self.work(req, &body).await
        }
        .boxed_local()
    }

    fn request_ended(&self, req: &Request, complete: bool) {
        if has_begun(req) {
            self.0.end(&nonce(req), complete);
        }
    }
}

impl Main {
    /// Whether the request runs here.
    fn is_work(&self, req: &Request) -> bool {
        let is_meant = parse_header::<String>(req, EXPECTED)
            .is_none_or(|expected| expected == self.0.incarnation_id());
        is_meant && !is_load(req) && req.path() != HEALTH_PATH
    }

    /// The answer to a health check, or to a request for another incarnation.
    fn no_work(&self, req: &Request) -> Reply {
        if req.path() == HEALTH_PATH {
            return text_reply(StatusCode::OK, "healthy");
        }
        let mut reply = text_reply(StatusCode::MISDIRECTED_REQUEST, "another incarnation");
        insert(&mut reply, NOT_RUN, "1");
        if let Some(id) = parse_header::<String>(req, REQUEST_ID) {
            insert(&mut reply, REQUEST_ID, &id);
        }
        reply
    }

    async fn work(&self, req: &Request, body: &[u8]) -> Reply {
        let decision = self.0.decide(parse_header(req, "x-work-us"));
        match decision.fail {
            Fail::Status500 => return self.echo(req, body, StatusCode::INTERNAL_SERVER_ERROR),
            Fail::Close => return closed(),
            _ => {}
        }
        {
            // The semaphore is never closed, so the permit is always given.
            let _slot = self.0.slots.acquire().await;
            sleep_for(decision.work_us).await;
        }
        sleep_for(decision.late_ms.saturating_mul(1000)).await;
        let mut reply = self.echo(req, body, StatusCode::OK);
        apply(&decision, &mut reply);
        reply
    }

    /// The answer that tells what the target received.
    fn echo(&self, req: &Request, body: &[u8], status: StatusCode) -> Reply {
        let nonce = nonce(req);
        let digest = sha256_hex(body);
        let (name, service) = (&self.0.settings.name, &self.0.settings.service);
        let mut reply = Reply::new(
            Response::with_body(status, ()),
            match parse_header::<usize>(req, "x-answer-bytes") {
                Some(len) => body_for(&nonce, len.min(MAX_ANSWER_BYTES)),
                None => echo(&nonce, body.len(), &digest, name, service),
            },
        );
        if parse_header::<u8>(req, "x-answer-chunked") == Some(1) {
            reply.framing = Framing::Chunked;
        }
        for (name, value) in [
            ("x-nonce", nonce.as_str()),
            ("x-body-length", &body.len().to_string()),
            ("x-body-sha256", &digest),
            ("x-target", name),
            ("x-service", service),
        ] {
            insert(&mut reply, name, value);
        }
        if let Some(id) = parse_header::<String>(req, REQUEST_ID) {
            insert(&mut reply, REQUEST_ID, &id);
        }
        reply
    }
}

fn insert(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        let name = HeaderName::from_static(name);
        reply.head.headers_mut().insert(name, value);
    }
}

/// Applies the fault switches to an answer.
fn apply(decision: &Decision, reply: &mut Reply) {
    if decision.close_idle {
        reply.end = ReplyEnd::CompleteThenClose;
    }
    match decision.fail {
        Fail::CloseAfterWork => reply.end = ReplyEnd::CloseUnanswered,
        Fail::CutAfterHead => reply.end = ReplyEnd::CutAfterHead,
        Fail::CutInBody => reply.end = ReplyEnd::CutInBody,
        Fail::Never => reply.end = ReplyEnd::NeverSent,
        Fail::Unframed => reply.framing = Framing::Unframed,
        Fail::UnframedSilent => reply.framing = Framing::UnframedSilent,
        Fail::No | Fail::Status500 | Fail::Close => {}
    }
}

async fn sleep_for(us: u64) {
    sleep_until(Instant::now() + Duration::from_micros(us)).await;
}

fn closed() -> Reply {
    let head = Response::with_body(StatusCode::OK, ());
    Reply {
        end: ReplyEnd::CloseUnanswered,
        ..Reply::new(head, "")
    }
}

fn is_load(req: &Request) -> bool {
    req.method() == Method::GET && req.path() == LOAD_PATH
}

fn nonce(req: &Request) -> String {
    parse_header(req, "x-nonce").unwrap_or_default()
}

struct Control(Arc<Shared>);

impl Handler for Control {
    fn respond<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply> {
        std::future::ready(self.call(req, &body)).boxed_local()
    }
}

impl Control {
    fn call(&self, req: &Request, body: &[u8]) -> Reply {
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
            ("GET", "/counts") => json_reply(&self.0.counts()),
            _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
