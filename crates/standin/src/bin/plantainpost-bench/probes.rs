//! Processor time of a node per load probe that it answers.
//!
//! The answering side receives, checks, signs and sends one datagram each, as the asking
//! side does, so the figure stands for both.

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

use crate::{Done, args::Probes};

const READY: Duration = Duration::from_secs(20);

/// Time in which the budget of a new share comes into force.
const SETTLE: Duration = Duration::from_secs(3);

/// Probes between two pauses. With the pauses the rate stays below the 20,000 per second
/// that a whole core of measuring allows, above which probes get no reply.
const PROBES_PER_PAUSE: u64 = 10;
const PAUSE: Duration = Duration::from_millis(2);

/// Runs the measurement.
pub(crate) fn run(args: &Probes) -> Done {
    let settings = FleetSettings {
        binary: args.binary()?,
        hosts: vec![Host {
            name: "guard".to_owned(),
            data_centre: "pos".to_owned(),
            target: TargetSettings::default(),
        }],
        ..Default::default()
    };
    let fleet = Fleet::start(&settings, READY)?;
    fleet.plan_and_confirm(0, 0, &json!({ "kind": "measure", "permille": 1_000 }))?;
    thread::sleep(SETTLE);
    let keys = FleetKeys::new(Key::new(&FLEET_KEY)?, None);
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.connect(fleet.nodes[0].peers)?;
    socket.set_read_timeout(Some(Duration::from_secs(1)))?;
    let pid = fleet.nodes[0].process.id();
    let idle = {
        let before = Usage::of(pid);
        thread::sleep(Duration::from_secs(5));
        (Usage::of(pid).cpu_s - before.cpu_s) / 5.0
    };
    let (before, start) = (Usage::of(pid), Instant::now());
    let mut answered = 0_u64;
    let mut buf = [0; 1_500];
    for seq in 0..args.count {
        if seq.is_multiple_of(PROBES_PER_PAUSE) {
            thread::sleep(PAUSE);
        }
        socket.send(&datagram::encode(&keys, &Datagram::LoadProbe { seq })?)?;
        let length = socket.recv(&mut buf)?;
        let reply = datagram::decode(&keys, &buf[..length])?;
        answered += u64::from(matches!(reply, Datagram::LoadReply { .. }));
    }
    let seconds = start.elapsed().as_secs_f64();
    let cpu_s = Usage::of(pid).cpu_s - before.cpu_s - idle * seconds;
    println!(
        "{answered} probes answered in {seconds:.1} s: {:.1} us of processor time each",
        cpu_s * 1e6 / answered as f64
    );
    Ok(())
}
