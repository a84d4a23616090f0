//! In-memory topics of the log service and their retention.

use std::collections::{BTreeMap, VecDeque};

use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;

use crate::clock::now_us;

/// The result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ReadBatch {
    /// The offset of the oldest record that is kept.
    pub(super) oldest_offset: u64,
    /// The offset that the next appended record gets.
    pub(super) next_offset: u64,
    /// The records, in offset order.
    pub(super) records: Vec<Bytes>,
}

/// One record of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TopicRecord {
    /// Offset within the topic.
    pub offset: u64,
    /// Content; bytes that are not UTF-8 are replaced.
    pub data: String,
}

/// All topics.
#[derive(Debug, Default)]
pub(super) struct TopicStore {
    topics: BTreeMap<String, Topic>,
    keep_records: u64,
    keep_us: u64,
}

/// A copy of all topics.
#[derive(Clone, Debug)]
pub struct StoreCopy(BTreeMap<String, Topic>);

#[derive(Clone, Debug, Default)]
struct Topic {
    /// The offset of the first element of `records`.
    oldest_offset: u64,
    /// Append time in µs since the Unix epoch, and content; offsets are consecutive.
    records: VecDeque<(u64, Bytes)>,
}

impl TopicStore {
    pub(super) fn new(keep_records: u64, keep_ms: u64) -> Self {
        Self {
            topics: BTreeMap::new(),
            keep_records,
            keep_us: keep_ms.saturating_mul(1000),
        }
    }

    pub(super) fn append(&mut self, name: &str, record: Bytes) -> u64 {
        let topic = self.topics.entry(name.to_owned()).or_default();
        let offset = topic.next_offset();
        topic.records.push_back((now_us(), record));
        self.apply_retention(name);
        offset
    }

    /// Reads the records from offset `from` on, or from the oldest one that is kept if that is
    /// later. The newest `hidden_count` records are left out as if they had not been appended.
    pub(super) fn read(&mut self, name: &str, from: u64, hidden_count: u64) -> ReadBatch {
        self.apply_retention(name);
        let Some(topic) = self.topics.get(name) else {
            return ReadBatch {
                oldest_offset: 0,
                next_offset: 0,
                records: Vec::new(),
            };
        };
        let next_offset = topic.next_offset().saturating_sub(hidden_count);
        let start = from.max(topic.oldest_offset);
        let records = (start..next_offset)
            .filter_map(|offset| topic.records.get((offset - topic.oldest_offset) as usize))
            .map(|(_, record)| record.clone())
            .collect();
        ReadBatch {
            oldest_offset: topic.oldest_offset.min(next_offset),
            next_offset,
            records,
        }
    }

    pub(super) fn trim_before(&mut self, name: &str, oldest_offset: u64) {
        if let Some(topic) = self.topics.get_mut(name) {
            while topic.oldest_offset < oldest_offset && topic.drop_oldest_record() {}
        }
    }

    pub(super) fn clear(&mut self) {
        self.topics.clear();
    }

    pub(super) fn copy(&self) -> StoreCopy {
        StoreCopy(self.topics.clone())
    }

    pub(super) fn restore(&mut self, copy: &StoreCopy) {
        self.topics.clone_from(&copy.0);
    }

    /// Drops the records of a topic that exceed the retention by count or by age.
    fn apply_retention(&mut self, name: &str) {
        let Some(topic) = self.topics.get_mut(name) else {
            return;
        };
        while topic.records.len() as u64 > self.keep_records {
            topic.drop_oldest_record();
        }
        if self.keep_us > 0 {
            let oldest_kept_us = now_us().saturating_sub(self.keep_us);
            while topic
                .records
                .front()
                .is_some_and(|(at, _)| *at < oldest_kept_us)
            {
                topic.drop_oldest_record();
            }
        }
    }
}

impl Topic {
    fn next_offset(&self) -> u64 {
        self.oldest_offset + self.records.len() as u64
    }

    /// Drops the oldest record; returns false when the topic is empty.
    fn drop_oldest_record(&mut self) -> bool {
        let dropped = self.records.pop_front().is_some();
        self.oldest_offset += u64::from(dropped);
        dropped
    }
}

/// Encodes a record of a topic with keys: the length of the key in one byte, the key, the
/// value.
pub(super) fn encode_keyed_record(key: &str, value: &[u8]) -> Bytes {
    let mut record = BytesMut::new();
    record.put_u8(key.len() as u8);
    record.put_slice(key.as_bytes());
    record.put_slice(value);
    record.freeze()
}

/// Decodes key and value of a record of a topic with keys; `None` when it is truncated.
pub(super) fn decode_keyed_record(record: &Bytes) -> Option<(String, Bytes)> {
    let length = usize::from(*record.first()?);
    let key = record.get(1..1 + length)?;
    let key = String::from_utf8_lossy(key).into_owned();
    Some((key, record.slice(1 + length..)))
}
