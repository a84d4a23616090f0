//! A caller's request as the entry handles it: validation, routing policy and body buffering.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use plantainpost_core::{
    admission::{RefuseReason, Urgency},
    eligibility::AllowedRegions,
    ids::{RequestId, ServiceName},
    retry,
    routing::Route,
    time::Instant,
    workspace::{self, KeyClaim, KeyError, Workspace},
};
use plantainpost_http1::{self as http1, Framing, RequestHead};
use plantainpost_wire::message::{BodyLength, Header, MAX_BODY_FRAME_BYTES};
use rand::Rng;
use uuid::Uuid;

use crate::{
    config_recheck,
    entry::{
        body_remainder::BodyRemainder,
        conn::{BodyError, RequestBody},
    },
    headers,
    node::Node,
    settings::Routing,
};

/// Why a caller's request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BadRequest {
    /// The `Host` header is missing or not valid.
    InvalidHost,
    /// The timeout header is not a positive integer.
    InvalidTimeout,
    /// The body exceeds the configured limit.
    BodyTooLong,
    /// The caller closed the connection before the end of the body.
    BodyIncomplete,
    /// No route matches the request.
    NoRoute,
    /// The route table has not been received yet.
    NoConfiguration,
    /// The route needs a key of a workspace.
    Key(KeyError),
}

impl BadRequest {
    /// Returns the value of the reason header.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            BadRequest::InvalidHost => "bad-host",
            BadRequest::InvalidTimeout => "bad-timeout",
            BadRequest::BodyTooLong => "body-too-long",
            BadRequest::BodyIncomplete => "body-incomplete",
            BadRequest::NoRoute => "no-route",
            BadRequest::NoConfiguration => "no-configuration",
            BadRequest::Key(e) => e.as_str(),
        }
    }
}

impl From<BodyError> for BadRequest {
    fn from(e: BodyError) -> Self {
        match e {
            BodyError::Incomplete => BadRequest::BodyIncomplete,
            BodyError::TooLong => BadRequest::BodyTooLong,
        }
    }
}

/// Routing and retry rules that apply to a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestPolicy {
    pub(crate) service: ServiceName,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Largest number of targets that the request may reach, retries included.
    pub(crate) max_targets_reached: u32,
    /// Longest time from receipt to the final response, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Matched route. `None` when requests are routed by service name.
    pub(crate) route: Option<Rc<Route>>,
    /// Workspace that the request belongs to; `None` if it needs no key.
    pub(crate) workspace: Option<Rc<Workspace>>,
    /// Key by which the request belongs to `workspace`; `None` without one.
    pub(crate) claim: Option<KeyClaim>,
    /// See [`workspace::capacity_share`].
    pub(crate) capacity_share: u32,
    /// Version of the configuration that the policy comes from; zero if none is known.
    pub(crate) version: u64,
}

impl RequestPolicy {
    /// Returns the regions whose targets may get the request.
    pub(crate) fn allowed_regions(&self) -> AllowedRegions<'_> {
        let route = self.route.as_ref();
        let workspace = self.workspace.as_ref();
        AllowedRegions {
            route: route.map_or(&[], |route| &route.allowed_regions),
            workspace: workspace.map_or(&[], |workspace| &workspace.allowed_regions),
        }
    }

    /// Returns the version of the routes that the policy comes from; `None` when requests are routed by
    /// service name.
    pub(crate) fn routes_version(&self) -> Option<u64> {
        self.route.as_ref().map(|_| self.version)
    }
}

/// A validated request, ready to be sent to a guard.
pub(crate) struct CallerRequest {
    pub(crate) id: RequestId,
    /// Request id as shown to callers and targets and in logs.
    pub(crate) public_id: Bytes,
    pub(crate) policy: RequestPolicy,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) received_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) hedged: bool,
    pub(crate) body_length: BodyLength,
    /// First bytes of the body, at most [`MAX_BODY_FRAME_BYTES`]. They are kept until a guard
    /// has started the request, so that a refused request can be sent to another guard.
    pub(crate) body_prefix: Bytes,
    body_rest: RefCell<BodyRest>,
}

/// The part of a body after the prefix. Its bytes are not kept, so only one attempt can send it.
enum BodyRest {
    /// The prefix is the whole body.
    Empty,
    /// No attempt has asked for the rest.
    Unclaimed(BodyRemainder),
    /// An attempt has taken the rest to send it. The request can't be sent again.
    Claimed,
}

