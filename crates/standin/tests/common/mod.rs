//! A plain HTTP client over a standard socket, independent of the libraries under test.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest wait for any answer in these tests.
pub(crate) const LIMIT: Duration = Duration::from_secs(10);

/// Sends one request without `Connection: close` and returns all bytes until the server
/// ends the connection.
pub(crate) fn raw(address: SocketAddr, head: &str, body: &str) -> io::Result<String> {
    let mut io = TcpStream::connect(address)?;
    io.set_read_timeout(Some(LIMIT))?;
    write!(
        io,
        "{head}\r\nhost: stock\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut answer = Vec::new();
    io.read_to_end(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Makes one call and returns the status and the body.
pub(crate) fn call(address: SocketAddr, line: &str, body: &str) -> io::Result<(u16, String)> {
    let answer = raw(
        address,
        &format!("{line} HTTP/1.1\r\nconnection: close"),
        body,
    )?;
    let (head, body) = answer
        .split_once("\r\n\r\n")
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok((status, body.to_owned()))
}
