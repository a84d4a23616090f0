//! Tests of the history checker: permitted histories pass, and every rule is broken by some
//! history.

use googletest::prelude::*;
use plantainpost_standin::history::{
    CheckSettings, Outcome, Record, Rule, check, parse_lines, to_lines,
};

fn sent(at: u64, nonce: &str, idempotent: bool) -> Record {
    Record::Sent {
        nonce: nonce.to_owned(),
        at,
        service: "stock".to_owned(),
        method: if idempotent { "GET" } else { "POST" }.to_owned(),
        idempotent,
    }
}

fn reported(at: u64, nonce: &str, outcome: Outcome) -> Record {
    let served = outcome == Outcome::Answered;
    Record::Answered {
        nonce: nonce.to_owned(),
        at,
        outcome,
        status: if served { 200 } else { 503 },
        cut: false,
        whole: served,
        foreign: false,
        answer_nonce: served.then(|| nonce.to_owned()),
    }
}

/// Returns an answer record; the flags are `cut`, `whole` and `foreign`.
fn answered_with(at: u64, nonce: &str, flags: [bool; 3], answer_nonce: &str) -> Record {
    let [cut, whole, foreign] = flags;
    Record::Answered {
        nonce: nonce.to_owned(),
        at,
        outcome: Outcome::Answered,
        status: 200,
        cut,
        whole,
        foreign,
        answer_nonce: Some(answer_nonce.to_owned()),
    }
}

fn started(at: u64, nonce: &str, target: &str) -> Record {
    Record::Started {
        nonce: nonce.to_owned(),
        at,
        target: target.to_owned(),
        workspace: None,
    }
}

fn started_for(at: u64, nonce: &str, workspace: &str) -> Record {
    Record::Started {
        nonce: nonce.to_owned(),
        at,
        target: "t1".to_owned(),
        workspace: Some(workspace.to_owned()),
    }
}

fn cold(at: u64, until: u64) -> Record {
    let target = "t1".to_owned();
    Record::Cold { at, target, until }
}

fn withdrawn(at: u64) -> Record {
    let workspace = "w1".to_owned();
    Record::KeyWithdrawn { at, workspace }
}

fn restored(at: u64) -> Record {
    let workspace = "w1".to_owned();
    Record::KeyRestored { at, workspace }
}

fn ended(at: u64, nonce: &str, ok: bool) -> Record {
    Record::Ended {
        nonce: nonce.to_owned(),
        at,
        target: "t1".to_owned(),
        ok,
    }
}

fn leaving(at: u64) -> Record {
    Record::Leaving {
        at,
        target: "t1".to_owned(),
    }
}

fn serving(at: u64) -> Record {
    Record::Serving {
        at,
        target: "t1".to_owned(),
    }
}

fn evacuated(at: u64) -> Record {
    Record::Evacuated {
        at,
        target: "t1".to_owned(),
    }
}

fn returned(at: u64) -> Record {
    Record::Returned {
        at,
        target: "t1".to_owned(),
    }
}

fn config(at: u64, node: &str, version: u64, digest: &str) -> Record {
    Record::Config {
        at,
        node: node.to_owned(),
        version,
        digest: digest.to_owned(),
    }
}

const GRACE_US: u64 = 1000;

fn settings() -> CheckSettings {
    CheckSettings {
        leaving_grace_us: GRACE_US,
        evacuation_grace_us: 2 * GRACE_US,
        withdrawal_grace_us: GRACE_US,
        max_cold_starts: 2,
        max_workspace_starts: [("w2".to_owned(), 2)].into(),
    }
}

