//! Heads and bodies, with what a relay must not pass on.

use bytes::{Bytes, BytesMut};
use googletest::prelude::*;
use plantainpost_http1::{
    BodyDecoder, Decoded, Framing, HeadError, header_text, parse_request_head, parse_response_head,
};
use proptest::prelude::*;

const MAX_BYTES: usize = 1_024;

fn request(text: &str) -> std::result::Result<Framing, HeadError> {
    let mut buf = BytesMut::from(text.as_bytes());
    let head = parse_request_head(&mut buf, MAX_BYTES)?;
    Ok(head.expect("a whole head").framing)
}

/// Guards against request smuggling: a head that two parties could read in different ways.
#[gtest]
fn contradictory_heads_are_refused() {
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
        expect_that!(request(&text), err(eq(HeadError::Malformed)), "{name}");
    }
}

/// Guards against a framing that is read wrong.
#[gtest]
fn framing_of_requests() {
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
    for (lines, wanted) in rows {
        let text = format!("POST / HTTP/1.1\r\nhost: a\r\n{lines}\r\n");
        expect_that!(request(&text), ok(eq(wanted)), "{lines}");
    }
}

/// Guards against a head without end that fills the memory.
#[gtest]
fn long_heads_are_refused() {
    let head = format!("GET / HTTP/1.1\r\nx: {}", "a".repeat(MAX_BYTES));
    let mut buf = BytesMut::from(head.as_bytes());
    let taken = parse_request_head(&mut buf, MAX_BYTES);
    expect_that!(taken.map(|_| ()), err(eq(HeadError::TooLong)));
}

/// Guards against an answer whose end is looked for in the wrong place.
#[gtest]
fn framing_of_answers() {
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
        let head = parse_response_head(&mut buf, method, MAX_BYTES).expect("valid");
        let head = head.expect("whole");
        expect_that!(head.framing, eq(framing), "{method} {status} {lines}");
        expect_that!(head.keep_alive, eq(keep_alive), "{method} {status} {lines}");
    }
}

/// Guards against bytes that are no answer being passed on as one.
#[gtest]
fn garbage_is_no_answer() {
    for bytes in [
        "\u{0}\u{1}\u{2}\r\n\r\n",
        "hello\r\n\r\n",
        "HTTP/9.9 200 OK\r\n\r\n",
    ] {
        let mut buf = BytesMut::from(bytes.as_bytes());
        let taken = parse_response_head(&mut buf, "GET", MAX_BYTES);
        expect_that!(
            taken.map(|_| ()),
            err(eq(HeadError::Malformed)),
            "{bytes:?}"
        );
    }
}

/// Guards against an absolute target that is passed on as a path.
#[gtest]
fn absolute_targets_become_paths() {
    let mut buf = BytesMut::from(&b"GET http://a/b?c HTTP/1.1\r\nHost: a\r\n\r\n"[..]);
    let head = parse_request_head(&mut buf, MAX_BYTES)
        .expect("valid")
        .expect("whole");
    expect_that!(head.path, eq("/b?c"));
    expect_that!(header_text(&head.headers, "host"), some(eq("a")));
}

/// Decodes a body that arrives in pieces. Returns its bytes, and whether it ended.
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

/// Guards against broken chunks that end as if they were complete.
#[gtest]
fn broken_chunks_have_no_end() {
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
    /// Guards against a body that depends on how the bytes arrive, and against bytes of the
    /// next message that are taken for the body.
    #[test]
    fn chunks_do_not_depend_on_the_pieces(
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
