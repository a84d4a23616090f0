//! Logger that writes to standard output.

use std::{io, str::FromStr};

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::AsyncGuard;

use crate::settings::OutputSection;

/// Maximum number of records queued for the writer thread. Further records are dropped and
/// counted, so that a reader that does not keep up can't block the node.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Builds the logger. Dropping the guard writes the queued records.
pub(crate) fn build(output: &OutputSection) -> (Logger, AsyncGuard) {
    let level = Level::from_str(&output.level).unwrap_or(Level::Info);
    if output.format == "json" {
        let drain = slog_json::Json::new(io::stdout())
            .add_default_keys()
            .build();
        build_async(drain.fuse(), level)
    } else {
        let decorator = slog_term::TermDecorator::new().stdout().build();
        let drain = slog_term::FullFormat::new(decorator).build();
        build_async(drain.fuse(), level)
    }
}

fn build_async<D>(drain: D, level: Level) -> (Logger, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = LevelFilter::new(drain, level).fuse();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_RECORDS)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}
