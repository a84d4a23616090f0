//! The figures of a run.

use std::{collections::BTreeMap, fmt};

use hdrhistogram::Histogram;
use serde::Serialize;

/// The result of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One row per route, in the order of the settings.
    pub rows: Vec<Row>,
    /// Second row minus first row, when there are two routes.
    pub difference: Option<Difference>,
}

/// The figures of one route. Latencies are in µs from the intended send time.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The route's label.
    pub label: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests whose answer came from a target and was correct in every byte.
    pub correct: u64,
    /// Share of requests answered correctly, 0 to 1.
    pub correct_share: f64,
    /// Complete answers that were not as expected.
    pub wrong: u64,
    /// Answers that were cut.
    pub cut: u64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Requests by status; 0 when there was no answer head.
    pub statuses: BTreeMap<u16, u64>,
    /// Median latency of correct answers.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Highest latency.
    pub max: u64,
}

/// Differences of latencies in µs between two routes.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// Of the medians.
    pub p50: i64,
    /// Of the 90th percentiles.
    pub p90: i64,
    /// Of the 99th percentiles.
    pub p99: i64,
    /// Of the 99.9th percentiles.
    pub p999: i64,
    /// Of the highest latencies.
    pub max: i64,
}

impl Row {
    /// Takes the percentiles from a histogram.
    pub(super) fn set_latency(&mut self, histogram: &Histogram<u64>) {
        self.p50 = histogram.value_at_quantile(0.5);
        self.p90 = histogram.value_at_quantile(0.9);
        self.p99 = histogram.value_at_quantile(0.99);
        self.p999 = histogram.value_at_quantile(0.999);
        self.max = histogram.max();
    }
}

impl Report {
    pub(super) fn new(rows: Vec<Row>) -> Self {
        let difference = match &rows[..] {
            [first, second] => Some(Difference {
                p50: second.p50 as i64 - first.p50 as i64,
                p90: second.p90 as i64 - first.p90 as i64,
                p99: second.p99 as i64 - first.p99 as i64,
                p999: second.p999 as i64 - first.p999 as i64,
                max: second.max as i64 - first.max as i64,
            }),
            _ => None,
        };
        Self { rows, difference }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:>8} {:>8} {:>7} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8}",
            "route",
            "sent",
            "correct",
            "share",
            "wrong",
            "cut",
            "p50 us",
            "p90 us",
            "p99 us",
            "p99.9 us",
            "max us"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<12} {:>8} {:>8} {:>7.4} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8}",
                row.label,
                row.sent,
                row.correct,
                row.correct_share,
                row.wrong,
                row.cut,
                row.p50,
                row.p90,
                row.p99,
                row.p999,
                row.max
            )?;
        }
        if let Some(diff) = &self.difference {
            writeln!(
                f,
                "{:<51} {:>8} {:>8} {:>8} {:>8} {:>8}",
                "difference", diff.p50, diff.p90, diff.p99, diff.p999, diff.max
            )?;
        }
        for row in &self.rows {
            for (outcome, count) in &row.outcomes {
                writeln!(f, "{} {outcome}: {count}", row.label)?;
            }
        }
        Ok(())
    }
}
