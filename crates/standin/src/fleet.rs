//! A fleet of real node processes with stand-ins for everything else.
//!
//! Each node listens on loopback ports, and a target in this process announces itself to it.
//! The log service runs in this process, too.

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

/// First port and number of ports for nodes. They are below the ephemeral port range, so that
/// no outgoing connection takes a port between the check and its use.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u32 = 20_000;

/// Shared key of the nodes of a fleet.
pub const FLEET_KEY: [u8; 32] = [7; 32];

/// Number of addresses per host: four of the node and one of the target.
const ADDRESSES_PER_HOST: usize = 5;

/// Additional settings of nodes with the interface of the platform, as at the users' sites.
const PLATFORM_SETTINGS: &str = "[platform]\nannounce_every = 1000 ms\ngrace = 6 s\nprobes = 60\n\
     [retry]\nfleet_slack = 56\n";

/// Number of hosts, from the first on, whose nodes are the contacts of every other node.
const MAX_CONTACTS: usize = 3;

static NEXT_PORT_NUMBER: AtomicU32 = AtomicU32::new(0);
static NEXT_DIR_NUMBER: AtomicU32 = AtomicU32::new(0);

/// One host with a node and a target.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the node.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Settings of the target. The name and the address of the node are filled in, and with the
    /// interface of the platform also the interface and the addresses.
    pub target: TargetSettings,
}

/// Settings of a fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetSettings {
    /// Path of the binary `plantainpost`.
    pub binary: PathBuf,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The log service.
    pub log: LogSettings,
    /// Balancing policy; the default one if empty.
    pub policy: String,
    /// Whether nodes and targets use the interface of the users' platform, through proxies with
    /// fault switches.
    pub on_platform: bool,
    /// Whether log lines of nodes are also written to the standard error of this process.
    pub echo_output: bool,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub admin: SocketAddr,
    /// TCP and UDP address for peers.
    pub peers: SocketAddr,
    /// Address of the listener for announcements of the platform.
    pub control: SocketAddr,
    /// The process.
    pub process: Process,
}

/// Proxies of one host with the interface of the platform.
#[derive(Debug)]
pub struct HostProxies {
    /// Between the node and the log service.
    pub store: Proxy,
    /// In front of the target, which announces the address of this proxy.
    pub target: Proxy,
}

/// A running fleet, stopped on drop.
pub struct Fleet {
    /// The nodes, in the order of their hosts.
    pub nodes: Vec<Node>,
    /// The targets, in the order of their hosts.
    pub targets: Vec<TargetHandle>,
    /// The log service.
    pub log: LogHandle,
    /// The proxies, in the order of their hosts; empty unless `on_platform` is set.
    pub proxies: Vec<HostProxies>,
    settings: FleetSettings,
    dir: TempDir,
}

