//! Errors of the stand-ins.

use std::{io, net::SocketAddr};

use snafu::Snafu;

/// An error of a stand-in.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A listener could not be opened.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },

    /// A thread could not be started.
    #[snafu(display("cannot start a thread"))]
    Thread {
        /// The cause.
        source: io::Error,
    },

    /// A file could not be read or written.
    #[snafu(display("cannot read or write the file {path}"))]
    File {
        /// The path as given.
        path: String,
        /// The cause.
        source: io::Error,
    },

    /// A line of a history file is not a valid record.
    #[snafu(display("line {line} is not a history record"))]
    Record {
        /// The line number, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },

    /// A setting or argument is invalid, or cannot be satisfied on this host.
    #[snafu(display("invalid setting: {reason}"))]
    Setting {
        /// Why it is invalid.
        reason: String,
    },

    /// A condition was not met in time.
    #[snafu(display("timed out waiting for {what}"))]
    Timeout {
        /// The condition.
        what: String,
    },

    /// A child process could not be started, signalled or waited for.
    #[snafu(display("cannot start, signal or wait for process {name}"))]
    Process {
        /// The path of the program.
        name: String,
        /// The cause.
        source: io::Error,
    },
}

/// The result of an operation of a stand-in.
pub type Result<T, E = Error> = std::result::Result<T, E>;
