//! The checker of histories.

use std::collections::HashMap;

use serde::Serialize;
use snafu::Snafu;

use super::{Outcome, Record};

/// Settings of the checker.
#[derive(Clone, Debug)]
pub struct CheckSettings {
    /// How long after it was told to leave a target may still start requests, in µs.
    pub leaving_grace_us: u64,
}

impl Default for CheckSettings {
    fn default() -> Self {
        Self {
            leaving_grace_us: 4_000_000,
        }
    }
}

/// The rules, in the order in which they are tried on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An answer carries another nonce, or bytes that do not belong to the request.
    AnswerOfAnother,
    /// An answer that ended cleanly is not whole.
    AnswerNotWhole,
    /// A request that was told not to have run was started by a target.
    NotRunStarted,
    /// A non-idempotent request was started more than once.
    StartedTwice,
    /// A request was answered, but no target ended it.
    AnsweredNotEnded,
    /// A target started a request too long after it was told to leave.
    StartedWhileLeaving,
    /// The configuration version of a node went backwards.
    VersionWentBack,
    /// Two nodes, or one node twice, had different content for one version.
    ContentDiffers,
}

/// A record that breaks a rule.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{rule:?}: {detail}; record: {record:?}"))]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The record.
    pub record: Record,
    /// What it contradicts.
    pub detail: String,
}

/// What was checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Requests that callers sent.
    pub sent: u64,
    /// Requests that were answered by a target.
    pub answered: u64,
    /// Requests told not to have run.
    pub not_run: u64,
    /// Requests whose outcome the caller does not know.
    pub unknown: u64,
    /// Requests that targets started.
    pub started: u64,
    /// Configurations seen on nodes.
    pub configs: u64,
}

/// Checks the merged histories of callers, targets and nodes.
///
/// Records are taken in the order of their instants; those with equal instants in the
/// order given. All processes must have ended or be idle, because an answered request
/// whose end is not in the history yet is a violation.
///
/// # Errors
///
/// Fails with the first record that breaks a rule.
pub fn check(records: &[Record], settings: &CheckSettings) -> Result<Summary, Violation> {
    let mut sorted: Vec<&Record> = records.iter().collect();
    sorted.sort_by_key(|record| record.at());
    let mut checker = Checker {
        settings,
        facts: Facts::collect(&sorted),
        seen: Seen::default(),
        summary: Summary::default(),
    };
    for record in sorted {
        checker.visit(record).map_err(|(rule, detail)| Violation {
            rule,
            record: record.clone(),
            detail,
        })?;
    }
    Ok(checker.summary)
}

/// Facts that do not depend on the order of records.
struct Facts<'a> {
    /// Whether the request with this nonce may run more than once.
    idempotent: HashMap<&'a str, bool>,
    /// Nonces with an `Ended` record: true when some target wrote the whole answer.
    ended: HashMap<&'a str, bool>,
}

impl<'a> Facts<'a> {
    fn collect(records: &[&'a Record]) -> Self {
        let mut facts = Self {
            idempotent: HashMap::new(),
            ended: HashMap::new(),
        };
        for record in records {
            match record {
                Record::Sent {
                    nonce, idempotent, ..
                } => {
                    facts.idempotent.insert(nonce, *idempotent);
                }
                Record::Ended { nonce, ok, .. } => {
                    *facts.ended.entry(nonce).or_default() |= *ok;
                }
                _ => {}
            }
        }
        facts
    }
}

/// What the records before the current one said.
#[derive(Default)]
struct Seen<'a> {
    /// Nonces told not to have run.
    not_run: HashMap<&'a str, u64>,
    /// The target that started a nonce first.
    started: HashMap<&'a str, &'a str>,
    /// Since when a target is leaving.
    leaving: HashMap<&'a str, u64>,
    /// The version of each node.
    versions: HashMap<&'a str, u64>,
    /// The digest of each version and the node that showed it first.
    digests: HashMap<u64, (&'a str, &'a str)>,
}

struct Checker<'a> {
    settings: &'a CheckSettings,
    facts: Facts<'a>,
    seen: Seen<'a>,
    summary: Summary,
}

type Verdict = Result<(), (Rule, String)>;

