//! Helpers that build responses and parse headers and query parameters.

use std::str::FromStr;

use actix_http::{
    HttpMessage, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;

use crate::server::Reply;

/// Returns a response 200 with a JSON body, or 500 when `value` cannot be serialized.
pub(crate) fn json_reply(value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => reply(StatusCode::OK, "application/json", body),
        Err(err) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    }
}

/// Returns a response whose body is one line of text.
pub(crate) fn text_reply(status: StatusCode, line: &str) -> Reply {
    reply(status, "text/plain", format!("{line}\n").into_bytes())
}

/// Returns a response 200 whose body is JSON lines.
pub(crate) fn json_lines_reply(body: String) -> Reply {
    reply(StatusCode::OK, "application/jsonl", body.into_bytes())
}

fn reply(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Reply {
    let mut head = Response::with_body(status, ());
    head.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    Reply::new(head, body)
}

/// Parses the value of a header; `None` when it is missing or invalid.
pub(crate) fn parse_header<T: FromStr>(req: &Request, name: &str) -> Option<T> {
    req.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// Parses a parameter of the query string; `None` when it is missing or invalid.
pub(crate) fn parse_query<T: FromStr>(req: &Request, name: &str) -> Option<T> {
    req.uri()
        .query()?
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?
        .parse()
        .ok()
}
