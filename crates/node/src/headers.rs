//! Headers that callers, nodes and targets exchange.

use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use plantainpost_http1::{Header, connection_options};

/// Outcome of a request, on answers that a node makes itself.
pub(crate) const OUTCOME: &str = "plantainpost-outcome";

/// Why a request was not answered by its target.
pub(crate) const REASON: &str = "plantainpost-reason";

/// Set on requests that stem from a hedge, which are not hedged again.
pub(crate) const HEDGED: &str = "plantainpost-hedged";

/// Names of the headers at the borders with callers and targets, in lower case.
///
/// The default is the interface of the product. A platform may name things differently.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a request.
    pub request_id: &'static str,
    /// Remaining time of a request in milliseconds.
    pub timeout_ms: &'static str,
    /// Service on whose host a request began, as told to targets.
    pub origin_service: Option<&'static str>,
    /// Id of the target that a request is meant for. Another target refuses it.
    pub expected_target: Option<&'static str>,
    /// Load of a target, on its answers.
    pub load: Option<&'static str>,
    /// Set on answers of a target that did not run the request.
    pub not_run: Option<&'static str>,
    /// Headers with this prefix that are not named above are for nodes only and never passed
    /// on.
    pub private_prefix: Option<&'static str>,
    /// Whether callers choose the id of a request and targets repeat it on each answer to a
    /// request that they ran.
    pub callers_choose_id: bool,
}

impl Default for HeaderNames {
    fn default() -> Self {
        HeaderNames {
            request_id: "plantainpost-request-id",
            timeout_ms: "plantainpost-timeout-ms",
            origin_service: None,
            expected_target: None,
            load: None,
            not_run: None,
            private_prefix: Some("plantainpost-"),
            callers_choose_id: false,
        }
    }
}

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those
/// that the next hop writes itself.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl HeaderNames {
    /// Returns the headers of a request that travel to the target.
    pub(crate) fn of_request(&self, headers: &[Header]) -> Vec<Header> {
        let set_by_node = [
            Some(self.request_id),
            Some(self.timeout_ms),
            self.origin_service,
            self.expected_target,
        ];
        let mut kept = self.end_to_end(headers);
        kept.retain(|(name, _)| !set_by_node.contains(&Some(name.as_str())));
        kept
    }

    /// Returns the headers of an answer that travel to the caller.
    pub(crate) fn of_answer(&self, headers: &[Header]) -> Vec<Header> {
        self.end_to_end(headers)
    }

    fn end_to_end(&self, headers: &[Header]) -> Vec<Header> {
        let options = connection_options(headers);
        let is_private = |name: &str| self.private_prefix.is_some_and(|p| name.starts_with(p));
        headers
            .iter()
            .filter(|(name, _)| {
                !HOP_HEADERS.contains(&name.as_str())
                    && !is_private(name)
                    && !options.contains(name)
            })
            .cloned()
            .collect()
    }
}

/// Makes a header.
pub(crate) fn header(name: &str, value: impl Into<Bytes>) -> Header {
    (name.to_owned(), value.into())
}

/// Reports whether a header that a peer sent can be written to a connection.
pub(crate) fn is_valid((name, value): &Header) -> bool {
    HeaderName::from_bytes(name.as_bytes()).is_ok() && HeaderValue::from_bytes(value).is_ok()
}