/// A temporary directory that is removed on drop.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates a directory.
    ///
    /// # Errors
    ///
    /// Fails when it can't be created.
    pub fn new() -> Result<Self> {
        let number = NEXT_DIR_NUMBER.fetch_add(1, Ordering::Relaxed);
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

/// Returns the path of the binary `plantainpost` in the directory of the running program.
///
/// # Errors
///
/// Fails when it does not exist.
pub fn sibling_binary() -> Result<PathBuf> {
    let path = std::env::current_exe()
        .ok()
        .and_then(|exe| Some(exe.parent()?.join("plantainpost")))
        .filter(|path| path.exists());
    path.ok_or_else(|| Error::Setting {
        reason: "no binary plantainpost in the directory of this program; build it first"
            .to_owned(),
    })
}

/// Returns loopback addresses whose ports are free for TCP and UDP.
pub fn free_node_addresses(count: usize) -> Vec<SocketAddr> {
    // Different processes start at different ports, so that they rarely check the same ones.
    let start = std::process::id().wrapping_mul(211);
    let next = || {
        let number = NEXT_PORT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let offset = start.wrapping_add(number) % PORT_COUNT;
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
    /// Fails when a process or server does not start, or when a node does not know every target
    /// within `timeout`.
    pub fn start(settings: &FleetSettings, timeout: Duration) -> Result<Self> {
        if settings.hosts.is_empty() {
            return SettingSnafu {
                reason: "a fleet needs at least one host",
            }
            .fail();
        }
        let mut fleet = Fleet {
            nodes: Vec::new(),
            targets: Vec::new(),
            proxies: Vec::new(),
            log: log::start(&settings.log)?,
            settings: settings.clone(),
            dir: TempDir::new()?,
        };
        let key = fleet.dir.path().join("fleet.key");
        fs::write(&key, FLEET_KEY).context(FileSnafu {
            path: key.display().to_string(),
        })?;
        let addresses = free_node_addresses(settings.hosts.len() * ADDRESSES_PER_HOST);
        for i in 0..settings.hosts.len() {
            fleet.start_host(i, &addresses)?;
        }
        let deadline = std::time::Instant::now() + timeout;
        for i in 0..fleet.nodes.len() {
            fleet.wait_until_ready(i, deadline)?;
        }
        Ok(fleet)
    }

    fn start_host(&mut self, i: usize, addresses: &[SocketAddr]) -> Result<()> {
        let host = &self.settings.hosts[i];
        let [callers, admin, peers, control, target_address] =
            [0, 1, 2, 3, 4].map(|k| addresses[i * ADDRESSES_PER_HOST + k]);
        let on_platform = self.settings.on_platform;
        if on_platform {
            self.proxies.push(HostProxies {
                store: Proxy::start(self.log.address())?,
                target: Proxy::start(target_address)?,
            });
        }
        let file = self.dir.path().join(format!("{}.ini", host.name));
        let text = self.node_settings(i, addresses);
        fs::write(&file, text).context(FileSnafu {
            path: file.display().to_string(),
        })?;
        let target = TargetSettings {
            name: host.name.clone(),
            node: Some(if on_platform { control } else { admin }),
            ..host.target.clone()
        };
        let target = match self.proxies.get(i) {
            Some(proxies) => TargetSettings {
                listen: target_address,
                interface: Interface::Platform,
                announced_address: Some(proxies.target.address()),
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

    fn node_settings(&self, i: usize, addresses: &[SocketAddr]) -> String {
        let host = &self.settings.hosts[i];
        let [callers, admin, peers, control] =
            [0, 1, 2, 3].map(|k| addresses[i * ADDRESSES_PER_HOST + k]);
        let proxies = self.proxies.get(i);
        let store = proxies.map_or(self.log.address(), |proxies| proxies.store.address());
        let (mut interface_line, mut platform_sections) = ("", "");
        if self.settings.on_platform {
            interface_line = "interface = platform\n";
            platform_sections = PLATFORM_SETTINGS;
        }
        let mut text = format!(
            "[node]\nname = {}\ndata_centre = {}\nregion = one\nip = 127.0.0.1\n{interface_line}\
             [listen]\ncallers = {callers}\nadmin = {admin}\npeer_tcp = {peers}\n\
             peer_udp = {peers}\ncontrol = {control}\n[log]\naddress = {store}\n{platform_sections}\
             [security]\nkey_file = {}\n",
            host.name,
            host.data_centre,
            self.dir.path().join("fleet.key").display(),
        );
        let contacts = (0..MAX_CONTACTS.min(self.settings.hosts.len()))
            .filter(|k| *k != i)
            .map(|k| addresses[k * ADDRESSES_PER_HOST + 2].to_string());
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
            echo_output: self.settings.echo_output,
            ..Default::default()
        })
    }

    /// Kills the process of a node, if it is still running, and starts it again.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn restart(&mut self, i: usize) -> Result<()> {
        let name = &self.settings.hosts[i].name;
        let file = self.dir.path().join(format!("{name}.ini"));
        // Both calls fail only when the process has ended.
        drop(self.nodes[i].process.signal(process::Signal::Kill));
        drop(self.nodes[i].process.wait_exit(Duration::from_secs(5)));
        self.nodes[i].process = self.start_process(&file)?;
        Ok(())
    }

    /// Returns the hosts, in the order of the nodes.
    pub fn hosts(&self) -> &[Host] {
        &self.settings.hosts
    }

    /// Waits until a node knows every target and no target is leaving.
    ///
    /// # Errors
    ///
    /// Fails when that is not the case at `deadline`.
    pub fn wait_until_ready(&self, i: usize, deadline: std::time::Instant) -> Result<()> {
        let count = self.targets.len();
        let timeout = deadline.saturating_duration_since(std::time::Instant::now());
        process::wait_until("all targets to be known", timeout, || {
            let status = self.get_admin(i, "/v1/status").unwrap_or_default();
            let members = status["members"].as_array();
            let is_ready = |m: &&Value| m["state"] == "alive" && m["leaving"] == false;
            let ready_count = members.map_or(0, |m| m.iter().filter(is_ready).count());
            ready_count == count
        })
    }

    /// Sends a GET request to the admin listener of a node and returns the JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer with JSON.
    pub fn get_admin(&self, i: usize, path: &str) -> Result<Value> {
        self.call_admin(i, "GET", path, None)
    }

    /// Sends a request to the admin listener of a node and returns the JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer with JSON.
    pub fn call_admin(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value> {
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
        let response = actix_rt::System::new().block_on(request);
        match response {
            Some(response) => Ok(response),
            None => TimeoutSnafu {
                what: format!("a JSON response of {} to {path}", self.nodes[i].admin),
            }
            .fail(),
        }
    }

    /// Plans an intent at one node and confirms it at another. Returns the response to the
    /// confirmation.
    ///
    /// # Errors
    ///
    /// Fails when a node does not answer.
    pub fn plan_and_confirm(
        &self,
        planner: usize,
        confirmer: usize,
        intent: &Value,
    ) -> Result<Value> {
        let request = serde_json::json!({ "author": "bench", "intent": intent });
        let plan = self.call_admin(planner, "POST", "/v1/plan", Some(&request))?;
        let request = serde_json::json!({ "author": "bench", "plan": plan });
        self.call_admin(confirmer, "POST", "/v1/confirm", Some(&request))
    }
}
