//! Table-driven tests of replay after faults of the log and of its readers.

use googletest::prelude::*;
use plantainpost_core::config::{Record, Verdict};

use super::harness::{LogHarness, Step, Step::*};

const ALL: usize = usize::MAX;

/// Result of a reader: version, `read_to`, and whether it has a gap.
type Observed = (Option<u64>, u64, bool);

fn complete_at(version: u64, read_to: u64) -> Observed {
    (Some(version), read_to, false)
}

fn gap_at(version: u64, read_to: u64) -> Observed {
    (Some(version), read_to, true)
}

/// Result of a restarted reader that found no record to resume from.
const NOT_RECOVERED: Observed = (None, 0, true);

/// Checks rows of: name, steps, results of readers 0 and 1, and verdicts of reader 0 on
/// plans 0 and 1. Before the steps, version 0 is in force and read by all readers.
macro_rules! table {
    ($($name:literal: $($step:expr),* => $observed:expr, $verdicts:expr;)*) => {
        $(check($name, &[$($step),*], $observed, $verdicts);)*
    };
}

/// A first confirmation, planned by reader 0, at offset 0 and read by all readers.
const FIRST_CONFIRMATION: [Step; 3] = [Plan(2, 0, 4), Confirm(2), ReadAll];

fn check(name: &str, steps: &[Step], observed: [Observed; 2], verdicts: [&str; 2]) {
    let mut harness = LogHarness::new();
    FIRST_CONFIRMATION
        .iter()
        .chain(steps)
        .for_each(|step| harness.step(step));
    for (i, expected) in observed.iter().enumerate() {
        let reader = &harness.readers[i];
        let observed = (reader.version(), reader.read_to(), reader.has_gap());
        expect_eq!(observed, *expected, "{name}: reader {i}");
    }
    for (i, expected) in verdicts.iter().enumerate() {
        let plan = harness.plans[i].as_ref();
        let decision = plan.and_then(|plan| harness.readers[0].decision(plan.id));
        let verdict = match decision.map(|decision| &decision.verdict) {
            None => "unknown",
            Some(Verdict::InForce) => "in force",
            Some(Verdict::Void { .. }) => "void",
            Some(Verdict::Duplicate) => "duplicate",
        };
        expect_eq!(verdict, *expected, "{name}: plan {i}");
    }
}

/// Guards against a confirmation that takes effect twice, for example when the answer to
/// its append was lost and it is appended again, and against two concurrent confirmations
/// that are both in force.
#[gtest]
fn confirmations_are_decided_once() {
    table! {
        "race": Plan(0, 0, 8), Plan(1, 1, 12), Confirm(0), Confirm(1), ReadAll
            => [complete_at(1, 3), complete_at(1, 3)], ["in force", "void"];
        "race, other order": Plan(0, 0, 8), Plan(1, 1, 12), Confirm(1), Confirm(0), ReadAll
            => [complete_at(1, 3), complete_at(1, 3)], ["void", "in force"];
        "lost answer": Plan(0, 0, 8), Confirm(0), Confirm(0), ReadAll
            => [complete_at(1, 3), complete_at(1, 3)], ["in force", "unknown"];
        "lost answers in a race": Plan(0, 0, 8), Plan(1, 1, 12),
            Confirm(1), Confirm(0), Confirm(0), Confirm(1), ReadAll
            => [complete_at(1, 5), complete_at(1, 5)], ["void", "in force"];
        "second append after another change": Plan(0, 0, 8), Confirm(0), ReadAll,
            Plan(1, 0, 12), Confirm(1), Confirm(0), ReadAll
            => [complete_at(2, 4), complete_at(2, 4)], ["in force", "in force"];
        "unknown records": Plan(0, 0, 8), AppendJunk, Confirm(0), AppendJunk, ReadAll
            => [complete_at(2, 4), complete_at(2, 4)], ["in force", "unknown"];
        "one record at a time, one read twice": Plan(0, 0, 8), Confirm(0), AppendJunk,
            Read(0, 1), ReadFrom(0, 0), Read(1, 1), Read(1, 1)
            => [complete_at(1, 3), complete_at(1, 3)], ["in force", "unknown"];
        "read that skips records": Plan(0, 0, 8), Confirm(0), AppendJunk, ReadFrom(0, 2)
            => [complete_at(0, 1), complete_at(0, 1)], ["unknown", "unknown"];
    }
}

