//! Client side of a connection.

use std::{io, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    Framing, Header,
    body::{BodyDecoder, Decoded},
    head::{self, ResponseHead},
    socket,
};

/// Bytes asked of the socket in one read.
const READ_BYTES: usize = 16 * 1024;

/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// An open connection to a server.
pub struct Connection {
    io: TcpStream,
    buf: BytesMut,
    addr: SocketAddr,
    /// Whether an earlier request used the connection.
    pub reused: bool,
}

/// Why there is no head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// The server closed or reset the connection before the first byte of an answer.
    Closed,
    /// The server sent something that is no answer, or part of one.
    Malformed,
}

/// A part of an answer's body.
#[derive(Debug)]
pub enum BodyPart {
    /// More bytes.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The server closed the connection before the end, or broke the framing.
    Truncated,
}

/// Body of an answer.
pub struct ResponseBody {
    conn: Connection,
    decoder: BodyDecoder,
    keep_alive: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the server does not accept it.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let io = TcpStream::connect(addr).await?;
        io.set_nodelay(true)?;
        socket::set_tcp_keepalive(&io)?;
        Ok(Connection {
            io,
            buf: BytesMut::new(),
            addr,
            reused: false,
        })
    }

    /// Returns the address of the target.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reports whether the server has neither closed the connection nor sent
    /// anything since the last answer.
    pub fn is_open_and_idle(&self) -> bool {
        let mut probe = [0; 1];
        match self.io.try_read(&mut probe) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock && self.buf.is_empty(),
            Ok(_) => false,
        }
    }

    /// Sends the head of a request, with the beginning of its body.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn send_head(
        &mut self,
        method: &str,
        path: &str,
        headers: &[Header],
        framing: Framing,
        first: &[Bytes],
    ) -> io::Result<()> {
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(path.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in headers {
            push_header(&mut out, name, value);
        }
        match framing {
            Framing::None | Framing::UntilClose => (),
            Framing::Sized(length) => {
                push_header(&mut out, "content-length", length.to_string().as_bytes());
            }
            Framing::Chunked => push_header(&mut out, "transfer-encoding", b"chunked"),
        }
        out.extend_from_slice(b"\r\n");
        for piece in first {
            push_piece(&mut out, piece, framing);
        }
        self.io.write_all(&out).await
    }

    /// Sends a piece of the body.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn send_body_data(&mut self, piece: &Bytes, framing: Framing) -> io::Result<()> {
        if framing != Framing::Chunked {
            return self.io.write_all(piece).await;
        }
        let mut out = Vec::with_capacity(piece.len() + 16);
        push_piece(&mut out, piece, framing);
        self.io.write_all(&out).await
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn finish_body(&mut self, framing: Framing) -> io::Result<()> {
        match framing {
            Framing::Chunked => self.io.write_all(b"0\r\n\r\n").await,
            Framing::None | Framing::Sized(_) | Framing::UntilClose => Ok(()),
        }
    }

    /// Waits for the head of the answer to a request with `method`. Informational answers
    /// are skipped.
    ///
    /// Dropping the future loses no bytes.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends first, or brings something else.
    pub async fn read_head(&mut self, method: &str) -> Result<ResponseHead, ResponseError> {
        loop {
            match head::parse_response_head(&mut self.buf, method, MAX_HEAD_BYTES) {
                Ok(Some(head)) if head.status < 200 => continue,
                Ok(Some(head)) => return Ok(head),
                Ok(None) => (),
                Err(_) => return Err(ResponseError::Malformed),
            }
            self.buf.reserve(READ_BYTES);
            match self.io.read_buf(&mut self.buf).await {
                Ok(count) if count > 0 => (),
                _ if self.buf.is_empty() => return Err(ResponseError::Closed),
                _ => return Err(ResponseError::Malformed),
            }
        }
    }

    /// Continues with the body of an answer.
    pub fn into_body(self, head: &ResponseHead) -> ResponseBody {
        ResponseBody {
            conn: self,
            decoder: BodyDecoder::new(head.framing),
            keep_alive: head.keep_alive,
        }
    }
}

impl ResponseBody {
    /// Waits for the next part.
    ///
    /// Dropping the future loses no bytes.
    pub async fn next(&mut self) -> BodyPart {
        loop {
            match self.decoder.decode(&mut self.conn.buf) {
                Ok(Decoded::Data(piece)) => return BodyPart::Data(piece),
                Ok(Decoded::End) => return BodyPart::End,
                Ok(Decoded::NeedMore) => (),
                Err(_) => return BodyPart::Truncated,
            }
            self.conn.buf.reserve(READ_BYTES);
            match self.conn.io.read_buf(&mut self.conn.buf).await {
                Ok(0) if self.decoder.ends_with_connection() => return BodyPart::End,
                // A reset also ends a body without length before its end.
                Ok(0) | Err(_) => return BodyPart::Truncated,
                Ok(_) => (),
            }
        }
    }

    /// Returns the connection after a complete answer, with what follows on it.
    pub fn into_reusable_conn(self) -> Option<Connection> {
        (self.keep_alive && self.decoder.is_done()).then_some(self.conn)
    }
}

impl Connection {
    /// Reports whether nothing was received beyond the last answer.
    pub fn has_no_unread_data(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Adds a header line.
pub fn push_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

fn push_piece(out: &mut Vec<u8>, piece: &Bytes, framing: Framing) {
    match framing {
        Framing::Chunked => push_chunk(out, piece),
        Framing::None | Framing::Sized(_) | Framing::UntilClose => out.extend_from_slice(piece),
    }
}

/// Adds a chunk. An empty one would end the body.
pub fn push_chunk(out: &mut Vec<u8>, piece: &Bytes) {
    if piece.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    out.extend_from_slice(piece);
    out.extend_from_slice(b"\r\n");
}
