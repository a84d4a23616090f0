//! The node process: listeners, connections and timers around the decision logic.
//!
//! [`run`] starts a node and returns when a planned stop has ended.

mod admin;
mod audit;
mod clock;
mod config_sync;
mod confirm;
mod control;
mod entry;
pub mod external;
mod fleet;
mod gossip;
mod guard;
pub mod headers;
mod http;
pub mod log;
mod metrics;
mod node;
mod pace;
mod peers;
mod probe;
mod reload;
mod report;
pub mod settings;
mod start;
mod status;
mod stop;
mod store_sync;
mod target;
mod trace;

pub use crate::{
    settings::{Limits, NodeSettings, Routing},
    start::{NodeError, run},
    stop::RunSummary,
};
