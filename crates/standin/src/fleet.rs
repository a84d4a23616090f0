//! A fleet of real node processes with stand-ins for everything around them.
//!
//! Each node listens on three loopback ports, and a target in this process announces
//! itself to it. The log service runs in this process, too.

use std::{
    fmt::Write,
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use serde_json::Value;
use snafu::ResultExt;

use crate::{
    error::{Error, FileSnafu, Result, SettingSnafu, TimeoutSnafu},
    log::{self, LogHandle, LogSettings},
    process::{self, Process, ProcessSettings},
    proxy::Proxy,
    target::{self, Interface, TargetHandle, TargetSettings},
};

/// First port and number of ports for nodes. They lie below the range that the system
/// gives to outgoing connections, so that no other connection takes one between the check
/// and its use.
const FIRST_PORT: u16 = 10_000;
const PORTS: u32 = 20_000;

/// Key of the fleet.
pub const KEY: [u8; 32] = [7; 32];

/// Addresses that each host has: four of its node and one of its target.
const ADDRESSES: usize = 5;

/// Settings of nodes on the platform: the bounds of the users' sites.
const PLATFORM_SETTINGS: &str = "[platform]\nannounce_every = 1000 ms\ngrace = 6 s\nprobes = 60\n\
     [retry]\nfleet_slack = 56\n";

/// Addresses of other nodes that each node contacts first.
const CONTACTS: usize = 3;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);
static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

/// One host: a node and the target beside it.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the node.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Settings of the target; its name and node are filled in.
    pub target: TargetSettings,
}

/// Settings of a fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetSettings {
    /// The binary `plantainpost`.
    pub binary: PathBuf,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The log service.
    pub log: LogSettings,
    /// Policy for choosing a target; the default one if empty.
    pub policy: String,
    /// Whether nodes and targets speak the interface of the users' platform, over links that
    /// can be disturbed.
    pub on_platform: bool,
    /// Whether log lines of nodes go to the standard error of this process.
    pub echo: bool,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
    /// TCP and UDP address for peers.
    pub peers: SocketAddr,
    /// Listener for announcements on the platform.
    pub control: SocketAddr,
    /// The process.
    pub process: Process,
}

/// Links of one host on the platform.
#[derive(Debug)]
pub struct Links {
    /// From the node to the store.
    pub store: Proxy,
    /// From the node to the target beside it.
    pub target: Proxy,
}

/// A running fleet, stopped on drop.
pub struct Fleet {
    /// The nodes, in the order of their hosts.
    pub nodes: Vec<Node>,
    /// The targets beside the nodes.
    pub targets: Vec<TargetHandle>,
    /// The log service.
    pub log: LogHandle,
    /// The links of each host; none unless the fleet is on the platform.
    pub links: Vec<Links>,
    settings: FleetSettings,
    dir: TempDir,
}

/// A temporary directory that is removed on drop.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Makes a directory.
    ///
    /// # Errors
    ///
    /// Fails when it can't be made.
    pub fn new() -> Result<Self> {
        let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
        let name = format!("plantainpost-fleet-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).context(FileSnafu {
            path: path.display().to_string(),
        })?;
        Ok(TempDir(path))
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

/// Returns the binary `plantainpost` beside the running program.
///
/// # Errors
///
/// Fails when it is not there.
pub fn sibling_binary() -> Result<PathBuf> {
    let path = std::env::current_exe()
        .ok()
        .and_then(|exe| Some(exe.parent()?.join("plantainpost")))
        .filter(|path| path.exists());
    path.ok_or_else(|| Error::Setting {
        reason: "the binary plantainpost is not beside this program; build it first".to_owned(),
    })
}

/// Returns loopback addresses whose ports are free for TCP and UDP.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    // Programs that run at the same time start at different ports.
    let start = std::process::id().wrapping_mul(211);
    let next = || {
        let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let offset = start.wrapping_add(number) % PORTS;
        SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + offset as u16))
    };
    let is_free =
        |addr: &SocketAddr| TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok();
    std::iter::repeat_with(next)
        .filter(is_free)
        .take(count)
        .collect()
}

impl Fleet {
    /// Starts a fleet and waits until each node knows every target.
    ///
    /// # Errors
    ///
    /// Fails when something does not start or the nodes do not find each other in time.
    pub fn start(settings: &FleetSettings, limit: Duration) -> Result<Self> {
        if settings.hosts.is_empty() {
            return SettingSnafu {
                reason: "a fleet has at least one host",
            }
            .fail();
        }
        let mut fleet = Fleet {
            nodes: Vec::new(),
            targets: Vec::new(),
            links: Vec::new(),
            log: log::start(&settings.log)?,
            settings: settings.clone(),
            dir: TempDir::new()?,
        };
        let key = fleet.dir.path().join("fleet.key");
        fs::write(&key, KEY).context(FileSnafu {
            path: key.display().to_string(),
        })?;
        let addresses = free_addresses(settings.hosts.len() * ADDRESSES);
        for i in 0..settings.hosts.len() {
            fleet.start_host(i, &addresses)?;
        }
        let deadline = std::time::Instant::now() + limit;
        for i in 0..fleet.nodes.len() {
            fleet.wait_ready(i, deadline)?;
        }
        Ok(fleet)
    }

