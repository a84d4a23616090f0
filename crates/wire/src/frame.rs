//! Frames on a TCP connection: a length and a postcard message.
//!
//! Within one process the same messages pass through memory; see [`pair`].

use std::io;

use actix_rt::net::TcpStream;
use bytes::{Buf, BytesMut};
use snafu::{ResultExt, Snafu, ensure};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};

use crate::message::{MAX_BODY_PIECE, PeerMessage};

/// Longest message that a peer may send, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

/// Bytes of the length field.
const LENGTH_BYTES: usize = 4;

/// Bytes asked of the socket in one read.
const READ_BYTES: usize = 16 * 1024;

/// A frame could not be read or written.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed.
    #[snafu(display("peer connection: {source}"))]
    Io {
        /// Error of the socket.
        source: io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("peer closed the connection"))]
    Closed,
    /// The peer announced a message that is too long.
    #[snafu(display("peer message of {length} bytes; at most {MAX_FRAME_BYTES} are allowed"))]
    TooLong {
        /// Announced length.
        length: usize,
    },
    /// The message could not be decoded.
    #[snafu(display("peer message: {source}"))]
    Decode {
        /// Error of the codec.
        source: postcard::Error,
    },
}

impl FrameError {
    /// Reports whether the peer sent something that no node sends.
    pub fn is_protocol_error(&self) -> bool {
        matches!(self, FrameError::TooLong { .. } | FrameError::Decode { .. })
    }
}

/// Messages on their way between two tasks of one process. It bounds the memory of a
/// request to a few pieces of a body in each direction.
const LOCAL_MESSAGES: usize = 8;

/// Reads frames from one direction of a connection.
#[derive(Debug)]
pub struct FrameReader {
    source: Source,
}

#[derive(Debug)]
enum Source {
    Socket(SocketReader),
    Local {
        rx: mpsc::Receiver<PeerMessage>,
        /// Message that was received and not read yet.
        next: Option<PeerMessage>,
    },
}

#[derive(Debug)]
struct SocketReader {
    io: OwnedReadHalf,
    /// Holds at most one frame and one read beyond it.
    buf: BytesMut,
}

impl FrameReader {
    /// Reads the next message.
    ///
    /// Dropping the future loses no bytes, so that a caller may wait for several
    /// events at once.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed or the message is not valid.
    pub async fn read(&mut self) -> Result<PeerMessage, FrameError> {
        match &mut self.source {
            Source::Socket(reader) => reader.read().await,
            Source::Local { rx, next } => match next.take() {
                Some(msg) => Ok(msg),
                None => rx.recv().await.ok_or(FrameError::Closed),
            },
        }
    }

    /// Waits until the peer closes the connection or sends something, and
    /// reports whether the connection is still open.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn wait_readable(&mut self) -> Result<bool, FrameError> {
        match &mut self.source {
            Source::Socket(reader) => reader.wait_readable().await,
            Source::Local { rx, next } => {
                if next.is_none() {
                    *next = rx.recv().await;
                }
                Ok(next.is_some())
            }
        }
    }

    /// Reports whether an idle connection is closed or holds unexpected bytes.
    pub fn is_stale(&self) -> bool {
        match &self.source {
            Source::Socket(reader) => reader.is_stale(),
            Source::Local { rx, next } => next.is_some() || rx.is_closed() || !rx.is_empty(),
        }
    }
}

impl SocketReader {
    async fn read(&mut self) -> Result<PeerMessage, FrameError> {
        loop {
            if let Some(msg) = self.decode()? {
                return Ok(msg);
            }
            self.buf.reserve(READ_BYTES);
            let count = self.io.read_buf(&mut self.buf).await.context(IoSnafu)?;
            ensure!(count > 0, ClosedSnafu);
        }
    }

    async fn wait_readable(&mut self) -> Result<bool, FrameError> {
        if !self.buf.is_empty() {
            return Ok(true);
        }
        self.buf.reserve(READ_BYTES);
        let count = self.io.read_buf(&mut self.buf).await.context(IoSnafu)?;
        Ok(count > 0)
    }

