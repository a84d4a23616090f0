//! A minimal HTTP client over a `std` socket, independent of the libraries under test.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest wait for any response in these tests.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);

/// Sends one request, without adding `Connection: close`, and returns all bytes until the server
/// closes the connection.
pub(crate) fn send_raw(address: SocketAddr, head: &str, body: &str) -> io::Result<String> {
    let mut io = TcpStream::connect(address)?;
    io.set_read_timeout(Some(TIMEOUT))?;
    write!(
        io,
        "{head}\r\nhost: stock\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut answer = Vec::new();
    io.read_to_end(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Sends one request with `Connection: close` and returns the status and the body of the
/// response. `line` is the method and the path.
pub(crate) fn call(address: SocketAddr, line: &str, body: &str) -> io::Result<(u16, String)> {
    let answer = send_raw(
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
