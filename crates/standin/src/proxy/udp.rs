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

/// Largest datagram.
const DATAGRAM_BYTES: usize = 65_536;

/// Fault switches of a UDP relay, for both directions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayFaults {
    /// Share of datagrams that are lost, in permille.
    pub loss_permille: u32,
    /// Share of datagrams that are passed on twice, in permille.
    pub duplicate_permille: u32,
    /// Share of datagrams that are passed on `reorder_ms` later, in permille.
    pub reorder_permille: u32,
    /// Additional delay of reordered datagrams, in ms.
    pub reorder_ms: u64,
    /// Delay of all datagrams, in ms.
    pub delay_ms: u64,
    /// Whether all datagrams to the server are lost.
    pub block_up: bool,
    /// Whether all datagrams from the server are lost.
    pub block_down: bool,
}

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Where to listen; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Where datagrams are passed on to.
    pub server: SocketAddr,
    /// The seed of losses, duplicates and reordering.
    pub seed: u64,
    /// Fault switches at the start.
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
/// Each client gets a socket of its own towards the server, so the server sees one source
/// address per client, and its replies go back through the relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    _thread: ServerThread,
}

#[derive(Debug)]
struct Shared {
    server: SocketAddr,
    state: Mutex<State>,
    passed: AtomicU64,
    lost: AtomicU64,
}

#[derive(Debug)]
struct State {
    faults: RelayFaults,
    /// One generator for each direction, so that the same datagrams of one direction have
    /// the same fate however both directions interleave.
    up: StdRng,
    down: StdRng,
}

impl Relay {
    /// Starts a relay.
    ///
    /// # Errors
    ///
    /// Fails when the socket or the thread cannot be started.
    pub fn start(settings: &RelaySettings) -> Result<Self> {
        let (socket, address) = bind(settings.listen).context(ListenSnafu {
            address: settings.listen,
        })?;
        let shared = Arc::new(Shared {
            server: settings.server,
            state: Mutex::new(State {
                faults: settings.faults.clone(),
                up: StdRng::seed_from_u64(settings.seed),
                down: StdRng::seed_from_u64(!settings.seed),
            }),
            passed: AtomicU64::new(0),
            lost: AtomicU64::new(0),
        });
        let served = Arc::clone(&shared);
        let thread = ServerThread::start("standin-relay", move |stopped| async move {
            actix_rt::spawn(serve(socket, served));
            // An error means that the handle was dropped, which also stops the relay.
            drop(stopped.await);
        })?;
        Ok(Self {
            address,
            shared,
            _thread: thread,
        })
    }

    /// The address that clients send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: RelayFaults) {
        self.shared.lock().faults = faults;
    }

    /// Datagrams passed on so far; duplicates count.
    pub fn passed(&self) -> u64 {
        self.shared.passed.load(Ordering::Relaxed)
    }

    /// Datagrams lost so far.
    pub fn lost(&self) -> u64 {
        self.shared.lost.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// The delays after which copies of a datagram are passed on; none when it is lost.
    fn copies(&self, up: bool) -> Vec<Duration> {
        let mut state = self.lock();
        let State {
            faults,
            up: up_rng,
            down,
        } = &mut *state;
        let rng = if up { up_rng } else { down };
        let mut hit = |permille| rng.random_range(0..1000) < permille;
        let lost = hit(faults.loss_permille);
        let twice = hit(faults.duplicate_permille);
        let late = hit(faults.reorder_permille);
        let blocked = if up {
            faults.block_up
        } else {
            faults.block_down
        };
        if lost || blocked {
            self.lost.fetch_add(1, Ordering::Relaxed);
            return Vec::new();
        }
        let extra = if late { faults.reorder_ms } else { 0 };
        let delay = Duration::from_millis(faults.delay_ms + extra);
        vec![delay; 1 + usize::from(twice)]
    }
}

fn bind(address: SocketAddr) -> io::Result<(StdSocket, SocketAddr)> {
    let socket = StdSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// Passes datagrams of all clients on to the server.
async fn serve(socket: StdSocket, shared: Arc<Shared>) {
    let Ok(front) = UdpSocket::from_std(socket).map(Rc::new) else {
        return;
    };
    let mut backs: HashMap<SocketAddr, Rc<UdpSocket>> = HashMap::new();
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((len, client)) = front.recv_from(&mut buf).await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let back = match backs.entry(client) {
            Entry::Occupied(entry) => Rc::clone(entry.get()),
            Entry::Vacant(entry) => {
                let Ok(back) = connect(shared.server).await.map(Rc::new) else {
                    continue;
                };
                actix_rt::spawn(replies(
                    Rc::clone(&back),
                    Rc::clone(&front),
                    client,
                    Arc::clone(&shared),
                ));
                Rc::clone(entry.insert(back))
            }
        };
        pass(&shared, true, &back, shared.server, &buf[..len]).await;
    }
}

/// Passes replies of the server on to one client.
async fn replies(
    back: Rc<UdpSocket>,
    front: Rc<UdpSocket>,
    client: SocketAddr,
    shared: Arc<Shared>,
) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        // An error means that the server's port was closed; it may be opened again.
        let Ok((len, _)) = back.recv_from(&mut buf).await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        pass(&shared, false, &front, client, &buf[..len]).await;
    }
}

async fn connect(server: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    socket.connect(server).await?;
    Ok(socket)
}

/// Passes the copies of one datagram on.
async fn pass(shared: &Arc<Shared>, up: bool, via: &Rc<UdpSocket>, to: SocketAddr, data: &[u8]) {
    for delay in shared.copies(up) {
        shared.passed.fetch_add(1, Ordering::Relaxed);
        if delay.is_zero() {
            send(via, up, to, data).await;
            continue;
        }
        let (via, data) = (Rc::clone(via), data.to_vec());
        actix_rt::spawn(async move {
            sleep(delay).await;
            send(&via, up, to, &data).await;
        });
    }
}

/// Sends one datagram; a datagram that cannot be sent is lost, as on a real network.
async fn send(via: &UdpSocket, connected: bool, to: SocketAddr, data: &[u8]) {
    if connected {
        drop(via.send(data).await);
    } else {
        drop(via.send_to(data, to).await);
    }
}
