//! The report of a load run.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;

use crate::history::Record;

/// The result of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// One row per route label, in the order of the settings.
    pub rows: Vec<ReportRow>,
    /// Second row minus first row; `None` unless there are exactly two rows.
    pub difference: Option<LatencyDifference>,
    /// The callers' history; empty unless [`keep_records`](super::LoadSettings::keep_records) is set.
    #[serde(skip)]
    pub records: Vec<Record>,
}

/// The counts and latencies of the routes with one label. Latencies are those of correct answers,
/// in µs from the scheduled send time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReportRow {
    /// The label of the routes.
    pub label: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests not sent because too many were in flight.
    pub skipped: u64,
    /// Requests that a target answered with status 200 and the expected bytes.
    pub correct: u64,
    /// Share of requests answered correctly, from 0 to 1; skipped requests count as failed.
    pub correct_share: f64,
    /// Answers of a target that were not cut but are incomplete or differ from the expected ones.
    pub wrong: u64,
    /// Answers whose connection ended before they were complete.
    pub cut: u64,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of requests by value of the header `plantainpost-reason`.
    pub reasons: BTreeMap<String, u64>,
    /// Number of requests by HTTP status code; 0 if no answer head arrived.
    pub statuses: BTreeMap<u16, u64>,
    /// Number of answers by target.
    pub targets: BTreeMap<String, u64>,
    /// Median latency.
    pub p50: u64,
    /// 90th percentile of the latency.
    pub p90: u64,
    /// 99th percentile of the latency.
    pub p99: u64,
    /// 99.9th percentile of the latency.
    pub p999: u64,
    /// Highest latency.
    pub max: u64,
    /// 99th percentile of the delay from the scheduled send time to the start of sending, in µs.
    /// The delay is part of the latency and shows how far the load generator itself was behind.
    pub send_lag_p99: u64,
}

/// Latencies of the second row minus those of the first, in µs.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyDifference {
    /// Difference of the medians.
    pub p50: i64,
    /// Difference of the 90th percentiles.
    pub p90: i64,
    /// Difference of the 99th percentiles.
    pub p99: i64,
    /// Difference of the 99.9th percentiles.
    pub p999: i64,
    /// Difference of the highest latencies.
    pub max: i64,
}

impl LoadReport {
    pub(super) fn new(rows: Vec<ReportRow>, records: Vec<Record>) -> Self {
        let difference = match &rows[..] {
            [first, second] => Some(LatencyDifference {
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

    /// Returns the row with this label.
    pub fn row(&self, label: &str) -> Option<&ReportRow> {
        self.rows.iter().find(|row| row.label == label)
    }
}

impl fmt::Display for LoadReport {
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

impl ReportRow {
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
