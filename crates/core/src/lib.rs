//! Decision logic of plantainpost.
//!
//! This crate opens no sockets, reads no clocks and starts no tasks. Its functions take the
//! present time and a random source as arguments where they need them, so that the same code
//! runs in a node, in a test in virtual time, and in a simulation.
//!
//! The modules don't share mutable state: the fields of a type are changed only by its module.

pub mod admission;
pub mod balance;
pub mod collections;
pub mod config;
pub mod delivery;
pub mod eligibility;
mod hash;
pub mod ids;
pub mod load;
pub mod measure;
pub mod member;
pub mod progress;
pub mod quota;
pub mod retry;
pub mod routing;
pub mod time;
pub mod workspace;
