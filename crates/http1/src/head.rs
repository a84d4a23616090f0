//! Heads of requests and answers.

use bytes::{Buf, Bytes, BytesMut};

use crate::Header;

/// Most headers of a message. Beyond it a message is refused.
const MAX_HEADERS: usize = 96;

/// How the body of a message is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Sized(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Head of a request.
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
    /// Whether the caller takes another answer on this connection.
    pub keep_alive: bool,
    /// Whether the caller speaks HTTP/1.0, which has no chunks.
    pub is_http10: bool,
    /// Whether the caller waits for "100 Continue" before it sends the body.
    pub expects_continue: bool,
    /// Bytes of the head.
    pub length: usize,
}

/// Head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Headers in the order received.
    pub headers: Vec<Header>,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection takes another request.
    pub keep_alive: bool,
}

/// Why a head is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// It does not follow the protocol.
    Malformed,
    /// It is longer than allowed.
    TooLong,
}

/// Returns the first value of a header.
pub fn header_value<'a>(headers: &'a [Header], name: &str) -> Option<&'a [u8]> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| &value[..])
}

/// Returns the first value of a header as text without surrounding blanks.
pub fn header_text<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    std::str::from_utf8(header_value(headers, name)?)
        .ok()
        .map(str::trim)
}

/// Takes the head of a request from the buffer, once it is complete.
///
/// # Errors
///
/// Fails when the bytes are no head of a request, or too many.
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
    let headers = owned(parsed.headers);
    buf.advance(length);
    let framing = framing(&headers)?.unwrap_or(Framing::None);
    if headers.iter().filter(|(name, _)| name == "host").count() > 1 {
        return Err(HeadError::Malformed);
    }
    let expects =
        header_text(&headers, "expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    Ok(Some(RequestHead {
        keep_alive: keep_alive(&headers, is_http10),
        expects_continue: expects && framing != Framing::None,
        method,
        path,
        headers,
        framing,
        is_http10,
        length,
    }))
}

/// Takes the head of an answer to a request with `method` from the buffer, once it is
/// complete.
///
/// # Errors
///
/// Fails when the bytes are no head of an answer, or too many.
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
    let is_http10 = parsed.version == Some(0);
    let headers = owned(parsed.headers);
    buf.advance(length);
    let bodyless = method == "HEAD" || status < 200 || status == 204 || status == 304;
    let framing = match framing(&headers)? {
        _ if bodyless => Framing::None,
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    Ok(Some(ResponseHead {
        keep_alive: keep_alive(&headers, is_http10) && framing != Framing::UntilClose,
        status,
        headers,
        framing,
    }))
}

/// Returns the path and query of a request target, also of one in absolute form.
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

fn owned(fields: &[httparse::Header<'_>]) -> Vec<Header> {
    let fields = fields.iter();
    fields
        .map(|field| {
            let value = Bytes::copy_from_slice(field.value);
            (field.name.to_ascii_lowercase(), value)
        })
        .collect()
}

/// Returns the framing that the headers state. Contradictions are refused, because two
/// parties could read them in different ways (request smuggling).
fn framing(headers: &[Header]) -> Result<Option<Framing>, HeadError> {
    let mut stated = None;
    for (name, value) in headers {
        let framing = match name.as_str() {
            "transfer-encoding" if value.eq_ignore_ascii_case(b"chunked") => Framing::Chunked,
            "transfer-encoding" => return Err(HeadError::Malformed),
            "content-length" => Framing::Sized(decimal(value).ok_or(HeadError::Malformed)?),
            _ => continue,
        };
        if stated.is_some_and(|stated| stated != framing) {
            return Err(HeadError::Malformed);
        }
        stated = Some(framing);
    }
    Ok(match stated {
        Some(Framing::Sized(0)) => Some(Framing::None),
        stated => stated,
    })
}

fn decimal(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

/// Returns the options of the `Connection` headers in lower case.
pub fn connection_options(headers: &[Header]) -> Vec<String> {
    headers
        .iter()
        .filter(|(name, _)| name == "connection")
        .filter_map(|(_, value)| std::str::from_utf8(value).ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

fn keep_alive(list: &[Header], is_http10: bool) -> bool {
    let options = connection_options(list);
    if is_http10 {
        return options.iter().any(|option| option == "keep-alive");
    }
    !options.iter().any(|option| option == "close")
}
