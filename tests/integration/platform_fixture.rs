//! Starts nodes with `interface = platform` and a stand-in of the platform's store, and
//! targets whose answers are scripted byte by byte.

use std::{
    fs,
    io::{Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use actix_rt::net::TcpSocket;
use plantainpost_standin::{
    fleet::{self, TempDir},
    log::{self, LogHandle, LogSettings},
    process::{self, Process, ProcessSettings},
};

use crate::fleet_fixture::{FLEET_KEY, WAIT_TIMEOUT};

/// Path of the binary under test.
pub(crate) const BINARY: &str = env!("CARGO_BIN_EXE_plantainpost");

/// Value of `born` of a target's first incarnation, in milliseconds since the Unix epoch.
pub(crate) const FIRST_BORN_MS: u64 = 1_770_140_801_833;

/// Listeners of one node: callers, admin, peers, control and metrics.
pub(crate) const ADDRESSES_PER_NODE: usize = 5;

/// Reply of a scripted target to one request.
pub(crate) enum ScriptedReply {
    /// Writes these bytes and keeps the connection open.
    Keep(Vec<u8>),
    /// Writes these bytes and closes the connection.
    Close(Vec<u8>),
    /// Writes these bytes before it reads the body, which must have a stated length, and keeps the
    /// connection open.
    Early(Vec<u8>),
    /// Waits, writes these bytes, reads nothing more and keeps the connection open.
    Unread(Duration, Vec<u8>),
    /// Reads the body, which must have a stated length, writes these bytes and closes the connection.
    CloseAfterBody(Vec<u8>),
    /// Writes the first bytes, then the second ones again and again until the node closes the
    /// connection.
    Endless(Vec<u8>, &'static [u8]),
    /// Waits, writes these bytes and keeps the connection open. Writes nothing if the node
    /// closes the connection while it waits.
    After(Duration, Vec<u8>),
}

/// Returns the reply to a request with this head, which is in lower case.
pub(crate) type Script = dyn Fn(&str) -> ScriptedReply + Send + Sync;

/// A target that answers according to a script and records the request heads.
pub(crate) struct ScriptedTarget {
    pub(crate) addr: SocketAddr,
    /// Heads of all requests so far, in lower case.
    pub(crate) received_heads: Arc<Mutex<Vec<String>>>,
    /// Number of connections that have been closed by either side.
    pub(crate) closed_connections: Arc<Mutex<usize>>,
}

impl ScriptedTarget {
    pub(crate) fn start(script: impl Fn(&str) -> ScriptedReply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let received = Arc::default();
        let closed = Arc::default();
        let target = ScriptedTarget {
            addr,
            received_heads: Arc::clone(&received),
            closed_connections: Arc::clone(&closed),
        };
        let script: Arc<Script> = Arc::new(script);
        thread::spawn(move || {
            for io in listener.incoming().map_while(std::result::Result::ok) {
                let (script, received) = (Arc::clone(&script), Arc::clone(&received));
                let closed = Arc::clone(&closed);
                thread::spawn(move || {
                    serve_connection(io, &*script, &received);
                    *closed.lock().expect("no panic") += 1;
                });
            }
        });
        target
    }

    /// Returns a copy of the heads of all requests so far, without health checks.
    pub(crate) fn received_heads(&self) -> Vec<String> {
        let mut heads = self.received_heads.lock().expect("no panic").clone();
        heads.retain(|head| !head.starts_with("get /healthz "));
        heads
    }
}

/// Serves the requests of one connection until either side closes it.
pub(crate) fn serve_connection(mut io: TcpStream, script: &Script, received: &Mutex<Vec<String>>) {
    while let Some(head) = read_head(&mut io) {
        received.lock().expect("no panic").push(head.clone());
        let (bytes, keep) = match script(&head) {
            ScriptedReply::Keep(bytes) => (bytes, true),
            ScriptedReply::Close(bytes) => (bytes, false),
            ScriptedReply::Early(bytes) => {
                if io.write_all(&bytes).is_err() || discard_body(&io, &head).is_err() {
                    return;
                }
                continue;
            }
            ScriptedReply::Unread(pause, bytes) => {
                thread::sleep(pause);
                let _ = io.write_all(&bytes);
                thread::sleep(WAIT_TIMEOUT);
                return;
            }
            ScriptedReply::CloseAfterBody(bytes) => match discard_body(&io, &head) {
                Ok(()) => (bytes, false),
                Err(_) => return,
            },
            ScriptedReply::Endless(first, repeated) => {
                let mut written = io.write_all(&first);
                while written.is_ok() {
                    written = io.write_all(repeated);
                }
                return;
            }
            ScriptedReply::After(pause, bytes) => {
                io.set_read_timeout(Some(pause)).expect("a timeout");
                // The node sends no further request here, so an empty read means that it closed.
                if matches!(io.read(&mut [0; 1]), Ok(0)) {
                    return;
                }
                io.set_read_timeout(None).expect("a timeout");
                (bytes, true)
            }
        };
        if io.write_all(&bytes).is_err() || !keep {
            return;
        }
    }
}

/// Reads and discards the body of a request with this head, if it states a length.
fn discard_body(io: &TcpStream, head: &str) -> std::io::Result<()> {
    let length = header(head, "content-length").parse().unwrap_or_default();
    std::io::copy(&mut io.take(length), &mut std::io::sink()).map(|_| ())
}

/// Reads a request head and returns it in lower case, or `None` at the end of the
/// connection.
pub(crate) fn read_head(io: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match io.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&head).to_ascii_lowercase())
}

/// Returns the value of a header, or an empty string if it is missing. Name and head are in
/// lower case.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let line = head.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.strip_prefix(": "))
        .unwrap_or_default()
}

