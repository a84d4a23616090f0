//! One request of a caller, as the entry handles it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::{Bytes, BytesMut};
use plantainpost_core::{
    admission::Urgency,
    ids::{RequestId, ServiceName},
    retry,
    routing::Route,
    time::Instant,
};
use plantainpost_http1::{self as http1, Framing, RequestHead};
use plantainpost_wire::message::{BodyLength, Header, MAX_BODY_FRAME_BYTES};
use uuid::Uuid;

use crate::{
    entry::conn::{BodyError, RequestBody},
    headers,
    node::Node,
    settings::Routing,
};

/// Bytes of an answer between nodes that is assumed, with the framing of both directions:
/// most answers are a head and a small body.
const ANSWER_BYTES: u64 = 1_024;

/// Why a request of a caller is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BadRequest {
    /// The `Host` header is missing or not valid.
    Host,
    /// The timeout header is not a number from 1.
    Timeout,
    /// The body is longer than allowed.
    TooLong,
    /// The caller closed the connection before the end of the body.
    Incomplete,
    /// No route takes the request.
    NoRoute,
    /// No routes are known yet.
    NoConfiguration,
}

impl BadRequest {
    /// Returns the word for the reason header.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            BadRequest::Host => "bad-host",
            BadRequest::Timeout => "bad-timeout",
            BadRequest::TooLong => "body-too-long",
            BadRequest::Incomplete => "body-incomplete",
            BadRequest::NoRoute => "no-route",
            BadRequest::NoConfiguration => "no-configuration",
        }
    }
}

impl From<BodyError> for BadRequest {
    fn from(e: BodyError) -> Self {
        match e {
            BodyError::Incomplete => BadRequest::Incomplete,
            BodyError::TooLong => BadRequest::TooLong,
        }
    }
}

/// How a request is treated.
#[derive(Clone, Debug)]
pub(crate) struct Rule {
    pub(crate) service: ServiceName,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// Largest number of targets that it may reach.
    pub(crate) max_reached: u32,
    /// Longest time until the final answer, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Route that gave the rule, if there are routes.
    pub(crate) route: Option<Rc<Route>>,
    /// Version of the routes.
    pub(crate) version: u64,
}

/// A request of a caller, ready to be sent to a guard.
pub(crate) struct Call {
    pub(crate) id: RequestId,
    /// Id for callers, targets and logs.
    pub(crate) public_id: Bytes,
    pub(crate) rule: Rule,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) received: Instant,
    pub(crate) deadline: Instant,
    pub(crate) hedged: bool,
    pub(crate) length: BodyLength,
    /// First bytes of the body, at most [`MAX_BODY_FRAME_BYTES`]. They are kept until a
    /// guard has started the request, so that a refused request can be sent again.
    pub(crate) first: Bytes,
    /// The rest of the body, when `first` is not all of it.
    pub(crate) rest: RefCell<Option<Upload>>,
    /// Whether bytes after `first` were sent. They can't be sent again.
    upload_started: Cell<bool>,
}

impl Call {
    /// Reports whether `first` is the whole body.
    pub(crate) fn is_buffered(&self) -> bool {
        self.rest.borrow().is_none()
    }

    /// Notes that bytes after `first` are being sent.
    pub(crate) fn set_upload_started(&self) {
        self.upload_started.set(true);
    }

    /// Reports whether bytes after `first` were sent.
    pub(crate) fn upload_started(&self) -> bool {
        self.upload_started.get()
    }

    /// Returns how urgent the request is.
    pub(crate) fn urgency(&self) -> Urgency {
        let Some(route) = &self.rule.route else {
            return Urgency::default();
        };
        Urgency {
            class: route.request_class(),
            priority: route.priority,
            due: Some(self.received.saturating_add_millis(route.latency_target_ms)),
        }
    }

    /// Returns about how many bytes the request and its answer take between two nodes.
    pub(crate) fn bytes(&self) -> u64 {
        let body = match self.length {
            BodyLength::None => 0,
            BodyLength::Sized(length) => length,
            BodyLength::Chunked => MAX_BODY_FRAME_BYTES as u64,
        };
        let headers = self.headers.iter();
        let head: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        body + (head + self.path.len()) as u64 + ANSWER_BYTES
    }

    /// Returns the id as text for logs.
    pub(crate) fn public_id(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.public_id)
    }
}

/// Rest of a body that is too long to be kept.
pub(crate) struct Upload {
    body: RequestBody,
    /// Bytes that were read from the body but not sent.
    pending: BytesMut,
    /// Bytes handed out so far, `first` included.
    length: u64,
}

impl Upload {
    /// Returns the next piece, or `None` at the end of a complete body.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BadRequest> {
        while self.pending.is_empty() {
            match self.body.next().await? {
                Some(bytes) => self.pending.extend_from_slice(&bytes),
                None => return Ok(None),
            }
        }
        let count = self.pending.len().min(MAX_BODY_FRAME_BYTES);
        let piece = self.pending.split_to(count).freeze();
        self.length += count as u64;
        Ok(Some(piece))
    }

    /// Returns the bytes handed out so far.
    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// Reads until the end of the body or [`MAX_BODY_FRAME_BYTES`] bytes, and reports whether
    /// the body has ended.
    async fn first_bytes(&mut self) -> Result<(Bytes, bool), BadRequest> {
        let mut first = BytesMut::new();
        while first.len() < MAX_BODY_FRAME_BYTES {
            let Some(piece) = self.body.next().await? else {
                self.length = first.len() as u64;
                return Ok((first.freeze(), true));
            };
            let fits = (MAX_BODY_FRAME_BYTES - first.len()).min(piece.len());
            first.extend_from_slice(&piece[..fits]);
            self.pending.extend_from_slice(&piece[fits..]);
        }
        self.length = first.len() as u64;
        Ok((first.freeze(), false))
    }
}

