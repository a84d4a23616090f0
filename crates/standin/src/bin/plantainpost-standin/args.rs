//! Command line of the stand-ins.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use plantainpost_standin::{
    load::{LoadRoute, LoadSettings, RequestKind},
    log::LogSettings,
    target::{ServiceTime, TargetFaults, TargetSettings},
};

/// Stand-ins for the log service, targets and callers of plantainpost nodes.
#[derive(FromArgs)]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// The subcommand.
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
    /// address to listen on (default: a free loopback port)
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
    /// control address for fault switches (default: a free loopback port)
    #[argh(option, default = "any_loopback_port()")]
    control: SocketAddr,
    /// maximum number of records kept per topic
    #[argh(option, default = "1_000_000")]
    keep_records: u64,
    /// age in ms after which records are dropped; 0 for never
    #[argh(option, default = "0")]
    keep_ms: u64,
    /// era that the service states in its answers; it rises with each restore (default: none)
    #[argh(option)]
    era: Option<u64>,
}

impl Log {
    /// Returns the settings of the log service.
    pub(crate) fn settings(&self) -> LogSettings {
        LogSettings {
            listen: self.listen,
            control: self.control,
            keep_records: self.keep_records,
            keep_ms: self.keep_ms,
            era: self.era,
        }
    }
}

/// Runs a target until SIGTERM, then drains it.
#[derive(FromArgs)]
#[argh(subcommand, name = "target")]
pub(crate) struct Target {
    /// address to listen on (default: a free loopback port)
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
    /// control address for fault switches (default: a free loopback port)
    #[argh(option, default = "any_loopback_port()")]
    control: SocketAddr,
    /// name of the target, sent in its answers
    #[argh(option, default = "\"target\".to_owned()")]
    name: String,
    /// name of the announced service
    #[argh(option, default = "\"stock\".to_owned()")]
    service: String,
    /// admin address of the node that the target announces itself to
    #[argh(option)]
    node: Option<SocketAddr>,
    /// number of requests processed at the same time
    #[argh(option, default = "12")]
    slots: u32,
    /// announced maximum number of connections
    #[argh(option, default = "220")]
    connections: u32,
    /// service time in us
    #[argh(option, default = "1000")]
    work_us: u64,
    /// draw service times from an exponential distribution with mean --work-us
    #[argh(switch)]
    exponential: bool,
    /// seed of exponential service times
    #[argh(option, default = "1")]
    seed: u64,
    /// time to live of announcements in ms
    #[argh(option, default = "3000")]
    ttl_ms: u64,
    /// factor on the service time during the cold start
    #[argh(option, default = "1.0")]
    cold_factor: f64,
    /// length of the cold start in ms
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// file to write the history to
    #[argh(option)]
    history: Option<PathBuf>,
}

impl Target {
    /// Returns the settings of the target.
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

/// Sends requests at a given rate and reports latencies and outcomes.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct Load {
    /// LABEL=ADDRESS to send requests to; may be given several times, requests go to each in turn
    #[argh(option)]
    to: Vec<String>,
    /// requests per second over all addresses
    #[argh(option, default = "100.0")]
    rate: f64,
    /// length of the run in ms
    #[argh(option, default = "10_000")]
    duration_ms: u64,
    /// seed of send times, kinds and nonces
    #[argh(option, default = "1")]
    seed: u64,
    /// maximum number of connections per address
    #[argh(option, default = "64")]
    connections: usize,
    /// timeout of each request in ms
    #[argh(option, default = "10_000")]
    timeout_ms: u64,
    /// kind of request, as service=,method=,path=,body=,answer=,chunked=,work-us=,repeatable=,weight=;
    /// may be given several times
    #[argh(option)]
    kind: Vec<RequestKind>,
    /// file to write the history to
    #[argh(option)]
    history: Option<PathBuf>,
    /// print JSON instead of a table
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Load {
    /// Returns the settings of the load run.
    ///
    /// # Errors
    ///
    /// Fails if a route is not `LABEL=ADDRESS`.
    pub(crate) fn settings(&self) -> Result<LoadSettings, String> {
        let routes: Result<Vec<LoadRoute>, String> =
            self.to.iter().map(|text| parse_route(text)).collect();
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

fn parse_route(text: &str) -> Result<LoadRoute, String> {
    let (label, address) = text
        .split_once('=')
        .ok_or_else(|| format!("expected LABEL=ADDRESS, not {text}"))?;
    let address = address
        .parse()
        .map_err(|err| format!("invalid address in {text}: {err}"))?;
    Ok(LoadRoute::new(label, address))
}

/// Checks history files and prints the first record that breaks a rule.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// time in ms for which a target may still start requests after it was told to leave
    #[argh(option, default = "4000")]
    pub(crate) leaving_grace_ms: u64,
    /// history files
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Sends one HTTP request and prints the body of the answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
pub(crate) struct Call {
    /// HTTP method
    #[argh(positional)]
    pub(crate) method: String,
    /// URL
    #[argh(positional)]
    pub(crate) url: String,
    /// JSON body of the request
    #[argh(positional)]
    pub(crate) body: Option<String>,
    /// header as NAME:VALUE; may be given several times
    #[argh(option)]
    pub(crate) header: Vec<String>,
    /// bearer token
    #[argh(option)]
    pub(crate) token: Option<String>,
    /// maximum wait for the answer in ms
    #[argh(option, default = "10_000")]
    pub(crate) timeout_ms: u64,
    /// print status and headers to standard error
    #[argh(switch)]
    pub(crate) verbose: bool,
}

/// Returns the loopback address with port 0, for a free port.
fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