/// Guards against an outage, a trimmed log or a late checkpoint that makes a reader return
/// to an older version, report a wrong one, or differ from the other readers.
#[gtest]
fn readers_recover_from_gaps_only_by_complete_states() {
    table! {
        "outage beyond the retention": Plan(0, 0, 8), Confirm(0), Trim(2), ReadAll
            => [gap_at(0, 1), gap_at(0, 1)], ["unknown", "unknown"];
        "confirmation behind the gap": Plan(0, 0, 8), Confirm(0), Trim(2), Confirm(0), ReadAll
            => [gap_at(0, 1), gap_at(0, 1)], ["unknown", "unknown"];
        "peer that read in time": Plan(0, 0, 8), Confirm(0), Read(1, ALL), AppendJunk, Trim(2),
            Read(0, ALL), Adopt(0, 1), ReadAll
            => [complete_at(1, 3), complete_at(1, 3)], ["in force", "unknown"];
        "peer that is not far enough": Plan(0, 0, 8), Confirm(0), Read(1, ALL), AppendJunk, Trim(3),
            Read(0, ALL), Adopt(0, 1)
            => [gap_at(1, 2), complete_at(1, 2)], ["in force", "unknown"];
        "checkpoint": Plan(0, 0, 8), Confirm(0), Read(1, ALL), MakeCheckpoint(0, 1),
            AppendCheckpoint(0), Trim(2), Restart(0), ReadAll
            => [complete_at(1, 3), complete_at(1, 3)], ["in force", "unknown"];
        "late checkpoint of a paused writer": MakeCheckpoint(0, 0), Plan(0, 0, 8), Confirm(0),
            AppendCheckpoint(0), ReadAll
            => [complete_at(1, 3), complete_at(1, 3)], ["in force", "unknown"];
        "late checkpoint below the gap": MakeCheckpoint(0, 0), Plan(0, 0, 8), Confirm(0),
            AppendCheckpoint(0), Trim(2), Restart(0), ReadAll
            => [NOT_RECOVERED, gap_at(0, 1)], ["unknown", "unknown"];
        "older data": Plan(0, 0, 8), Confirm(0), Read(0, ALL), ReadOlder(0, 1), ReadOlder(0, 0)
            => [complete_at(1, 2), complete_at(0, 1)], ["in force", "unknown"];
        "nothing kept": Trim(1), Restart(0), ReadAll
            => [NOT_RECOVERED, complete_at(0, 1)], ["unknown", "unknown"];
    }
}

/// Guards against an override that readers decide differently, that takes effect twice, or
/// that reverts a change that its author had not read.
#[gtest]
fn overrides_are_decided_once() {
    table! {
        "closes a gap": AppendJunk, Trim(2), ReadAll, Override(0, 0, 9), Confirm(0), ReadAll
            => [complete_at(2, 3), complete_at(2, 3)], ["in force", "unknown"];
        "lost answer": AppendJunk, Trim(2), ReadAll, Override(0, 0, 9),
            Confirm(0), Confirm(0), ReadAll
            => [complete_at(2, 4), complete_at(2, 4)], ["in force", "unknown"];
        "race": AppendJunk, Trim(2), ReadAll, Override(0, 0, 9), Override(1, 1, 5),
            Confirm(1), Confirm(0), ReadAll
            => [complete_at(2, 4), complete_at(2, 4)], ["void", "in force"];
        "race whose winner was trimmed": AppendJunk, Trim(2), ReadAll, Override(0, 0, 9),
            Override(1, 1, 5), Confirm(1), Confirm(0), Trim(3), ReadAll
            => [gap_at(0, 1), gap_at(0, 1)], ["unknown", "unknown"];
        "second override after it": AppendJunk, Trim(2), ReadAll, Override(0, 0, 9), Confirm(0),
            Confirm(0), Trim(3), ReadAll, Override(0, 0, 3), Confirm(0), ReadAll
            => [complete_at(4, 5), complete_at(4, 5)], ["in force", "unknown"];
        "confirmation that its author had not read": Override(0, 0, 9), Plan(1, 1, 8),
            Confirm(1), Confirm(0), ReadAll
            => [complete_at(1, 3), complete_at(1, 3)], ["void", "in force"];
        "drops everything older": Plan(1, 0, 8), Confirm(1), ReadAll,
            Override(0, 0, 9), Confirm(0), Confirm(1), ReadAll
            => [complete_at(2, 4), complete_at(2, 4)], ["in force", "void"];
    }
}

