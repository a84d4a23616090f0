//! Decoding of request and response bodies.

use bytes::{Buf, Bytes, BytesMut};

use crate::Framing;

/// Maximum length of a chunk size line or a trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;

/// Maximum length of a trailer, in bytes.
const MAX_TRAILER_BYTES: usize = 64 * 1024;

/// Incremental decoder of one message body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Within a body of known length, with the number of bytes left.
    Sized(u64),
    /// Before a chunk size line.
    ChunkSize,
    /// Within a chunk, with the number of bytes left.
    Chunk(u64),
    /// Before the CRLF that ends a chunk.
    ChunkEnd,
    /// After the last chunk, within the trailer, with the number of its bytes so far.
    Trailer(usize),
    /// Within a body that ends when the connection is closed.
    UntilClose,
    /// After the end of the body.
    Done,
}

/// Result of one decoding step.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded {
    /// Body bytes.
    Data(Bytes),
    /// The body is complete.
    End,
    /// More bytes must be read from the connection before decoding can continue.
    NeedMore,
}

/// The bytes violate the framing of the body.
#[derive(Debug, PartialEq, Eq)]
pub struct BodyFramingError;

impl BodyDecoder {
    /// Creates a decoder positioned at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::None | Framing::Sized(0) => State::Done,
            Framing::Sized(length) => State::Sized(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state }
    }

    /// Returns whether the body has been decoded to its end.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns whether closing the connection at this point would complete the body.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }

    /// Decodes the next part of the body and removes its bytes from the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes violate the framing.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Decoded, BodyFramingError> {
        loop {
            match self.state {
                State::Done => return Ok(Decoded::End),
                State::UntilClose if buf.is_empty() => return Ok(Decoded::NeedMore),
                State::UntilClose => return Ok(Decoded::Data(buf.split().freeze())),
                State::Sized(left) | State::Chunk(left) => {
                    if buf.is_empty() {
                        return Ok(Decoded::NeedMore);
                    }
                    let count = buf.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    let left = left - count as u64;
                    self.state = match (self.state, left) {
                        (State::Sized(_), 0) => State::Done,
                        (State::Sized(_), left) => State::Sized(left),
                        (_, 0) => State::ChunkEnd,
                        (_, left) => State::Chunk(left),
                    };
                    return Ok(Decoded::Data(buf.split_to(count).freeze()));
                }
                State::ChunkSize => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        buf.advance(length);
                        self.state = match size {
                            0 => State::Trailer(0),
                            size => State::Chunk(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if buf.len() <= MAX_CHUNK_LINE_BYTES => {
                        return Ok(Decoded::NeedMore);
                    }
                    _ => return Err(BodyFramingError),
                },
                State::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(Decoded::NeedMore);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(BodyFramingError);
                    }
                    buf.advance(2);
                    self.state = State::ChunkSize;
                }
                State::Trailer(bytes) => {
                    let Some(end) = buf.windows(2).position(|pair| pair == b"\r\n") else {
                        return match buf.len() <= MAX_CHUNK_LINE_BYTES {
                            true => Ok(Decoded::NeedMore),
                            false => Err(BodyFramingError),
                        };
                    };
                    buf.advance(end + 2);
                    self.state = match bytes + end + 2 {
                        _ if end == 0 => State::Done,
                        bytes if bytes > MAX_TRAILER_BYTES => return Err(BodyFramingError),
                        bytes => State::Trailer(bytes),
                    };
                }
            }
        }
    }
}
