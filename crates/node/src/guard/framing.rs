//! Framing of bodies and the headers of requests towards the target and the entry.

use bytes::Bytes;
use plantainpost_http1::Framing;
use plantainpost_wire::message::{BodyLength, Header, MAX_EAGER_BODY_BYTES};

use super::request::PendingRequest;
use crate::{headers, node::Node};

/// Returns `true` if the entry keeps part of the body until it is sent a `Continue` message.
pub(super) fn needs_continue(length: BodyLength) -> bool {
    match length {
        BodyLength::None => false,
        BodyLength::Sized(length) => length > MAX_EAGER_BODY_BYTES as u64,
        BodyLength::Chunked => true,
    }
}

pub(super) fn request_framing(length: BodyLength) -> Framing {
    match length {
        BodyLength::None => Framing::None,
        BodyLength::Sized(length) => Framing::Sized(length),
        BodyLength::Chunked => Framing::Chunked,
    }
}

/// Returns the body length of a response as stated to the entry.
pub(super) fn response_length(framing: Framing) -> BodyLength {
    match framing {
        Framing::None => BodyLength::None,
        Framing::Sized(length) => BodyLength::Sized(length),
        Framing::Chunked | Framing::UntilClose => BodyLength::Chunked,
    }
}

pub(super) fn has_body(length: BodyLength) -> bool {
    !matches!(length, BodyLength::None | BodyLength::Sized(0))
}

/// Returns the headers of a request for the target.
pub(super) fn target_headers(node: &Node, req: &PendingRequest) -> Vec<Header> {
    let names = &node.settings.headers;
    let mut headers: Vec<Header> = req.head.headers.clone();
    headers.retain(headers::is_valid_header);
    let remaining_ms = req.deadline.micros_since(node.now()) / 1_000;
    let remaining_ms = remaining_ms.max(1).to_string();
    headers.push(headers::header(names.timeout_ms, remaining_ms));
    let target = node.guard.borrow().target(node.now()).cloned();
    if let (Some(name), Some(target)) = (names.expected_target, target) {
        let id = Bytes::copy_from_slice(target.id.as_bytes());
        headers.push(headers::header(name, id));
    }
    if req.head.hedged {
        headers.push(headers::header(headers::HEDGED, "1"));
    }
    headers
}
