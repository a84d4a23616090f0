//! The log service as the rest of a node sees it.

use futures_util::future::LocalBoxFuture;
use plantainpost_core::config::Batch;
use snafu::Snafu;

/// Why a call of the log service gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
#[expect(missing_docs, reason = "The messages name the fields.")]
pub enum LogError {
    /// The call had no effect: an append was certainly not made.
    #[snafu(display("the log service is unavailable: {reason}"))]
    Unavailable { reason: String },
    /// An append may have taken effect. Only reading the stream tells. A read never
    /// ends this way.
    #[snafu(display("the append may have taken effect: {reason}"))]
    Unknown { reason: String },
}

/// Append-only streams with offsets.
pub trait LogService {
    /// Appends a record to a stream and returns its offset.
    ///
    /// Dropping the future leaves it unknown whether the append takes effect.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        data: &'a str,
    ) -> LocalBoxFuture<'a, Result<u64, LogError>>;

    /// Reads at most `max` records from offset `from` on, or from the oldest one kept
    /// if that is later.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max: usize,
    ) -> LocalBoxFuture<'a, Result<Batch, LogError>>;
}
