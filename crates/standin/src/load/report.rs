//! The figures of a run.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;

use crate::history::Record;

/// The result of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One row per route label, in the order of the settings.
    pub rows: Vec<Row>,
    /// Second row minus first row, when there are two rows.
    pub difference: Option<Difference>,
    /// The callers' history, when the settings ask to keep it.
    #[serde(skip)]
    pub records: Vec<Record>,
}

/// The figures of the routes with one label. Latencies are those of correct answers, in µs
/// from the intended send time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// The routes' label.
    pub label: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests not sent because too many were open.
    pub skipped: u64,
    /// Requests whose answer came from a target with status 200 and was correct in every
    /// byte.
    pub correct: u64,
    /// Share of requests answered correctly, 0 to 1; skipped requests count as failed.
    pub correct_share: f64,
    /// Answers of a target that ended cleanly and were not as expected.
    pub wrong: u64,
    /// Answers that were cut.
    pub cut: u64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Requests by the header `plantainpost-reason`.
    pub reasons: BTreeMap<String, u64>,
    /// Requests by status; 0 when there was no answer head.
    pub statuses: BTreeMap<u16, u64>,
    /// Answers by target.
    pub targets: BTreeMap<String, u64>,
    /// Median latency.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Highest latency.
    pub max: u64,
    /// 99th percentile of the time from the intended send time to the start of sending, in
    /// µs. It is part of the latency and shows how far the tool itself was behind.
    pub send_lag_p99: u64,
}

/// Differences of latencies in µs between two rows.
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

impl Report {
    pub(super) fn new(rows: Vec<Row>, records: Vec<Record>) -> Self {
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
        Self {
            rows,
            difference,
            records,
        }
    }

    /// The row with this label.
    pub fn row(&self, label: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.label == label)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<12}", "route")?;
        for name in ["sent", "skipped", "correct", "share", "wrong", "cut"] {
            write!(f, " {name:>8}")?;
        }
        for name in [
            "p50 us", "p90 us", "p99 us", "p99.9 us", "max us", "lag99 us",
        ] {
            write!(f, " {name:>9}")?;
        }
        writeln!(f)?;
        for row in &self.rows {
            row.write_line(f)?;
        }
        if let Some(diff) = &self.difference {
            write!(f, "{:<66}", "difference")?;
            for value in [diff.p50, diff.p90, diff.p99, diff.p999, diff.max] {
                write!(f, " {value:>9}")?;
            }
            writeln!(f)?;
        }
        for row in &self.rows {
            row.write_counts(f)?;
        }
        Ok(())
    }
}

impl Row {
    fn write_line(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<12}", self.label)?;
        for value in [self.sent, self.skipped, self.correct] {
            write!(f, " {value:>8}")?;
        }
        write!(f, " {:>8.5}", self.correct_share)?;
        for value in [self.wrong, self.cut] {
            write!(f, " {value:>8}")?;
        }
        let latencies = [self.p50, self.p90, self.p99, self.p999, self.max];
        for value in latencies.into_iter().chain([self.send_lag_p99]) {
            write!(f, " {value:>9}")?;
        }
        writeln!(f)
    }

    fn write_counts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let groups = [
            ("outcome", &self.outcomes),
            ("reason", &self.reasons),
            ("target", &self.targets),
        ];
        for (group, counts) in groups {
            for (name, count) in counts {
                writeln!(f, "{} {group} {name}: {count}", self.label)?;
            }
        }
        for (status, count) in &self.statuses {
            writeln!(f, "{} status {status}: {count}", self.label)?;
        }
        Ok(())
    }
}
