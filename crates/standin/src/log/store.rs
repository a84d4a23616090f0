//! The topics and their retention.

use std::collections::{BTreeMap, VecDeque};

use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;

use crate::clock::now_us;

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Batch {
    /// The oldest offset kept.
    pub(super) oldest: u64,
    /// The offset that the next append gets.
    pub(super) next: u64,
    /// The records read, in offset order.
    pub(super) records: Vec<Bytes>,
}

/// One record of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Its offset.
    pub offset: u64,
    /// Its content, as far as it is text.
    pub data: String,
}

/// All topics.
#[derive(Debug, Default)]
pub(super) struct Store {
    topics: BTreeMap<String, Topic>,
    keep_records: u64,
    keep_us: u64,
}

#[derive(Debug, Default)]
struct Topic {
    /// The offset of the first element of `records`.
    oldest: u64,
    /// Append instant and content; offsets are consecutive.
    records: VecDeque<(u64, Bytes)>,
}

impl Store {
    pub(super) fn new(keep_records: u64, keep_ms: u64) -> Self {
        Self {
            topics: BTreeMap::new(),
            keep_records,
            keep_us: keep_ms.saturating_mul(1000),
        }
    }

    pub(super) fn append(&mut self, name: &str, record: Bytes) -> u64 {
        let topic = self.topics.entry(name.to_owned()).or_default();
        let offset = topic.next();
        topic.records.push_back((now_us(), record));
        self.retain(name);
        offset
    }

    /// Reads from `from` on, or from the oldest record kept if that is later.
    pub(super) fn read(&mut self, name: &str, from: u64, hide: u64) -> Batch {
        self.retain(name);
        let Some(topic) = self.topics.get(name) else {
            return Batch {
                oldest: 0,
                next: 0,
                records: Vec::new(),
            };
        };
        let next = topic.next().saturating_sub(hide);
        let start = from.max(topic.oldest);
        let records = (start..next)
            .filter_map(|offset| topic.records.get((offset - topic.oldest) as usize))
            .map(|(_, record)| record.clone())
            .collect();
        Batch {
            oldest: topic.oldest.min(next),
            next,
            records,
        }
    }

    pub(super) fn trim(&mut self, name: &str, oldest: u64) {
        if let Some(topic) = self.topics.get_mut(name) {
            while topic.oldest < oldest && topic.drop_oldest() {}
        }
    }

    pub(super) fn clear(&mut self) {
        self.topics.clear();
    }

    /// Applies retention by count and by age.
    fn retain(&mut self, name: &str) {
        let Some(topic) = self.topics.get_mut(name) else {
            return;
        };
        while topic.records.len() as u64 > self.keep_records {
            topic.drop_oldest();
        }
        if self.keep_us > 0 {
            let limit = now_us().saturating_sub(self.keep_us);
            while topic.records.front().is_some_and(|(at, _)| *at < limit) {
                topic.drop_oldest();
            }
        }
    }
}

impl Topic {
    fn next(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    /// Drops the oldest record; false when there is none.
    fn drop_oldest(&mut self) -> bool {
        let dropped = self.records.pop_front().is_some();
        self.oldest += u64::from(dropped);
        dropped
    }
}

/// The record of a topic with keys.
pub(super) fn keyed_record(key: &str, value: &[u8]) -> Bytes {
    let mut record = BytesMut::new();
    record.put_u8(key.len() as u8);
    record.put_slice(key.as_bytes());
    record.put_slice(value);
    record.freeze()
}

/// Key and value of the record of a topic with keys; `None` when it has no key.
pub(super) fn split_keyed(record: &Bytes) -> Option<(String, Bytes)> {
    let length = usize::from(*record.first()?);
    let key = record.get(1..1 + length)?;
    let key = String::from_utf8_lossy(key).into_owned();
    Some((key, record.slice(1 + length..)))
}
