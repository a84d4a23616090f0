//! Measures the CPU time of a node per load probe that it answers.
//!
//! For each probe, the node that answers receives, verifies, signs and sends one datagram each. The
//! node that probes does the same, so the result holds for both.

use std::{
    net::UdpSocket,
    thread,
    time::{Duration, Instant},
};

use plantainpost_standin::{
    fleet::{FLEET_KEY, Fleet, FleetSettings, Host},
    target::TargetSettings,
    usage::Usage,
};
use plantainpost_wire::{
    auth::{FleetKeys, Key},
    datagram::{self, Datagram},
};
use serde_json::json;

use crate::{BenchResult, args::Probes};

const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time until a newly confirmed probe budget is in force.
const BUDGET_DELAY: Duration = Duration::from_secs(3);

/// Number of probes between two pauses. The pauses keep the rate below the 20,000 probes per second
/// that a budget of a whole CPU core allows; probes above that rate get no reply.
const PROBES_PER_PAUSE: u64 = 10;

/// Pause before each group of [`PROBES_PER_PAUSE`] probes.
const PROBE_PAUSE: Duration = Duration::from_millis(2);

/// Runs the benchmark.
pub(crate) fn run(args: &Probes) -> BenchResult {
    let settings = FleetSettings {
        binary: args.binary()?,
        hosts: vec![Host {
            name: "guard".to_owned(),
            data_centre: "pos".to_owned(),
            target: TargetSettings::default(),
        }],
        ..Default::default()
    };
    let fleet = Fleet::start(&settings, READY_TIMEOUT)?;
    fleet.plan_and_confirm(0, 0, &json!({ "kind": "measure", "permille": 1_000 }))?;
    thread::sleep(BUDGET_DELAY);
    let keys = FleetKeys::new(Key::new(&FLEET_KEY)?, None);
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.connect(fleet.nodes[0].peers)?;
    socket.set_read_timeout(Some(Duration::from_secs(1)))?;
    let pid = fleet.nodes[0].process.id();
    let idle_cores = {
        let before = Usage::of(pid);
        thread::sleep(Duration::from_secs(5));
        (Usage::of(pid).cpu_s - before.cpu_s) / 5.0
    };
    let (before, start) = (Usage::of(pid), Instant::now());
    let mut answered = 0_u64;
    let mut buf = [0; 1_500];
    for seq in 0..args.count {
        if seq.is_multiple_of(PROBES_PER_PAUSE) {
            thread::sleep(PROBE_PAUSE);
        }
        socket.send(&datagram::encode(&keys, &Datagram::LoadProbe { seq })?)?;
        let length = socket.recv(&mut buf)?;
        let reply = datagram::decode(&keys, &buf[..length])?;
        answered += u64::from(matches!(reply, Datagram::LoadReply { .. }));
    }
    let seconds = start.elapsed().as_secs_f64();
    let cpu_s = Usage::of(pid).cpu_s - before.cpu_s - idle_cores * seconds;
    println!(
        "{answered} probes answered in {seconds:.1} s: {:.1} us of CPU time each",
        cpu_s * 1e6 / answered as f64
    );
    Ok(())
}
