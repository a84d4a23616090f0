//! Membership protocol state machine.
//!
//! SWIM-style membership with suspicion: one direct probe per interval, indirect
//! probes through other members, refutation by a higher incarnation, eager
//! dissemination of changes, and periodic anti-entropy by comparing table digests
//! (*sync*). The module does no I/O: every call returns the datagrams to send and
//! the events to report as [`Action`] values.

mod apply;
mod budget;
mod config_readers;
mod counters;
mod digest;
mod event;
mod gossip;
mod membership;
mod merge;
mod message;
mod probe;
mod receive;
mod record;
mod send;
mod settings;
mod suspicion;
mod sync;
mod table;
mod tick;

pub use self::{
    config_readers::ConfigReader,
    counters::Counters,
    event::{Action, MemberEvent},
    membership::Membership,
    message::{DIGEST_BUCKETS, MAX_MESSAGE_BYTES, Message},
    record::{MAX_MEMBER_RECORD_BYTES, MemberRecord, MemberState, TargetInfo},
    settings::MemberSettings,
};
