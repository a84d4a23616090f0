//! Interface to the log service.

use futures_util::future::LocalBoxFuture;
use plantainpost_core::config::Batch;
use snafu::Snafu;

/// A failed call to the log service.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
#[expect(missing_docs, reason = "The messages name the fields.")]
pub enum LogError {
    /// The call had no effect. In particular, nothing was appended.
    #[snafu(display("the log service is unavailable: {reason}"))]
    Unavailable { reason: String },
    /// An append may have taken effect, which only a read of the stream shows. Reads never return
    /// this error.
    #[snafu(display("the append may have taken effect: {reason}"))]
    Unknown { reason: String },
}

/// Append-only streams of records, addressed by offset.
pub trait LogService {
    /// Appends a record to a stream and returns its offset.
    ///
    /// If the future is dropped, the append may or may not take effect.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        data: &'a str,
    ) -> LocalBoxFuture<'a, Result<u64, LogError>>;

    /// Reads at most `max` records, from offset `from` or the oldest kept record, whichever is
    /// later.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max: usize,
    ) -> LocalBoxFuture<'a, Result<Batch, LogError>>;
}
