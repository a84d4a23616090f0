//! Outside systems of the platform, met through their published HTTP interfaces.
//!
//! The log service is append-only and has no compare-and-set: an append either takes
//! an offset or not, and a caller may not learn which.

mod http;
mod log;

pub use http::{HttpLog, HttpLogSettings};
pub use log::{LogError, LogService};
