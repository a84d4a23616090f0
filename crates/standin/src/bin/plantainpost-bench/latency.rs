//! Measures the latency that two nodes add to a request.

use std::time::Duration;

use plantainpost_standin::{
    fleet::{Fleet, FleetSettings, Host},
    load::{self, LoadRoute, LoadSettings, ReportRow, RequestKind},
    target::{ServiceTime, TargetSettings},
    usage::Usage,
};

use crate::{BenchResult, args::Latency, stats};

const READY_TIMEOUT: Duration = Duration::from_secs(20);

fn host(name: &str, service: &str, work_us: u64) -> Host {
    Host {
        name: name.to_owned(),
        data_centre: "pos".to_owned(),
        target: TargetSettings {
            service: service.to_owned(),
            service_time: ServiceTime::Fixed(work_us),
            ..Default::default()
        },
    }
}

fn added_latency_us(
    via_nodes: &ReportRow,
    direct: &ReportRow,
    quantile: fn(&ReportRow) -> u64,
) -> f64 {
    quantile(via_nodes) as f64 - quantile(direct) as f64
}

/// Runs the benchmark.
pub(crate) fn run(args: &Latency) -> BenchResult {
    let settings = FleetSettings {
        binary: args.binary()?,
        hosts: vec![
            host("entry", "other", args.work_us),
            host("guard", "stock", args.work_us),
        ],
        ..Default::default()
    };
    let fleet = Fleet::start(&settings, READY_TIMEOUT)?;
    let routes = vec![
        LoadRoute::new("direct", fleet.targets[1].address()),
        LoadRoute::new("nodes", fleet.nodes[0].callers),
    ];
    println!("added us: run p50 p90 p99 p99.9; CPU us per request: entry guard");
    let mut added_p99s_us = Vec::new();
    for run in 0..args.runs {
        let before = node_usage(&fleet);
        let settings = LoadSettings {
            routes: routes.clone(),
            rate: args.rate,
            duration_ms: args.seconds * 1_000,
            seed: run,
            kinds: vec![RequestKind::default()],
            ..Default::default()
        };
        let report = load::start(&settings)?.wait()?;
        let after = node_usage(&fleet);
        let (Some(direct), Some(nodes)) = (report.row("direct"), report.row("nodes")) else {
            return Err("the report has no rows".into());
        };
        if nodes.correct != nodes.sent {
            return Err(format!("some answers are missing or wrong: {nodes:?}").into());
        }
        let cpu_us_per_request = |i: usize| {
            let cpu_s: f64 = after[i].cpu_s - before[i].cpu_s;
            cpu_s * 1e6 / nodes.sent as f64
        };
        added_p99s_us.push(added_latency_us(nodes, direct, |row| row.p99));
        println!(
            "{run} {:.0} {:.0} {:.0} {:.0}; {:.0} {:.0}",
            added_latency_us(nodes, direct, |row| row.p50),
            added_latency_us(nodes, direct, |row| row.p90),
            added_latency_us(nodes, direct, |row| row.p99),
            added_latency_us(nodes, direct, |row| row.p999),
            cpu_us_per_request(0),
            cpu_us_per_request(1),
        );
    }
    println!(
        "median of added p99: {:.0} us",
        stats::median(added_p99s_us)
    );
    Ok(())
}

fn node_usage(fleet: &Fleet) -> Vec<Usage> {
    let nodes = fleet.nodes.iter();
    nodes.map(|node| Usage::of(node.process.id())).collect()
}
