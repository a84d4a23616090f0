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

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// Reads that wait in each direction of a connection; more stay in the socket buffers.
const QUEUE: usize = 256;

/// Fault switches of a TCP proxy. "Up" is from the client to the server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProxyFaults {
    /// Bytes from the client wait.
    pub hold_up: bool,
    /// Bytes from the server wait.
    pub hold_down: bool,
    /// Delay of all bytes in ms, in each direction.
    pub delay_ms: u64,
    /// Each connection is cut after this many bytes from the client.
    pub cut_after_up: Option<u64>,
    /// Each connection is cut after this many bytes from the server.
    pub cut_after_down: Option<u64>,
    /// New connections are accepted and closed at once.
    pub refuse: bool,
}

/// A running proxy, stopped on drop.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    _thread: ServerThread,
}

#[derive(Debug)]
struct Shared {
    server: SocketAddr,
    faults: watch::Sender<ProxyFaults>,
    /// Counts the cuts asked for; a change ends all connections.
    cuts: watch::Sender<u64>,
    connections: AtomicU64,
    bytes_up: AtomicU64,
    bytes_down: AtomicU64,
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
        let shared = Arc::new(Shared {
            server,
            faults: watch::Sender::new(ProxyFaults::default()),
            cuts: watch::Sender::new(0),
            connections: AtomicU64::new(0),
            bytes_up: AtomicU64::new(0),
            bytes_down: AtomicU64::new(0),
        });
        let served = Arc::clone(&shared);
        let thread = ServerThread::start("standin-proxy", move |stopped| async move {
            actix_rt::spawn(accept(listener, served));
            // An error means that the handle was dropped, which also stops the proxy.
            drop(stopped.await);
        })?;
        Ok(Self {
            address,
            shared,
            _thread: thread,
        })
    }

    /// The address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Cuts all connections now.
    pub fn cut(&self) {
        self.shared.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Bytes passed on to the server so far.
    pub fn bytes_up(&self) -> u64 {
        self.shared.bytes_up.load(Ordering::Relaxed)
    }

    /// Bytes passed on to clients so far.
    pub fn bytes_down(&self) -> u64 {
        self.shared.bytes_down.load(Ordering::Relaxed)
    }
}

async fn accept(listener: StdListener, shared: Arc<Shared>) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let Ok((io, _)) = listener.accept().await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        shared.connections.fetch_add(1, Ordering::Relaxed);
        if !shared.faults.borrow().refuse {
            actix_rt::spawn(connection(io, Arc::clone(&shared)));
        }
    }
}

/// Passes bytes on until both directions end, one is cut, or all are cut.
async fn connection(client: TcpStream, shared: Arc<Shared>) {
    let mut cuts = shared.cuts.subscribe();
    let Ok(server) = TcpStream::connect(shared.server).await else {
        return;
    };
    drop(client.set_nodelay(true));
    drop(server.set_nodelay(true));
    let (client_read, client_write) = tokio::io::split(client);
    let (server_read, server_write) = tokio::io::split(server);
    let up = Direction {
        faults: shared.faults.subscribe(),
        held: |faults| faults.hold_up,
        limit: |faults| faults.cut_after_up,
        count: &shared.bytes_up,
    };
    let down = Direction {
        faults: shared.faults.subscribe(),
        held: |faults| faults.hold_down,
        limit: |faults| faults.cut_after_down,
        count: &shared.bytes_down,
    };
    let passed = try_join(
        up.pass(client_read, server_write),
        down.pass(server_read, client_write),
    );
    // Dropping the streams closes both sides, whichever future ends first.
    select(std::pin::pin!(passed), std::pin::pin!(cuts.changed())).await;
}

/// One direction of a connection.
struct Direction<'a> {
    faults: watch::Receiver<ProxyFaults>,
    held: fn(&ProxyFaults) -> bool,
    limit: fn(&ProxyFaults) -> Option<u64>,
    count: &'a AtomicU64,
}

impl Direction<'_> {
    /// Passes bytes on until the sender ends; an error when the connection shall be cut.
    async fn pass(
        self,
        from: impl AsyncRead + Unpin,
        to: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let (tx, rx) = mpsc::channel(QUEUE);
        let faults = self.faults.clone();
        try_join(read(from, tx, faults), self.write(rx, to))
            .await
            .map(|_| ())
    }

    async fn write(
        mut self,
        mut rx: mpsc::Receiver<(Instant, Bytes)>,
        mut to: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let mut passed = 0;
        while let Some((due, part)) = rx.recv().await {
            sleep_until(due).await;
            let held = self.held;
            let faults = match self.faults.wait_for(|faults| !held(faults)).await {
                Ok(faults) => faults.clone(),
                Err(_) => return Err(io::ErrorKind::ConnectionAborted.into()),
            };
            let room = (self.limit)(&faults).map_or(u64::MAX, |limit| limit.saturating_sub(passed));
            let len = part.len().min(usize::try_from(room).unwrap_or(usize::MAX));
            to.write_all(&part[..len]).await?;
            to.flush().await?;
            passed += len as u64;
            self.count.fetch_add(len as u64, Ordering::Relaxed);
            if len as u64 == room {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        to.shutdown().await
    }
}

/// Reads until the sender ends and notes when each part is due.
async fn read(
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
        let part = Bytes::copy_from_slice(&buf[..len]);
        if tx.send((Instant::now() + delay, part)).await.is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
    }
}
