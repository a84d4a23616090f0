//! The command line of the measurements.

use std::path::PathBuf;

use argh::FromArgs;
use plantainpost_standin::{error::Result, fleet};

/// Measures fleets of real node processes on loopback.
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

/// Latency that an entry and a guard add to a call, alternating with direct calls, and
/// the processor time of both.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "latency")]
pub(crate) struct Latency {
    /// binary of the node (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// arrivals per second, half of them through the nodes (default 256)
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

/// Control cost of a fleet without traffic: processor time, memory, datagrams, and the
/// time until a confirmation is in force on all nodes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "capacity")]
pub(crate) struct Capacity {
    /// binary of the node (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// number of nodes; may be given several times (default 10, 40, 100)
    #[argh(option)]
    pub(crate) nodes: Vec<usize>,

    /// time over which the cost is measured in s (default 20)
    #[argh(option, default = "20")]
    pub(crate) seconds: u64,

    /// confirmations, one per second (default 10)
    #[argh(option, default = "10")]
    pub(crate) confirmations: u64,
}

/// Memory and descriptors of a node per open connection of a caller.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "connections")]
pub(crate) struct Connections {
    /// binary of the node (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// connections opened in each step (default 200)
    #[argh(option, default = "200")]
    pub(crate) per_step: usize,

    /// number of steps (default 4)
    #[argh(option, default = "4")]
    pub(crate) steps: usize,
}

/// Latency and goodput of the policies under disturbances, at the sizes of the users.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "policies")]
pub(crate) struct Policies {
    /// binary of the node (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// disturbance; may be given several times (default: all)
    #[argh(option)]
    pub(crate) disturbance: Vec<String>,

    /// policy; may be given several times (default: all)
    #[argh(option)]
    pub(crate) policy: Vec<String>,

    /// load in percent of the capacity; may be given several times (default 50, 80)
    #[argh(option)]
    pub(crate) load: Vec<u32>,

    /// print counters that explain each run
    #[argh(switch)]
    pub(crate) counters: bool,

    /// length of a run in s (default 10)
    #[argh(option, default = "10")]
    pub(crate) seconds: u64,

    /// runs of each policy, alternating (default 5)
    #[argh(option, default = "5")]
    pub(crate) runs: u64,
}

/// Processor time of a node per load probe that it answers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "probes")]
pub(crate) struct Probes {
    /// binary of the node (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// number of probes (default 20000)
    #[argh(option, default = "20_000")]
    pub(crate) count: u64,
}

/// Load on a fleet while its nodes are replaced, frozen and killed and the log service
/// fails; checks the histories and the growth of memory and descriptors.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "soak")]
pub(crate) struct Soak {
    /// binary of the node (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// number of nodes (default 12)
    #[argh(option, default = "12")]
    pub(crate) nodes: usize,

    /// length in s (default 600)
    #[argh(option, default = "600")]
    pub(crate) seconds: u64,

    /// arrivals per second (default 150)
    #[argh(option, default = "150.0")]
    pub(crate) rate: f64,

    /// seed of load and faults (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
}

/// Random faults on a fleet with the interface of the users' platform, round by round; checks
/// the promises after each round.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "faults")]
pub(crate) struct Faults {
    /// binary of the node (default: beside this program)
    #[argh(option)]
    binary: Option<PathBuf>,

    /// number of nodes (default 6)
    #[argh(option, default = "6")]
    pub(crate) nodes: usize,

    /// first round of each seed (default 0)
    #[argh(option, default = "0")]
    pub(crate) first_round: u64,

    /// rounds for each seed (default 3)
    #[argh(option, default = "3")]
    pub(crate) rounds: u64,

    /// first seed (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,

    /// number of seeds, one fleet for each (default 1)
    #[argh(option, default = "1")]
    pub(crate) seeds: u64,

    /// requests per second (default 120)
    #[argh(option, default = "120.0")]
    pub(crate) rate: f64,
}

/// Returns the binary that was given, or the one beside this program.
fn binary(given: Option<&PathBuf>) -> Result<PathBuf> {
    match given {
        Some(path) => Ok(path.clone()),
        None => fleet::sibling_binary(),
    }
}

macro_rules! with_binary {
    ($($name:ident),*) => {
        $(impl $name {
            /// Returns the binary of the node.
            pub(crate) fn binary(&self) -> Result<PathBuf> {
                binary(self.binary.as_ref())
            }
        })*
    };
}

with_binary!(
    Latency,
    Capacity,
    Connections,
    Policies,
    Probes,
    Soak,
    Faults
);