/// Result of [`CallerRequest::claim_body_rest`].
pub(crate) enum BodyRestClaim {
    /// There is nothing after the prefix.
    Empty,
    /// The rest, for the attempt that claimed it first.
    Granted(BodyRemainder),
    /// The rest was claimed before.
    AlreadyClaimed,
}

impl CallerRequest {
    /// Returns whether `body_prefix` is the whole body.
    pub(crate) fn is_buffered(&self) -> bool {
        matches!(*self.body_rest.borrow(), BodyRest::Empty)
    }

    /// Returns whether an attempt has claimed the rest of the body, so that the request can't be
    /// sent again.
    pub(crate) fn is_body_rest_claimed(&self) -> bool {
        matches!(*self.body_rest.borrow(), BodyRest::Claimed)
    }

    /// Takes the rest of the body for an attempt that is about to send it.
    pub(crate) fn claim_body_rest(&self) -> BodyRestClaim {
        let mut rest = self.body_rest.borrow_mut();
        match std::mem::replace(&mut *rest, BodyRest::Claimed) {
            BodyRest::Empty => {
                *rest = BodyRest::Empty;
                BodyRestClaim::Empty
            }
            BodyRest::Unclaimed(remainder) => BodyRestClaim::Granted(remainder),
            BodyRest::Claimed => BodyRestClaim::AlreadyClaimed,
        }
    }

    /// Returns the class of requests with similar responses; 0 if the request has no class.
    pub(crate) fn class(&self) -> u32 {
        let route = self.policy.route.as_ref();
        route.map_or(0, |route| route.request_class())
    }

    /// Returns the class, priority and latency target that order the queue of the guard.
    pub(crate) fn urgency(&self) -> Urgency {
        let Some(route) = &self.policy.route else {
            return Urgency::default();
        };
        let workspace = self.policy.workspace.as_deref();
        let own_priority = workspace.and_then(|workspace| workspace.priority);
        Urgency {
            class: route.request_class(),
            priority: own_priority.unwrap_or(route.priority),
            capacity_share: self.policy.capacity_share,
            due: Some(
                self.received_at
                    .saturating_add_millis(route.latency_target_ms),
            ),
        }
    }

    /// Checks the key of the request against the configuration in force. Returns the claim for a guard;
    /// `None` if the request needed no key.
    ///
    /// # Errors
    ///
    /// Returns why the request must not start.
    pub(crate) fn check_key(&self, node: &Node) -> Result<Option<KeyClaim>, RefuseReason> {
        let Some(claim) = &self.policy.claim else {
            return Ok(None);
        };
        let config = node.config.borrow();
        let table = config.routes().map(Rc::as_ref);
        claim.check(table)?;
        Ok(table.map(|table| claim.with_version_of(table)))
    }

    /// Estimates the bytes that the request and a response of `response_bytes` take between two nodes.
    pub(crate) fn estimated_transfer_bytes(&self, response_bytes: u64) -> u64 {
        let body = match self.body_length {
            BodyLength::None => 0,
            BodyLength::Sized(length) => length,
            BodyLength::Chunked => MAX_BODY_FRAME_BYTES as u64,
        };
        let headers = self.headers.iter();
        let head: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        body + (head + self.path.len()) as u64 + response_bytes
    }

    /// Returns the public id as text for logs.
    pub(crate) fn public_id_text(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.public_id)
    }
}

/// Returns the request id that callers and targets see: the caller's own id where callers
/// choose it, otherwise `id`.
pub(crate) fn public_id(node: &Node, id: RequestId, head: &RequestHead) -> Bytes {
    let names = &node.settings.headers;
    let caller_id =
        http1::header_value(&head.headers, names.request_id).filter(|_| names.callers_choose_id);
    match caller_id {
        Some(caller_id) => Bytes::copy_from_slice(caller_id),
        None => Bytes::from(id.to_string()),
    }
}

/// Generates a random request id.
pub(crate) fn new_request_id() -> RequestId {
    RequestId(Uuid::new_v4().as_u128())
}

