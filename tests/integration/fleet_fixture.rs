//! Starts a fleet of real node processes, with stand-ins for targets and the log service.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    time::Duration,
};

use plantainpost_standin::{
    fleet::{self, TempDir},
    history::{self, CheckSettings, Record, Summary},
    load::{self, LoadReport, LoadRoute, LoadSettings, RequestKind},
    log::{self, LogHandle, LogSettings},
    process::{self, Process, ProcessSettings, Signal},
    target::{self, TargetHandle, TargetSettings},
};
use serde_json::Value;

/// Path of the binary under test.
const BINARY: &str = env!("CARGO_BIN_EXE_plantainpost");

/// Time limit for a healthy fleet to reach a state that a test waits for. It is long
/// because the machine is shared; a test that needs a tighter bound states its own.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Shared authentication key of all nodes.
pub(crate) const FLEET_KEY: [u8; 32] = fleet::FLEET_KEY;

/// Description of one host: a node and its target.
pub(crate) struct HostSpec {
    /// Name of the node. [`host_specs`] gives the target the same name.
    pub(crate) name: String,
    /// Data centre of the host.
    pub(crate) data_centre: String,
    /// Settings of the target.
    pub(crate) target: TargetSettings,
}

/// Returns the descriptions of `count` hosts of one service, spread over two data centres.
pub(crate) fn host_specs(service: &str, count: usize) -> Vec<HostSpec> {
    (0..count)
        .map(|i| HostSpec {
            name: format!("{service}-{i}"),
            data_centre: ["pos", "arima"][i % 2].to_owned(),
            target: TargetSettings {
                name: format!("{service}-{i}"),
                service: service.to_owned(),
                ..Default::default()
            },
        })
        .collect()
}

/// A node and its process, which may have ended.
pub(crate) struct Node {
    /// Address of the listener for callers.
    pub(crate) callers: SocketAddr,
    /// Address of the admin listener, for operators and targets.
    pub(crate) admin: SocketAddr,
    /// Address for peers, the same for TCP and UDP.
    pub(crate) peers: SocketAddr,
    /// Process of the node.
    pub(crate) process: Process,
    /// Path of the settings file.
    settings: PathBuf,
}

impl Node {
    /// Kills the process and starts it again with the same settings file.
    pub(crate) fn kill_and_restart(&mut self) {
        self.kill();
        self.process = start_process(&self.settings);
    }

    /// Sends SIGKILL and waits for the process to end.
    pub(crate) fn kill(&mut self) {
        let _ = self.process.signal(Signal::Kill);
        let _ = self.process.wait_exit(WAIT_TIMEOUT);
    }

    /// Starts the process again with the same settings file, after it has ended.
    pub(crate) fn restart(&mut self) {
        self.process = start_process(&self.settings);
    }
}

fn start_process(settings: &PathBuf) -> Process {
    Process::start(&ProcessSettings {
        program: BINARY.into(),
        args: vec!["run".into(), settings.into()],
        ..Default::default()
    })
    .expect("the binary starts")
}

/// A running fleet of nodes with their targets and log service.
pub(crate) struct Fleet {
    /// Nodes, in the order of their [`HostSpec`]s.
    pub(crate) nodes: Vec<Node>,
    /// Targets, in the order of the nodes.
    pub(crate) targets: Vec<TargetHandle>,
    /// Stand-in of the log service.
    pub(crate) log: LogHandle,
    dir: TempDir,
}

impl Fleet {
    /// Starts a fleet and waits until each node knows every target.
    pub(crate) fn start(specs: &[HostSpec]) -> Self {
        Self::start_with_settings(specs, |_, _| ())
    }

    /// Like [`Fleet::start`], with changed settings: `edit` gets the index of each node and
    /// the text of its settings before they are written.
    pub(crate) fn start_with_settings(
        specs: &[HostSpec],
        edit: impl Fn(usize, &mut String),
    ) -> Self {
        let log = log::start(&LogSettings::default()).expect("the log service starts");
        let dir = TempDir::new().expect("a temporary directory can be made");
        fs::write(dir.path().join("fleet.key"), FLEET_KEY).expect("the key can be written");
        let addresses = fleet::free_node_addresses(specs.len() * 3);
        let mut fleet = Fleet {
            nodes: Vec::new(),
            targets: Vec::new(),
            log,
            dir,
        };
        let contact = addresses[2];
        for (i, spec) in specs.iter().enumerate() {
            let addresses = &addresses[i * 3..i * 3 + 3];
            fleet.start_node(spec, addresses, contact, |text| edit(i, text));
        }
        fleet.wait_ready();
        fleet
    }

    /// Starts a node and its target. The node uses `contact` to join the fleet unless this
    /// is its own address.
    fn start_node(
        &mut self,
        spec: &HostSpec,
        addresses: &[SocketAddr],
        contact: SocketAddr,
        edit: impl Fn(&mut String),
    ) {
        let [callers, admin, peers] = [addresses[0], addresses[1], addresses[2]];
        let contacts = match peers == contact {
            true => String::new(),
            false => format!("[peers]\ncontacts = {contact}\n"),
        };
        let mut text = format!(
            "[node]\nname = {}\ndata_centre = {}\nregion = trinidad\nip = 127.0.0.1\n\
             [listen]\ncallers = {callers}\nadmin = {admin}\npeer_tcp = {peers}\n\
             peer_udp = {peers}\n{contacts}[log]\naddress = {}\n\
             [security]\nkey_file = {}\n",
            spec.name,
            spec.data_centre,
            self.log.address(),
            self.dir.path().join("fleet.key").display(),
        );
        edit(&mut text);
        let settings = self.dir.path().join(format!("{}.ini", spec.name));
        fs::write(&settings, text).expect("settings can be written");
        self.nodes.push(Node {
            callers,
            admin,
            peers,
            process: start_process(&settings),
            settings,
        });
        let target = TargetSettings {
            node: Some(admin),
            ..spec.target.clone()
        };
        self.targets
            .push(target::start(&target).expect("the target starts"));
    }

