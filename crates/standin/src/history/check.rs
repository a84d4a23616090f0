//! Checks the consistency rules of merged histories.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;
use snafu::Snafu;

use super::{
    Outcome, Record,
    rates::{ColdStarts, WorkspaceStarts},
};

/// Settings of the history checker.
#[derive(Clone, Debug)]
pub struct CheckSettings {
    /// Time in µs for which a target may still start requests after it was told to leave.
    pub leaving_grace_us: u64,
    /// Time in µs for which a target may still start requests after the evacuation of its data
    /// centre was acknowledged.
    pub evacuation_grace_us: u64,
    /// Time in µs for which a target may still start requests of a workspace after the withdrawal of
    /// its key was acknowledged.
    pub withdrawal_grace_us: u64,
    /// Largest number of requests that may start at a cold target in a second.
    pub max_cold_starts: usize,
    /// By workspace, the largest number of its requests that may start in 5 s.
    pub max_workspace_starts: BTreeMap<String, usize>,
}

impl Default for CheckSettings {
    fn default() -> Self {
        Self {
            leaving_grace_us: 4_000_000,
            evacuation_grace_us: 5_000_000,
            withdrawal_grace_us: 2_500_000,
            max_cold_starts: usize::MAX,
            max_workspace_starts: BTreeMap::new(),
        }
    }
}

/// The rules, in the order in which they are checked for a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An answer does not carry the nonce of its request, or has bytes other than the expected ones.
    AnswerOfAnother,
    /// An answer ended without an error but is incomplete.
    AnswerNotWhole,
    /// A request that was reported to its caller as not run was started by a target.
    NotRunStarted,
    /// A non-idempotent request was started more than once.
    StartedTwice,
    /// A request was answered, but no target finished writing its answer.
    AnsweredNotEnded,
    /// A target started a request later than the grace period after it was told to leave.
    StartedWhileLeaving,
    /// A target started a request later than the grace period after the evacuation of its data
    /// centre was acknowledged, and before its end.
    StartedWhileEvacuated,
    /// A target started a request of a workspace later than the grace period after the withdrawal of
    /// its key was acknowledged, and before its end.
    StartedAfterWithdrawal,
    /// A cold target started more requests in a second than it may.
    TooManyWhileCold,
    /// Targets started more requests of a workspace in 5 s than its limit allows.
    QuotaExceeded,
    /// The configuration version of a node decreased.
    VersionWentBack,
    /// Different contents were reported for one configuration version, by two nodes or by one.
    ContentDiffers,
}

/// A record that breaks a rule.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{rule:?}: {detail}; record: {record:?}"))]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// The record that breaks it.
    pub record: Record,
    /// The observation that the record contradicts.
    pub detail: String,
}

/// Numbers of the records that were checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Requests that callers sent.
    pub sent: u64,
    /// Requests answered by a target.
    pub answered: u64,
    /// Requests reported as not run.
    pub not_run: u64,
    /// Requests for which the caller does not know whether they were run.
    pub unknown: u64,
    /// Starts of requests at targets.
    pub started: u64,
    /// Configurations reported by nodes.
    pub configs: u64,
}

/// Checks the merged histories of callers, targets and nodes.
///
/// Records are checked in the order of their times, and in the given order for equal times. All
/// processes must have ended or be idle, because an answered request without an end record is a
/// violation.
///
/// # Errors
///
/// Returns the first record in time that breaks a rule.
pub fn check(records: &[Record], settings: &CheckSettings) -> Result<Summary, Violation> {
    let mut sorted: Vec<&Record> = records.iter().collect();
    sorted.sort_by_key(|record| record.timestamp_us());
    let mut checker = Checker {
        settings,
        requests: RequestIndex::build(&sorted),
        state: ReplayState::default(),
        summary: Summary::default(),
    };
    for record in sorted {
        checker
            .check_record(record)
            .map_err(|(rule, detail)| Violation {
                rule,
                record: record.clone(),
                detail,
            })?;
    }
    Ok(checker.summary)
}

/// Properties of requests collected from all records, regardless of their order.
struct RequestIndex<'a> {
    /// Whether the request with this nonce may run more than once.
    idempotent: HashMap<&'a str, bool>,
    /// Nonces with an `Ended` record; true if some target wrote the whole answer.
    fully_written: HashMap<&'a str, bool>,
}