/// Determines the policy of a request from its head alone. Before it refuses a key, it waits until the
/// configuration may be relied on: the key may have been added while this node was suspended, and
/// callers do not send a request again after 401. A node that has just started waits for its
/// configuration.
pub(crate) async fn request_policy(
    node: &Rc<Node>,
    head: &RequestHead,
    is_from_own_host: bool,
) -> Result<RequestPolicy, BadRequest> {
    let (startup, clock) = (&node.startup, node.clock);
    let deadline = node
        .now()
        .saturating_add_millis(caller_timeout_ms(node, head)?);
    let mut policy = known_policy(node, head, is_from_own_host);
    while matches!(policy, Err(BadRequest::NoConfiguration))
        && startup.wait_for_change(clock, deadline).await
    {
        policy = known_policy(node, head, is_from_own_host);
    }
    let is_unknown = matches!(policy, Err(BadRequest::Key(KeyError::Unknown)));
    match is_unknown && config_recheck::wait_until_current(node).await {
        true => known_policy(node, head, is_from_own_host),
        false => policy,
    }
}

fn known_policy(
    node: &Node,
    head: &RequestHead,
    is_from_own_host: bool,
) -> Result<RequestPolicy, BadRequest> {
    policy_of(
        node,
        head,
        is_from_own_host,
        None,
        &mut *node.rng.borrow_mut(),
    )
}

/// Determines the policy of a request from its head and the configuration that this node knows. A
/// workspace that is given takes the place of a key.
pub(crate) fn policy_of(
    node: &Node,
    head: &RequestHead,
    is_from_own_host: bool,
    workspace: Option<&Rc<Workspace>>,
    rng: &mut dyn Rng,
) -> Result<RequestPolicy, BadRequest> {
    let host = requested_host(head).ok_or(BadRequest::InvalidHost)?;
    match node.settings.routing {
        Routing::ByHostName => Ok(policy_by_host_name(
            node,
            ServiceName::from(&*host),
            &head.method,
        )),
        Routing::ByRouteTable => {
            policy_by_route_table(node, &host, head, is_from_own_host, workspace, rng)
        }
    }
}

fn policy_by_host_name(node: &Node, service: ServiceName, method: &str) -> RequestPolicy {
    let register = node.config.borrow();
    let repeatable = register.content().is_repeatable(service.as_str(), method);
    RequestPolicy {
        idempotent: matches!(method, "GET" | "HEAD" | "OPTIONS") || repeatable,
        service,
        max_targets_reached: retry::MAX_RETRIES + 1,
        timeout_ms: node.settings.limits.max_timeout_ms,
        route: None,
        workspace: None,
        claim: None,
        capacity_share: 0,
        version: register.version().unwrap_or_default(),
    }
}

fn policy_by_route_table(
    node: &Node,
    host: &str,
    head: &RequestHead,
    is_from_own_host: bool,
    workspace: Option<&Rc<Workspace>>,
    rng: &mut dyn Rng,
) -> Result<RequestPolicy, BadRequest> {
    let register = node.config.borrow();
    let table = register.routes().ok_or(BadRequest::NoConfiguration)?;
    let route = table
        .find_route(host, &head.path)
        .ok_or(BadRequest::NoRoute)?;
    let (workspace, claim) = match workspace {
        Some(workspace) => {
            let needs_key = workspace::needs_key(table, route);
            (needs_key.then(|| Rc::clone(workspace)), None)
        }
        None => {
            let key = node.settings.headers.sent_key(&head.headers);
            let identity = workspace::identify(table, route, key).map_err(BadRequest::Key)?;
            identity.map(|i| (i.workspace, i.claim)).unzip()
        }
    };
    Ok(RequestPolicy {
        service: route.choose_service(rng).clone(),
        idempotent: route.is_idempotent(),
        max_targets_reached: route.attempts,
        timeout_ms: route.timeout_ms,
        route: Some(Rc::clone(route)),
        capacity_share: workspace::capacity_share(table, workspace.as_deref(), is_from_own_host),
        workspace,
        claim,
        version: table.version(),
    })
}

