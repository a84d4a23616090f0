//! The TCP proxy.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use actix_rt::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, sleep_until},
};
use bytes::Bytes;
use futures_util::future::{select, try_join};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    sync::{mpsc, watch},
};

use crate::{
    error::Result,
    server::{self, RETRY_PAUSE, ServerThread},
};

/// Size of the buffer of one read.
const READ_BYTES: usize = 16 * 1024;

/// Reads queued in each direction of a connection; further bytes stay in the socket buffers.
const QUEUED_READS: usize = 256;

/// Fault switches of a TCP proxy. Setting them replaces all; the default is no fault.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProxyFaults {
    /// Whether bytes to the server are held back until the switch is turned off.
    pub hold_to_server: bool,
    /// Whether bytes to the client are held back until the switch is turned off.
    pub hold_to_client: bool,
    /// Delay of all bytes, in ms, in each direction.
    pub delay_ms: u64,
    /// Each connection is cut after this many bytes to the server.
    pub cut_after_bytes_to_server: Option<u64>,
    /// Each connection is cut after this many bytes to the client.
    pub cut_after_bytes_to_client: Option<u64>,
    /// Each connection stays open, but carries nothing to the server after this many bytes.
    pub silence_after_bytes_to_server: Option<u64>,
    /// Each connection stays open, but carries nothing to the client after this many bytes.
    pub silence_after_bytes_to_client: Option<u64>,
    /// Whether new connections are accepted and closed at once.
    pub close_new_connections: bool,
}

/// A running proxy, stopped on drop.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<SharedProxy>,
    _thread: ServerThread,
}

#[derive(Debug)]
struct SharedProxy {
    server: SocketAddr,
    faults: watch::Sender<ProxyFaults>,
    /// Number of calls of [`Proxy::cut_connections`]; a change ends all connections.
    cut_count: watch::Sender<u64>,
    /// Number of calls of [`Proxy::silence_connections`]. A connection that was opened before the
    /// last one carries nothing any more.
    silence_count: watch::Sender<u64>,
    accepted_connections: AtomicU64,
    bytes_to_server: AtomicU64,
    bytes_to_client: AtomicU64,
}

impl Proxy {
    /// Starts a proxy on a free loopback port in front of `server`.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the thread cannot be started.
    pub fn start(server: SocketAddr) -> Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), server)
    }

    /// Starts a proxy on a given address in front of `server`.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the thread cannot be started.
    pub fn start_on(listen: SocketAddr, server: SocketAddr) -> Result<Self> {
        let (listener, address) = server::bind_listener(listen)?;
        let shared = Arc::new(SharedProxy {
            server,
            faults: watch::Sender::new(ProxyFaults::default()),
            cut_count: watch::Sender::new(0),
            silence_count: watch::Sender::new(0),
            accepted_connections: AtomicU64::new(0),
            bytes_to_server: AtomicU64::new(0),
            bytes_to_client: AtomicU64::new(0),
        });
        let thread_shared = Arc::clone(&shared);
        let thread = ServerThread::start("standin-proxy", move |stopped| async move {
            actix_rt::spawn(accept_loop(listener, thread_shared));
            // An error means that the handle was dropped, which also stops the proxy.
            drop(stopped.await);
        })?;
        Ok(Self {
            address,
            shared,
            _thread: thread,
        })
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Closes all connections at once.
    pub fn cut_connections(&self) {
        self.shared
            .cut_count
            .send_modify(|cut_count| *cut_count += 1);
    }

    /// Makes all open connections silent for good: they stay open, and whatever is sent on them is
    /// lost. New connections work.
    pub fn silence_connections(&self) {
        self.shared.silence_count.send_modify(|count| *count += 1);
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.shared.accepted_connections.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes forwarded to the server so far.
    pub fn bytes_to_server(&self) -> u64 {
        self.shared.bytes_to_server.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes forwarded to clients so far.
    pub fn bytes_to_client(&self) -> u64 {
        self.shared.bytes_to_client.load(Ordering::Relaxed)
    }
}

async fn accept_loop(listener: StdListener, shared: Arc<SharedProxy>) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let Ok((io, _)) = listener.accept().await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        shared.accepted_connections.fetch_add(1, Ordering::Relaxed);
        if !shared.faults.borrow().close_new_connections {
            actix_rt::spawn(forward_connection(io, Arc::clone(&shared)));
        }
    }
}

