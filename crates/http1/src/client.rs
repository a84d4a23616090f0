//! HTTP/1.1 client connections.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncWriteExt, Interest},
    net::TcpStream,
};

use crate::{
    Framing, Header,
    body::{BodyDecoder, Decoded},
    head::{self, ResponseHead},
    socket,
};

/// Free buffer space reserved before each read from the socket, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum length of a response head, and of all informational responses before it, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time within which a reset is expected that follows the end of a connection.
const RESET_WAIT: Duration = Duration::from_millis(20);

/// An open connection to a server.
pub struct Connection {
    io: TcpStream,
    received: Received,
    addr: SocketAddr,
    /// Whether the current request has a body.
    has_request_body: bool,
    /// Whether a write has failed. The operating system reports a reset only once, and later reads see
    /// what looks like a regular end of the connection.
    has_write_failed: bool,
    /// Whether the connection carried an earlier request; set by the code that pools
    /// connections.
    pub reused: bool,
}

/// What was received on a connection and not returned.
#[derive(Default)]
struct Received {
    buf: BytesMut,
    /// Length of the informational responses since the last head that was returned, in bytes.
    informational_bytes: usize,
}

/// Why no response head was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// The server closed or reset the connection before the first byte of a response.
    Closed,
    /// The server sent an invalid or incomplete response head.
    Malformed,
}

/// A part of a response body.
#[derive(Debug)]
pub enum BodyPart {
    /// Body bytes.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The server closed the connection before the end, or violated the framing.
    Truncated,
}

/// A response body that is being received.
pub struct ResponseBody {
    conn: Connection,
    decoder: BodyDecoder,
    keep_alive: bool,
}

impl Connection {
    /// Opens a TCP connection to `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established or a socket option cannot
    /// be set.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let io = TcpStream::connect(addr).await?;
        io.set_nodelay(true)?;
        socket::set_tcp_keepalive(&io)?;
        Ok(Connection {
            io,
            received: Received::default(),
            addr,
            has_request_body: false,
            has_write_failed: false,
            reused: false,
        })
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether the server has neither closed the connection nor sent anything since
    /// the last response.
    pub fn is_open_and_idle(&self) -> bool {
        let mut probe = [0; 1];
        match self.io.try_read(&mut probe) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock && self.received.buf.is_empty(),
            Ok(_) => false,
        }
    }

    /// Sends the head of a request and the body bytes in `first_data` in one write.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn send_head(
        &mut self,
        method: &str,
        path: &str,
        headers: &[Header],
        framing: Framing,
        first_data: &[Bytes],
    ) -> io::Result<()> {
        self.has_request_body = framing != Framing::None;
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
        for data in first_data {
            push_body_data(&mut out, data, framing);
        }
        self.write_all(&out).await
    }

    /// Sends some bytes of the body, as one chunk if the body is chunked.
    ///
    /// A server may respond to a request with `method` and take no more of its body. If it has begun the
    /// response while no byte can be sent, the head of the response is returned, and the rest of the
    /// body can't be sent any more.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or the server sends something else than a response
    /// while no byte can be sent.
    pub async fn send_body_data(
        &mut self,
        method: &str,
        data: &Bytes,
        framing: Framing,
    ) -> io::Result<Option<ResponseHead>> {
        let bytes = match framing {
            Framing::Chunked => {
                let mut chunk = Vec::with_capacity(data.len() + 16);
                push_chunk(&mut chunk, data);
                Bytes::from(chunk)
            }
            Framing::None | Framing::Sized(_) | Framing::UntilClose => data.clone(),
        };
        let mut unsent = &bytes[..];
        while !unsent.is_empty() {
            let (io, received) = (&self.io, &mut self.received);
            tokio::select! {
                biased;
                ready = io.writable() => ready?,
                head = received.read_head(io, method) => {
                    let failed = |_| io::Error::from(io::ErrorKind::ConnectionAborted);
                    return head.map(Some).map_err(failed);
                }
            }
            match self.io.try_write(unsent) {
                Ok(count) => unsent = &unsent[count..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => (),
                Err(e) => {
                    self.has_write_failed = true;
                    return Err(e);
                }
            }
        }
        Ok(None)
    }

    /// Finishes the body; a chunked one needs a final empty chunk.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn finish_body(&mut self, framing: Framing) -> io::Result<()> {
        match framing {
            Framing::Chunked => self.write_all(b"0\r\n\r\n").await,
            Framing::None | Framing::Sized(_) | Framing::UntilClose => Ok(()),
        }
    }

    /// Returns whether the server resets the connection that it has just ended.
    ///
    /// A server that closes before it has received all of the request ends the connection regularly and
    /// resets it when more arrives. Reads don't report a reset that follows a regular end.
    async fn is_reset_after_end(&self) -> bool {
        if self.has_write_failed {
            return true;
        }
        if !self.has_request_body {
            return false;
        }
        let reset = self.io.ready(Interest::ERROR);
        tokio::time::timeout(RESET_WAIT, reset).await.is_ok()
    }

    async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let result = self.io.write_all(bytes).await;
        self.has_write_failed |= result.is_err();
        result
    }

    /// Reads the head of the response to a request with `method`. Informational (1xx)
    /// responses are skipped.
    ///
    /// This method is cancel safe: dropping the future loses no bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends first, the bytes are not a valid response head, or
    /// the server sends informational responses without end.
    pub async fn read_head(&mut self, method: &str) -> Result<ResponseHead, ResponseError> {
        self.received.read_head(&self.io, method).await
    }

    /// Starts reading the body that follows `head`.
    pub fn into_body(self, head: &ResponseHead) -> ResponseBody {
        ResponseBody {
            conn: self,
            decoder: BodyDecoder::new(head.framing),
            keep_alive: head.keep_alive,
        }
    }
}

