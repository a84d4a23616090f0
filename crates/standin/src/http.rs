//! Helpers for heads and bodies.

use std::str::FromStr;

use actix_http::{
    HttpMessage, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;

use crate::server::Reply;

/// An answer of 200 with a JSON body.
pub(crate) fn json(value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => reply(StatusCode::OK, "application/json", body),
        Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    }
}

/// An answer with a line of text.
pub(crate) fn text(status: StatusCode, line: &str) -> Reply {
    reply(status, "text/plain", format!("{line}\n").into_bytes())
}

/// An answer with JSON lines.
pub(crate) fn lines(body: String) -> Reply {
    reply(StatusCode::OK, "application/jsonl", body.into_bytes())
}

fn reply(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Reply {
    let mut head = Response::with_body(status, ());
    head.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    Reply::new(head, body)
}

/// A header's value, parsed.
pub(crate) fn header<T: FromStr>(req: &Request, name: &str) -> Option<T> {
    req.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// A parameter of the query string, parsed.
pub(crate) fn query<T: FromStr>(req: &Request, name: &str) -> Option<T> {
    req.uri()
        .query()?
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?
        .parse()
        .ok()
}