/// Guards against a checker that misses a violation or reports another record.
#[gtest]
fn each_broken_rule_is_reported() {
    use Outcome::{Answered, NotRun};
    // Each row: the rule, the position of the record that breaks it, the history.
    let rows = [
        (
            Rule::AnswerOfAnother,
            3,
            vec![
                sent(1, "a", true),
                started(2, "a", "t1"),
                ended(3, "a", true),
                answered_with(4, "a", [false, true, false], "b"),
            ],
        ),
        // A cut answer may be incomplete, but its bytes must be the expected ones.
        (
            Rule::AnswerOfAnother,
            3,
            vec![
                sent(1, "a", true),
                started(2, "a", "t1"),
                ended(3, "a", false),
                answered_with(4, "a", [true, false, true], "a"),
            ],
        ),
        (
            Rule::AnswerOfAnother,
            3,
            vec![
                sent(1, "a", true),
                started(2, "a", "t1"),
                ended(3, "a", true),
                answered_with(4, "a", [false, false, true], "a"),
            ],
        ),
        (
            Rule::AnswerNotWhole,
            3,
            vec![
                sent(1, "a", true),
                started(2, "a", "t1"),
                ended(3, "a", true),
                answered_with(4, "a", [false, false, false], "a"),
            ],
        ),
        // The start is a violation both after and before the report to the caller.
        (
            Rule::NotRunStarted,
            2,
            vec![
                sent(1, "a", true),
                reported(2, "a", NotRun),
                started(3, "a", "t1"),
            ],
        ),
        (
            Rule::NotRunStarted,
            2,
            vec![
                sent(1, "a", true),
                started(2, "a", "t1"),
                reported(3, "a", NotRun),
            ],
        ),
        (
            Rule::StartedTwice,
            2,
            vec![
                sent(1, "a", false),
                started(2, "a", "t1"),
                started(3, "a", "t2"),
            ],
        ),
        // The caller's record may have a later time than the starts.
        (
            Rule::StartedTwice,
            1,
            vec![
                started(1, "a", "t1"),
                started(2, "a", "t1"),
                sent(3, "a", false),
            ],
        ),
        (
            Rule::AnsweredNotEnded,
            1,
            vec![sent(1, "a", true), reported(2, "a", Answered)],
        ),
        (
            Rule::AnsweredNotEnded,
            3,
            vec![
                sent(1, "a", true),
                started(2, "a", "t1"),
                ended(3, "a", false),
                reported(4, "a", Answered),
            ],
        ),
        (
            Rule::StartedWhileLeaving,
            2,
            vec![serving(1), leaving(10), started(11 + GRACE_US, "a", "t1")],
        ),
        // A second leave record does not extend the grace period.
        (
            Rule::StartedWhileLeaving,
            2,
            vec![leaving(10), leaving(500), started(11 + GRACE_US, "", "t1")],
        ),
        (
            Rule::StartedWhileEvacuated,
            1,
            vec![evacuated(10), started(11 + 2 * GRACE_US, "a", "t1")],
        ),
        // A target that serves again is still in an evacuated data centre.
        (
            Rule::StartedWhileEvacuated,
            2,
            vec![
                evacuated(10),
                serving(20),
                started(11 + 2 * GRACE_US, "", "t1"),
            ],
        ),
        // A second evacuation starts a new grace period.
        (
            Rule::StartedWhileEvacuated,
            4,
            vec![
                evacuated(10),
                returned(20),
                evacuated(30),
                started(30 + 2 * GRACE_US, "a", "t1"),
                started(31 + 2 * GRACE_US, "", "t1"),
            ],
        ),
        (
            Rule::StartedAfterWithdrawal,
            4,
            vec![
                withdrawn(10),
                restored(20),
                withdrawn(30),
                started_for(30 + GRACE_US, "a", "w1"),
                started_for(31 + GRACE_US, "b", "w1"),
            ],
        ),
        // The start before the cold period does not count.
        (
            Rule::TooManyWhileCold,
            5,
            vec![
                started(1, "a", "t1"),
                cold(10, 2_000_000),
                started(20, "b", "t1"),
                started(30, "c", "t2"),
                started(999_000, "d", "t1"),
                started(1_000_019, "e", "t1"),
            ],
        ),
        // A request that is sent again counts once.
        (
            Rule::QuotaExceeded,
            4,
            vec![
                started_for(10, "a", "w2"),
                started_for(20, "a", "w2"),
                started_for(30, "b", "w2"),
                started_for(40, "c", "w3"),
                started_for(5_000_009, "d", "w2"),
            ],
        ),
        (
            Rule::VersionWentBack,
            1,
            vec![config(1, "n1", 5, "x"), config(2, "n1", 4, "y")],
        ),
        (
            Rule::ContentDiffers,
            1,
            vec![config(1, "n1", 5, "x"), config(2, "n2", 5, "y")],
        ),
        (
            Rule::ContentDiffers,
            1,
            vec![config(1, "n1", 5, "x"), config(2, "n1", 5, "y")],
        ),
    ];
    for (rule, position, history) in rows {
        let violation = check(&history, &settings()).expect_err(&format!("{rule:?} must be found"));
        expect_that!(violation.rule, eq(rule), "{history:?}");
        expect_that!(violation.record, eq(&history[position]), "{rule:?}");
    }
}