impl Received {
    /// See [`Connection::read_head`].
    async fn read_head(
        &mut self,
        io: &TcpStream,
        method: &str,
    ) -> Result<ResponseHead, ResponseError> {
        loop {
            let buffered_bytes = self.buf.len();
            match head::parse_response_head(&mut self.buf, method, MAX_HEAD_BYTES) {
                Ok(Some(head)) if head.status < 200 => {
                    self.informational_bytes += buffered_bytes - self.buf.len();
                    if self.informational_bytes > MAX_HEAD_BYTES {
                        return Err(ResponseError::Malformed);
                    }
                    continue;
                }
                Ok(Some(head)) => {
                    self.informational_bytes = 0;
                    return Ok(head);
                }
                Ok(None) => (),
                Err(_) => return Err(ResponseError::Malformed),
            }
            match self.read_when_ready(io).await {
                Ok(count) if count > 0 => (),
                _ if self.buf.is_empty() => return Err(ResponseError::Closed),
                _ => return Err(ResponseError::Malformed),
            }
        }
    }

    /// Reads what the socket has received. An empty buffer is freed while the connection waits, because
    /// many connections wait for responses at the same time. This method is cancel safe.
    async fn read_when_ready(&mut self, io: &TcpStream) -> io::Result<usize> {
        loop {
            if self.buf.is_empty() {
                self.buf = BytesMut::new();
            }
            io.readable().await?;
            self.buf.reserve(READ_BUFFER_BYTES);
            match io.try_read_buf(&mut self.buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => (),
                result => return result,
            }
        }
    }
}

impl ResponseBody {
    /// Reads the next part of the body.
    ///
    /// This method is cancel safe: dropping the future loses no bytes.
    pub async fn next(&mut self) -> BodyPart {
        loop {
            match self.decoder.decode(&mut self.conn.received.buf) {
                Ok(Decoded::Data(data)) => return BodyPart::Data(data),
                Ok(Decoded::End) => return BodyPart::End,
                Ok(Decoded::NeedMore) => (),
                Err(_) => return BodyPart::Truncated,
            }
            match self.conn.received.read_when_ready(&self.conn.io).await {
                // A connection reset truncates even a body that ends with the connection.
                Ok(0) if self.decoder.ends_with_connection() => {
                    return match self.conn.is_reset_after_end().await {
                        true => BodyPart::Truncated,
                        false => BodyPart::End,
                    };
                }
                Ok(0) | Err(_) => return BodyPart::Truncated,
                Ok(_) => (),
            }
        }
    }

    /// Returns the connection, with any unread bytes, if the response is complete and the
    /// server keeps the connection open.
    pub fn into_reusable_conn(self) -> Option<Connection> {
        (self.keep_alive && self.decoder.is_done()).then_some(self.conn)
    }
}

impl Connection {
    /// Returns whether no bytes were received beyond the last response.
    pub fn has_no_unread_data(&self) -> bool {
        self.received.buf.is_empty()
    }
}

/// Appends a header line to `out`.
pub fn push_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

fn push_body_data(out: &mut Vec<u8>, data: &Bytes, framing: Framing) {
    match framing {
        Framing::Chunked => push_chunk(out, data),
        Framing::None | Framing::Sized(_) | Framing::UntilClose => out.extend_from_slice(data),
    }
}

/// Appends `data` to `out` as one chunk. Empty data is skipped, because an empty chunk would
/// end the body.
pub fn push_chunk(out: &mut Vec<u8>, data: &Bytes) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}
