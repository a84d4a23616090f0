//! HTTP/1.1 for the stand-ins: whole messages with `Content-Length`, over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// A request or a response.
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the path of a request, without the query.
    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter in the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.start.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or(0)
    }
}

/// Reads a message. Returns `None` at the end of the connection before a message.
pub fn read_message(io: &mut impl Read) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match io.read(&mut byte)? {
            0 if head.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => head.push(byte[0]),
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    message.body = match message.header("transfer-encoding") {
        "chunked" => read_chunks(io)?,
        _ => {
            let length = message.header("content-length").parse().unwrap_or(0);
            let mut body = vec![0; length];
            io.read_exact(&mut body)?;
            body
        }
    };
    Ok(Some(message))
}

fn read_chunks(io: &mut impl Read) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = Vec::new();
        let mut byte = [0; 1];
        while !line.ends_with(b"\r\n") {
            io.read_exact(&mut byte)?;
            line.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&line);
        let length = usize::from_str_radix(text.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; length + 2];
        io.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// Returns the bytes of a response.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Accepts connections and serves each in a thread.
pub fn serve(listener: TcpListener, on_conn: impl Fn(TcpStream) + Send + Sync + Clone + 'static) {
    thread::spawn(move || {
        for io in listener.incoming().map_while(Result::ok) {
            let on_conn = on_conn.clone();
            thread::spawn(move || on_conn(io));
        }
    });
}

/// Sends bytes on a new connection and reads one response within `timeout`.
pub fn exchange(addr: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<Message> {
    let deadline = Instant::now() + timeout;
    let mut io = TcpStream::connect_timeout(&addr, timeout)?;
    io.write_all(bytes)?;
    read_response(&mut io, deadline)
}

/// Reads one response until `deadline`.
pub fn read_response(io: &mut TcpStream, deadline: Instant) -> io::Result<Message> {
    let left = deadline.saturating_duration_since(Instant::now());
    io.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    read_message(io)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
