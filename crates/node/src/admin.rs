//! Requests on the admin listener, from operators and the target on this host.

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
    clock, confirm,
    entry::dry_run::dry_run,
    fleet,
    node::Node,
    status,
};

/// Longest request body, in bytes. A plan contains a whole configuration.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Time until a plan expires, in milliseconds: one day, so that another person can review it.
const PLAN_VALIDITY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Longest time to live of a target announcement, in milliseconds.
const MAX_TTL_MS: u64 = 600_000;

/// Largest number of slots, and of connections, that a target may announce.
const MAX_ANNOUNCED_CAPACITY: u32 = 100_000;

/// Log records of the audit trail in one response. Each record holds one or more entries.
const MAX_AUDIT_RECORDS: usize = 500;

type HttpResponse = Response<BoxBody>;

/// Handles a request.
pub(crate) async fn handle_admin_request(node: Rc<Node>, mut req: Request) -> HttpResponse {
    if !is_authorized(&node, &req) {
        let message = "a bearer token is required: use --token-file";
        return error_response(StatusCode::UNAUTHORIZED, message);
    }
    let Some(body) = read_body(&mut req).await else {
        return error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too long or incomplete",
        );
    };
    let path = req.uri().path().to_owned();
    let query = req.uri().query().unwrap_or_default().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::PUT, "/v1/target") => {
            with_json(&body, |announcement| announce_target(&node, announcement))
        }
        (&Method::DELETE, "/v1/target") => withdraw_target(&node),
        (&Method::POST, "/v1/plan") => with_json(&body, |request| create_plan(&node, request)),
        (&Method::POST, "/v1/confirm") => match parse_json(&body) {
            Ok(request) => handle_confirm(&node, request).await,
            Err(response) => response,
        },
        (&Method::POST, "/v1/route") => with_json(&body, |query| match dry_run(&node, query) {
            Ok(report) => json_response(StatusCode::OK, &report),
            Err(message) => error_response(StatusCode::BAD_REQUEST, &message),
        }),
        (&Method::GET, "/v1/status") => json_response(StatusCode::OK, &status::node_status(&node)),
        (&Method::GET, "/v1/metrics") => {
            json_response(StatusCode::OK, &status::metrics_json(&node))
        }
        (&Method::GET, "/v1/audit") => audit_trail(&node, &query).await,
        (&Method::GET, "/v1/explain") => handle_explain(&node, &query),
        _ => error_response(StatusCode::NOT_FOUND, "no such method or path"),
    }
}

fn is_authorized(node: &Node, req: &Request) -> bool {
    let Some(token) = &node.settings.admin_token else {
        return true;
    };
    let presented = req
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    presented.is_some_and(|presented| constant_time_eq(presented.as_bytes(), token.as_bytes()))
}

/// Compares in a time that does not depend on where the bytes differ, against timing attacks.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    let differences = a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y));
    a.len() == b.len() && differences == 0
}

/// Reads the body of a request. Returns `None` if it is longer than [`MAX_BODY_BYTES`] or the
/// connection fails.
pub(crate) async fn read_body(req: &mut Request) -> Option<BytesMut> {
    let mut payload = req.take_payload();
    let mut buf = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        buf.extend_from_slice(&chunk.ok()?);
        if buf.len() > MAX_BODY_BYTES {
            return None;
        }
    }
    Some(buf)
}

fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut res = Response::with_body(status, BoxBody::new(text));
    let content_type = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, content_type);
    res
}

fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    json_response(status, &json!({ "error": message }))
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpResponse> {
    serde_json::from_slice(body).map_err(|e| {
        error_response(
            StatusCode::BAD_REQUEST,
            &format!("the body is not valid: {e}"),
        )
    })
}

fn with_json<T: DeserializeOwned>(body: &[u8], f: impl FnOnce(T) -> HttpResponse) -> HttpResponse {
    match parse_json(body) {
        Ok(value) => f(value),
        Err(response) => response,
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
    fn validate(&self) -> Result<(), &'static str> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
        if self.service.is_empty() || self.service.len() > 253 {
            return Err("service: 1 to 253 characters are allowed");
        }
        if !self.service.chars().all(is_allowed) {
            return Err("service: letters, digits, '-', '.' and '_' are allowed");
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err("address: an IP address and a port other than 0 are required");
        }
        if !(1..=MAX_ANNOUNCED_CAPACITY).contains(&self.slots) {
            return Err("slots: 1 to 100000 are allowed");
        }
        if !(1..=MAX_ANNOUNCED_CAPACITY).contains(&self.connections) {
            return Err("connections: 1 to 100000 are allowed");
        }
        if !(1..=MAX_TTL_MS).contains(&self.ttl_ms) {
            return Err("ttl_ms: 1 to 600000 ms are allowed");
        }
        Ok(())
    }
}

