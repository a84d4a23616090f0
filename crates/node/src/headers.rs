//! Headers that callers, nodes and targets exchange.

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use bytes::Bytes;
use plantainpost_wire::message::Header;

/// Prefix of all headers with a meaning for nodes.
const PREFIX: &str = "plantainpost-";

/// Remaining time of a request in milliseconds.
pub(crate) const TIMEOUT_MS: HeaderName = HeaderName::from_static("plantainpost-timeout-ms");

/// Outcome of a request.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("plantainpost-outcome");

/// Why a request was not answered by its target.
pub(crate) const REASON: HeaderName = HeaderName::from_static("plantainpost-reason");

/// Id of a request.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("plantainpost-request-id");

/// Set on requests that stem from a hedge, which are not hedged again.
pub(crate) const HEDGED: HeaderName = HeaderName::from_static("plantainpost-hedged");

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

fn is_hop_header(name: &str, named_by_connection: &[String]) -> bool {
    HOP_HEADERS.contains(&name)
        || name.starts_with(PREFIX)
        || named_by_connection.iter().any(|n| n == name)
}

fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(actix_http::header::CONNECTION)
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|v| v.trim().to_ascii_lowercase())
        .collect()
}

/// Returns the headers that travel to the next hop.
pub(crate) fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let options = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !is_hop_header(name.as_str(), &options))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

/// Adds received headers to a map. A peer sends only valid ones; others are left
/// out.
pub(crate) fn extend(map: &mut HeaderMap, headers: &[Header]) {
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
}

/// Returns a header value for text that a node made itself.
pub(crate) fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("invalid"))
}
