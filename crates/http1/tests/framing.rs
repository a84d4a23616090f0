//! Parsing of heads and bodies, including malformed input that a proxy must not forward.

use bytes::{Bytes, BytesMut};
use googletest::prelude::*;
use plantainpost_http1::{
    BodyDecoder, Decoded, Framing, HeadError, header_text, parse_request_head, parse_response_head,
};
use proptest::prelude::*;

const MAX_HEAD_BYTES: usize = 1_024;

fn parse_framing(text: &str) -> std::result::Result<Framing, HeadError> {
    let mut buf = BytesMut::from(text.as_bytes());
    let head = parse_request_head(&mut buf, MAX_HEAD_BYTES)?;
    Ok(head.expect("a complete head").framing)
}

/// Guards against request smuggling: a head that two implementations interpret differently.
#[gtest]
fn contradictory_heads_are_rejected() {
    let rows = [
        ("two lengths", "content-length: 3\r\ncontent-length: 4\r\n"),
        (
            "length and chunks",
            "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        ),
        ("another coding", "transfer-encoding: gzip, chunked\r\n"),
        ("a signed length", "content-length: +3\r\n"),
        ("a blank length", "content-length: \r\n"),
        ("a list of lengths", "content-length: 3, 3\r\n"),
        ("a blank before the colon", "content-length : 3\r\n"),
        ("a folded line", "x: a\r\n b\r\n"),
        ("two hosts", "host: b\r\n"),
    ];
    for (name, lines) in rows {
        let text = format!("POST / HTTP/1.1\r\nhost: a\r\n{lines}\r\n");
        expect_that!(
            parse_framing(&text),
            err(eq(HeadError::Malformed)),
            "{name}"
        );
    }
}

/// Guards against a wrong framing being derived from valid request headers.
#[gtest]
fn request_framing_follows_the_headers() {
    let rows = [
        ("", Framing::None),
        ("content-length: 0\r\n", Framing::None),
        ("content-length: 12\r\n", Framing::Sized(12)),
        (
            "Content-Length: 12\r\ncontent-length: 12\r\n",
            Framing::Sized(12),
        ),
        ("Transfer-Encoding: Chunked\r\n", Framing::Chunked),
    ];
    for (lines, expected) in rows {
        let text = format!("POST / HTTP/1.1\r\nhost: a\r\n{lines}\r\n");
        expect_that!(parse_framing(&text), ok(eq(expected)), "{lines}");
    }
}

/// Guards against unbounded memory use by a head that never ends.
#[gtest]
fn heads_above_the_limit_are_rejected() {
    let head = format!("GET / HTTP/1.1\r\nx: {}", "a".repeat(MAX_HEAD_BYTES));
    let mut buf = BytesMut::from(head.as_bytes());
    let parsed = parse_request_head(&mut buf, MAX_HEAD_BYTES);
    expect_that!(parsed.map(|_| ()), err(eq(HeadError::TooLong)));
}

/// Guards against looking for the end of a response in the wrong place: the framing also
/// depends on the request method and the status.
#[gtest]
fn response_framing_follows_method_status_and_headers() {
    let rows = [
        (
            "GET",
            "200 OK",
            "content-length: 5\r\n",
            Framing::Sized(5),
            true,
        ),
        (
            "HEAD",
            "200 OK",
            "content-length: 5\r\n",
            Framing::None,
            true,
        ),
        ("GET", "204 No Content", "", Framing::None, true),
        (
            "GET",
            "304 Not Modified",
            "content-length: 5\r\n",
            Framing::None,
            true,
        ),
        ("GET", "200 OK", "", Framing::UntilClose, false),
        (
            "GET",
            "200 OK",
            "content-length: 5\r\nconnection: Close\r\n",
            Framing::Sized(5),
            false,
        ),
    ];
    for (method, status, lines, framing, keep_alive) in rows {
        let text = format!("HTTP/1.1 {status}\r\n{lines}\r\n");
        let mut buf = BytesMut::from(text.as_bytes());
        let head = parse_response_head(&mut buf, method, MAX_HEAD_BYTES).expect("valid");
        let head = head.expect("complete");
        expect_that!(head.framing, eq(framing), "{method} {status} {lines}");
        expect_that!(head.keep_alive, eq(keep_alive), "{method} {status} {lines}");
    }
}

/// Guards against forwarding bytes that are not an HTTP response.
#[gtest]
fn invalid_responses_are_rejected() {
    for bytes in [
        "\u{0}\u{1}\u{2}\r\n\r\n",
        "hello\r\n\r\n",
        "HTTP/9.9 200 OK\r\n\r\n",
    ] {
        let mut buf = BytesMut::from(bytes.as_bytes());
        let parsed = parse_response_head(&mut buf, "GET", MAX_HEAD_BYTES);
        expect_that!(
            parsed.map(|_| ()),
            err(eq(HeadError::Malformed)),
            "{bytes:?}"
        );
    }
}

/// Guards against a head with an invalid status that is skipped like an informational response, so that
/// the bytes after it are taken for the response, and against one that is forwarded.
#[gtest]
fn responses_with_an_invalid_status_are_rejected() {
    for status in ["000", "001", "099", "101", "600", "999"] {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
        let mut buf = BytesMut::from(text.as_bytes());
        let parsed = parse_response_head(&mut buf, "GET", MAX_HEAD_BYTES);
        expect_that!(
            parsed.map(|_| ()),
            err(eq(HeadError::Malformed)),
            "{status}"
        );
    }
    for status in [100, 102, 103, 199, 200, 299, 304, 404, 500, 599] {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
        let mut buf = BytesMut::from(text.as_bytes());
        let parsed = parse_response_head(&mut buf, "GET", MAX_HEAD_BYTES);
        let parsed_status = parsed.expect("valid").map(|head| head.status);
        expect_that!(parsed_status, some(eq(status)));
    }
}

/// Guards against forwarding a request target in absolute form as if it were a path.
#[gtest]
fn absolute_form_becomes_origin_form() {
    let mut buf = BytesMut::from(&b"GET http://a/b?c HTTP/1.1\r\nHost: a\r\n\r\n"[..]);
    let head = parse_request_head(&mut buf, MAX_HEAD_BYTES)
        .expect("valid")
        .expect("complete");
    expect_that!(head.path, eq("/b?c"));
    expect_that!(header_text(&head.headers, "host"), some(eq("a")));
}

/// Decodes a body that arrives in `pieces`. Returns its bytes, whether it ended, and the
/// number of bytes left in the buffer; `None` if the framing is violated.
fn decode(framing: Framing, pieces: &[&[u8]]) -> Option<(Vec<u8>, bool, usize)> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buf = BytesMut::new();
    let mut body = Vec::new();
    for piece in pieces {
        buf.extend_from_slice(piece);
        loop {
            match decoder.decode(&mut buf).ok()? {
                Decoded::Data(data) => body.extend_from_slice(&data),
                Decoded::NeedMore => break,
                Decoded::End => return Some((body, true, buf.len())),
            }
        }
    }
    Some((body, false, buf.len()))
}