    fn start_host(&mut self, i: usize, addresses: &[SocketAddr]) -> Result<()> {
        let host = &self.settings.hosts[i];
        let [callers, admin, peers, control, own] =
            [0, 1, 2, 3, 4].map(|k| addresses[i * ADDRESSES + k]);
        let on_platform = self.settings.on_platform;
        if on_platform {
            self.links.push(Links {
                store: Proxy::start(self.log.address())?,
                target: Proxy::start(own)?,
            });
        }
        let file = self.dir.path().join(format!("{}.ini", host.name));
        let text = self.settings_text(i, addresses);
        fs::write(&file, text).context(FileSnafu {
            path: file.display().to_string(),
        })?;
        let target = TargetSettings {
            name: host.name.clone(),
            node: Some(if on_platform { control } else { admin }),
            ..host.target.clone()
        };
        let target = match self.links.get(i) {
            Some(links) => TargetSettings {
                listen: own,
                interface: Interface::Platform,
                announced_address: Some(links.target.address()),
                ..target
            },
            None => target,
        };
        let process = self.start_process(&file)?;
        self.nodes.push(Node {
            callers,
            admin,
            peers,
            control,
            process,
        });
        self.targets.push(target::start(&target)?);
        Ok(())
    }

    fn settings_text(&self, i: usize, addresses: &[SocketAddr]) -> String {
        let host = &self.settings.hosts[i];
        let [callers, admin, peers, control] = [0, 1, 2, 3].map(|k| addresses[i * ADDRESSES + k]);
        let links = self.links.get(i);
        let store = links.map_or(self.log.address(), |links| links.store.address());
        let (mut node, mut more) = ("", "");
        if self.settings.on_platform {
            node = "interface = platform\n";
            more = PLATFORM_SETTINGS;
        }
        let mut text = format!(
            "[node]\nname = {}\ndata_centre = {}\nregion = one\nip = 127.0.0.1\n{node}\
             [listen]\ncallers = {callers}\nadmin = {admin}\npeer_tcp = {peers}\n\
             peer_udp = {peers}\ncontrol = {control}\n[log]\naddress = {store}\n{more}\
             [security]\nkey_file = {}\n",
            host.name,
            host.data_centre,
            self.dir.path().join("fleet.key").display(),
        );
        let contacts = (0..CONTACTS.min(self.settings.hosts.len()))
            .filter(|k| *k != i)
            .map(|k| addresses[k * ADDRESSES + 2].to_string());
        let contacts = contacts.collect::<Vec<_>>().join(", ");
        if !contacts.is_empty() && !self.settings.on_platform {
            let _ = write!(text, "[peers]\ncontacts = {contacts}\n");
        }
        if !self.settings.policy.is_empty() {
            let _ = write!(text, "[balance]\npolicy = {}\n", self.settings.policy);
        }
        text
    }

    fn start_process(&self, file: &Path) -> Result<Process> {
        Process::start(&ProcessSettings {
            program: self.settings.binary.clone(),
            args: vec!["run".into(), file.into()],
            echo: self.settings.echo,
            ..Default::default()
        })
    }

    /// Ends the process of a node, if it still runs, and starts it again.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn restart(&mut self, i: usize) -> Result<()> {
        let name = &self.settings.hosts[i].name;
        let file = self.dir.path().join(format!("{name}.ini"));
        // Both fail only when the process has ended.
        drop(self.nodes[i].process.signal(process::Signal::Kill));
        drop(self.nodes[i].process.wait_exit(Duration::from_secs(5)));
        self.nodes[i].process = self.start_process(&file)?;
        Ok(())
    }

    /// Waits until a node knows every target and no target is leaving.
    ///
    /// # Errors
    ///
    /// Fails when that is not so at `deadline`.
    pub fn wait_ready(&self, i: usize, deadline: std::time::Instant) -> Result<()> {
        let count = self.targets.len();
        let limit = deadline.saturating_duration_since(std::time::Instant::now());
        process::wait_until("all targets are known", limit, || {
            let status = self.get(i, "/v1/status").unwrap_or_default();
            let members = status["members"].as_array();
            let ready = |m: &&Value| m["state"] == "alive" && m["leaving"] == false;
            let ready = members.map_or(0, |m| m.iter().filter(ready).count());
            ready == count
        })
    }

    /// Asks the admin listener of a node.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer with JSON.
    pub fn get(&self, i: usize, path: &str) -> Result<Value> {
        self.call(i, "GET", path, None)
    }

    /// Calls the admin listener of a node.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer with JSON.
    pub fn call(&self, i: usize, method: &str, path: &str, body: Option<&Value>) -> Result<Value> {
        let url = format!("http://{}{path}", self.nodes[i].admin);
        let request = async {
            let method = method.parse().unwrap_or_default();
            let req = awc::Client::default().request(method, url);
            let sent = match body {
                Some(body) => req.send_json(body),
                None => req.send(),
            };
            let mut res = sent.await.ok()?;
            res.json::<Value>().limit(16 << 20).await.ok()
        };
        let answer = actix_rt::System::new().block_on(request);
        match answer {
            Some(answer) => Ok(answer),
            None => TimeoutSnafu {
                what: format!("an answer of {} to {path}", self.nodes[i].admin),
            }
            .fail(),
        }
    }

    /// Plans an intent at one node and confirms it at another, and returns the answer to
    /// the confirmation.
    ///
    /// # Errors
    ///
    /// Fails when a node does not answer.
    pub fn decide(&self, planner: usize, confirmer: usize, intent: &Value) -> Result<Value> {
        let request = serde_json::json!({ "author": "bench", "intent": intent });
        let plan = self.call(planner, "POST", "/v1/plan", Some(&request))?;
        let request = serde_json::json!({ "author": "bench", "plan": plan });
        self.call(confirmer, "POST", "/v1/confirm", Some(&request))
    }
}
