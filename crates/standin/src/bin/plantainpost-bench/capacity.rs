//! Measures the cost of a fleet without traffic.

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

use crate::{BenchResult, args::Capacity, stats};

const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Time until the audit entries of the last confirmation are written.
const AUDIT_WAIT: Duration = Duration::from_secs(15);

/// Number of services in a fleet of the size that the balancer is designed for.
const SERVICE_COUNT: usize = 49;

const DATA_CENTRES: [&str; 4] = ["pos", "arima", "chaguanas", "sando"];

fn hosts(count: usize) -> Vec<Host> {
    let host = |i: usize| Host {
        name: format!("node-{i:03}"),
        data_centre: DATA_CENTRES[i % DATA_CENTRES.len()].to_owned(),
        target: TargetSettings {
            service: format!("service-{:02}", i % SERVICE_COUNT),
            ttl_ms: 30_000,
            ..Default::default()
        },
    };
    (0..count).map(host).collect()
}

/// Resource usage and UDP counters of all nodes at one time.
struct NodeSample {
    taken_at: Instant,
    usage: Vec<Usage>,
    sent_bytes: Vec<f64>,
    sent_datagrams: Vec<f64>,
}

impl NodeSample {
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
        NodeSample {
            taken_at: Instant::now(),
            usage,
            sent_bytes: counter("udp.sent_bytes"),
            sent_datagrams: counter("udp.sent"),
        }
    }
}

/// Returns the increase of each value per second.
fn rates_per_second(before: &[f64], after: &[f64], seconds: f64) -> Vec<f64> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| (after - before) / seconds)
        .collect()
}

/// Runs the benchmark for each number of nodes.
pub(crate) fn run(args: &Capacity) -> BenchResult {
    let node_counts = match args.nodes.is_empty() {
        true => vec![10, 40, 100],
        false => args.nodes.clone(),
    };
    println!(
        "nodes; join s; per node mean/max: core %, resident KiB, UDP bytes/s sent, \
         datagrams/s sent; in force ms p50/max"
    );
    for count in node_counts {
        measure(args, count)?;
    }
    Ok(())
}

fn measure(args: &Capacity, count: usize) -> BenchResult {
    let settings = FleetSettings {
        binary: args.binary()?,
        hosts: hosts(count),
        ..Default::default()
    };
    let start = Instant::now();
    let fleet = Fleet::start(&settings, READY_TIMEOUT)?;
    let join_s = start.elapsed().as_secs_f64();
    // When the nodes have joined, they compare their member tables in a burst, which is not part of
    // the steady cost.
    thread::sleep(Duration::from_secs(15));
    let before = NodeSample::take(&fleet);
    thread::sleep(Duration::from_secs(args.seconds));
    let after = NodeSample::take(&fleet);
    let seconds = (after.taken_at - before.taken_at).as_secs_f64();
    let cpu_s = |s: &NodeSample| s.usage.iter().map(|u| u.cpu_s).collect::<Vec<_>>();
    let cores: Vec<f64> = rates_per_second(&cpu_s(&before), &cpu_s(&after), seconds);
    let resident_kib: Vec<f64> = after.usage.iter().map(|u| u.resident_kib as f64).collect();
    let bytes = rates_per_second(&before.sent_bytes, &after.sent_bytes, seconds);
    let datagrams = rates_per_second(&before.sent_datagrams, &after.sent_datagrams, seconds);
    let delays_ms = in_force_delays_ms(&fleet, args.confirmations)?;
    println!(
        "{count}; {join_s:.1}; {:.2}/{:.2} {:.0}/{:.0} {:.0}/{:.0} {:.1}/{:.1}; {:.0}/{:.0}",
        stats::mean(&cores) * 100.0,
        stats::max(cores.iter().copied()) * 100.0,
        stats::mean(&resident_kib),
        stats::max(resident_kib.iter().copied()),
        stats::mean(&bytes),
        stats::max(bytes.iter().copied()),
        stats::mean(&datagrams),
        stats::max(datagrams.iter().copied()),
        stats::median(delays_ms.clone()),
        stats::max(delays_ms.iter().copied()),
    );
    Ok(())
}

/// Confirms `confirmations` plans. Returns the time from the confirmation until the version was in
/// force, for each node and version, according to the audit trail.
fn in_force_delays_ms(
    fleet: &Fleet,
    confirmations: u64,
) -> Result<Vec<f64>, Box<dyn std::error::Error>> {
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
    Ok(delays_from_audit_ms(&entries, &confirmed, count))
}

fn delays_from_audit_ms(
    entries: &[Value],
    confirmed: &BTreeMap<u64, ()>,
    count: usize,
) -> Vec<f64> {
    let time_ms = |entry: &Value| entry["at_unix_ms"].as_f64().unwrap_or(0.0);
    let mut confirmed_at_ms: Vec<f64> = entries
        .iter()
        .filter(|entry| entry["event"] == "confirm")
        .map(time_ms)
        .collect();
    confirmed_at_ms.sort_by(f64::total_cmp);
    let mut delays_ms = Vec::new();
    for (version, confirm_ms) in confirmed.keys().zip(confirmed_at_ms) {
        let of_version = |entry: &&Value| {
            entry["event"] == "in-force" && entry["version"].as_u64() == Some(*version)
        };
        let matching = entries.iter().filter(of_version);
        let node_delays_ms: Vec<f64> = matching.map(|entry| time_ms(entry) - confirm_ms).collect();
        if node_delays_ms.len() != count {
            println!(
                "version {version}: in force on {} of {count} nodes",
                node_delays_ms.len()
            );
        }
        delays_ms.extend(node_delays_ms);
    }
    delays_ms
}
