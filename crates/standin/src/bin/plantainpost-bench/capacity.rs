//! Control cost of a fleet without traffic.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use plantainpost_standin::{
    fleet::{Fleet, FleetSettings, Host},
    target::TargetSettings,
    usage::Usage,
};
use serde_json::{Value, json};

use crate::{Done, args::Capacity, stats};

const READY: Duration = Duration::from_secs(60);

/// Time for the audit entries of the last confirmation to be written.
const AUDIT_WAIT: Duration = Duration::from_secs(15);

/// Services of the design size.
const SERVICES: usize = 49;

const DATA_CENTRES: [&str; 4] = ["pos", "arima", "chaguanas", "sando"];

fn hosts(count: usize) -> Vec<Host> {
    let host = |i: usize| Host {
        name: format!("node-{i:03}"),
        data_centre: DATA_CENTRES[i % DATA_CENTRES.len()].to_owned(),
        target: TargetSettings {
            service: format!("service-{:02}", i % SERVICES),
            ttl_ms: 30_000,
            ..Default::default()
        },
    };
    (0..count).map(host).collect()
}

/// What the nodes have used and sent.
struct Sample {
    at: Instant,
    usage: Vec<Usage>,
    sent_bytes: Vec<f64>,
    sent: Vec<f64>,
}

impl Sample {
    fn take(fleet: &Fleet) -> Self {
        let metrics: Vec<Value> = (0..fleet.nodes.len())
            .map(|i| fleet.get_admin(i, "/v1/metrics").unwrap_or_default())
            .collect();
        let counter = |name: &str| {
            let value = |m: &Value| m["counters"][name].as_f64().unwrap_or(0.0);
            metrics.iter().map(value).collect()
        };
        let usage = fleet
            .nodes
            .iter()
            .map(|node| Usage::of(node.process.id()))
            .collect();
        Sample {
            at: Instant::now(),
            usage,
            sent_bytes: counter("udp.sent_bytes"),
            sent: counter("udp.sent"),
        }
    }
}

fn rates(before: &[f64], after: &[f64], seconds: f64) -> Vec<f64> {
    let pairs = before.iter().zip(after);
    pairs.map(|(b, a)| (a - b) / seconds).collect()
}

/// Runs the measurement.
pub(crate) fn run(args: &Capacity) -> Done {
    let sizes = match args.nodes.is_empty() {
        true => vec![10, 40, 100],
        false => args.nodes.clone(),
    };
    println!(
        "nodes; join s; per node mean/max: core %, resident KiB, UDP bytes/s sent, \
         datagrams/s sent; in force ms p50/max"
    );
    for count in sizes {
        measure(args, count)?;
    }
    Ok(())
}

fn measure(args: &Capacity, count: usize) -> Done {
    let settings = FleetSettings {
        binary: args.binary()?,
        hosts: hosts(count),
        ..Default::default()
    };
    let start = Instant::now();
    let fleet = Fleet::start(&settings, READY)?;
    let join_s = start.elapsed().as_secs_f64();
    // Joining ends with a burst of table comparisons, which is not the steady cost.
    thread::sleep(Duration::from_secs(15));
    let before = Sample::take(&fleet);
    thread::sleep(Duration::from_secs(args.seconds));
    let after = Sample::take(&fleet);
    let seconds = (after.at - before.at).as_secs_f64();
    let cpu_s = |s: &Sample| s.usage.iter().map(|u| u.cpu_s).collect::<Vec<_>>();
    let core: Vec<f64> = rates(&cpu_s(&before), &cpu_s(&after), seconds);
    let resident: Vec<f64> = after.usage.iter().map(|u| u.resident_kib as f64).collect();
    let bytes = rates(&before.sent_bytes, &after.sent_bytes, seconds);
    let datagrams = rates(&before.sent, &after.sent, seconds);
    let in_force = in_force_ms(&fleet, args.confirmations)?;
    println!(
        "{count}; {join_s:.1}; {:.2}/{:.2} {:.0}/{:.0} {:.0}/{:.0} {:.1}/{:.1}; {:.0}/{:.0}",
        stats::mean(&core) * 100.0,
        stats::max(core.iter().copied()) * 100.0,
        stats::mean(&resident),
        stats::max(resident.iter().copied()),
        stats::mean(&bytes),
        stats::max(bytes.iter().copied()),
        stats::mean(&datagrams),
        stats::max(datagrams.iter().copied()),
        stats::median(in_force.clone()),
        stats::max(in_force.iter().copied()),
    );
    Ok(())
}

/// Confirms some plans and returns, for each node and version, the time from the
/// confirmation until the version was in force, as the audit trail says.
fn in_force_ms(fleet: &Fleet, confirmations: u64) -> Result<Vec<f64>, Box<dyn std::error::Error>> {
    let count = fleet.nodes.len();
    let mut confirmed = BTreeMap::new();
    for i in 0..confirmations {
        let intent = json!({ "kind": "measure", "permille": 6 + i });
        let (planner, confirmer) = (i as usize % count, (i as usize * 7 + 3) % count);
        let answer = fleet.plan_and_confirm(planner, confirmer, &intent)?;
        let version = answer["version"].as_u64();
        let version = version.ok_or_else(|| format!("not in force: {answer}"))?;
        confirmed.insert(version, ());
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(AUDIT_WAIT);
    let entries: Vec<Value> = fleet
        .log
        .records("audit")
        .iter()
        .filter_map(|entry| serde_json::from_str::<Vec<Value>>(&entry.data).ok())
        .flatten()
        .collect();
    Ok(delays(&entries, &confirmed, count))
}

fn delays(entries: &[Value], confirmed: &BTreeMap<u64, ()>, count: usize) -> Vec<f64> {
    let at = |entry: &Value| entry["at_unix_ms"].as_f64().unwrap_or(0.0);
    let mut confirms: Vec<f64> = entries
        .iter()
        .filter(|entry| entry["event"] == "confirm")
        .map(at)
        .collect();
    confirms.sort_by(f64::total_cmp);
    let mut delays = Vec::new();
    for (version, confirm_at) in confirmed.keys().zip(confirms) {
        let of_version = |entry: &&Value| {
            entry["event"] == "in-force" && entry["version"].as_u64() == Some(*version)
        };
        let seen = entries.iter().filter(of_version);
        let of_nodes: Vec<f64> = seen.map(|entry| at(entry) - confirm_at).collect();
        if of_nodes.len() != count {
            println!("version {version}: {} of {count} nodes", of_nodes.len());
        }
        delays.extend(of_nodes);
    }
    delays
}