/// Validates a request and reads its body, or the first [`MAX_BODY_FRAME_BYTES`] bytes of a longer
/// one.
pub(crate) async fn receive_request(
    node: &Rc<Node>,
    id: RequestId,
    public_id: Bytes,
    policy: RequestPolicy,
    received_at: Instant,
    head: RequestHead,
    body: RequestBody,
) -> Result<CallerRequest, BadRequest> {
    let (deadline, content_length) = check_head(node, &head, &policy, received_at)?;
    let mut body_rest = BodyRemainder::new(body);
    let (body_prefix, is_complete) = body_rest.read_prefix(content_length).await?;
    let length = body_length(content_length, body_prefix.len(), is_complete);
    let body = match is_complete {
        true => BodyRest::Empty,
        false => BodyRest::Unclaimed(body_rest),
    };
    Ok(CallerRequest {
        body_prefix,
        body_rest: RefCell::new(body),
        ..request_without_body(
            node,
            (id, public_id),
            policy,
            (received_at, deadline),
            head,
            length,
        )
    })
}

/// Returns the deadline of a request and the length of its body, if it is stated.
pub(crate) fn check_head(
    node: &Node,
    head: &RequestHead,
    policy: &RequestPolicy,
    received_at: Instant,
) -> Result<(Instant, Option<u64>), BadRequest> {
    let deadline = request_deadline(node, head, policy, received_at)?;
    let content_length = match head.framing {
        Framing::Sized(length) => Some(length),
        _ => None,
    };
    if content_length.is_some_and(|length| length > node.caller_limits().body_bytes) {
        return Err(BadRequest::BodyTooLong);
    }
    Ok((deadline, content_length))
}

/// Returns a request with its head and the length of its body, but none of the body.
pub(crate) fn request_without_body(
    node: &Node,
    (id, public_id): (RequestId, Bytes),
    policy: RequestPolicy,
    (received_at, deadline): (Instant, Instant),
    head: RequestHead,
    body_length: BodyLength,
) -> CallerRequest {
    let names = &node.settings.headers;
    let mut headers = names.forwarded_request_headers(&head.headers);
    headers.push(headers::header(names.request_id, public_id.clone()));
    if let (Some(name), Some(workspace)) = (names.workspace, &policy.workspace) {
        let workspace = Bytes::copy_from_slice(workspace.name.as_bytes());
        headers.push(headers::header(name, workspace));
    }
    let service = node.service.borrow();
    if let (Some(name), Some(service)) = (names.origin_service, &*service) {
        let service = Bytes::copy_from_slice(service.as_str().as_bytes());
        headers.push(headers::header(name, service));
    }
    CallerRequest {
        id,
        public_id,
        policy,
        headers,
        received_at,
        deadline,
        hedged: http1::header_value(&head.headers, headers::HEDGED).is_some(),
        body_length,
        method: head.method,
        path: head.path,
        body_prefix: Bytes::new(),
        body_rest: RefCell::new(BodyRest::Empty),
    }
}

fn body_length(content_length: Option<u64>, prefix_bytes: usize, is_complete: bool) -> BodyLength {
    match content_length {
        Some(length) => BodyLength::Sized(length),
        None if is_complete && prefix_bytes == 0 => BodyLength::None,
        None if is_complete => BodyLength::Sized(prefix_bytes as u64),
        None => BodyLength::Chunked,
    }
}

/// Returns the name in the `Host` header, in lower case and without the port. `None` if it is
/// missing or not valid.
fn requested_host(head: &RequestHead) -> Option<String> {
    let host = http1::header_text(&head.headers, "host")?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
    if name.is_empty() || name.len() > 253 || !name.chars().all(valid) {
        return None;
    }
    Some(name.to_ascii_lowercase())
}

fn request_deadline(
    node: &Node,
    head: &RequestHead,
    policy: &RequestPolicy,
    received_at: Instant,
) -> Result<Instant, BadRequest> {
    let millis = caller_timeout_ms(node, head)?.min(policy.timeout_ms);
    Ok(received_at.saturating_add_millis(millis))
}

/// Returns the timeout that the caller states, or the default one, in milliseconds.
pub(crate) fn caller_timeout_ms(node: &Node, head: &RequestHead) -> Result<u64, BadRequest> {
    let limits = &node.settings.limits;
    let names = &node.settings.headers;
    let millis = match http1::header_text(&head.headers, names.timeout_ms) {
        None => limits.default_timeout_ms,
        // Where callers choose the id, the timeout may be what is left of an outer deadline and
        // so may already be zero.
        Some(text) => text
            .parse::<u64>()
            .ok()
            .filter(|millis| *millis > 0 || names.callers_choose_id)
            .ok_or(BadRequest::InvalidTimeout)?,
    };
    Ok(millis.min(limits.max_timeout_ms))
}