    /// Waits until every node lists all members as alive and no target as leaving.
    pub(crate) fn wait_ready(&self) {
        let count = self.targets.len();
        for i in 0..self.nodes.len() {
            self.wait_status(i, "all targets", |status| {
                let members = status["members"].as_array().expect("members is a list");
                let ready = |m: &&Value| m["state"] == "alive" && m["leaving"] == false;
                members.iter().filter(ready).count() == count
            });
        }
    }

    /// Writes a file into the directory that holds the settings and `fleet.key`.
    pub(crate) fn write_file(&self, name: &str, content: &[u8]) {
        fs::write(self.dir.path().join(name), content).expect("the file can be written");
    }

    /// Returns the status of a node, or [`Value::Null`] while it does not answer.
    pub(crate) fn status(&self, i: usize) -> Value {
        let output = self.run_command(i, &["status", "--json"]);
        serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)
    }

    /// Waits until the status of a node meets a condition and returns that status.
    ///
    /// # Panics
    ///
    /// Panics after [`WAIT_TIMEOUT`]; `what` names the condition in the message.
    pub(crate) fn wait_status(
        &self,
        i: usize,
        what: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> Value {
        let mut status = Value::Null;
        let met = process::wait_until(what, WAIT_TIMEOUT, || {
            status = self.status(i);
            !status.is_null() && condition(&status)
        });
        if met.is_err() {
            for node in &self.nodes {
                println!("{} printed: {:#?}", node.admin, node.process.lines());
            }
            panic!("timed out waiting for `{what}` at node {i}; last status: {status:#}");
        }
        status
    }

    /// Runs a subcommand of the binary against the admin listener of a node.
    pub(crate) fn run_command(&self, i: usize, args: &[&str]) -> Output {
        let admin = self.nodes[i].admin.to_string();
        let (command, rest) = args.split_first().expect("a command is given");
        Command::new(BINARY)
            .arg(command)
            .args(["--admin", &admin])
            .args(rest)
            .current_dir(self.dir.path())
            .output()
            .expect("the binary starts")
    }

    /// Requests a plan for an intent from a node and saves it under a file name.
    pub(crate) fn plan(&self, i: usize, file: &str, intent: &[&str]) -> Output {
        let args = ["plan", "--author", "ama", "--out", file];
        self.run_command(i, &[&args, intent].concat())
    }

    /// Confirms a plan file at a node.
    pub(crate) fn confirm(&self, i: usize, file: &str) -> Output {
        self.run_command(i, &["confirm", "--author", "kofi", file])
    }

    /// Plans and confirms an intent.
    ///
    /// # Panics
    ///
    /// Panics unless the change is in force afterwards.
    pub(crate) fn plan_and_confirm(&self, i: usize, intent: &[&str]) {
        let file = format!("plan-{i}.json");
        let plan = self.plan(i, &file, intent);
        assert!(plan.status.success(), "plan: {plan:?}");
        let confirm = self.confirm(i, &file);
        assert!(confirm.status.success(), "confirm: {confirm:?}");
    }

    /// Starts load that is spread evenly over some nodes.
    pub(crate) fn start_load(&self, entries: &[usize], settings: LoadSettings) -> load::LoadHandle {
        let route = |i: &usize| LoadRoute::new("node", self.nodes[*i].callers);
        let settings = LoadSettings {
            routes: entries.iter().map(route).collect(),
            ..settings
        };
        load::start(&settings).expect("the load tool starts")
    }

    /// Stops the targets and checks their histories together with those of callers.
    ///
    /// # Panics
    ///
    /// Panics on a violation.
    pub(crate) fn check_histories(
        self,
        reports: &[&LoadReport],
        extra_records: Vec<Record>,
    ) -> Summary {
        let mut records = extra_records;
        for report in reports {
            records.extend(report.records.iter().cloned());
        }
        for target in self.targets {
            records.extend(target.drain(Duration::from_secs(5)));
        }
        history::check(&records, &CheckSettings::default())
            .unwrap_or_else(|violation| panic!("{violation}"))
    }
}

/// Returns a mix of requests with short and long bodies. The `POST` requests must not run
/// twice, and 2 % of the requests get a chunked answer.
pub(crate) fn request_mix(service: &str) -> Vec<RequestKind> {
    let kind = |method: &str, body, answer, weight| RequestKind {
        service: service.to_owned(),
        method: method.to_owned(),
        body_bytes: body,
        answer_bytes: answer,
        weight,
        ..Default::default()
    };
    vec![
        kind("GET", 0, None, 60),
        kind("GET", 0, Some(50_000), 10),
        kind("POST", 200, None, 20),
        kind("POST", 100_000, Some(2_000), 8),
        RequestKind {
            answer_chunked: true,
            ..kind("GET", 0, Some(300_000), 2)
        },
    ]
}
