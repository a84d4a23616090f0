//! Replicated configuration: plans, confirmations, checkpoints and replay.
//!
//! The log service has no compare-and-set operation, so nodes agree by state machine
//! replication: every reader applies the records of the `config` stream in log order
//! with the same rules ([`State`]), and the state at an offset depends only on the
//! records below it. [`ConfigReplica`] owns the state of one reader and decides which
//! batches, checkpoints and states of peers may advance it.

mod checkpoint;
mod content;
mod delta;
mod describe;
mod evacuations;
mod fetch;
mod freshness;
mod gap_scan;
mod intent;
mod plan;
mod position;
mod record;
mod replica;
mod state;

pub use checkpoint::{CheckpointSettings, LogPosition};
pub use content::{
    Content, ContentError, DEFAULT_MEASURING_PERMILLE, DEFAULT_SHARE, Leaving, MAX_CONTENT_BYTES,
    MAX_MEASURING_PERMILLE, MAX_NAME_BYTES, MAX_SHARE, ServiceRules, ShareKey, ShareKeyError,
};
pub use evacuations::{EvacuationChange, EvacuationState, Evacuations, MAX_EVACUATION_RECORDS};
pub use fetch::FetchCandidates;
pub use freshness::Freshness;
pub use intent::Intent;
pub use plan::{KnownTarget, Plan, PlanError, VerifyError};
pub use position::{Position, Progress};
pub use record::{
    Batch, Confirm, LogRecord, MAX_LOG_RECORD_BYTES, MAX_SUMMARY_BYTES, Record, RecordError,
};
pub use replica::{Adoption, BatchOutcome, ConfigReplica, Counters};
pub use state::{
    Decision, MAX_DECISIONS, MAX_VERSIONS, PublishedEffect, PublishedRecords, State, StateError,
    Verdict, VersionInfo,
};