/// Returns a complete answer to the request with this head.
pub(crate) fn answer(head: &str, status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nPlantainpost-Request-Id: {}\r\nPlantainpost-Server-Stamp: s1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        header(head, "plantainpost-request-id"),
        body.len()
    )
    .into_bytes()
}

/// One node of a [`PlatformFleet`] with its listeners.
pub(crate) struct PlatformHost {
    pub(crate) callers: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) settings: std::path::PathBuf,
    pub(crate) process: Process,
}

/// A running fleet of nodes on the platform, and its store.
pub(crate) struct PlatformFleet {
    pub(crate) store: LogHandle,
    pub(crate) hosts: Vec<PlatformHost>,
    dir: TempDir,
}

/// Path prefix, kind and timeout in milliseconds of the routes that most tests use.
const STANDARD_ROUTES: &[(&str, &str, u64)] = &[
    ("/safe/", "safe", 5_000),
    ("/once/", "unsafe", 5_000),
    ("/short/", "safe", 400),
];

/// Starts a node with a settings file.
pub(crate) fn start_process(settings: &Path) -> Process {
    Process::start(&ProcessSettings {
        program: BINARY.into(),
        args: vec!["run".into(), settings.into()],
        ..Default::default()
    })
    .expect("the binary starts")
}

/// Starts node `i` in a folder with the fleet key. `at` are its addresses; `edit` may change its
/// settings.
fn start_host(
    dir: &Path,
    i: usize,
    at: &[SocketAddr],
    store: SocketAddr,
    edit: impl FnOnce(&mut String),
) -> PlatformHost {
    let [callers, admin, peers, control] = [at[0], at[1], at[2], at[3]];
    let metrics = at[4];
    let mut text = format!(
        "[node]\nname = host-{i}\ndata_centre = pos\nregion = tt\nip = 127.0.0.1\n\
         service = counter\ninterface = platform\n[listen]\ncallers = {callers}\nadmin = {admin}\n\
         peer_tcp = {peers}\npeer_udp = {peers}\ncontrol = {control}\nmetrics = {metrics}\n\
         [log]\naddress = {store}\n[platform]\ngrace = 6 s\n\
         [retry]\nfleet_slack = 50\n[security]\nkey_file = {}\n",
        dir.join("fleet.key").display()
    );
    edit(&mut text);
    let settings = dir.join(format!("host-{i}.ini"));
    fs::write(&settings, text).expect("settings can be written");
    PlatformHost {
        callers,
        admin,
        peers,
        control,
        metrics,
        process: start_process(&settings),
        settings,
    }
}

