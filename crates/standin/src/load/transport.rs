//! A transport on which the end of the connection is an error.
//!
//! The body stream of `awc` ends in the same way for a complete and a cut chunked body.
//! A complete framed body ends before the connection does, so an end of the connection
//! that is seen while a body is read means that the body was cut.

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

/// A TCP connection whose end is reported as an error.
#[derive(Debug)]
pub(super) struct Strict(TcpStream);

/// Opens strict connections.
pub(super) fn connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, Strict>, Error = ConnectError>
+ Clone
+ 'static {
    Connector::default()
        .service()
        .map(|connection: Connection<Uri, TcpStream>| {
            let (io, uri) = connection.into_parts();
            // Without it the kernel delays a body that follows its head; a failure only
            // costs time.
            drop(io.set_nodelay(true));
            Connection::new(uri, Strict(io))
        })
}

impl AsyncRead for Strict {
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

impl AsyncWrite for Strict {
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

impl ActixStream for Strict {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
