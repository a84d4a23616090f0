//! The address of an endpoint, which can fall silent and then go to another endpoint.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

/// Time between two looks at the state of the address.
const POLL: Duration = Duration::from_millis(2);

struct State {
    /// Number of the process that has the address.
    owner: AtomicU32,
    /// Connections of owners up to this one carry nothing.
    silent_to: AtomicU32,
    /// Connections of owners up to this one are reset.
    reset_to: AtomicU32,
    backend: Mutex<SocketAddr>,
}

/// A proxy at the address of an endpoint.
#[derive(Clone)]
pub struct Proxy(Arc<State>);

impl Proxy {
    pub fn start(addr: SocketAddr, backend: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let proxy = Proxy(Arc::new(State {
            owner: AtomicU32::new(1),
            silent_to: AtomicU32::new(0),
            reset_to: AtomicU32::new(0),
            backend: Mutex::new(backend),
        }));
        let accepting = proxy.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let proxy = accepting.clone();
                thread::spawn(move || proxy.serve(io));
            }
        });
        Ok(proxy)
    }

    /// Makes the owner of the address fall silent, without an end of its connections.
    pub fn silence_owner(&self) {
        let owner = self.0.owner.load(Ordering::SeqCst);
        self.0.silent_to.store(owner, Ordering::SeqCst);
    }

    /// Gives the address to another endpoint, for new connections.
    pub fn give_to(&self, backend: SocketAddr) {
        *self.0.backend.lock().unwrap() = backend;
        self.0.owner.fetch_add(1, Ordering::SeqCst);
    }

    /// Resets the connections of the owners that are silent.
    pub fn reset_silent(&self) {
        let silent_to = self.0.silent_to.load(Ordering::SeqCst);
        self.0.reset_to.store(silent_to, Ordering::SeqCst);
    }

    fn serve(&self, io: TcpStream) {
        let owner = self.0.owner.load(Ordering::SeqCst);
        let backend = *self.0.backend.lock().unwrap();
        if self.0.silent_to.load(Ordering::SeqCst) >= owner {
            return self.hold(owner);
        }
        let Ok(server) = TcpStream::connect(backend) else { return };
        let (Ok(io_copy), Ok(server_copy)) = (io.try_clone(), server.try_clone()) else { return };
        let proxy = self.clone();
        thread::spawn(move || proxy.copy(owner, server_copy, io_copy));
        self.copy(owner, io, server);
    }

    /// Keeps a silent connection open until it is reset.
    fn hold(&self, owner: u32) {
        while self.0.reset_to.load(Ordering::SeqCst) < owner {
            thread::sleep(POLL);
        }
    }

    /// Copies bytes until the end of the connection. Dropping a stream with unread bytes resets it.
    fn copy(&self, owner: u32, mut from: TcpStream, mut to: TcpStream) {
        let _ = (from.set_nodelay(true), from.set_read_timeout(Some(POLL)));
        let mut buf = [0; 16 * 1024];
        loop {
            if self.0.silent_to.load(Ordering::SeqCst) >= owner {
                return self.hold(owner);
            }
            match from.read(&mut buf) {
                Ok(0) => {
                    let _ = to.shutdown(std::net::Shutdown::Write);
                    return;
                }
                Ok(count) => {
                    if to.write_all(&buf[..count]).is_err() {
                        return;
                    }
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => (),
                Err(_) => return,
            }
        }
    }
}
