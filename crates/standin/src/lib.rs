//! Test doubles ("stand-ins") for the systems that a node talks to: the log service, targets,
//! callers and the network. They are used in tests and benchmarks only and are not shipped.
//!
//! Each server runs in its own thread with its own actix `System`. A `start` function
//! returns a handle with the addresses and the fault switches; dropping the handle stops
//! the server. The binary `plantainpost-standin` runs the log service, targets and callers as
//! separate processes. The fault switches of the log service and of targets can also be set
//! with `PUT /faults` on the control address, which stays reachable while the main address is
//! down.

pub mod body;
pub mod clock;
pub mod error;
pub mod fleet;
pub mod history;
mod http;
pub mod load;
pub mod log;
pub mod process;
pub mod proxy;
mod server;
pub mod soak;
pub mod target;
mod timer;
pub mod usage;