/// Guards against two simultaneous failures that are each harmless alone.
#[gtest]
fn combined_failures_are_handled() {
    table! {
        "lost answer, first copy trimmed behind a checkpoint": Plan(0, 0, 8), Confirm(0),
            Read(1, ALL), MakeCheckpoint(0, 1), AppendCheckpoint(0), Confirm(0), Trim(2),
            Restart(0), ReadAll
            => [complete_at(1, 4), complete_at(1, 4)], ["in force", "unknown"];
        "race, stale checkpoint and restart": Plan(0, 0, 8), Plan(1, 1, 12), MakeCheckpoint(0, 0),
            Confirm(1), AppendCheckpoint(0), Confirm(0), Trim(1), Restart(0), ReadAll
            => [complete_at(1, 4), complete_at(1, 4)], ["void", "in force"];
        "gap after a restart, peer from before it": Plan(0, 0, 8), Confirm(0), Trim(2),
            Restart(0), Read(0, ALL), Adopt(0, 1), ReadAll
            => [gap_at(0, 1), gap_at(0, 1)], ["unknown", "unknown"];
        "gap, then older data": Plan(0, 0, 8), Confirm(0), AppendJunk, Trim(3), Read(0, ALL),
            ReadOlder(0, 0), ReadAll
            => [gap_at(0, 1), gap_at(0, 1)], ["unknown", "unknown"];
        "gap at one reader, override with a lost answer": Plan(1, 1, 8), Confirm(1), Read(1, ALL),
            Trim(2), Read(0, ALL), Override(0, 0, 9), Confirm(0), Confirm(0), ReadAll
            => [complete_at(2, 4), complete_at(2, 4)], ["in force", "unknown"];
    }
}

/// Confirmations at offsets 0, 1, 3 and 7, checkpoints up to offset 2 at offsets 2 and 5
/// and up to offset 6 at offset 8, and two unknown records.
#[rustfmt::skip]
const LONG_HISTORY: &[Step] = &[
    Plan(0, 0, 8), Confirm(0), ReadAll, MakeCheckpoint(0, 0), AppendCheckpoint(0),
    Plan(1, 0, 12), Confirm(1), AppendJunk, AppendCheckpoint(0), ReadAll,
    MakeCheckpoint(1, 0), Plan(0, 0, 16), Confirm(0), AppendCheckpoint(1), AppendJunk,
];

/// Guards against a reader that resumes from the wrong record after the log was trimmed. It
/// must reach the end if and only if it or a checkpoint covers all trimmed offsets.
#[gtest]
fn reader_recovers_if_a_checkpoint_covers_the_trimmed_offsets() {
    let (covered, end) = (6, 9);
    for read_to in 0..=end {
        for trim_to in 0..=end {
            let mut harness = LogHarness::new();
            FIRST_CONFIRMATION
                .iter()
                .chain(LONG_HISTORY)
                .for_each(|step| harness.step(step));
            harness.step(&Restart(1));
            harness.step(&Read(1, read_to as usize));
            harness.step(&Trim(trim_to));
            (0..12).for_each(|_| harness.step(&Read(1, 2)));
            let observed = (harness.readers[1].read_to(), harness.readers[1].has_gap());
            let is_covered = trim_to <= covered || trim_to <= read_to;
            let expected = if is_covered {
                (end, false)
            } else {
                (read_to, true)
            };
            expect_eq!(
                observed,
                expected,
                "read to {read_to}, trimmed to {trim_to}"
            );
        }
    }
}

/// Guards against an invalid record that is decoded, for example as a confirmation.
#[gtest]
fn invalid_records_are_rejected() -> Result<()> {
    let mut harness = LogHarness::new();
    harness.step(&Plan(0, 0, 5));
    let plan = harness.plans[0].clone().or_fail()?;
    let reader = &harness.readers[0];
    let confirm = reader.confirm_record(&plan, "ama", 1).encode()?;
    let checkpoint = reader.checkpoint_record("node").encode()?;
    let long = "x".repeat(300);
    let both = [&*confirm, &*checkpoint].join("\n");
    let rows = rows! {
        "{" => "[";
        "{\"c" => "{\"d";
        "\"base\"" => "\"basis\":1,\"base\"";
        "}\n" => "\n";
        "\"ama\"" => "\"\"";
        "\"ama\"" => "\"a\\u0001\"";
        "ama" => &long;
        "summary\":\"" => &format!("summary\":\"{long}");
        "permille\":0" => "permille\":1001";
        "\n" => &format!("{}\n", " ".repeat(256 * 1024));
        "complete_to\":0" => "complete_to\":1";
        "checkpoint\":null" => "checkpoint\":7";
    };
    expect_true!(Record::decode(&confirm).is_ok());
    expect_true!(Record::decode(&checkpoint).is_ok());
    for (old, new) in rows {
        let lines = both.replace(old, new);
        let is_changed = |line: &&str| *line != confirm && *line != checkpoint;
        let changed: Vec<_> = lines.lines().filter(is_changed).collect();
        expect_false!(changed.is_empty(), "{old}");
        for line in changed {
            expect_true!(Record::decode(line).is_err(), "{line}");
        }
    }
    Ok(())
}
