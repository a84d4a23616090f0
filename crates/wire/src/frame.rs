//! Frames on a TCP connection: a length prefix and a message encoded with postcard.
//!
//! Within one process the same messages pass through channels; see [`in_process_pair`].

use std::io;

use actix_rt::net::TcpStream;
use bytes::{Buf, BytesMut};
use snafu::{ResultExt, Snafu, ensure};
use tokio::{
    io::AsyncWriteExt,
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};

use crate::message::{MAX_BODY_FRAME_BYTES, PeerMessage};

/// Maximum length of an encoded message, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

/// Size of the length prefix, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Free buffer space reserved before each read from the socket, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Error when a frame is read or written.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed.
    #[snafu(display("peer connection failed: {source}"))]
    Io {
        /// Underlying socket error.
        source: io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("peer closed the connection"))]
    Closed,
    /// The message is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("peer message of {length} bytes; at most {MAX_FRAME_BYTES} are allowed"))]
    TooLong {
        /// Length of the message in bytes.
        length: usize,
    },
    /// The message could not be encoded or decoded.
    #[snafu(display("invalid peer message: {source}"))]
    Codec {
        /// Underlying codec error.
        source: postcard::Error,
    },
}

impl FrameError {
    /// Returns whether the peer violated the protocol, as opposed to a failed or closed
    /// connection.
    pub fn is_protocol_error(&self) -> bool {
        matches!(self, FrameError::TooLong { .. } | FrameError::Codec { .. })
    }
}

/// Capacity of an in-process connection in each direction, in messages. It bounds the memory
/// of a request to a few body messages in each direction.
const IN_PROCESS_CAPACITY: usize = 8;

/// Receiving half of a peer connection.
#[derive(Debug)]
pub struct FrameReader {
    source: Source,
}

#[derive(Debug)]
enum Source {
    Socket(SocketReader),
    InProcess {
        rx: mpsc::Receiver<PeerMessage>,
        /// Message that was received but not returned by [`FrameReader::read`] yet.
        received: Option<PeerMessage>,
    },
}

#[derive(Debug)]
struct SocketReader {
    io: OwnedReadHalf,
    /// Received bytes that are not decoded yet: at most one frame and one read beyond it.
    buf: BytesMut,
}

impl FrameReader {
    /// Reads the next message.
    ///
    /// This method is cancel safe: dropping the future loses no bytes, so it can be used in
    /// `select!`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed or fails, or the message is invalid.
    pub async fn read(&mut self) -> Result<PeerMessage, FrameError> {
        match &mut self.source {
            Source::Socket(reader) => reader.read().await,
            Source::InProcess { rx, received } => match received.take() {
                Some(msg) => Ok(msg),
                None => rx.recv().await.ok_or(FrameError::Closed),
            },
        }
    }

    /// Waits until the peer sends data or closes the connection. Returns `false` if the peer
    /// closed the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn wait_readable(&mut self) -> Result<bool, FrameError> {
        match &mut self.source {
            Source::Socket(reader) => reader.wait_readable().await,
            Source::InProcess { rx, received } => {
                if received.is_none() {
                    *received = rx.recv().await;
                }
                Ok(received.is_some())
            }
        }
    }

    /// Returns whether both ends of the connection are in this process.
    pub fn is_in_process(&self) -> bool {
        matches!(self.source, Source::InProcess { .. })
    }

    /// Returns whether an idle connection is closed or has unread data, either of which makes
    /// it unusable for another request.
    pub fn is_stale(&self) -> bool {
        match &self.source {
            Source::Socket(reader) => reader.is_stale(),
            Source::InProcess { rx, received } => {
                received.is_some() || rx.is_closed() || !rx.is_empty()
            }
        }
    }
}

/// Reads what the socket has received. Returns zero at the end of the connection.
///
/// An empty buffer is freed while the connection waits, because a node has hundreds of connections
/// that are idle or wait for a response. This function is cancel safe.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub async fn read_when_ready(io: &OwnedReadHalf, buf: &mut BytesMut) -> io::Result<usize> {
    loop {
        if buf.is_empty() {
            *buf = BytesMut::new();
        }
        io.readable().await?;
        buf.reserve(READ_BUFFER_BYTES);
        match io.try_read_buf(buf) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => (),
            result => return result,
        }
    }
}

impl SocketReader {
    async fn read(&mut self) -> Result<PeerMessage, FrameError> {
        loop {
            if let Some(msg) = self.decode_buffered()? {
                return Ok(msg);
            }
            let count = read_when_ready(&self.io, &mut self.buf).await;
            ensure!(count.context(IoSnafu)? > 0, ClosedSnafu);
        }
    }

