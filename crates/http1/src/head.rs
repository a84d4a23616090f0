//! Parsing of request and response heads.

use std::ops::RangeInclusive;

use bytes::{Buf, Bytes, BytesMut};

use crate::Header;

/// Maximum number of headers in a message. A message with more is rejected.
const MAX_HEADERS: usize = 96;

/// Status codes that a response can have (RFC 9110, section 15).
const VALID_STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Status of a response after which the connection carries another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// How the body of a message is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Sized(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Start line and headers of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method as received.
    pub method: String,
    /// Path and query as received.
    pub path: String,
    /// Headers in the order received.
    pub headers: Vec<Header>,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the caller keeps the connection open for another request.
    pub keep_alive: bool,
    /// Whether the request uses HTTP/1.0, which has no chunked transfer coding.
    pub is_http10: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Length of the head in bytes.
    pub length: usize,
}

/// Status line and headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Headers in the order received.
    pub headers: Vec<Header>,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection can be reused for another request.
    pub keep_alive: bool,
}

/// Why a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The head violates the HTTP/1.1 syntax or framing rules.
    Malformed,
    /// The head has more bytes than allowed, or a request head has too many headers.
    TooLong,
}

/// Returns the first value of a header. `name` must be in lower case.
pub fn header_value<'a>(headers: &'a [Header], name: &str) -> Option<&'a [u8]> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| &value[..])
}

/// Returns the first value of a header as text without surrounding white space, or `None` if
/// the header is absent or its value is not UTF-8.
pub fn header_text<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    std::str::from_utf8(header_value(headers, name)?)
        .ok()
        .map(str::trim)
}

/// Parses a request head and removes it from the buffer. Returns `None` while the head is
/// incomplete.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid request head, or the head is too long.
pub fn parse_request_head(
    buf: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut fields);
    let length = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(length)) if length > max_bytes => {
            return Err(HeadError::TooLong);
        }
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buf.len() > max_bytes => return Err(HeadError::TooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLong),
        Err(_) => return Err(HeadError::Malformed),
    };
    let is_http10 = parsed.version == Some(0);
    let method = parsed.method.unwrap_or_default().to_owned();
    let path = origin_form(parsed.path.unwrap_or_default()).ok_or(HeadError::Malformed)?;
    let headers = to_owned_headers(parsed.headers);
    buf.advance(length);
    let framing = declared_framing(&headers)?.unwrap_or(Framing::None);
    if headers.iter().filter(|(name, _)| name == "host").count() > 1 {
        return Err(HeadError::Malformed);
    }
    let expects =
        header_text(&headers, "expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    Ok(Some(RequestHead {
        keep_alive: is_keep_alive(&headers, is_http10),
        expects_continue: expects && framing != Framing::None,
        method,
        path,
        headers,
        framing,
        is_http10,
        length,
    }))
}

/// Parses the head of the response to a request with `method` and removes it from the buffer.
/// Returns `None` while the head is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid response head, or the head is too long. A status of
/// 101 is not valid either, as the requests ask for no other protocol.
pub fn parse_response_head(
    buf: &mut BytesMut,
    method: &str,
    max_bytes: usize,
) -> Result<Option<ResponseHead>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut fields);
    let length = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buf.len() > max_bytes => return Err(HeadError::TooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HeadError::Malformed),
    };
    let status = parsed.code.unwrap_or_default();
    if !VALID_STATUS_CODES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(HeadError::Malformed);
    }
    let is_http10 = parsed.version == Some(0);
    let headers = to_owned_headers(parsed.headers);
    buf.advance(length);
    let has_no_body = method == "HEAD" || status < 200 || status == 204 || status == 304;
    let framing = match declared_framing(&headers)? {
        _ if has_no_body => Framing::None,
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    Ok(Some(ResponseHead {
        keep_alive: is_keep_alive(&headers, is_http10) && framing != Framing::UntilClose,
        status,
        headers,
        framing,
    }))
}

/// Returns the path and query of a request target, which may be in absolute form
/// (`http://host/path`). Returns `None` for any other form.
fn origin_form(target: &str) -> Option<String> {
    if target.starts_with('/') || target == "*" {
        return Some(target.to_owned());
    }
    let rest = target.strip_prefix("http://")?;
    match rest.find('/') {
        Some(at) => Some(rest[at..].to_owned()),
        None => Some("/".to_owned()),
    }
}

fn to_owned_headers(fields: &[httparse::Header<'_>]) -> Vec<Header> {
    let fields = fields.iter();
    fields
        .map(|field| {
            let value = Bytes::copy_from_slice(field.value);
            (field.name.to_ascii_lowercase(), value)
        })
        .collect()
}

/// Returns the framing that the headers declare, or `None` if they declare none.
///
/// Contradictory headers are rejected, because two implementations could interpret them
/// differently (request smuggling).
fn declared_framing(headers: &[Header]) -> Result<Option<Framing>, HeadError> {
    let mut declared = None;
    for (name, value) in headers {
        let framing = match name.as_str() {
            "transfer-encoding" if value.eq_ignore_ascii_case(b"chunked") => Framing::Chunked,
            "transfer-encoding" => return Err(HeadError::Malformed),
            "content-length" => Framing::Sized(parse_decimal(value).ok_or(HeadError::Malformed)?),
            _ => continue,
        };
        if declared.is_some_and(|declared| declared != framing) {
            return Err(HeadError::Malformed);
        }
        declared = Some(framing);
    }
    Ok(match declared {
        Some(Framing::Sized(0)) => Some(Framing::None),
        declared => declared,
    })
}

fn parse_decimal(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

/// Returns the options listed in the `Connection` headers, in lower case.
pub fn connection_options(headers: &[Header]) -> Vec<String> {
    headers
        .iter()
        .filter(|(name, _)| name == "connection")
        .filter_map(|(_, value)| std::str::from_utf8(value).ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

fn is_keep_alive(headers: &[Header], is_http10: bool) -> bool {
    let options = connection_options(headers);
    if is_http10 {
        return options.iter().any(|option| option == "keep-alive");
    }
    !options.iter().any(|option| option == "close")
}
