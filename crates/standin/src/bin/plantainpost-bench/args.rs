//! Command line of the benchmarks.

use std::path::PathBuf;

use argh::FromArgs;
use plantainpost_standin::{error::Result, fleet};

/// Benchmarks and soak tests of fleets of node processes on loopback.
#[derive(FromArgs, Debug)]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum Command {
    Latency(Latency),
    Capacity(Capacity),
    Connections(Connections),
    Policies(Policies),
    Probes(Probes),
    Soak(Soak),
    Faults(Faults),
}

/// Measures the latency that an entry node and a guard node add to a request, compared with
/// requests sent to the target directly at the same time, and the CPU time of both nodes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "latency")]
pub(crate) struct Latency {
    /// path of the node binary (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// requests per second, half of them through the nodes (default 256)
    #[argh(option, default = "256.0")]
    pub(crate) rate: f64,

    /// length of a run in s (default 20)
    #[argh(option, default = "20")]
    pub(crate) seconds: u64,

    /// number of runs (default 5)
    #[argh(option, default = "5")]
    pub(crate) runs: u64,

    /// service time of the target in us (default 1000)
    #[argh(option, default = "1000")]
    pub(crate) work_us: u64,
}

/// Measures the cost of a fleet without traffic: CPU time, memory, datagrams, and the time until a
/// confirmed configuration is in force on all nodes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "capacity")]
pub(crate) struct Capacity {
    /// path of the node binary (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// number of nodes; may be given several times (default 10, 40, 100)
    #[argh(option)]
    pub(crate) nodes: Vec<usize>,

    /// length of the measurement in s (default 20)
    #[argh(option, default = "20")]
    pub(crate) seconds: u64,

    /// number of confirmations, one per second (default 10)
    #[argh(option, default = "10")]
    pub(crate) confirmations: u64,
}

/// Measures memory and file descriptors of a node by number of open caller connections.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "connections")]
pub(crate) struct Connections {
    /// path of the node binary (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// number of connections opened in each step (default 200)
    #[argh(option, default = "200")]
    pub(crate) per_step: usize,

    /// number of steps (default 4)
    #[argh(option, default = "4")]
    pub(crate) steps: usize,
}

/// Compares latency and goodput of the balancing policies under disturbances, at the fleet size of
/// the users.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "policies")]
pub(crate) struct Policies {
    /// path of the node binary (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// name of a disturbance; may be given several times (default: all)
    #[argh(option)]
    pub(crate) disturbance: Vec<String>,

    /// name of a policy; may be given several times (default: all)
    #[argh(option)]
    pub(crate) policy: Vec<String>,

    /// load in percent of the targets' capacity; may be given several times (default 50, 80)
    #[argh(option)]
    pub(crate) load: Vec<u32>,

    /// print counters of retries, hedges, refusals and probes for each run
    #[argh(switch)]
    pub(crate) counters: bool,

    /// length of a run in s (default 10)
    #[argh(option, default = "10")]
    pub(crate) seconds: u64,

    /// number of runs of each policy, in alternation (default 5)
    #[argh(option, default = "5")]
    pub(crate) runs: u64,
}

/// Measures the CPU time of a node per load probe that it answers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "probes")]
pub(crate) struct Probes {
    /// path of the node binary (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// number of probes (default 20000)
    #[argh(option, default = "20_000")]
    pub(crate) count: u64,
}

/// Runs load on a fleet while its nodes are replaced, frozen and killed and the log service fails.
/// Checks the histories, and prints memory and file descriptors after warm-up and at the end.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "soak")]
pub(crate) struct Soak {
    /// path of the node binary (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// number of nodes (default 12)
    #[argh(option, default = "12")]
    pub(crate) nodes: usize,

    /// length of the run in s (default 600)
    #[argh(option, default = "600")]
    pub(crate) seconds: u64,

    /// requests per second (default 150)
    #[argh(option, default = "150.0")]
    pub(crate) rate: f64,

    /// seed of the load and the faults (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
}

/// Injects random faults into a fleet with the interface of the users' platform, round by round.
/// Checks the guarantees to callers, targets and operators after each round.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "faults")]
pub(crate) struct Faults {
    /// path of the node binary (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// number of nodes (default 6)
    #[argh(option, default = "6")]
    pub(crate) nodes: usize,

    /// first round of each seed (default 0)
    #[argh(option, default = "0")]
    pub(crate) first_round: u64,

    /// number of rounds for each seed (default 3)
    #[argh(option, default = "3")]
    pub(crate) rounds: u64,

    /// first seed (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,

    /// number of seeds, one fleet for each (default 1)
    #[argh(option, default = "1")]
    pub(crate) seeds: u64,

    /// evacuations of data centres in each round (default 0)
    #[argh(option, default = "0")]
    pub(crate) evacuations: usize,

    /// restarts of targets in each round, after which they are cold (default 0)
    #[argh(option, default = "0")]
    pub(crate) restarts: usize,

    /// withdrawals of a key in each round; requests need keys then (default 0)
    #[argh(option, default = "0")]
    pub(crate) withdrawals: usize,

    /// restores of the store from an older copy in each round (default 0)
    #[argh(option, default = "0")]
    pub(crate) restores: usize,

    /// requests per second (default 120)
    #[argh(option, default = "120.0")]
    pub(crate) rate: f64,
}

/// Returns the given binary, or else the one in the directory of this program.
fn binary_or_sibling(given: Option<&PathBuf>) -> Result<PathBuf> {
    match given {
        Some(path) => Ok(path.clone()),
        None => fleet::sibling_binary(),
    }
}

macro_rules! impl_binary {
    ($($name:ident),*) => {
        $(impl $name {
            /// Returns the path of the node binary.
            pub(crate) fn binary(&self) -> Result<PathBuf> {
                binary_or_sibling(self.binary.as_ref())
            }
        })*
    };
}

impl_binary!(
    Latency,
    Capacity,
    Connections,
    Policies,
    Probes,
    Soak,
    Faults
);