/// Returns the id of a request for callers and targets.
pub(crate) fn public_id(node: &Node, id: RequestId, head: &RequestHead) -> Bytes {
    let names = &node.settings.headers;
    let chosen =
        http1::header_value(&head.headers, names.request_id).filter(|_| names.callers_choose_id);
    match chosen {
        Some(chosen) => Bytes::copy_from_slice(chosen),
        None => Bytes::from(id.to_string()),
    }
}

/// Makes the id of a request.
pub(crate) fn new_id() -> RequestId {
    RequestId(Uuid::new_v4().as_u128())
}

/// Decides how a request is treated, from its head alone.
pub(crate) fn rule(node: &Node, head: &RequestHead) -> Result<Rule, BadRequest> {
    let host = host(head).ok_or(BadRequest::Host)?;
    match node.settings.routing {
        Routing::ByHostName => Ok(rule_by_name(node, ServiceName::from(&*host), &head.method)),
        Routing::ByRouteTable => rule_by_table(node, &host, &head.path),
    }
}

fn rule_by_name(node: &Node, service: ServiceName, method: &str) -> Rule {
    let register = node.config.borrow();
    let repeatable = register.content().is_repeatable(service.as_str(), method);
    Rule {
        idempotent: matches!(method, "GET" | "HEAD" | "OPTIONS") || repeatable,
        service,
        max_reached: retry::MAX_RETRIES + 1,
        timeout_ms: node.settings.limits.max_timeout_ms,
        route: None,
        version: register.version().unwrap_or_default(),
    }
}

fn rule_by_table(node: &Node, host: &str, path: &str) -> Result<Rule, BadRequest> {
    let register = node.config.borrow();
    let table = register.routes().ok_or(BadRequest::NoConfiguration)?;
    let route = table.find_route(host, path).ok_or(BadRequest::NoRoute)?;
    Ok(Rule {
        service: route.choose_service(&mut *node.rng.borrow_mut()).clone(),
        idempotent: route.is_idempotent(),
        max_reached: route.attempts,
        timeout_ms: route.timeout_ms,
        route: Some(Rc::clone(route)),
        version: table.version(),
    })
}

/// Reads the first bytes of the body of a request.
pub(crate) async fn receive(
    node: &Rc<Node>,
    id: RequestId,
    public_id: Bytes,
    rule: Rule,
    received: Instant,
    head: RequestHead,
    body: RequestBody,
) -> Result<Call, BadRequest> {
    let deadline = deadline(node, &head, &rule, received)?;
    let stated = match head.framing {
        Framing::Sized(length) => Some(length),
        _ => None,
    };
    if stated.is_some_and(|length| length > node.caller_limits().body_bytes) {
        return Err(BadRequest::TooLong);
    }
    let mut upload = Upload {
        body,
        pending: BytesMut::new(),
        length: 0,
    };
    let (first, ended) = upload.first_bytes().await?;
    let names = &node.settings.headers;
    let mut list = names.forwarded_request_headers(&head.headers);
    list.push(headers::header(names.request_id, public_id.clone()));
    let service = node.service.borrow();
    if let (Some(name), Some(service)) = (names.origin_service, &*service) {
        let service = Bytes::copy_from_slice(service.as_str().as_bytes());
        list.push(headers::header(name, service));
    }
    Ok(Call {
        id,
        public_id,
        rule,
        headers: list,
        received,
        deadline,
        hedged: http1::header_value(&head.headers, headers::HEDGED).is_some(),
        length: body_length(stated, first.len(), ended),
        method: head.method,
        path: head.path,
        first,
        rest: RefCell::new((!ended).then_some(upload)),
        upload_started: Cell::new(false),
    })
}

fn body_length(stated: Option<u64>, first: usize, ended: bool) -> BodyLength {
    match stated {
        Some(length) => BodyLength::Sized(length),
        None if ended && first == 0 => BodyLength::None,
        None if ended => BodyLength::Sized(first as u64),
        None => BodyLength::Chunked,
    }
}

/// Returns the host name that the caller asks for, in lower case and without the port.
fn host(head: &RequestHead) -> Option<String> {
    let host = http1::header_text(&head.headers, "host")?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
    if name.is_empty() || name.len() > 253 || !name.chars().all(valid) {
        return None;
    }
    Some(name.to_ascii_lowercase())
}

fn deadline(
    node: &Node,
    head: &RequestHead,
    rule: &Rule,
    received: Instant,
) -> Result<Instant, BadRequest> {
    let limits = &node.settings.limits;
    let names = &node.settings.headers;
    let millis = match http1::header_text(&head.headers, names.timeout_ms) {
        None => limits.default_timeout_ms,
        // A caller that chose the id may also pass on a deadline that has just passed.
        Some(text) => text
            .parse::<u64>()
            .ok()
            .filter(|millis| *millis > 0 || names.callers_choose_id)
            .ok_or(BadRequest::Timeout)?,
    };
    let millis = millis.min(limits.max_timeout_ms).min(rule.timeout_ms);
    Ok(received.saturating_add_millis(millis))
}