/// Forwards bytes until both directions end, one is cut, or all connections are cut.
async fn forward_connection(client: TcpStream, shared: Arc<SharedProxy>) {
    let mut cuts = shared.cut_count.subscribe();
    let Ok(server) = TcpStream::connect(shared.server).await else {
        return;
    };
    drop(client.set_nodelay(true));
    drop(server.set_nodelay(true));
    let (client_read, client_write) = tokio::io::split(client);
    let (server_read, server_write) = tokio::io::split(server);
    let to_server = Direction {
        faults: shared.faults.subscribe(),
        is_held: |faults| faults.hold_to_server,
        cut_after: |faults| faults.cut_after_bytes_to_server,
        silence_after: |faults| faults.silence_after_bytes_to_server,
        silence_count: shared.silence_count.subscribe(),
        forwarded_bytes: &shared.bytes_to_server,
    };
    let to_client = Direction {
        faults: shared.faults.subscribe(),
        is_held: |faults| faults.hold_to_client,
        cut_after: |faults| faults.cut_after_bytes_to_client,
        silence_after: |faults| faults.silence_after_bytes_to_client,
        silence_count: shared.silence_count.subscribe(),
        forwarded_bytes: &shared.bytes_to_client,
    };
    let both_directions = try_join(
        to_server.forward(client_read, server_write),
        to_client.forward(server_read, client_write),
    );
    // Dropping the streams closes both sides, whichever future ends first.
    select(
        std::pin::pin!(both_directions),
        std::pin::pin!(cuts.changed()),
    )
    .await;
}

/// One direction of a connection.
struct Direction<'a> {
    faults: watch::Receiver<ProxyFaults>,
    is_held: fn(&ProxyFaults) -> bool,
    cut_after: fn(&ProxyFaults) -> Option<u64>,
    silence_after: fn(&ProxyFaults) -> Option<u64>,
    /// Changes when the connection becomes silent.
    silence_count: watch::Receiver<u64>,
    forwarded_bytes: &'a AtomicU64,
}

impl Direction<'_> {
    /// Forwards bytes until the sender ends.
    ///
    /// # Errors
    ///
    /// Fails when the connection must be cut.
    async fn forward(
        self,
        from: impl AsyncRead + Unpin,
        to: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let (tx, rx) = mpsc::channel(QUEUED_READS);
        let faults = self.faults.clone();
        try_join(
            read_with_due_time(from, tx, faults),
            self.write_due_chunks(rx, to),
        )
        .await
        .map(|_| ())
    }

    /// Writes each chunk once it is due and not held back, up to the limit of the cut.
    ///
    /// # Errors
    ///
    /// Fails when the limit is reached, the receiver fails or the proxy is stopped.
    async fn write_due_chunks(
        mut self,
        mut rx: mpsc::Receiver<(Instant, Bytes)>,
        mut to: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let mut forwarded_len = 0;
        while let Some((due, chunk)) = rx.recv().await {
            sleep_until(due).await;
            let is_held = self.is_held;
            let faults = match self.faults.wait_for(|faults| !is_held(faults)).await {
                Ok(faults) => faults.clone(),
                Err(_) => return Err(io::ErrorKind::ConnectionAborted.into()),
            };
            let is_silenced = self.silence_count.has_changed().unwrap_or(false);
            let audible = match (self.silence_after)(&faults) {
                _ if is_silenced => 0,
                Some(limit) => limit.saturating_sub(forwarded_len),
                None => u64::MAX,
            };
            if audible < chunk.len() as u64 {
                to.write_all(&chunk[..audible as usize]).await?;
                to.flush().await?;
                // The rest is lost, but the connection stays open.
                while rx.recv().await.is_some() {}
                return std::future::pending().await;
            }
            let remaining = (self.cut_after)(&faults)
                .map_or(u64::MAX, |limit| limit.saturating_sub(forwarded_len));
            let len = chunk
                .len()
                .min(usize::try_from(remaining).unwrap_or(usize::MAX));
            to.write_all(&chunk[..len]).await?;
            to.flush().await?;
            forwarded_len += len as u64;
            self.forwarded_bytes
                .fetch_add(len as u64, Ordering::Relaxed);
            if len as u64 == remaining {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        to.shutdown().await
    }
}

/// Reads until the sender ends and queues each chunk with the time at which it is due.
async fn read_with_due_time(
    mut from: impl AsyncRead + Unpin,
    tx: mpsc::Sender<(Instant, Bytes)>,
    faults: watch::Receiver<ProxyFaults>,
) -> io::Result<()> {
    let mut buf = vec![0; READ_BYTES];
    loop {
        let len = from.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        let delay = Duration::from_millis(faults.borrow().delay_ms);
        let chunk = Bytes::copy_from_slice(&buf[..len]);
        if tx.send((Instant::now() + delay, chunk)).await.is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
    }
}