    async fn wait_readable(&mut self) -> Result<bool, FrameError> {
        if !self.buf.is_empty() {
            return Ok(true);
        }
        let count = read_when_ready(&self.io, &mut self.buf).await;
        Ok(count.context(IoSnafu)? > 0)
    }

    fn is_stale(&self) -> bool {
        let mut probe = [0; 1];
        match self.io.try_read(&mut probe) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => !self.buf.is_empty(),
            _ => true,
        }
    }

    /// Decodes the next message if the buffer holds it completely.
    fn decode_buffered(&mut self) -> Result<Option<PeerMessage>, FrameError> {
        if self.buf.len() < LENGTH_PREFIX_BYTES {
            return Ok(None);
        }
        let mut prefix = [0; LENGTH_PREFIX_BYTES];
        prefix.copy_from_slice(&self.buf[..LENGTH_PREFIX_BYTES]);
        let length = u32::from_le_bytes(prefix) as usize;
        ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
        if self.buf.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_PREFIX_BYTES);
        let frame = self.buf.split_to(length);
        let msg = postcard::from_bytes(&frame).context(CodecSnafu)?;
        Ok(Some(msg))
    }
}

/// Sending half of a peer connection.
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
    InProcess {
        tx: mpsc::Sender<PeerMessage>,
        queue: Vec<PeerMessage>,
    },
}

impl FrameWriter {
    /// Sends one message, after any queued ones.
    ///
    /// This method is not cancel safe: after an error, or if the future is dropped, the
    /// connection must not be used any more.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the message is longer than
    /// [`MAX_FRAME_BYTES`].
    pub async fn write(&mut self, msg: &PeerMessage) -> Result<(), FrameError> {
        self.queue(msg)?;
        self.flush().await
    }

    /// Queues a message without sending it, so that it can share a TCP segment with the next
    /// one.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is longer than [`MAX_FRAME_BYTES`].
    pub fn queue(&mut self, msg: &PeerMessage) -> Result<(), FrameError> {
        match &mut self.sink {
            Sink::Socket { buf, .. } => append_frame(buf, msg),
            Sink::InProcess { queue, .. } => {
                queue.push(msg.clone());
                Ok(())
            }
        }
    }

    /// Returns the number of queued bytes. Each message of an in-process connection counts as
    /// [`MAX_BODY_FRAME_BYTES`].
    pub fn queued_bytes(&self) -> usize {
        match &self.sink {
            Sink::Socket { buf, .. } => buf.len(),
            Sink::InProcess { queue, .. } => queue.len() * MAX_BODY_FRAME_BYTES,
        }
    }

    /// Sends all queued messages.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        match &mut self.sink {
            Sink::Socket { io, buf } => {
                let result = io.write_all(buf).await;
                buf.clear();
                result.context(IoSnafu)
            }
            Sink::InProcess { tx, queue } => {
                for msg in queue.drain(..) {
                    tx.send(msg).await.map_err(|_| FrameError::Closed)?;
                }
                Ok(())
            }
        }
    }
}

/// Appends a frame to `buf`. Leaves `buf` unchanged if the message is too long.
fn append_frame(buf: &mut Vec<u8>, msg: &PeerMessage) -> Result<(), FrameError> {
    let start = buf.len();
    let mut frames = std::mem::take(buf);
    frames.extend_from_slice(&[0; LENGTH_PREFIX_BYTES]);
    *buf = postcard::to_extend(msg, frames).context(CodecSnafu)?;
    let length = buf.len() - start - LENGTH_PREFIX_BYTES;
    if length > MAX_FRAME_BYTES {
        buf.truncate(start);
        return TooLongSnafu { length }.fail();
    }
    let prefix = (length as u32).to_le_bytes();
    buf[start..start + LENGTH_PREFIX_BYTES].copy_from_slice(&prefix);
    Ok(())
}

/// Splits a TCP connection into a frame reader and a frame writer.
pub fn split(io: TcpStream) -> (FrameReader, FrameWriter) {
    // Frames are written whole, so Nagle's algorithm would only add latency.
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

/// Creates both ends of a connection within this process.
pub fn in_process_pair() -> [(FrameReader, FrameWriter); 2] {
    let (tx_a, rx_b) = mpsc::channel(IN_PROCESS_CAPACITY);
    let (tx_b, rx_a) = mpsc::channel(IN_PROCESS_CAPACITY);
    let connection_end = |rx, tx| {
        let reader = FrameReader {
            source: Source::InProcess { rx, received: None },
        };
        let queue = Vec::new();
        let sink = Sink::InProcess { tx, queue };
        (reader, FrameWriter { sink })
    };
    [connection_end(rx_a, tx_a), connection_end(rx_b, tx_b)]
}
