//! The checker of histories: a clean history passes, and each rule is broken once.

use googletest::prelude::*;
use plantainpost_standin::history::{CheckSettings, Outcome, Record, Rule, check, parse, to_lines};

fn sent(at: u64, nonce: &str, idempotent: bool) -> Record {
    Record::Sent {
        nonce: nonce.to_owned(),
        at,
        service: "stock".to_owned(),
        method: if idempotent { "GET" } else { "POST" }.to_owned(),
        idempotent,
    }
}

fn told(at: u64, nonce: &str, outcome: Outcome) -> Record {
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

/// An answer whose flags are cut, whole and foreign.
fn flawed(at: u64, nonce: &str, flags: [bool; 3], answer_nonce: &str) -> Record {
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
    }
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
    }
}

/// Guards against a checker that lets a broken rule pass, or blames another record.
#[gtest]
fn each_broken_rule_is_named() {
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
                flawed(4, "a", [false, true, false], "b"),
            ],
        ),
        // A cut answer may be short, but not contain foreign bytes.
        (
            Rule::AnswerOfAnother,
            3,
            vec![
                sent(1, "a", true),
                started(2, "a", "t1"),
                ended(3, "a", false),
                flawed(4, "a", [true, false, true], "a"),
            ],
        ),
        (
            Rule::AnswerOfAnother,
            3,
            vec![
                sent(1, "a", true),
                started(2, "a", "t1"),
                ended(3, "a", true),
                flawed(4, "a", [false, false, true], "a"),
            ],
        ),
        (
            Rule::AnswerNotWhole,
            3,
            vec![
                sent(1, "a", true),
                started(2, "a", "t1"),
                ended(3, "a", true),
                flawed(4, "a", [false, false, false], "a"),
            ],
        ),
        // The start may come after the caller was told, and before.
        (
            Rule::NotRunStarted,
            2,
            vec![
                sent(1, "a", true),
                told(2, "a", NotRun),
                started(3, "a", "t1"),
            ],
        ),
        (
            Rule::NotRunStarted,
            2,
            vec![
                sent(1, "a", true),
                started(2, "a", "t1"),
                told(3, "a", NotRun),
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
        // The caller's record may carry a later instant than the starts.
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
            vec![sent(1, "a", true), told(2, "a", Answered)],
        ),
        (
            Rule::AnsweredNotEnded,
            3,
            vec![
                sent(1, "a", true),
                started(2, "a", "t1"),
                ended(3, "a", false),
                told(4, "a", Answered),
            ],
        ),
        (
            Rule::StartedWhileLeaving,
            2,
            vec![serving(1), leaving(10), started(11 + GRACE_US, "a", "t1")],
        ),
        // Being told twice does not extend the grace.
        (
            Rule::StartedWhileLeaving,
            2,
            vec![leaving(10), leaving(500), started(11 + GRACE_US, "", "t1")],
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
        let broken = check(&history, &settings()).expect_err(&format!("{rule:?} must be found"));
        expect_that!(broken.rule, eq(rule), "{history:?}");
        expect_that!(broken.record, eq(&history[position]), "{rule:?}");
    }
}

/// Guards against a checker that reports permitted histories.
#[gtest]
fn permitted_histories_pass() {
    use Outcome::{Answered, Failed, NotRun, Unknown};
    let rows = [
        vec![
            sent(1, "a", true),
            started(2, "a", "t1"),
            ended(3, "a", true),
            told(4, "a", Answered),
        ],
        // The target notes the end after the caller has the answer.
        vec![
            sent(1, "a", false),
            started(2, "a", "t1"),
            told(3, "a", Answered),
            ended(4, "a", true),
        ],
        // A hedge or retry of an idempotent request, one copy cancelled.
        vec![
            sent(1, "a", true),
            started(2, "a", "t1"),
            started(3, "a", "t2"),
            ended(4, "a", true),
            ended(5, "a", false),
            told(6, "a", Answered),
        ],
        vec![sent(1, "a", false), told(2, "a", NotRun)],
        vec![
            sent(1, "a", false),
            started(2, "a", "t1"),
            told(3, "a", Unknown),
        ],
        vec![sent(1, "a", false), told(2, "a", Failed)],
        vec![
            sent(1, "a", true),
            started(2, "a", "t1"),
            ended(3, "a", false),
            flawed(4, "a", [true, false, false], "a"),
        ],
        vec![leaving(10), started(10 + GRACE_US, "a", "t1")],
        vec![leaving(10), started(11 + GRACE_US, "a", "t2")],
        vec![leaving(10), serving(20), started(11 + GRACE_US, "a", "t1")],
        // Requests without a nonce come from no checked caller.
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

/// Guards against a checker that depends on the order in which histories were joined, and
/// against one that names a later record than the first.
#[gtest]
fn the_first_broken_record_in_time_is_named() {
    let history = [
        config(9, "n1", 4, "y"),
        config(8, "n1", 5, "x"),
        started(3, "a", "t2"),
        started(2, "a", "t1"),
        sent(1, "a", false),
    ];
    let broken = check(&history, &settings()).expect_err("two rules are broken");
    expect_that!(broken.rule, eq(Rule::StartedTwice));
    expect_that!(broken.record, eq(&history[2]));
    expect_that!(
        broken.to_string(),
        contains_substring("started by t1 before")
    );
}

/// Guards against records that change when they pass through a file, and against lines that
/// are silently skipped.
#[gtest]
fn records_pass_through_files() -> Result<()> {
    let history = vec![
        sent(1, "a", false),
        told(2, "a", Outcome::NotRun),
        started(3, "a", "t1"),
        ended(4, "a", false),
        leaving(5),
        serving(6),
        config(7, "n1", 4, "x"),
    ];
    verify_that!(parse(&to_lines(&history))?, eq(&history))?;
    let error = parse("\n{\"kind\":\"sent\"}\n").expect_err("the fields are missing");
    verify_that!(error.to_string(), contains_substring("line 2"))
}
