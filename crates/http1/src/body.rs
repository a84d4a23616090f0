//! Bodies of requests and answers.

use bytes::{Buf, Bytes, BytesMut};

use crate::Framing;

/// Longest line that gives the size of a chunk, and longest trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// Takes a body out of the bytes of a connection.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Sized(u64),
    ChunkSize,
    /// Bytes left of a chunk.
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// A part of a body.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded {
    /// Some bytes.
    Data(Bytes),
    /// The body is complete.
    End,
    /// More bytes are needed from the connection.
    NeedMore,
}

/// The framing of the body is broken.
#[derive(Debug, PartialEq, Eq)]
pub struct BodyFramingError;

impl BodyDecoder {
    /// Makes a decoder at the beginning of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::None | Framing::Sized(0) => State::Done,
            Framing::Sized(length) => State::Sized(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state }
    }

    /// Reports whether the end of the body was decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Reports whether the end of the connection now would complete the body.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }

    /// Takes the next part from the buffer.
    ///
    /// # Errors
    ///
    /// Fails when the bytes break the framing.
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
                            0 => State::Trailer,
                            size => State::Chunk(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if buf.len() <= MAX_LINE_BYTES => {
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
                State::Trailer => {
                    let Some(end) = buf.windows(2).position(|pair| pair == b"\r\n") else {
                        return match buf.len() <= MAX_LINE_BYTES {
                            true => Ok(Decoded::NeedMore),
                            false => Err(BodyFramingError),
                        };
                    };
                    buf.advance(end + 2);
                    if end == 0 {
                        self.state = State::Done;
                    }
                }
            }
        }
    }
}
