//! The node process: listeners, connections and timers around the decision logic.
//!
//! [`run`] starts a node and returns when a planned stop has ended.

mod admin;
mod audit;
mod clock;
mod config_sync;
mod confirm;
mod entry;
mod fleet;
mod gossip;
mod guard;
mod headers;
mod http;
mod metrics;
mod node;
mod peers;
mod probe;
mod report;
pub mod settings;
mod start;
mod status;
mod stop;
mod target;
mod trace;

pub use crate::{
    settings::{Limits, NodeSettings},
    start::{NodeError, run},
    stop::Summary,
};
