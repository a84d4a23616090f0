//! The streams and their retention.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::clock::now_us;

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The oldest offset kept.
    pub oldest: u64,
    /// The offset that the next append gets.
    pub next: u64,
    /// The records read, in offset order.
    pub records: Vec<Entry>,
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its offset.
    pub offset: u64,
    /// Its content.
    pub data: String,
}

/// All streams.
#[derive(Debug, Default)]
pub(super) struct Store {
    streams: BTreeMap<String, Stream>,
    keep_records: u64,
    keep_us: u64,
}

#[derive(Debug, Default)]
struct Stream {
    /// The offset of the first element of `records`.
    oldest: u64,
    /// Append instant and content; offsets are consecutive.
    records: VecDeque<(u64, String)>,
}

impl Store {
    pub(super) fn new(keep_records: u64, keep_ms: u64) -> Self {
        Self {
            streams: BTreeMap::new(),
            keep_records,
            keep_us: keep_ms.saturating_mul(1000),
        }
    }

    pub(super) fn append(&mut self, name: &str, data: String) -> u64 {
        let stream = self.streams.entry(name.to_owned()).or_default();
        let offset = stream.next();
        stream.records.push_back((now_us(), data));
        self.retain(name);
        offset
    }

    pub(super) fn read(&mut self, name: &str, from: u64, max: usize, hide: u64) -> Batch {
        self.retain(name);
        let Some(stream) = self.streams.get(name) else {
            return Batch {
                oldest: 0,
                next: 0,
                records: Vec::new(),
            };
        };
        let next = stream.next().saturating_sub(hide);
        let oldest = stream.oldest.min(next);
        let start = from.max(stream.oldest);
        let records = (start..next)
            .take(max)
            .filter_map(|offset| {
                let (_, data) = stream.records.get((offset - stream.oldest) as usize)?;
                Some(Entry {
                    offset,
                    data: data.clone(),
                })
            })
            .collect();
        Batch {
            oldest,
            next,
            records,
        }
    }

    pub(super) fn trim(&mut self, name: &str, oldest: u64) {
        if let Some(stream) = self.streams.get_mut(name) {
            while stream.oldest < oldest && stream.drop_oldest() {}
        }
    }

    pub(super) fn clear(&mut self) {
        self.streams.clear();
    }

    /// Applies retention by count and by age.
    fn retain(&mut self, name: &str) {
        let Some(stream) = self.streams.get_mut(name) else {
            return;
        };
        while stream.records.len() as u64 > self.keep_records {
            stream.drop_oldest();
        }
        if self.keep_us > 0 {
            let limit = now_us().saturating_sub(self.keep_us);
            while stream.records.front().is_some_and(|(at, _)| *at < limit) {
                stream.drop_oldest();
            }
        }
    }
}

impl Stream {
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