fn announce_target(node: &Rc<Node>, request: TargetAnnouncement) -> HttpResponse {
    if let Err(message) = request.validate() {
        node.metrics.count("admin.bad_announcement");
        return error_response(StatusCode::BAD_REQUEST, message);
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
    let effect = node.guard.borrow_mut().announce(now, announcement);
    if effect != AnnouncementEffect::Renewed {
        info!(node.logger, "target announced"; "service" => &request.service, "address" => %request.address);
    }
    on_target_changed(node);
    json_response(StatusCode::OK, &json!({ "node": node.name() }))
}

fn withdraw_target(node: &Rc<Node>) -> HttpResponse {
    node.guard.borrow_mut().withdraw_target(node.now());
    info!(node.logger, "target withdrawn");
    on_target_changed(node);
    json_response(StatusCode::OK, &json!({ "node": node.name() }))
}

/// Applies a change of the target on this host: starts or refuses queued requests and passes the
/// change to the fleet.
pub(crate) fn on_target_changed(node: &Rc<Node>) {
    let wakeups = node.guard.borrow_mut().expire(node.now());
    node.wake_waiters(wakeups);
    fleet::apply_changes(node);
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanRequest {
    author: String,
    intent: Intent,
}

fn create_plan(node: &Rc<Node>, request: PlanRequest) -> HttpResponse {
    let targets = fleet::announced_targets(node);
    let known_targets: Vec<KnownTarget<'_>> = targets
        .iter()
        .map(|target| KnownTarget {
            service: target.service.as_str(),
            node: target.node.as_str(),
            host_ip: target.ip,
            data_centre: target.data_centre.as_str(),
        })
        .collect();
    let expires_at_unix_ms = clock::unix_ms() + PLAN_VALIDITY_MS;
    let config = node.config.borrow();
    let planned = config.plan_with_targets(
        &request.intent,
        &request.author,
        expires_at_unix_ms,
        &known_targets,
    );
    drop(config);
    match planned {
        Ok(plan) => {
            let event = AuditEvent::Plan {
                id: plan.id.to_string(),
                author: plan.author.clone(),
                changes: plan.changes.clone(),
            };
            audit::record(node, event);
            json_response(StatusCode::OK, &plan)
        }
        Err(e) => error_response(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfirmRequest {
    author: String,
    plan: Plan,
}

async fn handle_confirm(node: &Rc<Node>, request: ConfirmRequest) -> HttpResponse {
    match confirm::confirm_plan(node, &request.plan, &request.author).await {
        Ok(result) => json_response(StatusCode::OK, &result),
        Err(e) => error_response(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value)
}

async fn audit_trail(node: &Node, query: &str) -> HttpResponse {
    let from = query_value(query, "from").map_or(Ok(0), str::parse::<u64>);
    let Ok(from) = from else {
        return error_response(StatusCode::BAD_REQUEST, "from: an offset is required");
    };
    match node
        .log_service
        .read(audit::AUDIT_STREAM, from, MAX_AUDIT_RECORDS)
        .await
    {
        Ok(batch) => {
            let texts = batch.records.iter().map(|record| record.data.as_str());
            let next = batch.records.last().map_or(from, |r| r.offset + 1);
            let body = json!({
                "entries": audit::parse_entries(texts),
                "oldest": batch.oldest,
                "next": next,
                "end": batch.next,
            });
            json_response(StatusCode::OK, &body)
        }
        Err(e) => error_response(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
    }
}

fn handle_explain(node: &Node, query: &str) -> HttpResponse {
    if let Some(request) = query_value(query, "request") {
        return explain_request(node, request);
    }
    match query_value(query, "target") {
        Some(target) => match status::explain_target(node, target) {
            Some(explanation) => json_response(StatusCode::OK, &explanation),
            None => error_response(StatusCode::NOT_FOUND, "no node with this name is known"),
        },
        None => error_response(
            StatusCode::BAD_REQUEST,
            "request=ID or target=NAME is required",
        ),
    }
}

fn explain_request(node: &Node, request: &str) -> HttpResponse {
    let Ok(id) = u128::from_str_radix(request, 16) else {
        return error_response(
            StatusCode::BAD_REQUEST,
            "request: 32 hexadecimal digits are required",
        );
    };
    let traces = node.traces.borrow();
    match traces.find(RequestId(id)) {
        Some(trace) => {
            let mut body = serde_json::to_value(trace).unwrap_or(Value::Null);
            body["request"] = json!(RequestId(id).to_string());
            json_response(StatusCode::OK, &body)
        }
        None => error_response(
            StatusCode::NOT_FOUND,
            "this node has no trace of the request; ask the node that received it",
        ),
    }
}
