//! The admin listener: operators, and the target on this host.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{
    HttpMessage, Method, Request, Response, StatusCode, body::BoxBody, header, header::HeaderValue,
};
use bytes::BytesMut;
use futures_util::StreamExt;
use plantainpost_core::{
    admission::{Announcement, AnnouncementEffect, TargetInstance},
    config::{Intent, KnownTarget, Plan},
    ids::RequestId,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use slog::info;

use crate::{
    audit::{self, AuditEvent},
    clock, confirm, fleet,
    node::Node,
    status,
};

/// Longest body of a request, in bytes. A plan holds a whole configuration.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Validity of a plan, in milliseconds: one day, enough to pass it to a colleague.
const PLAN_VALID_MS: u64 = 24 * 60 * 60 * 1_000;

/// Longest validity of an announcement, in milliseconds.
const MAX_TTL_MS: u64 = 600_000;

/// Most slots and connections that a target may announce.
const MAX_ANNOUNCED: u32 = 100_000;

/// Entries of the audit trail in one answer, in appends.
const AUDIT_RECORDS: usize = 500;

type Answer = Response<BoxBody>;

/// Answers one request.
pub(crate) async fn handle(node: Rc<Node>, mut req: Request) -> Answer {
    if !is_authorized(&node, &req) {
        let message = "a bearer token is needed: use --token-file";
        return refuse(StatusCode::UNAUTHORIZED, message);
    }
    let Some(body) = read_body(&mut req).await else {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long or cut");
    };
    let path = req.uri().path().to_owned();
    let query = req.uri().query().unwrap_or_default().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::PUT, "/v1/target") => with_json(&body, |a| announce(&node, a)),
        (&Method::DELETE, "/v1/target") => withdraw(&node),
        (&Method::POST, "/v1/plan") => with_json(&body, |request| plan(&node, request)),
        (&Method::POST, "/v1/confirm") => match parse(&body) {
            Ok(request) => confirm(&node, request).await,
            Err(answer) => answer,
        },
        (&Method::GET, "/v1/status") => respond(StatusCode::OK, &status::status(&node)),
        (&Method::GET, "/v1/metrics") => respond(StatusCode::OK, &status::metrics(&node)),
        (&Method::GET, "/v1/audit") => audit_trail(&node, &query).await,
        (&Method::GET, "/v1/explain") => explain(&node, &query),
        _ => refuse(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn is_authorized(node: &Node, req: &Request) -> bool {
    let Some(token) = &node.settings.admin_token else {
        return true;
    };
    let given = req
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    given.is_some_and(|given| is_same(given.as_bytes(), token.as_bytes()))
}

/// Compares in a time that does not depend on where the bytes differ.
fn is_same(a: &[u8], b: &[u8]) -> bool {
    let differences = a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y));
    a.len() == b.len() && differences == 0
}

pub(crate) async fn read_body(req: &mut Request) -> Option<BytesMut> {
    let mut payload = req.take_payload();
    let mut buf = BytesMut::new();
    while let Some(piece) = payload.next().await {
        buf.extend_from_slice(&piece.ok()?);
        if buf.len() > MAX_BODY_BYTES {
            return None;
        }
    }
    Some(buf)
}

fn respond<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut res = Response::with_body(status, BoxBody::new(text));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