impl PlatformFleet {
    /// Starts nodes without routes or targets and waits until each answers `/-/readyz` with
    /// 503.
    pub(crate) fn start(count: usize) -> Self {
        Self::start_with_store_addresses(count, |_, store| store)
    }

    /// Like [`PlatformFleet::start`], with a store address for each node: `address_of` gets the
    /// index of the node and the address of the store.
    pub(crate) fn start_with_store_addresses(
        count: usize,
        address_of: impl FnMut(usize, SocketAddr) -> SocketAddr,
    ) -> Self {
        Self::start_with_settings(count, address_of, |_, _| ())
    }

    /// Like [`PlatformFleet::start_with_store_addresses`]; `edit` may change the settings of each node.
    pub(crate) fn start_with_settings(
        count: usize,
        address_of: impl FnMut(usize, SocketAddr) -> SocketAddr,
        edit: impl FnMut(usize, &mut String),
    ) -> Self {
        Self::start_with_store(&LogSettings::default(), count, address_of, edit)
    }

    /// Like [`PlatformFleet::start_with_settings`], with settings of the store.
    pub(crate) fn start_with_store(
        store: &LogSettings,
        count: usize,
        mut address_of: impl FnMut(usize, SocketAddr) -> SocketAddr,
        mut edit: impl FnMut(usize, &mut String),
    ) -> Self {
        let store = log::start(store).expect("the store starts");
        let dir = TempDir::new().expect("a temporary directory");
        let key = dir.path().join("fleet.key");
        fs::write(&key, FLEET_KEY).expect("the key can be written");
        let addresses = fleet::free_node_addresses(count * ADDRESSES_PER_NODE);
        let hosts = addresses.chunks(ADDRESSES_PER_NODE).enumerate();
        let hosts = hosts.map(|(i, at)| {
            let store = address_of(i, store.address());
            start_host(dir.path(), i, at, store, |text| edit(i, text))
        });
        let hosts = hosts.collect();
        let platform = PlatformFleet { store, hosts, dir };
        for i in 0..count {
            platform.wait_readyz(i, "503");
        }
        platform
    }

    /// Starts a further node, which knows no other one, and returns its index.
    pub(crate) fn add_node(&mut self) -> usize {
        let (i, store) = (self.hosts.len(), self.store.address());
        let addresses = fleet::free_node_addresses(ADDRESSES_PER_NODE);
        let host = start_host(self.dir.path(), i, &addresses, store, |_| ());
        self.hosts.push(host);
        i
    }

    /// Starts one node with a target and routes to it, and waits until it is ready.
    pub(crate) fn start_with_target(target: &ScriptedTarget) -> Self {
        let platform = PlatformFleet::start(1);
        platform.publish_routes(4);
        platform.announce(0, target, "i-1", 1, "ready");
        platform.wait_readyz(0, "200");
        platform
    }

    /// Writes routes to the service `shelf` to the store: `/safe/` is safe to repeat,
    /// `/once/` is not, and `/short/` is safe with a timeout of 400 ms instead of 5 s.
    pub(crate) fn publish_routes(&self, version: u64) {
        self.publish_route_list(version, STANDARD_ROUTES);
    }

    /// Writes routes to the service `shelf` to the store. Each has a path prefix, a kind, and a
    /// timeout in milliseconds. Request bodies may have 1,000 bytes.
    pub(crate) fn publish_route_list(&self, version: u64, routes: &[(&str, &str, u64)]) {
        self.publish_route_list_with_limit(version, routes, 1_000);
    }