impl<'a> RequestIndex<'a> {
    fn build(records: &[&'a Record]) -> Self {
        let mut index = Self {
            idempotent: HashMap::new(),
            fully_written: HashMap::new(),
        };
        for record in records {
            match record {
                Record::Sent {
                    nonce, idempotent, ..
                } => {
                    index.idempotent.insert(nonce, *idempotent);
                }
                Record::Ended { nonce, ok, .. } => {
                    *index.fully_written.entry(nonce).or_default() |= *ok;
                }
                _ => {}
            }
        }
        index
    }
}

/// State after the records before the current one.
#[derive(Default)]
struct ReplayState<'a> {
    /// By nonce, the time in µs at which the request was reported as not run.
    not_run_at_us: HashMap<&'a str, u64>,
    /// By nonce, the target that started the request last.
    started_by: HashMap<&'a str, &'a str>,
    /// By target, the time in µs at which it was first told to leave.
    leaving_since_us: HashMap<&'a str, u64>,
    /// By target, the time in µs at which the evacuation of its data centre was acknowledged.
    evacuated_since_us: HashMap<&'a str, u64>,
    /// By workspace, the time in µs at which the withdrawal of its key was acknowledged.
    withdrawn_since_us: HashMap<&'a str, u64>,
    cold_starts: ColdStarts<'a>,
    workspace_starts: WorkspaceStarts<'a>,
    /// By node, the version that it reported last.
    node_versions: HashMap<&'a str, u64>,
    /// By version, the digest reported first and the node that reported it.
    version_digests: HashMap<u64, (&'a str, &'a str)>,
}

struct Checker<'a> {
    settings: &'a CheckSettings,
    requests: RequestIndex<'a>,
    state: ReplayState<'a>,
    summary: Summary,
}

/// The broken rule and the detail of the violation, if there is one.
type RuleResult = Result<(), (Rule, String)>;

impl<'a> Checker<'a> {
    fn check_record(&mut self, record: &'a Record) -> RuleResult {
        match record {
            Record::Sent { .. } => self.summary.sent += 1,
            Record::Answered { outcome, .. } => match outcome {
                Outcome::Answered | Outcome::Direct => {
                    self.summary.answered += 1;
                    self.check_answer(record)?;
                }
                Outcome::NotRun => {
                    self.summary.not_run += 1;
                    self.check_not_run(record)?;
                }
                Outcome::Unknown | Outcome::Failed => self.summary.unknown += 1,
            },
            Record::Started {
                nonce,
                at,
                target,
                workspace,
            } => {
                self.summary.started += 1;
                self.check_start(nonce, *at, target)?;
                self.check_cold_start(*at, target)?;
                if let Some(workspace) = workspace {
                    self.check_workspace(nonce, *at, workspace)?;
                }
            }
            Record::Ended { .. } => {}
            Record::Leaving { at, target } => {
                self.state.leaving_since_us.entry(target).or_insert(*at);
            }
            Record::Serving { target, .. } => {
                self.state.leaving_since_us.remove(target.as_str());
            }
            Record::Evacuated { at, target } => {
                self.state.evacuated_since_us.entry(target).or_insert(*at);
            }
            Record::Returned { target, .. } => {
                self.state.evacuated_since_us.remove(target.as_str());
            }
            Record::Cold { at, target, until } => {
                self.state.cold_starts.on_cold(target, *at, *until);
            }
            Record::KeyWithdrawn { at, workspace } => {
                let withdrawn = &mut self.state.withdrawn_since_us;
                withdrawn.entry(workspace).or_insert(*at);
            }
            Record::KeyRestored { workspace, .. } => {
                self.state.withdrawn_since_us.remove(workspace.as_str());
            }
            Record::Config {
                node,
                version,
                digest,
                ..
            } => {
                self.summary.configs += 1;
                self.check_config(node, *version, digest)?;
            }
        }
        Ok(())
    }

