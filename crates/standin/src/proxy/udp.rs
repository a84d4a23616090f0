//! The UDP relay.

use std::{
    collections::{HashMap, hash_map::Entry},
    io,
    net::{Ipv4Addr, SocketAddr, UdpSocket as StdSocket},
    rc::Rc,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use actix_rt::{net::UdpSocket, time::sleep};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use snafu::ResultExt;

use crate::{
    error::{ListenSnafu, Result},
    server::{RETRY_PAUSE, ServerThread},
};

/// Size of the receive buffer, enough for the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Fault switches of a UDP relay, for both directions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayFaults {
    /// Share of datagrams that are dropped, in permille.
    pub loss_permille: u32,
    /// Share of datagrams that are forwarded twice, in permille.
    pub duplicate_permille: u32,
    /// Share of datagrams that are forwarded `reorder_ms` later, in permille.
    pub reorder_permille: u32,
    /// Additional delay of reordered datagrams, in ms.
    pub reorder_ms: u64,
    /// Delay of all datagrams, in ms.
    pub delay_ms: u64,
    /// Whether all datagrams to the server are dropped.
    pub block_to_server: bool,
    /// Whether all datagrams to clients are dropped.
    pub block_to_client: bool,
}

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Where to listen; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Where datagrams are forwarded to.
    pub server: SocketAddr,
    /// Seed of the random draws of loss, duplication and reordering.
    pub seed: u64,
    /// Initial fault switches.
    pub faults: RelayFaults,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            server: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            faults: RelayFaults::default(),
        }
    }
}

/// A running relay in front of one server, stopped on drop.
///
/// The relay opens one socket towards the server per client, so the server sees one source
/// address per client, and its replies go back through the relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<SharedRelay>,
    _thread: ServerThread,
}

#[derive(Debug)]
struct SharedRelay {
    server: SocketAddr,
    state: Mutex<RelayState>,
    forwarded_count: AtomicU64,
    dropped_count: AtomicU64,
}

#[derive(Debug)]
struct RelayState {
    faults: RelayFaults,
    /// One generator for each direction, so that the draws for the datagrams of one direction
    /// don't depend on how both directions interleave.
    to_server_rng: StdRng,
    to_client_rng: StdRng,
}

impl Relay {
    /// Starts a relay.
    ///
    /// # Errors
    ///
    /// Fails when the socket or the thread cannot be started.
    pub fn start(settings: &RelaySettings) -> Result<Self> {
        let (socket, address) = bind_socket(settings.listen).context(ListenSnafu {
            address: settings.listen,
        })?;
        let shared = Arc::new(SharedRelay {
            server: settings.server,
            state: Mutex::new(RelayState {
                faults: settings.faults.clone(),
                to_server_rng: StdRng::seed_from_u64(settings.seed),
                to_client_rng: StdRng::seed_from_u64(!settings.seed),
            }),
            forwarded_count: AtomicU64::new(0),
            dropped_count: AtomicU64::new(0),
        });
        let thread_shared = Arc::clone(&shared);
        let thread = ServerThread::start("standin-relay", move |stopped| async move {
            actix_rt::spawn(forward_requests(socket, thread_shared));
            // An error means that the handle was dropped, which also stops the relay.
            drop(stopped.await);
        })?;
        Ok(Self {
            address,
            shared,
            _thread: thread,
        })
    }

    /// Returns the address that clients send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: RelayFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns the number of datagrams forwarded so far, including duplicates.
    pub fn forwarded_count(&self) -> u64 {
        self.shared.forwarded_count.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams dropped so far.
    pub fn dropped_count(&self) -> u64 {
        self.shared.dropped_count.load(Ordering::Relaxed)
    }
}

impl SharedRelay {
    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Draws the faults of a datagram: returns one delay for each copy to forward, or no delay when
    /// the datagram is dropped.
    fn copy_delays(&self, to_server: bool) -> Vec<Duration> {
        let mut state = self.lock();
        let RelayState {
            faults,
            to_server_rng,
            to_client_rng,
        } = &mut *state;
        let rng = if to_server {
            to_server_rng
        } else {
            to_client_rng
        };
        let mut draw = |permille| rng.random_range(0..1000) < permille;
        let dropped = draw(faults.loss_permille);
        let duplicated = draw(faults.duplicate_permille);
        let reordered = draw(faults.reorder_permille);
        let blocked = if to_server {
            faults.block_to_server
        } else {
            faults.block_to_client
        };
        if dropped || blocked {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
            return Vec::new();
        }
        let extra_ms = if reordered { faults.reorder_ms } else { 0 };
        let delay = Duration::from_millis(faults.delay_ms + extra_ms);
        vec![delay; 1 + usize::from(duplicated)]
    }
}

fn bind_socket(address: SocketAddr) -> io::Result<(StdSocket, SocketAddr)> {
    let socket = StdSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// Forwards datagrams of all clients to the server.
async fn forward_requests(socket: StdSocket, shared: Arc<SharedRelay>) {
    let Ok(listen_socket) = UdpSocket::from_std(socket).map(Rc::new) else {
        return;
    };
    let mut server_sockets: HashMap<SocketAddr, Rc<UdpSocket>> = HashMap::new();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, client)) = listen_socket.recv_from(&mut buf).await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let server_socket = match server_sockets.entry(client) {
            Entry::Occupied(entry) => Rc::clone(entry.get()),
            Entry::Vacant(entry) => {
                let Ok(server_socket) = connect_socket(shared.server).await.map(Rc::new) else {
                    continue;
                };
                actix_rt::spawn(forward_replies(
                    Rc::clone(&server_socket),
                    Rc::clone(&listen_socket),
                    client,
                    Arc::clone(&shared),
                ));
                Rc::clone(entry.insert(server_socket))
            }
        };
        forward_copies(&shared, true, &server_socket, shared.server, &buf[..len]).await;
    }
}

/// Forwards datagrams of the server to one client.
async fn forward_replies(
    server_socket: Rc<UdpSocket>,
    listen_socket: Rc<UdpSocket>,
    client: SocketAddr,
    shared: Arc<SharedRelay>,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error means that the port of the server is closed; it may be opened again.
        let Ok((len, _)) = server_socket.recv_from(&mut buf).await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        forward_copies(&shared, false, &listen_socket, client, &buf[..len]).await;
    }
}

async fn connect_socket(server: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    socket.connect(server).await?;
    Ok(socket)
}

/// Forwards the copies of one datagram, each after its delay.
async fn forward_copies(
    shared: &Arc<SharedRelay>,
    to_server: bool,
    via: &Rc<UdpSocket>,
    to: SocketAddr,
    data: &[u8],
) {
    for delay in shared.copy_delays(to_server) {
        shared.forwarded_count.fetch_add(1, Ordering::Relaxed);
        if delay.is_zero() {
            send_datagram(via, to_server, to, data).await;
            continue;
        }
        let (via, data) = (Rc::clone(via), data.to_vec());
        actix_rt::spawn(async move {
            sleep(delay).await;
            send_datagram(&via, to_server, to, &data).await;
        });
    }
}

/// Sends one datagram. Errors are ignored: a datagram that cannot be sent is lost, as on a real
/// network.
async fn send_datagram(via: &UdpSocket, connected: bool, to: SocketAddr, data: &[u8]) {
    if connected {
        drop(via.send(data).await);
    } else {
        drop(via.send_to(data, to).await);
    }
}