impl<'a> Checker<'a> {
    fn visit(&mut self, record: &'a Record) -> Verdict {
        match record {
            Record::Sent { .. } => self.summary.sent += 1,
            Record::Answered { outcome, .. } => match outcome {
                Outcome::Answered | Outcome::Direct => {
                    self.summary.answered += 1;
                    self.answered(record)?;
                }
                Outcome::NotRun => {
                    self.summary.not_run += 1;
                    self.not_run(record)?;
                }
                Outcome::Unknown | Outcome::Failed => self.summary.unknown += 1,
            },
            Record::Started { nonce, at, target } => {
                self.summary.started += 1;
                self.started(nonce, *at, target)?;
            }
            Record::Ended { .. } => {}
            Record::Leaving { at, target } => {
                self.seen.leaving.entry(target).or_insert(*at);
            }
            Record::Serving { target, .. } => {
                self.seen.leaving.remove(target.as_str());
            }
            Record::Config {
                node,
                version,
                digest,
                ..
            } => {
                self.summary.configs += 1;
                self.config(node, *version, digest)?;
            }
        }
        Ok(())
    }

    fn answered(&self, record: &Record) -> Verdict {
        let Record::Answered {
            nonce,
            cut,
            whole,
            foreign,
            answer_nonce,
            ..
        } = record
        else {
            return Ok(());
        };
        if answer_nonce.as_ref() != Some(nonce) {
            let detail = format!("the answer to {nonce} carries the nonce {answer_nonce:?}");
            return Err((Rule::AnswerOfAnother, detail));
        }
        if *foreign {
            let detail = format!("the answer to {nonce} has bytes that are not its own");
            return Err((Rule::AnswerOfAnother, detail));
        }
        if *cut {
            return Ok(());
        }
        if !whole {
            let detail = format!("the answer to {nonce} ended cleanly but is not whole");
            return Err((Rule::AnswerNotWhole, detail));
        }
        match self.facts.ended.get(nonce.as_str()) {
            Some(true) => Ok(()),
            Some(false) => {
                let detail = format!("every target failed to write the answer to {nonce}");
                Err((Rule::AnsweredNotEnded, detail))
            }
            None => {
                let detail = format!("no target ended {nonce}");
                Err((Rule::AnsweredNotEnded, detail))
            }
        }
    }

    fn not_run(&mut self, record: &'a Record) -> Verdict {
        let nonce = record.nonce().unwrap_or_default();
        if let Some(target) = self.seen.started.get(nonce) {
            let detail = format!("{nonce} was started by {target} before");
            return Err((Rule::NotRunStarted, detail));
        }
        self.seen.not_run.insert(nonce, record.at());
        Ok(())
    }

    fn started(&mut self, nonce: &'a str, at: u64, target: &'a str) -> Verdict {
        if let Some(since) = self.seen.leaving.get(target)
            && at.saturating_sub(*since) > self.settings.leaving_grace_us
        {
            let detail = format!("{target} is leaving since {since}");
            return Err((Rule::StartedWhileLeaving, detail));
        }
        // Requests without a nonce come from no checked caller.
        if nonce.is_empty() {
            return Ok(());
        }
        if let Some(told) = self.seen.not_run.get(nonce) {
            let detail = format!("{nonce} was told at {told} not to have run");
            return Err((Rule::NotRunStarted, detail));
        }
        let first = self.seen.started.insert(nonce, target);
        if let (Some(first), Some(false)) = (first, self.facts.idempotent.get(nonce)) {
            let detail = format!("{nonce} is not idempotent and was started by {first} before");
            return Err((Rule::StartedTwice, detail));
        }
        Ok(())
    }

    fn config(&mut self, node: &'a str, version: u64, digest: &'a str) -> Verdict {
        if let Some(before) = self.seen.versions.insert(node, version)
            && before > version
        {
            let detail = format!("{node} had version {before} before");
            return Err((Rule::VersionWentBack, detail));
        }
        let (known, first) = *self.seen.digests.entry(version).or_insert((digest, node));
        if known != digest {
            let detail = format!("{first} has the digest {known} for version {version}");
            return Err((Rule::ContentDiffers, detail));
        }
        Ok(())
    }
}
