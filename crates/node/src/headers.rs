//! Headers exchanged between callers, nodes and targets.

use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use plantainpost_core::workspace::SentKey;
use plantainpost_http1::{Header, connection_options};

/// Outcome of a request, in responses to callers.
pub(crate) const OUTCOME: &str = "plantainpost-outcome";

/// Reason why a request was not answered by its target.
pub(crate) const REASON: &str = "plantainpost-reason";

/// Marks hedged requests, so that they are not hedged again.
pub(crate) const HEDGED: &str = "plantainpost-hedged";

/// Names of the headers exchanged with callers and targets, in lower case.
///
/// The defaults are this product's own names. A platform may use other ones.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a request.
    pub request_id: &'static str,
    /// Remaining time until the deadline of a request, in milliseconds.
    pub timeout_ms: &'static str,
    /// Service on whose host a request originated. Sent to targets.
    pub origin_service: Option<&'static str>,
    /// Id of the target that a request is intended for. Other targets refuse the request.
    pub expected_target: Option<&'static str>,
    /// Load of a target, in its responses.
    pub load: Option<&'static str>,
    /// Requests per second that a target takes from all callers together, in its responses.
    pub rate_limit: Option<&'static str>,
    /// Marks the responses of a target that is leaving, with the value 1.
    pub leaving: Option<&'static str>,
    /// Remaining time for which a target is cold, in milliseconds, in its responses to health checks.
    pub cold: Option<&'static str>,
    /// Marks responses of a target that did not run the request.
    pub not_run: Option<&'static str>,
    /// Headers with this prefix that are not listed above are internal to the nodes and never
    /// forwarded.
    pub private_prefix: Option<&'static str>,
    /// Key of the workspace that a request belongs to, sent by callers. Never forwarded.
    pub workspace_key: Option<&'static str>,
    /// Name of the workspace that a request belongs to. Sent to targets, and removed from what callers
    /// send.
    pub workspace: Option<&'static str>,
    /// Whether callers choose the id of a request, and targets repeat it in each response to a
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
            rate_limit: None,
            leaving: None,
            cold: None,
            not_run: None,
            private_prefix: Some("plantainpost-"),
            workspace_key: None,
            workspace: None,
            callers_choose_id: false,
        }
    }
}

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the next hop writes itself.
const HOP_BY_HOP_HEADERS: &[&str] = &[
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
    /// Returns the headers of a request that are forwarded to the target.
    pub(crate) fn forwarded_request_headers(&self, headers: &[Header]) -> Vec<Header> {
        let set_by_node = [
            Some(self.request_id),
            Some(self.timeout_ms),
            self.origin_service,
            self.expected_target,
        ];
        let mut kept = self.end_to_end_headers(headers);
        kept.retain(|(name, _)| {
            !set_by_node.contains(&Some(name.as_str())) && !self.is_about_workspace(name)
        });
        kept
    }

    /// Returns the key that a caller sent.
    pub(crate) fn sent_key<'a>(&self, headers: &'a [Header]) -> SentKey<'a> {
        let is_key = |name: &str| self.workspace_key == Some(name);
        let mut keys = headers
            .iter()
            .filter(|(name, value)| is_key(name) && !value.is_empty())
            .map(|(_, value)| value);
        let Some(key) = keys.next() else {
            return SentKey::None;
        };
        match keys.all(|other| other == key) {
            true => SentKey::One(key),
            false => SentKey::Ambiguous,
        }
    }

    /// Returns whether a header tells the workspace of a request or its key. Underscores count as
    /// hyphens, because common gateway interfaces of targets do not distinguish them.
    fn is_about_workspace(&self, name: &str) -> bool {
        let normalize = |byte: u8| if byte == b'_' { b'-' } else { byte };
        let is_same = |own: &str| {
            let bytes = name.bytes().map(normalize);
            own.len() == name.len() && bytes.eq(own.bytes())
        };
        [self.workspace_key, self.workspace]
            .into_iter()
            .flatten()
            .any(is_same)
    }

    /// Returns the headers of a response that are forwarded to the caller.
    pub(crate) fn forwarded_response_headers(&self, headers: &[Header]) -> Vec<Header> {
        self.end_to_end_headers(headers)
    }

    fn end_to_end_headers(&self, headers: &[Header]) -> Vec<Header> {
        let listed_in_connection = connection_options(headers);
        let is_private = |name: &str| self.private_prefix.is_some_and(|p| name.starts_with(p));
        headers
            .iter()
            .filter(|(name, _)| {
                !HOP_BY_HOP_HEADERS.contains(&name.as_str())
                    && !is_private(name)
                    && !listed_in_connection.contains(name)
            })
            .cloned()
            .collect()
    }
}

/// Creates a header.
pub(crate) fn header(name: &str, value: impl Into<Bytes>) -> Header {
    (name.to_owned(), value.into())
}

/// Reports whether the name and value of a header from a peer are valid in HTTP.
pub(crate) fn is_valid_header((name, value): &Header) -> bool {
    HeaderName::from_bytes(name.as_bytes()).is_ok() && HeaderValue::from_bytes(value).is_ok()
}
