//! A TCP proxy and a UDP relay with fault switches, for use within a process.

mod tcp;
mod udp;

pub use tcp::{Proxy, ProxyFaults};
pub use udp::{Relay, RelayFaults, RelaySettings};
