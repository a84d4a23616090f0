//! Log lines on standard output.

use std::{io, str::FromStr};

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::AsyncGuard;

use crate::settings::Output;

/// Records that may wait for the writer. Further ones are dropped and counted, so that
/// a blocked reader doesn't stop the node.
const MAX_WAITING: usize = 4_096;

/// Builds the logger. Dropping the guard writes what still waits.
pub(crate) fn build(output: &Output) -> (Logger, AsyncGuard) {
    let level = Level::from_str(&output.level).unwrap_or(Level::Info);
    if output.format == "json" {
        let drain = slog_json::Json::new(io::stdout())
            .add_default_keys()
            .build();
        start(drain.fuse(), level)
    } else {
        let decorator = slog_term::TermDecorator::new().stdout().build();
        let drain = slog_term::FullFormat::new(decorator).build();
        start(drain.fuse(), level)
    }
}

fn start<D>(drain: D, level: Level) -> (Logger, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = LevelFilter::new(drain, level).fuse();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(MAX_WAITING)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}
