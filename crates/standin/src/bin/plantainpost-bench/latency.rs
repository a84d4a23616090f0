//! Latency that two nodes add to a call.

use std::time::Duration;

use plantainpost_standin::{
    fleet::{Fleet, FleetSettings, Host},
    load::{self, LoadSettings, ReportRow, RequestKind, Route},
    target::{ServiceTime, TargetSettings},
    usage::Usage,
};

use crate::{Done, args::Latency, stats};

const READY: Duration = Duration::from_secs(20);

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

fn added(through: &ReportRow, direct: &ReportRow, pick: fn(&ReportRow) -> u64) -> f64 {
    pick(through) as f64 - pick(direct) as f64
}

/// Runs the measurement.
pub(crate) fn run(args: &Latency) -> Done {
    let settings = FleetSettings {
        binary: args.binary()?,
        hosts: vec![
            host("entry", "other", args.work_us),
            host("guard", "stock", args.work_us),
        ],
        ..Default::default()
    };
    let fleet = Fleet::start(&settings, READY)?;
    let routes = vec![
        Route::new("direct", fleet.targets[1].address()),
        Route::new("nodes", fleet.nodes[0].callers),
    ];
    println!("added us: run p50 p90 p99 p99.9; processor us per request: entry guard");
    let mut p99s = Vec::new();
    for run in 0..args.runs {
        let before = usage(&fleet);
        let settings = LoadSettings {
            routes: routes.clone(),
            rate: args.rate,
            duration_ms: args.seconds * 1_000,
            seed: run,
            kinds: vec![RequestKind::default()],
            ..Default::default()
        };
        let report = load::start(&settings)?.wait()?;
        let after = usage(&fleet);
        let (Some(direct), Some(nodes)) = (report.row("direct"), report.row("nodes")) else {
            return Err("the report has no rows".into());
        };
        if nodes.correct != nodes.sent {
            return Err(format!("not all answers are correct: {nodes:?}").into());
        }
        let per_request = |i: usize| {
            let cpu_s: f64 = after[i].cpu_s - before[i].cpu_s;
            cpu_s * 1e6 / nodes.sent as f64
        };
        p99s.push(added(nodes, direct, |row| row.p99));
        println!(
            "{run} {:.0} {:.0} {:.0} {:.0}; {:.0} {:.0}",
            added(nodes, direct, |row| row.p50),
            added(nodes, direct, |row| row.p90),
            added(nodes, direct, |row| row.p99),
            added(nodes, direct, |row| row.p999),
            per_request(0),
            per_request(1),
        );
    }
    println!("median of added p99: {:.0} us", stats::median(p99s));
    Ok(())
}

fn usage(fleet: &Fleet) -> Vec<Usage> {
    let nodes = fleet.nodes.iter();
    nodes.map(|node| Usage::of(node.process.id())).collect()
}
