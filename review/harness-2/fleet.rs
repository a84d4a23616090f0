//! Settings and processes of nodes, started with the command of the deploy file.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, Write},
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Returns `count` different ports that are free at `ip` for TCP and UDP.
pub fn free_ports(ip: IpAddr, count: usize) -> io::Result<Vec<u16>> {
    let mut held = Vec::new();
    while held.len() < count {
        let tcp = TcpListener::bind((ip, 0))?;
        let port = tcp.local_addr()?.port();
        if let Ok(udp) = UdpSocket::bind((ip, port)) {
            held.push((tcp, udp, port));
        }
    }
    Ok(held.iter().map(|(_, _, port)| *port).collect())
}

/// A temporary folder, removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("plantainpost-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(TempDir(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Fills in a settings template as the platform does: values, and sections of values that exist.
pub fn fill_template(template: &str, values: &HashMap<String, String>) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("an open tag ends");
        let name = text[start + 3..name_end].to_owned();
        let end_tag = format!("{{{{/{name}}}}}");
        let end = text.find(&end_tag).expect("a section ends");
        let inner = match values.contains_key(&name) {
            true => text[name_end + 2..end].to_owned(),
            false => String::new(),
        };
        text.replace_range(start..end + end_tag.len(), &inner);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// A machine with a node, and the address of the endpoint beside it.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub app: SocketAddr,
    pub settings: PathBuf,
    values: HashMap<String, String>,
    log: PathBuf,
    child: Child,
}

impl Machine {
    /// Starts the node of machine number `index` (from 1) at a loopback address of its own. `changes`
    /// replaces values of the settings.
    pub fn start(
        dir: &Path,
        (index, zone, service): (u8, &str, &str),
        store: SocketAddr,
        changes: &[(&str, &str)],
    ) -> io::Result<Self> {
        let ip = IpAddr::from([127, 0, 0, 10 + index]);
        let ports = free_ports(ip, 6)?;
        // The admin listener is on another address, but all of them are on one machine here.
        let admin = free_ports(IpAddr::from([127, 0, 0, 1]), 1)?[0];
        let at = |i: usize| SocketAddr::new(ip, ports[i]);
        let name = format!("sidecar-{zone}-{index}");
        let mut values = HashMap::new();
        let mut set = |name: &str, value: String| values.insert(name.to_owned(), value);
        set("nodeId", name.clone());
        set("zone", zone.to_owned());
        set("region", "ashanti".to_owned());
        set("ip", ip.to_string());
        set("service", service.to_owned());
        set("listen.outbound", at(0).to_string());
        set("listen.control", at(1).to_string());
        set("listen.ready", at(2).to_string());
        set("portRange.0", at(3).port().to_string());
        set("portRange.1", admin.to_string());
        set("platform.address", store.to_string());
        set("heartbeatMs", "1500".to_owned());
        set("bounds.graceS", "6".to_owned());
        set("bounds.probesPerS", "60".to_owned());
        set("bounds.budgetSlack", "64".to_owned());
        for (name, value) in changes {
            set(name, (*value).to_owned());
        }
        let settings = dir.join(format!("{name}.ini"));
        let log = dir.join(format!("{name}.log"));
        write_settings(&settings, &values)?;
        Ok(Machine {
            child: spawn(&settings, &log)?,
            name,
            zone: zone.to_owned(),
            outbound: at(0),
            control: at(1),
            app: at(4),
            settings,
            values,
            log,
        })
    }

    /// Changes a value of the settings file, without a signal.
    pub fn change_settings(&mut self, name: &str, value: &str) -> io::Result<()> {
        self.values.insert(name.to_owned(), value.to_owned());
        write_settings(&self.settings, &self.values)
    }

    pub fn is_ready(&self) -> bool {
        http::call(self.control, "GET", "/-/readyz", "") == 200
    }

    pub fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !self.is_ready() {
            if Instant::now() > deadline {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Sends a signal to the node, for example `-TERM`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    /// Returns the lines that the node has written.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write_settings(path: &Path, values: &HashMap<String, String>) -> io::Result<()> {
    let template = fs::read_to_string("deploy/node.ini")?;
    let temporary = path.with_extension("new");
    fs::write(&temporary, fill_template(&template, values))?;
    fs::rename(temporary, path)
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let out = File::create(log)?;
    let keep = |name: &&str| std::env::var_os(name).is_some();
    let kept = ["PATH", "HOME", "LANG"].into_iter().filter(keep);
    let kept = kept.map(|name| (name, std::env::var_os(name).unwrap_or_default()));
    Command::new("target/release/plantainpost")
        .arg("run")
        .arg(settings)
        .env_clear()
        .envs(kept)
        .env("PLANTAINPOST_KEY", "plantainpost-fleet-on-the-users-platform")
        .env("PLANTAINPOST_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()
        .inspect(|child| note_pid(child.id()))
}

/// Notes a process for the script, which ends it if this program has not.
fn note_pid(pid: u32) {
    let Some(path) = std::env::var_os("PIDS") else { return };
    if let Ok(mut file) = File::options().append(true).create(true).open(path) {
        let _ = writeln!(file, "{pid}");
    }
}
