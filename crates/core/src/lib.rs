//! Decision logic of plantainpost.
//!
//! Nothing here opens a socket, reads a clock or starts a task. Every decision
//! takes the present time and a random source as arguments, so that the same
//! code runs in a node, in a test under virtual time, or in any other harness.
//!
//! Each module holds one aggregate that alone changes its own fields.

pub mod admission;
pub mod balance;
pub mod collections;
pub mod config;
pub mod ids;
pub mod load;
pub mod measure;
pub mod member;
pub mod retry;
pub mod routing;
pub mod time;