    /// Like [`PlatformFleet::publish_route_list`], with another limit on the length of request bodies.
    pub(crate) fn publish_route_list_with_limit(
        &self,
        version: u64,
        routes: &[(&str, &str, u64)],
        max_body_bytes: usize,
    ) {
        let routes = routes.iter().map(|(prefix, kind, timeout)| {
            format!(
                r#""r{prefix}":{{"host":"shop.example","pathPrefix":"{prefix}","kind":"{kind}",
                "timeoutMs":{timeout},"latencyTargetMs":{timeout},"priority":1,"attempts":2,
                "service":"shelf"}}"#
            )
        });
        let routes = routes.collect::<Vec<_>>().join(",");
        let text = format!(
            r#"{{"version":{version},"routes":{{{routes}}},"services":{{"shelf":
            {{"healthPath":"/healthz","maxConns":260}}}},"limits":{{"maxHeaderBytes":16384,
            "maxBodyBytes":{max_body_bytes},"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        );
        self.store
            .append_keyed("keyed.op", "config", text.as_bytes());
    }

    /// Announces the first incarnation of a target to a node and returns the answer.
    pub(crate) fn announce(
        &self,
        i: usize,
        target: &ScriptedTarget,
        id: &str,
        seq: u64,
        state: &str,
    ) -> String {
        self.announce_incarnation(i, target, id, FIRST_BORN_MS, seq, state)
    }

    /// Announces the incarnation of a target that began at `born` to a node and returns the
    /// answer.
    pub(crate) fn announce_incarnation(
        &self,
        i: usize,
        target: &ScriptedTarget,
        id: &str,
        born: u64,
        seq: u64,
        state: &str,
    ) -> String {
        let body = format!(
            r#"{{"address":"{}","info":{{"service":"shelf","version":"v1","zone":"pos",
            "maxConcurrency":12}},"status":{{"state":"{state}","seq":{seq},"warmupMs":0}},
            "born":{born}}}"#,
            target.addr
        );
        self.send_control(i, "PUT", &format!("/-/instances/{id}"), &body)
    }

    /// Sends a request to the control listener of a node and returns the answer.
    pub(crate) fn send_control(&self, i: usize, method: &str, path: &str, body: &str) -> String {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {}\r\n\
             \r\n{body}",
            body.len()
        );
        exchange(self.hosts[i].control, request.as_bytes())
    }

    /// Waits until `/-/readyz` of a node answers with a status code.
    pub(crate) fn wait_readyz(&self, i: usize, status: &str) {
        let wanted = format!("HTTP/1.1 {status}");
        process::wait_until("status of /-/readyz", WAIT_TIMEOUT, || {
            self.send_control(i, "GET", "/-/readyz", "")
                .starts_with(&wanted)
        })
        .expect("the node answers /-/readyz with this status");
    }

    /// Sends a `GET` request to a node as a caller and returns the answer.
    pub(crate) fn get(&self, i: usize, path: &str, id: &str) -> String {
        self.send(i, "GET", path, id)
    }

    /// Sends a request without a body to a node on a new connection and returns the answer.
    pub(crate) fn send(&self, i: usize, method: &str, path: &str, id: &str) -> String {
        exchange(
            self.hosts[i].callers,
            &request_head(method, path, id, "Connection: close\r\n"),
        )
    }
}

/// Returns the head of a request with a deadline of 3 s and a forged caller header.
pub(crate) fn request_head(method: &str, path: &str, id: &str, extra_headers: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nPlantainpost-Request-Id: {id}\r\n\
         Plantainpost-Deadline-Ms: 3000\r\nPlantainpost-Caller: forged\r\n{extra_headers}\r\n"
    )
    .into_bytes()
}

/// Sends bytes and returns what it receives until the end of the connection. Returns an
/// empty text if the listener accepts no connection.
pub(crate) fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    match TcpStream::connect(addr) {
        Ok(io) => exchange_on(io, bytes),
        Err(_) => String::new(),
    }
}

/// Like [`exchange`], over a connection from the address `from`.
pub(crate) fn exchange_from(from: IpAddr, addr: SocketAddr, bytes: &[u8]) -> String {
    let connect = async || -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind((from, 0).into())?;
        let io = socket.connect(addr).await?.into_std()?;
        io.set_nonblocking(false)?;
        Ok(io)
    };
    let io = actix_rt::System::new().block_on(connect());
    exchange_on(io.expect("the node accepts"), bytes)
}

/// Like [`exchange`], over an open connection.
pub(crate) fn exchange_on(mut io: TcpStream, bytes: &[u8]) -> String {
    io.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    io.write_all(bytes).expect("the node reads");
    let mut text = Vec::new();
    // A reset also ends the answer; what was received before it counts.
    let _ = io.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Returns the body of an answer, with its chunk framing if it has any.
pub(crate) fn body(text: &str) -> &str {
    text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}
