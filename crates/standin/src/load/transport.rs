//! A client transport that reports the end of the connection as an error.
//!
//! The body stream of `awc` ends without an error both for a complete and for a cut chunked body.
//! A complete body with a length or chunks ends before the connection does, so an end of the
//! connection while a body is read means that the body was cut.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use actix_http::Uri;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector};

/// A TCP stream whose end is reported as the error `UnexpectedEof`.
#[derive(Debug)]
pub(super) struct EofErrorStream(TcpStream);

/// Returns a connector that opens TCP connections as [`EofErrorStream`]s.
pub(super) fn connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, EofErrorStream>, Error = ConnectError>
+ Clone
+ 'static {
    Connector::default()
        .service()
        .map(|connection: Connection<Uri, TcpStream>| {
            let (io, uri) = connection.into_parts();
            // Without TCP_NODELAY the kernel delays a body that is sent after its head. A failure to
            // set it only adds latency.
            drop(io.set_nodelay(true));
            Connection::new(uri, EofErrorStream(io))
        })
}

impl AsyncRead for EofErrorStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        if buf.filled().len() == before && buf.remaining() > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EofErrorStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for EofErrorStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