/// Guards against treating a malformed or truncated chunked body as complete.
#[gtest]
fn broken_chunked_bodies_never_end() {
    let rows: [(&str, &[u8]); 5] = [
        ("no size", b"x\r\nabc\r\n0\r\n\r\n"),
        ("too long", b"2\r\nabc\r\n0\r\n\r\n"),
        ("cut in a chunk", b"4\r\nab"),
        ("cut before the last line", b"2\r\nab\r\n0\r\n"),
        ("cut before the end", b"2\r\nab\r\n"),
    ];
    for (name, bytes) in rows {
        let ended = decode(Framing::Chunked, &[bytes]).is_some_and(|(_, ended, _)| ended);
        expect_that!(ended, eq(false), "{name}");
    }
}

proptest! {
    /// Guards against a decoded body that depends on how the bytes are split between reads,
    /// and against taking bytes of the next message for the body.
    #[test]
    fn chunked_decoding_does_not_depend_on_read_boundaries(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..5),
        cuts in prop::collection::vec(0_usize..200, 0..6),
    ) {
        let mut wire = Vec::new();
        for chunk in &chunks {
            plantainpost_http1::push_chunk(&mut wire, &Bytes::copy_from_slice(chunk));
        }
        wire.extend_from_slice(b"0\r\nx: y\r\n\r\n");
        let length = wire.len();
        wire.extend_from_slice(b"GET");
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(length)).collect();
        cuts.push(0);
        cuts.push(wire.len());
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|pair| &wire[pair[0]..pair[1]]).collect();
        let (body, ended, left) = decode(Framing::Chunked, &pieces).expect("valid chunks");
        prop_assert!(ended);
        prop_assert_eq!(body, chunks.concat());
        prop_assert!(left <= 3);
    }
}
