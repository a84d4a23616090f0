//! Minimal HTTP/1.1 for the stand-ins and the clients of the cases.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or response head in the order received, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub io: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(io: TcpStream) -> Self {
        let _ = io.set_nodelay(true);
        Conn { io, buf: Vec::new() }
    }

    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&addr, Duration::from_secs(1)).map(Conn::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 16 * 1024];
        match self.io.read(&mut piece)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buf.extend_from_slice(&piece[..count]);
                Ok(())
            }
        }
    }

    /// Reads a head. `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, headers }));
            }
            match self.fill() {
                Ok(()) => (),
                Err(_) if self.buf.is_empty() => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            self.fill()?;
        }
        Ok(self.buf.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the body that follows `head`; an error if it is not complete.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding") == Some("chunked") {
            let mut body = Vec::new();
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                self.take(2)?;
            }
        }
        let length = head.get("content-length").map_or(Ok(0), str::parse);
        self.take(length.map_err(io::Error::other)?)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes)
    }
}

/// Returns the bytes of a response with a body.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes one call on a new connection and returns its status, or 0 without a response.
pub fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> u16 {
    let exchange = || -> io::Result<u16> {
        let mut conn = Conn::open(addr)?;
        conn.io.set_read_timeout(Some(Duration::from_secs(1)))?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        conn.write(request.as_bytes())?;
        Ok(conn.read_head()?.map_or(0, |head| head.status()))
    };
    exchange().unwrap_or(0)
}
