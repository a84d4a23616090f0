//! The node process: listeners, connections and timers around the decision logic of
//! `plantainpost-core`.
//!
//! [`run`] starts a node and returns after a graceful stop.

mod admin;
mod audit;
mod clock;
mod config_recheck;
mod config_sync;
mod confirm;
mod control;
mod entry;
mod evacuation;
pub mod external;
mod fleet;
mod gossip;
mod guard;
pub mod headers;
mod http;
mod load_report;
pub mod log_service;
mod metrics;
mod node;
mod pace;
mod peer_pool;
mod probe;
mod quota;
mod reload;
pub mod settings;
mod start;
mod startup;
mod status;
mod stop;
mod store_sync;
mod target_pool;
mod trace;
mod workspace_usage;

pub use crate::{
    settings::{Limits, NodeSettings, Routing},
    start::{NodeError, run},
    stop::RunSummary,
};