fn refuse(status: StatusCode, message: &str) -> Answer {
    respond(status, &json!({ "error": message }))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Answer> {
    serde_json::from_slice(body).map_err(|e| {
        refuse(
            StatusCode::BAD_REQUEST,
            &format!("the body is not valid: {e}"),
        )
    })
}

fn with_json<T: DeserializeOwned>(body: &[u8], f: impl FnOnce(T) -> Answer) -> Answer {
    match parse(body) {
        Ok(value) => f(value),
        Err(answer) => answer,
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetAnnouncement {
    service: String,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    ttl_ms: u64,
    #[serde(default)]
    leaving: bool,
}

impl TargetAnnouncement {
    fn check(&self) -> Result<(), &'static str> {
        let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
        if self.service.is_empty() || self.service.len() > 253 {
            return Err("service: 1 to 253 characters are allowed");
        }
        if !self.service.chars().all(valid) {
            return Err("service: letters, digits, '-', '.' and '_' are allowed");
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err("address: an IP number and a port from 1 are needed");
        }
        if !(1..=MAX_ANNOUNCED).contains(&self.slots) {
            return Err("slots: 1 to 100000 are allowed");
        }
        if !(1..=MAX_ANNOUNCED).contains(&self.connections) {
            return Err("connections: 1 to 100000 are allowed");
        }
        if !(1..=MAX_TTL_MS).contains(&self.ttl_ms) {
            return Err("ttl_ms: 1 to 600000 ms are allowed");
        }
        Ok(())
    }
}

fn announce(node: &Rc<Node>, request: TargetAnnouncement) -> Answer {
    if let Err(message) = request.check() {
        node.metrics.count("admin.bad_announcement");
        return refuse(StatusCode::BAD_REQUEST, message);
    }
    let now = node.now();
    let announcement = Announcement {
        instance: TargetInstance::default(),
        service: &request.service,
        address: request.address,
        slots: request.slots,
        connections: request.connections,
        expires: now.saturating_add_millis(request.ttl_ms),
        leaving: request.leaving,
    };
    let announced = node.guard.borrow_mut().announce(now, announcement);
    if announced != AnnouncementEffect::Renewed {
        info!(node.logger, "target announced"; "service" => &request.service, "address" => %request.address);
    }
    after_announcement(node);
    respond(StatusCode::OK, &json!({ "node": node.name() }))
}

fn withdraw(node: &Rc<Node>) -> Answer {
    node.guard.borrow_mut().withdraw_target(node.now());
    info!(node.logger, "target withdrawn");
    after_announcement(node);
    respond(StatusCode::OK, &json!({ "node": node.name() }))
}

pub(crate) fn after_announcement(node: &Rc<Node>) {
    let wakeups = node.guard.borrow_mut().expire(node.now());
    node.wake(wakeups);
    fleet::refresh(node);
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanRequest {
    author: String,
    intent: Intent,
}

fn plan(node: &Rc<Node>, request: PlanRequest) -> Answer {
    let targets = fleet::targets(node);
    let known: Vec<KnownTarget<'_>> = targets
        .iter()
        .map(|target| KnownTarget {
            service: target.service.as_str(),
            node: target.node.as_str(),
            host_ip: target.ip,
            data_centre: target.data_centre.as_str(),
        })
        .collect();
    let expires = clock::unix_ms() + PLAN_VALID_MS;
    let register = node.register.borrow();
    let planned = register.plan_with_targets(&request.intent, &request.author, expires, &known);
    drop(register);
    match planned {
        Ok(plan) => {
            let event = AuditEvent::Plan {
                id: plan.id.to_string(),
                author: plan.author.clone(),
                changes: plan.changes.clone(),
            };
            audit::note(node, event);
            respond(StatusCode::OK, &plan)
        }
        Err(e) => refuse(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfirmRequest {
    author: String,
    plan: Plan,
}

async fn confirm(node: &Rc<Node>, request: ConfirmRequest) -> Answer {
    match confirm::confirm(node, &request.plan, &request.author).await {
        Ok(result) => respond(StatusCode::OK, &result),
        Err(e) => refuse(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value)
}

async fn audit_trail(node: &Node, query: &str) -> Answer {
    let from = query_value(query, "from").map_or(Ok(0), str::parse::<u64>);
    let Ok(from) = from else {
        return refuse(StatusCode::BAD_REQUEST, "from: an offset is needed");
    };
    match node
        .log_service
        .read(audit::STREAM, from, AUDIT_RECORDS)
        .await
    {
        Ok(batch) => {
            let texts = batch.records.iter().map(|record| record.data.as_str());
            let next = batch.records.last().map_or(from, |r| r.offset + 1);
            let answer = json!({
                "entries": audit::entries(texts),
                "oldest": batch.oldest,
                "next": next,
                "end": batch.next,
            });
            respond(StatusCode::OK, &answer)
        }
        Err(e) => refuse(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
    }
}

fn explain(node: &Node, query: &str) -> Answer {
    if let Some(request) = query_value(query, "request") {
        return explain_request(node, request);
    }
    match query_value(query, "target") {
        Some(target) => match status::target(node, target) {
            Some(explanation) => respond(StatusCode::OK, &explanation),
            None => refuse(StatusCode::NOT_FOUND, "no node of this name is known"),
        },
        None => refuse(StatusCode::BAD_REQUEST, "give request=ID or target=NAME"),
    }
}

fn explain_request(node: &Node, request: &str) -> Answer {
    let Ok(id) = u128::from_str_radix(request, 16) else {
        return refuse(
            StatusCode::BAD_REQUEST,
            "request: 32 hexadecimal digits are needed",
        );
    };
    let traces = node.traces.borrow();
    match traces.find(RequestId(id)) {
        Some(trace) => {
            let mut answer = serde_json::to_value(trace).unwrap_or(Value::Null);
            answer["request"] = json!(RequestId(id).to_string());
            respond(StatusCode::OK, &answer)
        }
        None => refuse(
            StatusCode::NOT_FOUND,
            "this node does not remember the request; ask the node that took it",
        ),
    }
}