    fn is_stale(&self) -> bool {
        let mut probe = [0; 1];
        match self.io.try_read(&mut probe) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => !self.buf.is_empty(),
            _ => true,
        }
    }

    fn decode(&mut self) -> Result<Option<PeerMessage>, FrameError> {
        if self.buf.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let mut field = [0; LENGTH_BYTES];
        field.copy_from_slice(&self.buf[..LENGTH_BYTES]);
        let length = u32::from_le_bytes(field) as usize;
        ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let frame = self.buf.split_to(length);
        let msg = postcard::from_bytes(&frame).context(DecodeSnafu)?;
        Ok(Some(msg))
    }
}

/// Writes frames to one direction of a connection.
#[derive(Debug)]
pub struct FrameWriter {
    sink: Sink,
}

#[derive(Debug)]
enum Sink {
    Socket {
        io: OwnedWriteHalf,
        buf: Vec<u8>,
    },
    Local {
        tx: mpsc::Sender<PeerMessage>,
        queue: Vec<PeerMessage>,
    },
}

impl FrameWriter {
    /// Writes one message.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails. The connection is then no longer usable,
    /// and neither is it when the future was dropped.
    pub async fn write(&mut self, msg: &PeerMessage) -> Result<(), FrameError> {
        self.queue(msg)?;
        self.flush().await
    }

    /// Adds a message to the buffer without sending it, so that it shares a
    /// segment with the next one.
    ///
    /// # Errors
    ///
    /// Fails when the message is longer than [`MAX_FRAME_BYTES`].
    pub fn queue(&mut self, msg: &PeerMessage) -> Result<(), FrameError> {
        match &mut self.sink {
            Sink::Socket { buf, .. } => encode(buf, msg),
            Sink::Local { queue, .. } => {
                queue.push(msg.clone());
                Ok(())
            }
        }
    }

    /// Returns the bytes that were queued. Messages within a process count as pieces of a
    /// body.
    pub fn queued(&self) -> usize {
        match &self.sink {
            Sink::Socket { buf, .. } => buf.len(),
            Sink::Local { queue, .. } => queue.len() * MAX_BODY_PIECE,
        }
    }

    /// Sends what was queued.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        match &mut self.sink {
            Sink::Socket { io, buf } => {
                let outcome = io.write_all(buf).await;
                buf.clear();
                outcome.context(IoSnafu)
            }
            Sink::Local { tx, queue } => {
                for msg in queue.drain(..) {
                    tx.send(msg).await.map_err(|_| FrameError::Closed)?;
                }
                Ok(())
            }
        }
    }
}

/// Adds a frame to `buf`, or nothing on failure.
fn encode(buf: &mut Vec<u8>, msg: &PeerMessage) -> Result<(), FrameError> {
    let start = buf.len();
    let mut frames = std::mem::take(buf);
    frames.extend_from_slice(&[0; LENGTH_BYTES]);
    *buf = postcard::to_extend(msg, frames).context(DecodeSnafu)?;
    let length = buf.len() - start - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        buf.truncate(start);
        return TooLongSnafu { length }.fail();
    }
    let field = (length as u32).to_le_bytes();
    buf[start..start + LENGTH_BYTES].copy_from_slice(&field);
    Ok(())
}

/// Makes a reader and a writer of a connection.
pub fn split(io: TcpStream) -> (FrameReader, FrameWriter) {
    // Frames are written whole, so waiting for more bytes only adds latency.
    let _ = io.set_nodelay(true);
    let (rx, tx) = io.into_split();
    let reader = FrameReader {
        source: Source::Socket(SocketReader {
            io: rx,
            buf: BytesMut::new(),
        }),
    };
    let writer = FrameWriter {
        sink: Sink::Socket {
            io: tx,
            buf: Vec::new(),
        },
    };
    (reader, writer)
}

/// Makes both ends of a connection within this process.
pub fn pair() -> [(FrameReader, FrameWriter); 2] {
    let (tx_a, rx_b) = mpsc::channel(LOCAL_MESSAGES);
    let (tx_b, rx_a) = mpsc::channel(LOCAL_MESSAGES);
    let end = |rx, tx| {
        let reader = FrameReader {
            source: Source::Local { rx, next: None },
        };
        let queue = Vec::new();
        let sink = Sink::Local { tx, queue };
        (reader, FrameWriter { sink })
    };
    [end(rx_a, tx_a), end(rx_b, tx_b)]
}
