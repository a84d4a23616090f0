//! Answers that are kept in case they were lost on the way to the entry.

use std::collections::VecDeque;

use super::RequestKey;
use crate::{collections::HashMap, time::Instant};

/// Bounds of [`KeptAnswers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptAnswersSettings {
    /// Maximum size of all answers, in bytes.
    pub max_bytes: usize,
    /// Time for which an answer is kept, in microseconds.
    pub keep_us: u64,
}

impl Default for KeptAnswersSettings {
    fn default() -> Self {
        KeptAnswersSettings {
            max_bytes: 1024 * 1024,
            keep_us: 2_000_000,
        }
    }
}

#[derive(Debug)]
struct KeptAnswer<T> {
    answer: T,
    bytes: usize,
    keep_until: Instant,
}

/// The latest answers of a guard, by request.
///
/// A socket takes an answer also if its connection no longer carries data. An entry that has
/// heard nothing asks again on another connection.
#[derive(Debug)]
pub struct KeptAnswers<T> {
    cfg: KeptAnswersSettings,
    by_key: HashMap<RequestKey, KeptAnswer<T>>,
    /// Keys of `by_key`, oldest first.
    order: VecDeque<RequestKey>,
    /// Sum of `bytes` in `by_key`; at most `cfg.max_bytes`.
    bytes: usize,
}

impl<T> KeptAnswers<T> {
    /// Creates an empty store.
    pub fn new(cfg: KeptAnswersSettings) -> Self {
        KeptAnswers {
            cfg,
            by_key: HashMap::default(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Keeps an answer of `bytes` bytes; the oldest ones give way to it. An answer that exceeds
    /// the bound alone is not kept.
    pub fn put(&mut self, now: Instant, key: RequestKey, answer: T, bytes: usize) {
        self.remove_expired(now);
        if bytes > self.cfg.max_bytes || self.by_key.contains_key(&key) {
            return;
        }
        while self.bytes + bytes > self.cfg.max_bytes {
            self.remove_oldest();
        }
        let keep_until = now.saturating_add_micros(self.cfg.keep_us);
        self.bytes += bytes;
        self.order.push_back(key);
        self.by_key.insert(
            key,
            KeptAnswer {
                answer,
                bytes,
                keep_until,
            },
        );
    }

    /// Returns the answer to a request, if it is still kept.
    pub fn get(&mut self, now: Instant, key: RequestKey) -> Option<&T> {
        self.remove_expired(now);
        self.by_key.get(&key).map(|kept| &kept.answer)
    }

    /// Returns the size of all answers, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn remove_expired(&mut self, now: Instant) {
        // All answers are kept equally long, so the oldest one expires first.
        while let Some(key) = self.order.front() {
            if self.by_key[key].keep_until > now {
                break;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = self.order.pop_front();
        if let Some(kept) = oldest.and_then(|key| self.by_key.remove(&key)) {
            self.bytes -= kept.bytes;
        }
    }
}
