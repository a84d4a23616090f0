//! Which request a response of the target belongs to, and whether the target ran that request.

use plantainpost_http1::{self as http1, ResponseHead as TargetResponseHead};

use super::request::PendingRequest;
use crate::node::Node;

/// Status with which a target refuses a request that is meant for another target.
pub(super) const MISDIRECTED_REQUEST: u16 = 421;

/// Returns `true` if the response says that the target did not run the request.
pub(super) fn says_not_run(node: &Node, head: &TargetResponseHead) -> bool {
    let names = &node.settings.headers;
    let not_run_header = names.not_run;
    not_run_header.is_some_and(|name| http1::header_value(&head.headers, name).is_some())
        || (names.expected_target.is_some() && head.status == MISDIRECTED_REQUEST)
}

/// The request that a received response belongs to.
pub(super) enum ResponseOwner {
    ThisRequest,
    OtherRequest,
}

/// Decides by the request id of a response whether it belongs to the request.
///
/// A target that echoes request ids omits the id only when it refuses a request. On a connection
/// that has carried other requests, such a refusal may be a copy of an earlier one, while the target
/// runs this request.
pub(super) fn response_owner(
    node: &Node,
    req: &PendingRequest,
    head: &TargetResponseHead,
    is_reused: bool,
) -> ResponseOwner {
    let names = &node.settings.headers;
    if !names.callers_choose_id {
        return ResponseOwner::ThisRequest;
    }
    let request_id = http1::header_value(&req.head.headers, names.request_id);
    match http1::header_value(&head.headers, names.request_id) {
        Some(response_id) if Some(response_id) == request_id => ResponseOwner::ThisRequest,
        None if says_not_run(node, head) && !is_reused => ResponseOwner::ThisRequest,
        _ => ResponseOwner::OtherRequest,
    }
}
