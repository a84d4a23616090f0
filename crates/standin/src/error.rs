//! Errors of the stand-ins.

use std::{io, net::SocketAddr};

use snafu::Snafu;

/// What can go wrong in a stand-in.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A listener could not be opened.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The address that was asked for.
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
    #[snafu(display("cannot use the file {path}"))]
    File {
        /// The path as given.
        path: String,
        /// The cause.
        source: io::Error,
    },

    /// A history line is not a record.
    #[snafu(display("line {line} is not a history record"))]
    Record {
        /// The line number, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },

    /// A setting has no meaning.
    #[snafu(display("invalid setting: {reason}"))]
    Setting {
        /// What is wrong with it.
        reason: String,
    },

    /// A condition did not come true in time.
    #[snafu(display("timed out waiting for {what}"))]
    Timeout {
        /// What was waited for.
        what: String,
    },

    /// A child process could not be started, signalled or awaited.
    #[snafu(display("process {name}"))]
    Process {
        /// The program.
        name: String,
        /// The cause.
        source: io::Error,
    },
}

/// The result of an operation of a stand-in.
pub type Result<T, E = Error> = std::result::Result<T, E>;
