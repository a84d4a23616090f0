//! Start of the node.

use slog::Logger;
use snafu::Snafu;

use crate::settings::Settings;

/// Reason why the node did not start or stopped early.
#[derive(Debug, Snafu)]
pub(crate) enum NodeError {
    #[snafu(display("run: not available in this build; use a build with the node"))]
    NotAvailable,
}

/// Stands in for `plantainpost_node::run` until the node is part of the build.
///
/// # Errors
///
/// Always fails.
pub(crate) fn run_not_available(_: &Settings, _: &Logger) -> Result<String, NodeError> {
    NotAvailableSnafu.fail()
}
