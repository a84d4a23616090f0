//! One request of a caller, as the entry handles it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use actix_http::{
    HttpMessage, Method, Payload, Request,
    header::{self, HeaderMap},
};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use plantainpost_core::{
    ids::{RequestId, ServiceName},
    time::Instant,
};
use plantainpost_wire::message::{BodyLength, Header, MAX_BODY_PIECE};
use uuid::Uuid;

use crate::{headers, node::Node};

/// Why a request of a caller is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BadRequest {
    /// The head is longer than the settings allow.
    Head,
    /// The `Host` header is missing or not valid.
    Host,
    /// The timeout header is not a number from 1.
    Timeout,
    /// The content length is not a number.
    Length,
    /// The body is longer than the settings allow.
    TooLong,
    /// The caller closed the connection before the end of the body.
    Incomplete,
}

impl BadRequest {
    /// Returns the word for the reason header.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            BadRequest::Head => "head-too-long",
            BadRequest::Host => "bad-host",
            BadRequest::Timeout => "bad-timeout",
            BadRequest::Length => "bad-length",
            BadRequest::TooLong => "body-too-long",
            BadRequest::Incomplete => "body-incomplete",
        }
    }
}

/// A request of a caller, ready to be sent to a guard.
pub(crate) struct Call {
    pub(crate) id: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) received: Instant,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    pub(crate) hedged: bool,
    pub(crate) length: BodyLength,
    /// First bytes of the body, at most [`MAX_BODY_PIECE`]. They are kept until a
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
}

/// Rest of a body that is too long to be kept.
pub(crate) struct Upload {
    payload: Payload,
    /// Bytes that were read from the payload but not sent.
    pending: BytesMut,
    /// Bytes handed out so far, `first` included.
    length: u64,
    /// Length that the caller stated.
    stated: Option<u64>,
    /// Longest allowed body.
    limit: u64,
}

impl Upload {
    /// Returns the next piece, or `None` at the end of a complete body.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BadRequest> {
        while self.pending.is_empty() {
            match self.payload.next().await {
                Some(Ok(bytes)) => self.pending.extend_from_slice(&bytes),
                Some(Err(_)) => return Err(BadRequest::Incomplete),
                None => return self.finish(),
            }
        }
        let count = self.pending.len().min(MAX_BODY_PIECE);
        let piece = self.pending.split_to(count).freeze();
        self.length += count as u64;
        if self.length > self.limit {
            return Err(BadRequest::TooLong);
        }
        Ok(Some(piece))
    }

    /// Returns the bytes handed out so far.
    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    fn finish(&self) -> Result<Option<Bytes>, BadRequest> {
        match self.stated {
            Some(stated) if stated != self.length => Err(BadRequest::Incomplete),
            _ => Ok(None),
        }
    }
}

/// Reads the head and the first bytes of the body of a request.
pub(crate) async fn receive(node: &Rc<Node>, mut req: Request) -> Result<Call, BadRequest> {
    let received = node.now();
    if head_bytes(&req) > node.settings.limits.header_bytes {
        return Err(BadRequest::Head);
    }
    let service = service(&req).ok_or(BadRequest::Host)?;
    let deadline = deadline(node, req.headers(), received)?;
    let stated = content_length(req.headers())?;
    let limit = node.settings.limits.body_bytes;
    if stated.is_some_and(|length| length > limit) {
        return Err(BadRequest::TooLong);
    }
    let mut upload = Upload {
        payload: req.take_payload(),
        pending: BytesMut::new(),
        length: 0,
        stated,
        limit,
    };
    let (first, ended) = first_bytes(&mut upload).await?;
    let method = req.method().clone();
    let idempotent = is_idempotent(node, &service, &method);
    Ok(Call {
        id: RequestId(Uuid::new_v4().as_u128()),
        service,
        path: path(&req),
        headers: headers::end_to_end(req.headers()),
        received,
        deadline,
        idempotent,
        hedged: req.headers().contains_key(headers::HEDGED),
        length: body_length(stated, first.len(), ended),
        first,
        rest: RefCell::new((!ended).then_some(upload)),
        upload_started: Cell::new(false),
        method,
    })
}

/// Reads until the end of the body or [`MAX_BODY_PIECE`] bytes.
async fn first_bytes(upload: &mut Upload) -> Result<(Bytes, bool), BadRequest> {
    if upload.stated == Some(0) {
        return Ok((Bytes::new(), true));
    }
    let mut buf = BytesMut::new();
    while buf.len() < MAX_BODY_PIECE {
        match upload.next().await? {
            Some(piece) if buf.len() + piece.len() <= MAX_BODY_PIECE => {
                buf.extend_from_slice(&piece);
            }
            Some(piece) => {
                let fits = MAX_BODY_PIECE - buf.len();
                buf.extend_from_slice(&piece[..fits]);
                upload.length -= (piece.len() - fits) as u64;
                let later = upload.pending.split();
                upload.pending.extend_from_slice(&piece[fits..]);
                upload.pending.unsplit(later);
            }
            None => return Ok((buf.freeze(), true)),
        }
    }
    Ok((buf.freeze(), upload.stated == Some(upload.length)))
}

/// Returns about the length of the head as it was received.
fn head_bytes(req: &Request) -> usize {
    let headers = req.headers().iter();
    let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    let target = req.uri().path_and_query().map_or(1, |p| p.as_str().len());
    target + lines.sum::<usize>()
}

fn body_length(stated: Option<u64>, first: usize, ended: bool) -> BodyLength {
    match stated {
        Some(length) => BodyLength::Sized(length),
        None if ended && first == 0 => BodyLength::None,
        None if ended => BodyLength::Sized(first as u64),
        None => BodyLength::Chunked,
    }
}

/// Returns the service that the caller asks for: the host name without the port.
fn service(req: &Request) -> Option<ServiceName> {
    let host = match req.headers().get(header::HOST) {
        Some(host) => host.to_str().ok()?,
        None => req.uri().host()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
    if name.is_empty() || name.len() > 253 || !name.chars().all(valid) {
        return None;
    }
    Some(ServiceName::from(name.to_ascii_lowercase().as_str()))
}

fn deadline(node: &Node, map: &HeaderMap, now: Instant) -> Result<Instant, BadRequest> {
    let limits = &node.settings.limits;
    let millis = match map.get(headers::TIMEOUT_MS) {
        None => limits.default_timeout_ms,
        Some(value) => value
            .to_str()
            .ok()
            .and_then(|v| v.trim().parse::<u64>().ok())
            .filter(|millis| *millis > 0)
            .ok_or(BadRequest::Timeout)?,
    };
    Ok(now.saturating_add_millis(millis.min(limits.max_timeout_ms)))
}

fn content_length(map: &HeaderMap) -> Result<Option<u64>, BadRequest> {
    let Some(value) = map.get(header::CONTENT_LENGTH) else {
        return Ok(None);
    };
    let length = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    length.map(Some).ok_or(BadRequest::Length)
}

fn path(req: &Request) -> String {
    let path = req.uri().path_and_query();
    path.map_or_else(|| "/".to_owned(), |p| p.as_str().to_owned())
}

fn is_idempotent(node: &Node, service: &ServiceName, method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
        || node
            .register
            .borrow()
            .content()
            .is_repeatable(service.as_str(), method.as_str())
}