    fn check_answer(&self, record: &Record) -> RuleResult {
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
            let detail =
                format!("the answer to {nonce} contains bytes other than the expected ones");
            return Err((Rule::AnswerOfAnother, detail));
        }
        if *cut {
            return Ok(());
        }
        if !whole {
            let detail = format!("the answer to {nonce} ended without an error but is incomplete");
            return Err((Rule::AnswerNotWhole, detail));
        }
        match self.requests.fully_written.get(nonce.as_str()) {
            Some(true) => Ok(()),
            Some(false) => {
                let detail = format!("no target finished writing the answer to {nonce}");
                Err((Rule::AnsweredNotEnded, detail))
            }
            None => {
                let detail = format!("no target recorded the end of {nonce}");
                Err((Rule::AnsweredNotEnded, detail))
            }
        }
    }

    fn check_not_run(&mut self, record: &'a Record) -> RuleResult {
        let nonce = record.nonce().unwrap_or_default();
        if let Some(target) = self.state.started_by.get(nonce) {
            let detail = format!("{nonce} was started by {target} before");
            return Err((Rule::NotRunStarted, detail));
        }
        self.state
            .not_run_at_us
            .insert(nonce, record.timestamp_us());
        Ok(())
    }

    fn check_start(&mut self, nonce: &'a str, at_us: u64, target: &'a str) -> RuleResult {
        if let Some(since_us) = self.state.leaving_since_us.get(target)
            && at_us.saturating_sub(*since_us) > self.settings.leaving_grace_us
        {
            let detail = format!("{target} has been leaving since {since_us}");
            return Err((Rule::StartedWhileLeaving, detail));
        }
        if let Some(since_us) = self.state.evacuated_since_us.get(target)
            && at_us.saturating_sub(*since_us) > self.settings.evacuation_grace_us
        {
            let detail = format!("the data centre of {target} is evacuated since {since_us}");
            return Err((Rule::StartedWhileEvacuated, detail));
        }
        // Requests without a nonce are not from a caller whose history is checked.
        if nonce.is_empty() {
            return Ok(());
        }
        if let Some(reported_at_us) = self.state.not_run_at_us.get(nonce) {
            let detail = format!("{nonce} was reported as not run at {reported_at_us}");
            return Err((Rule::NotRunStarted, detail));
        }
        let previous = self.state.started_by.insert(nonce, target);
        if let (Some(previous), Some(false)) = (previous, self.requests.idempotent.get(nonce)) {
            let detail = format!("{nonce} is not idempotent and was started by {previous} before");
            return Err((Rule::StartedTwice, detail));
        }
        Ok(())
    }

    fn check_cold_start(&mut self, at_us: u64, target: &'a str) -> RuleResult {
        let starts = self.state.cold_starts.add(target, at_us);
        if starts > self.settings.max_cold_starts {
            let detail = format!("{target} is cold and started {starts} requests in a second");
            return Err((Rule::TooManyWhileCold, detail));
        }
        Ok(())
    }

    fn check_workspace(&mut self, nonce: &'a str, at_us: u64, workspace: &'a str) -> RuleResult {
        if let Some(since_us) = self.state.withdrawn_since_us.get(workspace)
            && at_us.saturating_sub(*since_us) > self.settings.withdrawal_grace_us
        {
            let detail = format!("the key of {workspace} is withdrawn since {since_us}");
            return Err((Rule::StartedAfterWithdrawal, detail));
        }
        let Some(max) = self.settings.max_workspace_starts.get(workspace) else {
            return Ok(());
        };
        let starts = self.state.workspace_starts.add(workspace, nonce, at_us);
        if starts > *max {
            let detail = format!("{starts} requests of {workspace} started in 5 s, at most {max}");
            return Err((Rule::QuotaExceeded, detail));
        }
        Ok(())
    }

    fn check_config(&mut self, node: &'a str, version: u64, digest: &'a str) -> RuleResult {
        if let Some(previous) = self.state.node_versions.insert(node, version)
            && previous > version
        {
            let detail = format!("{node} had version {previous} before");
            return Err((Rule::VersionWentBack, detail));
        }
        let (first_digest, first_node) = *self
            .state
            .version_digests
            .entry(version)
            .or_insert((digest, node));
        if first_digest != digest {
            let detail =
                format!("{first_node} has the digest {first_digest} for version {version}");
            return Err((Rule::ContentDiffers, detail));
        }
        Ok(())
    }
}
