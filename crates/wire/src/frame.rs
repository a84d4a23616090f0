//! Frames on a TCP connection: a length and a postcard message.

use std::io;

use actix_rt::net::TcpStream;
use bytes::{Buf, BytesMut};
use snafu::{ResultExt, Snafu, ensure};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
};

use crate::message::PeerMessage;

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

/// Reads frames from one direction of a connection.
#[derive(Debug)]
pub struct FrameReader {
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
        loop {
            if let Some(msg) = self.decode()? {
                return Ok(msg);
            }
            self.buf.reserve(READ_BYTES);
            let count = self.io.read_buf(&mut self.buf).await.context(IoSnafu)?;
            ensure!(count > 0, ClosedSnafu);
        }
    }

    /// Waits until the peer closes the connection or sends something, and
    /// reports whether the connection is still open.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn wait_readable(&mut self) -> Result<bool, FrameError> {
        if !self.buf.is_empty() {
            return Ok(true);
        }
        self.buf.reserve(READ_BYTES);
        let count = self.io.read_buf(&mut self.buf).await.context(IoSnafu)?;
        Ok(count > 0)
    }

    /// Reports whether bytes were received that no read has taken yet.
    pub fn has_buffered(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Reports whether an idle connection is closed or holds unexpected bytes.
    pub fn is_stale(&self) -> bool {
        let mut probe = [0; 1];
        match self.io.try_read(&mut probe) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.has_buffered(),
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
    io: OwnedWriteHalf,
    buf: Vec<u8>,
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
        let start = self.buf.len();
        let mut buf = std::mem::take(&mut self.buf);
        buf.extend_from_slice(&[0; LENGTH_BYTES]);
        self.buf = postcard::to_extend(msg, buf).context(DecodeSnafu)?;
        let length = self.buf.len() - start - LENGTH_BYTES;
        if length > MAX_FRAME_BYTES {
            self.buf.truncate(start);
            return TooLongSnafu { length }.fail();
        }
        let field = (length as u32).to_le_bytes();
        self.buf[start..start + LENGTH_BYTES].copy_from_slice(&field);
        Ok(())
    }

    /// Returns the bytes that were queued.
    pub fn queued(&self) -> usize {
        self.buf.len()
    }

    /// Sends what was queued.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        let outcome = self.io.write_all(&self.buf).await;
        self.buf.clear();
        outcome.context(IoSnafu)
    }
}

/// Makes a reader and a writer of a connection.
pub fn split(io: TcpStream) -> (FrameReader, FrameWriter) {
    // Frames are written whole, so waiting for more bytes only adds latency.
    let _ = io.set_nodelay(true);
    let (rx, tx) = io.into_split();
    let reader = FrameReader {
        io: rx,
        buf: BytesMut::new(),
    };
    let writer = FrameWriter {
        io: tx,
        buf: Vec::new(),
    };
    (reader, writer)
}
