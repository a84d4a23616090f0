//! Nodes on the platform with a stand-in of its store, and targets that are scripted byte by
//! byte.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use plantainpost_standin::{
    fleet::{self, TempDir},
    log::{self, LogHandle, LogSettings},
    process::{self, Process, ProcessSettings},
};

use crate::fleet_fixture::{FLEET_KEY, WAIT_TIMEOUT};

pub(crate) const BINARY: &str = env!("CARGO_BIN_EXE_plantainpost");

/// Start of a life of a target, in milliseconds since the Unix epoch.
pub(crate) const FIRST_BORN_MS: u64 = 1_770_140_801_833;

/// Addresses of one node.
pub(crate) const ADDRESSES_PER_NODE: usize = 5;

/// What a scripted target does with one request.
pub(crate) enum ScriptedReply {
    /// Writes these bytes and keeps the connection.
    Keep(Vec<u8>),
    /// Writes these bytes and closes the connection.
    Close(Vec<u8>),
    /// Waits and then writes these bytes.
    After(Duration, Vec<u8>),
}

pub(crate) type Script = dyn Fn(&str) -> ScriptedReply + Send + Sync;

/// A target that answers by a script, and what it has received.
pub(crate) struct ScriptedTarget {
    pub(crate) addr: SocketAddr,
    pub(crate) received_heads: Arc<Mutex<Vec<String>>>,
    /// Connections that the node has closed.
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

    pub(crate) fn received_heads(&self) -> Vec<String> {
        self.received_heads.lock().expect("no panic").clone()
    }
}

pub(crate) fn serve_connection(mut io: TcpStream, script: &Script, received: &Mutex<Vec<String>>) {
    while let Some(head) = read_head(&mut io) {
        received.lock().expect("no panic").push(head.clone());
        let (bytes, keep) = match script(&head) {
            ScriptedReply::Keep(bytes) => (bytes, true),
            ScriptedReply::Close(bytes) => (bytes, false),
            ScriptedReply::After(pause, bytes) => {
                io.set_read_timeout(Some(pause)).expect("a timeout");
                // The node sends nothing more, so a read that ends is the close.
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

/// Returns the value of a header of a head in lower case.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let line = head.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.strip_prefix(": "))
        .unwrap_or_default()
}

/// A whole answer to the request with this head.
pub(crate) fn answer(head: &str, status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nPlantainpost-Request-Id: {}\r\nPlantainpost-Server-Stamp: s1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        header(head, "plantainpost-request-id"),
        body.len()
    )
    .into_bytes()
}

pub(crate) struct PlatformHost {
    pub(crate) callers: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) settings: std::path::PathBuf,
    pub(crate) process: Process,
}

pub(crate) struct PlatformFleet {
    pub(crate) store: LogHandle,
    pub(crate) hosts: Vec<PlatformHost>,
    _dir: TempDir,
}

pub(crate) fn start_process(settings: &std::path::Path) -> Process {
    Process::start(&ProcessSettings {
        program: BINARY.into(),
        args: vec!["run".into(), settings.into()],
        ..Default::default()
    })
    .expect("the binary starts")
}

impl PlatformFleet {
    /// Starts nodes without routes and targets.
    pub(crate) fn start(count: usize) -> Self {
        let store = log::start(&LogSettings::default()).expect("the store starts");
        let dir = TempDir::new().expect("a temporary directory");
        let key = dir.path().join("fleet.key");
        fs::write(&key, FLEET_KEY).expect("the key can be written");
        let addresses = fleet::free_addresses(count * ADDRESSES_PER_NODE);
        let hosts = addresses.chunks(ADDRESSES_PER_NODE).enumerate().map(|(i, at)| {
            let [callers, admin, peers, control] = [at[0], at[1], at[2], at[3]];
            let metrics = at[4];
            let text = format!(
                "[node]\nname = host-{i}\ndata_centre = pos\nregion = tt\nip = 127.0.0.1\n\
                 service = counter\ninterface = platform\n[listen]\ncallers = {callers}\nadmin = {admin}\n\
                 peer_tcp = {peers}\npeer_udp = {peers}\ncontrol = {control}\nmetrics = {metrics}\n\
                 [log]\naddress = {}\n[platform]\ngrace = 6 s\n\
                 [retry]\nfleet_slack = 50\n[security]\nkey_file = {}\n",
                store.address(),
                key.display()
            );
            let settings = dir.path().join(format!("host-{i}.ini"));
            fs::write(&settings, text).expect("settings can be written");
            PlatformHost {
                callers,
                control,
                metrics,
                process: start_process(&settings),
                settings,
            }
        });
        let hosts = hosts.collect();
        let platform = PlatformFleet {
            store,
            hosts,
            _dir: dir,
        };
        for i in 0..count {
            platform.wait_readyz(i, "503");
        }
        platform
    }

    /// Starts one node with a target and routes to it.
    pub(crate) fn start_with_target(target: &ScriptedTarget) -> Self {
        let platform = PlatformFleet::start(1);
        platform.publish_routes(4);
        platform.announce(0, target, "i-1", 1, "ready");
        platform.wait_readyz(0, "200");
        platform
    }

    /// Publishes routes to the service `shelf`: safe ones below `/safe/`, others below
    /// `/once/`, and short ones below `/short/`.
    pub(crate) fn publish_routes(&self, version: u64) {
        let route = |prefix: &str, kind: &str, timeout: u64| {
            format!(
                r#""r{prefix}":{{"host":"shop.example","pathPrefix":"{prefix}","kind":"{kind}",
                "timeoutMs":{timeout},"latencyTargetMs":{timeout},"priority":1,"attempts":2,
                "service":"shelf"}}"#
            )
        };
        let text = format!(
            r#"{{"version":{version},"routes":{{{},{},{}}},"services":{{"shelf":
            {{"healthPath":"/healthz","maxConns":260}}}},"limits":{{"maxHeaderBytes":16384,
            "maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
            route("/safe/", "safe", 5_000),
            route("/once/", "unsafe", 5_000),
            route("/short/", "safe", 400),
        );
        self.store.write("keyed.op", "config", text.as_bytes());
    }

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

    pub(crate) fn send_control(&self, i: usize, method: &str, path: &str, body: &str) -> String {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {}\r\n\
             \r\n{body}",
            body.len()
        );
        exchange(self.hosts[i].control, request.as_bytes())
    }

    pub(crate) fn wait_readyz(&self, i: usize, status: &str) {
        let wanted = format!("HTTP/1.1 {status}");
        process::wait_until("readiness", WAIT_TIMEOUT, || {
            self.send_control(i, "GET", "/-/readyz", "")
                .starts_with(&wanted)
        })
        .expect("the node becomes ready");
    }

    pub(crate) fn get(&self, i: usize, path: &str, id: &str) -> String {
        exchange(
            self.hosts[i].callers,
            &request_head("GET", path, id, "Connection: close\r\n"),
        )
    }
}

pub(crate) fn request_head(method: &str, path: &str, id: &str, more: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nPlantainpost-Request-Id: {id}\r\n\
         Plantainpost-Deadline-Ms: 3000\r\nPlantainpost-Caller: forged\r\n{more}\r\n"
    )
    .into_bytes()
}

/// Sends bytes and returns what comes back until the end of the connection.
pub(crate) fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let Ok(mut io) = TcpStream::connect(addr) else {
        return String::new();
    };
    io.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    io.write_all(bytes).expect("the node reads");
    let mut text = Vec::new();
    // A reset ends the text as well.
    let _ = io.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

pub(crate) fn body(text: &str) -> &str {
    text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}
