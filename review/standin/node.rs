//! Nodes, started with the command, template and variables of the deploy file.

use std::{
    env, fs,
    fs::File,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// A folder that is removed on drop.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new() -> TempDir {
        let name = format!("plantainpost-review-{}", std::process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder");
        TempDir(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns a port of 127.0.0.1 that is free for TCP and UDP, and was not returned before. It is
/// below the ports that the system gives to outgoing connections.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let first = std::process::id().wrapping_mul(37);
        let port = 12_000 + (first.wrapping_add(number) % 18_000) as u16;
        let tcp = TcpListener::bind(("127.0.0.1", port));
        if tcp.is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// What the platform puts into the settings of a node.
pub struct NodeSettings {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub store: SocketAddr,
}

/// A node, killed on drop.
pub struct Node {
    pub name: String,
    /// `outbound` of the settings.
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    starts: u32,
    child: Child,
    record: Record,
}

impl Node {
    pub fn start(dir: &TempDir, cfg: &NodeSettings, record: &Record) -> Node {
        let template = fs::read_to_string("deploy/node.ini").expect("the template of the settings");
        let port = || free_port().to_string();
        let on_host = |port: &str| format!("127.0.0.1:{port}");
        let [outbound, control, ready] = [port(), port(), port()].map(|port| on_host(&port));
        let values = [
            ("nodeId", cfg.name.clone()),
            ("zone", cfg.zone.clone()),
            ("region", "ashanti".to_owned()),
            ("ip", "127.0.0.1".to_owned()),
            ("service", cfg.service.clone()),
            ("listen.outbound", outbound.clone()),
            ("listen.control", control.clone()),
            ("listen.ready", ready.clone()),
            ("portRange.0", port()),
            ("portRange.1", port()),
            ("platform.address", cfg.store.to_string()),
            ("heartbeatMs", "1500".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.probesPerS", "60".to_owned()),
            ("bounds.budgetSlack", "64".to_owned()),
        ];
        let mut text = template;
        for (name, value) in values {
            for mark in ["#", "/"] {
                text = text.replace(&format!("{{{{{mark}{name}}}}}"), "");
            }
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        // Metrics and the admin listener have the same port at different addresses of a machine.
        // Here both are loopback addresses.
        let admin = text.lines().find(|line| line.starts_with("admin = "));
        let admin = admin.expect("an admin listener").to_owned();
        text = text.replace(&admin, &format!("admin = 127.0.0.1:{}", free_port()));
        assert!(!text.contains("{{"), "the template has an unknown field");
        let settings = dir.0.join(format!("{}.ini", cfg.name));
        fs::write(&settings, text).expect("settings can be written");
        let log = dir.0.join(format!("{}.log", cfg.name));
        let child = spawn(&settings, &log);
        record.write(&format!("node {} starts", cfg.name));
        Node {
            name: cfg.name.clone(),
            outbound: outbound.parse().expect("an address"),
            control: control.parse().expect("an address"),
            ready: ready.parse().expect("an address"),
            settings,
            log,
            starts: 1,
            child,
            record: record.clone(),
        }
    }

    /// Waits until `/-/readyz` answers 200.
    pub fn wait_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        let request = b"GET /-/readyz HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n";
        while Instant::now() < deadline {
            let answer = http::exchange(self.ready, request, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.record.write(&format!("node {} is ready", self.name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("node {} is not ready", self.name))
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        self.record
            .write(&format!("node {} gets SIG{name}", self.name));
        let sent = Command::new("bash")
            .args(["-c", &format!("kill -{name} {}", self.child.id())])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "the signal can be sent"
        );
    }

    /// Waits until the process has ended, and kills it after the grace period.
    pub fn wait_for_end(&mut self, grace: Duration) {
        let deadline = Instant::now() + grace;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record
                    .write(&format!("node {} has ended: {status}", self.name));
                return;
            }
            if Instant::now() >= deadline {
                let _ = self.child.kill();
                let _ = self.child.wait();
                self.record
                    .write(&format!("node {} was killed after the grace", self.name));
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Starts the process again with the same settings.
    pub fn start_again(&mut self) {
        self.starts += 1;
        let log = self.log.with_extension(format!("{}.log", self.starts));
        self.child = spawn(&self.settings, &log);
        self.record
            .write(&format!("node {} starts again", self.name));
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the program with the `run` line and the variables of the deploy file.
fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let quoted = |key: &str| {
        let line = deploy
            .lines()
            .find(|line| line.contains(key))
            .expect("a line");
        let (_, rest) = line.split_once(key).expect("a value");
        rest.split('"').nth(1).expect("a quoted value").to_owned()
    };
    let run = quoted("run = ");
    let mut words = run.split(' ');
    let program = words.next().expect("a program");
    let args = words.map(|word| match word.starts_with("/etc/") {
        true => settings.to_string_lossy().into_owned(),
        false => word.to_owned(),
    });
    let out = File::create(log).expect("a log file");
    Command::new(program)
        .args(args)
        .env_clear()
        .env("PATH", env::var("PATH").unwrap_or_default())
        .env("PLANTAINPOST_CONFIG", settings)
        .env("PLANTAINPOST_KEY", quoted("PLANTAINPOST_KEY = "))
        .stdin(Stdio::null())
        .stdout(out.try_clone().expect("a log file"))
        .stderr(out)
        .spawn()
        .expect("the program of the deploy file starts")
}
