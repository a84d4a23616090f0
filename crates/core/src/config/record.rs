//! Records of the `config` stream and batches of them.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use uuid::Uuid;

use super::{
    content::{Content, ContentError, validate_name},
    state::{State, StateError, is_valid_summary},
};

/// Longest encoded record. A checkpoint of the largest state fits.
pub const MAX_LOG_RECORD_BYTES: usize = 256 * 1024;

/// Longest summary of a confirmation, in bytes.
pub const MAX_SUMMARY_BYTES: usize = 256;

/// A record as the log service returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// JSON text; see [`Record::decode`].
    pub data: String,
}

/// Answer of the log service to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Oldest offset that the log keeps.
    pub oldest: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Records in log order, with consecutive offsets.
    pub records: Vec<LogRecord>,
}

impl Batch {
    /// Returns whether the offsets are consecutive, not below `oldest`, and below `next`.
    pub fn is_well_formed(&self) -> bool {
        let rising = self
            .records
            .windows(2)
            .all(|pair| pair[0].offset.checked_add(1) == Some(pair[1].offset));
        let first = self.records.first().map_or(self.oldest, |r| r.offset);
        let last = self.records.last().map(|r| r.offset);
        rising
            && self.oldest <= self.next
            && self.oldest <= first
            && last.is_none_or(|last| last < self.next)
    }
}

/// Confirmation of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirm {
    /// Id of the plan.
    pub id: Uuid,
    /// Version that must be in force at the record's offset.
    pub base: Option<u64>,
    /// `Some` if the record replaces the whole content regardless of `base`. It is then in
    /// force if no other confirmation lies between this offset and its own.
    #[serde(default)]
    pub overrides: Option<u64>,
    /// Operator who confirmed.
    pub author: String,
    /// Wall clock of the node that accepted the confirmation, in milliseconds since the
    /// Unix epoch. For information only.
    pub at_unix_ms: u64,
    /// Content that comes into force.
    pub content: Content,
    /// Short text of the changes.
    pub summary: String,
}

/// A record of the `config` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Confirmation of a plan.
    Confirm(Confirm),
    /// State of a reader that has applied every offset below `complete_to`.
    Checkpoint {
        /// First offset that the state does not cover; equal to its `read_to`.
        complete_to: u64,
        /// State of the reader at `complete_to`.
        state: State,
        /// Node that wrote the checkpoint.
        node: String,
    },
}

/// Why a record can't be encoded, or is skipped by every reader.
#[derive(Debug, Snafu)]
#[expect(missing_docs, reason = "The messages name the fields.")]
pub enum RecordError {
    /// The record is too long.
    #[snafu(display("the record has {bytes} bytes, above {MAX_LOG_RECORD_BYTES}"))]
    TooLarge { bytes: usize },
    /// The record is not JSON of a known kind.
    #[snafu(display("the record is not of a known form"))]
    Form { source: serde_json::Error },
    /// The content or a name is out of bounds.
    #[snafu(display("{source}"), context(false))]
    Content { source: ContentError },
    /// The state of a checkpoint is inconsistent.
    #[snafu(display("{source}"), context(false))]
    State { source: StateError },
    /// The summary is out of bounds.
    #[snafu(display(
        "the summary is longer than {MAX_SUMMARY_BYTES} bytes or has control characters"
    ))]
    Summary,
    /// A checkpoint's `complete_to` differs from its state's `read_to`.
    #[snafu(display("checkpoint to offset {complete_to} holds a state read to offset {read_to}"))]
    CompleteTo { complete_to: u64, read_to: u64 },
}

impl Record {
    /// Returns the text to append.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is one that readers would skip.
    pub fn encode(&self) -> Result<String, RecordError> {
        self.validate()?;
        let data = serde_json::to_string(self).context(FormSnafu)?;
        let bytes = data.len();
        ensure!(bytes <= MAX_LOG_RECORD_BYTES, TooLargeSnafu { bytes });
        Ok(data)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not of a known form or is out of bounds. This
    /// depends on the text only, so every reader skips the same records.
    pub fn decode(data: &str) -> Result<Self, RecordError> {
        let bytes = data.len();
        ensure!(bytes <= MAX_LOG_RECORD_BYTES, TooLargeSnafu { bytes });
        let record: Record = serde_json::from_str(data).context(FormSnafu)?;
        record.validate()?;
        Ok(record)
    }

    fn validate(&self) -> Result<(), RecordError> {
        match self {
            Record::Confirm(confirm) => {
                validate_name(&confirm.author)?;
                ensure!(is_valid_summary(&confirm.summary), SummarySnafu);
                confirm.content.validate()?;
            }
            Record::Checkpoint {
                complete_to, state, ..
            } => {
                let (complete_to, read_to) = (*complete_to, state.read_to());
                ensure!(
                    complete_to == read_to,
                    CompleteToSnafu {
                        complete_to,
                        read_to
                    }
                );
                state.validate()?;
            }
        }
        Ok(())
    }
}
