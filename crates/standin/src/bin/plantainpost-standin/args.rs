//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use plantainpost_standin::{
    load::{LoadSettings, RequestKind, Route},
    log::LogSettings,
    target::{ServiceTime, TargetFaults, TargetSettings},
};

/// Stand-ins for the systems that a plantainpost node meets.
#[derive(FromArgs)]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// What to run.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Log(Log),
    Target(Target),
    Load(Load),
    Check(Check),
    Call(Call),
}

/// Runs a log service until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
pub(crate) struct Log {
    /// where to listen (default: a free loopback port)
    #[argh(option, default = "any()")]
    listen: SocketAddr,
    /// where to take fault switches (default: a free loopback port)
    #[argh(option, default = "any()")]
    control: SocketAddr,
    /// records kept per stream
    #[argh(option, default = "1_000_000")]
    keep_records: u64,
    /// age in ms after which records are trimmed; 0 for never
    #[argh(option, default = "0")]
    keep_ms: u64,
}

impl Log {
    /// The settings of the log service.
    pub(crate) fn settings(&self) -> LogSettings {
        LogSettings {
            listen: self.listen,
            control: self.control,
            keep_records: self.keep_records,
            keep_ms: self.keep_ms,
        }
    }
}

/// Runs a target until SIGTERM, then drains it.
#[derive(FromArgs)]
#[argh(subcommand, name = "target")]
pub(crate) struct Target {
    /// where to listen (default: a free loopback port)
    #[argh(option, default = "any()")]
    listen: SocketAddr,
    /// where to take fault switches (default: a free loopback port)
    #[argh(option, default = "any()")]
    control: SocketAddr,
    /// name told in answers
    #[argh(option, default = "\"target\".to_owned()")]
    name: String,
    /// service announced
    #[argh(option, default = "\"stock\".to_owned()")]
    service: String,
    /// admin address of the node beside the target
    #[argh(option)]
    node: Option<SocketAddr>,
    /// requests worked on at the same time
    #[argh(option, default = "12")]
    slots: u32,
    /// connections announced
    #[argh(option, default = "220")]
    connections: u32,
    /// service time in us
    #[argh(option, default = "1000")]
    work_us: u64,
    /// makes the service time exponential with the mean --work-us
    #[argh(switch)]
    exponential: bool,
    /// seed of the service time
    #[argh(option, default = "1")]
    seed: u64,
    /// time to live of announcements in ms
    #[argh(option, default = "3000")]
    ttl_ms: u64,
    /// factor on the service time during --cold-ms
    #[argh(option, default = "1.0")]
    cold_factor: f64,
    /// length of the cold start in ms
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// file for the history
    #[argh(option)]
    history: Option<PathBuf>,
}

impl Target {
    /// The settings of the target.
    pub(crate) fn settings(&self) -> TargetSettings {
        let service_time = match self.exponential {
            true => ServiceTime::Exponential(self.work_us),
            false => ServiceTime::Fixed(self.work_us),
        };
        TargetSettings {
            listen: self.listen,
            control: self.control,
            name: self.name.clone(),
            service: self.service.clone(),
            slots: self.slots,
            connections: self.connections,
            service_time,
            seed: self.seed,
            node: self.node,
            ttl_ms: self.ttl_ms,
            faults: TargetFaults {
                cold_factor: self.cold_factor,
                cold_ms: self.cold_ms,
                ..Default::default()
            },
            history: self.history.clone(),
            ..Default::default()
        }
    }
}

/// Sends requests at a rate and reports latencies and outcomes.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct Load {
    /// LABEL=ADDRESS of a route; may be given several times, requests alternate
    #[argh(option)]
    to: Vec<String>,
    /// arrivals per second
    #[argh(option, default = "100.0")]
    rate: f64,
    /// length of the run in ms
    #[argh(option, default = "10_000")]
    duration_ms: u64,
    /// seed of gaps, kinds and nonces
    #[argh(option, default = "1")]
    seed: u64,
    /// most connections per route
    #[argh(option, default = "64")]
    connections: usize,
    /// time of each request in ms
    #[argh(option, default = "10_000")]
    timeout_ms: u64,
    /// kind of request, as service=,method=,path=,body=,answer=,chunked=,work-us=,repeatable=,weight=;
    /// may be given several times
    #[argh(option)]
    kind: Vec<RequestKind>,
    /// file for the history
    #[argh(option)]
    history: Option<PathBuf>,
    /// prints JSON instead of a table
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Load {
    /// The settings of the load run.
    pub(crate) fn settings(&self) -> Result<LoadSettings, String> {
        let routes: Result<Vec<Route>, String> = self.to.iter().map(|text| route(text)).collect();
        let kinds = match &self.kind[..] {
            [] => vec![RequestKind::default()],
            kinds => kinds.to_vec(),
        };
        Ok(LoadSettings {
            routes: routes?,
            rate: self.rate,
            duration_ms: self.duration_ms,
            seed: self.seed,
            connections_per_route: self.connections,
            timeout_ms: self.timeout_ms,
            kinds,
            history_path: self.history.clone(),
            keep_records: false,
            ..Default::default()
        })
    }
}

fn route(text: &str) -> Result<Route, String> {
    let (label, address) = text
        .split_once('=')
        .ok_or_else(|| format!("a route is LABEL=ADDRESS, not {text}"))?;
    let address = address
        .parse()
        .map_err(|err| format!("the address in {text}: {err}"))?;
    Ok(Route::new(label, address))
}

/// Checks history files and names the first record that breaks a rule.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// how long a leaving target may still start requests, in ms
    #[argh(option, default = "4000")]
    pub(crate) leaving_grace_ms: u64,
    /// history files
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Makes one HTTP call and prints the body of the answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
pub(crate) struct Call {
    /// method
    #[argh(positional)]
    pub(crate) method: String,
    /// URL
    #[argh(positional)]
    pub(crate) url: String,
    /// body, sent as JSON
    #[argh(positional)]
    pub(crate) body: Option<String>,
    /// NAME:VALUE of a header; may be given several times
    #[argh(option)]
    pub(crate) header: Vec<String>,
    /// bearer token
    #[argh(option)]
    pub(crate) token: Option<String>,
    /// longest wait for the answer in ms
    #[argh(option, default = "10_000")]
    pub(crate) timeout_ms: u64,
    /// prints status and headers to standard error
    #[argh(switch)]
    pub(crate) verbose: bool,
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