/// Guards against a checker that reports violations in permitted histories.
#[gtest]
fn permitted_histories_pass() {
    use Outcome::{Answered, Failed, NotRun, Unknown};
    let rows = [
        vec![
            sent(1, "a", true),
            started(2, "a", "t1"),
            ended(3, "a", true),
            reported(4, "a", Answered),
        ],
        // The target may record the end after the caller has received the answer.
        vec![
            sent(1, "a", false),
            started(2, "a", "t1"),
            reported(3, "a", Answered),
            ended(4, "a", true),
        ],
        // A hedged or retried idempotent request, one attempt of which was cancelled.
        vec![
            sent(1, "a", true),
            started(2, "a", "t1"),
            started(3, "a", "t2"),
            ended(4, "a", true),
            ended(5, "a", false),
            reported(6, "a", Answered),
        ],
        vec![sent(1, "a", false), reported(2, "a", NotRun)],
        vec![
            sent(1, "a", false),
            started(2, "a", "t1"),
            reported(3, "a", Unknown),
        ],
        vec![sent(1, "a", false), reported(2, "a", Failed)],
        vec![
            sent(1, "a", true),
            started(2, "a", "t1"),
            ended(3, "a", false),
            answered_with(4, "a", [true, false, false], "a"),
        ],
        vec![leaving(10), started(10 + GRACE_US, "a", "t1")],
        vec![leaving(10), started(11 + GRACE_US, "a", "t2")],
        vec![leaving(10), serving(20), started(11 + GRACE_US, "a", "t1")],
        vec![evacuated(10), started(10 + 2 * GRACE_US, "a", "t1")],
        vec![evacuated(10), started(11 + 2 * GRACE_US, "a", "t2")],
        vec![
            evacuated(10),
            returned(20),
            started(11 + 2 * GRACE_US, "a", "t1"),
        ],
        vec![
            withdrawn(10),
            restored(20),
            started_for(11 + GRACE_US, "a", "w1"),
        ],
        vec![withdrawn(10), started_for(11 + GRACE_US, "a", "w2")],
        // The limit of a cold target has ended before its time.
        vec![
            cold(10, 2_000_000),
            started(20, "a", "t1"),
            cold(30, 30),
            started(40, "b", "t1"),
            started(50, "c", "t1"),
        ],
        // The first start of three is over a second, or over 5 s, before the last.
        vec![
            cold(10, 2_000_000),
            started(20, "a", "t1"),
            started(30, "b", "t1"),
            started(1_000_020, "c", "t1"),
        ],
        vec![
            started_for(10, "a", "w2"),
            started_for(20, "b", "w2"),
            started_for(5_000_010, "c", "w2"),
        ],
        // Requests without a nonce are not from a caller whose history is checked.
        vec![started(1, "", "t1"), started(2, "", "t1")],
        vec![
            config(1, "n1", 4, "x"),
            config(2, "n1", 5, "y"),
            config(3, "n2", 4, "x"),
        ],
    ];
    for history in rows {
        expect_that!(check(&history, &settings()), ok(anything()), "{history:?}");
    }
}

/// Guards against a checker whose result depends on the order in which histories are
/// concatenated, or that reports a later violation than the first in time.
#[gtest]
fn the_first_violation_in_time_is_reported() {
    let history = [
        config(9, "n1", 4, "y"),
        config(8, "n1", 5, "x"),
        started(3, "a", "t2"),
        started(2, "a", "t1"),
        sent(1, "a", false),
    ];
    let violation = check(&history, &settings()).expect_err("two rules are broken");
    expect_that!(violation.rule, eq(Rule::StartedTwice));
    expect_that!(violation.record, eq(&history[2]));
    expect_that!(
        violation.to_string(),
        contains_substring("started by t1 before")
    );
}

/// Guards against records that change when they are written and parsed, and against invalid
/// lines that are skipped silently.
#[gtest]
fn records_survive_a_round_trip_through_json_lines() -> Result<()> {
    let history = vec![
        sent(1, "a", false),
        reported(2, "a", Outcome::NotRun),
        started(3, "a", "t1"),
        ended(4, "a", false),
        leaving(5),
        serving(6),
        evacuated(7),
        returned(8),
        config(9, "n1", 4, "x"),
    ];
    verify_that!(parse_lines(&to_lines(&history))?, eq(&history))?;
    let error = parse_lines("\n{\"kind\":\"sent\"}\n").expect_err("the fields are missing");
    verify_that!(error.to_string(), contains_substring("line 2"))
}
