//! Confirmation of a plan: one record on the log, decided by reading it back.

use std::rc::Rc;

use plantainpost_core::config::{Decision, Plan, Verdict, VerifyError};
use serde::Serialize;

use crate::{
    audit::{self, AuditEvent},
    clock, config_sync,
    log::LogError,
    node::Node,
};

/// Time to decide a confirmation, in milliseconds. A confirmation is to be in force
/// everywhere within 4 s.
const DECIDE_TIMEOUT_MS: u64 = 4_000;

/// Time between two reads for the decision, in milliseconds.
const READ_AGAIN_MS: u64 = 200;

/// What became of a confirmation.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub(crate) enum ConfirmResult {
    /// The plan is in force.
    InForce { version: u64 },
    /// Another confirmation came first; plan again.
    Void {
        winner_version: u64,
        winner_author: String,
        winner_summary: String,
    },
    /// The record may or may not be on the log. Confirming again is safe.
    Unknown { reason: String },
    /// Nothing was appended.
    Unavailable { reason: String },
}

impl ConfirmResult {
    fn of(decision: &Decision) -> Option<Self> {
        match &decision.verdict {
            Verdict::InForce => Some(ConfirmResult::InForce {
                version: decision.offset,
            }),
            Verdict::Void {
                winner_offset,
                winner_author,
                winner_summary,
                ..
            } => Some(ConfirmResult::Void {
                winner_version: *winner_offset,
                winner_author: winner_author.clone(),
                winner_summary: winner_summary.clone(),
            }),
            Verdict::Duplicate => None,
        }
    }
}

/// Confirms a plan.
///
/// # Errors
///
/// Fails when the plan was changed or has expired.
pub(crate) async fn confirm(
    node: &Rc<Node>,
    plan: &Plan,
    author: &str,
) -> Result<ConfirmResult, VerifyError> {
    plan.verify(clock::unix_ms())?;
    if let Some(result) = decided(node, plan) {
        return Ok(result);
    }
    if node.register.borrow().has_gap() && plan.overrides.is_none() {
        let reason = "records of the log are missing at this node; confirm at another node, \
                      or plan an override";
        return Ok(ConfirmResult::Unavailable {
            reason: reason.to_owned(),
        });
    }
    let record = {
        let register = node.register.borrow();
        register.confirm_record(plan, author, clock::unix_ms())
    };
    let data = match record.encode() {
        Ok(data) => data,
        Err(e) => {
            let reason = e.to_string();
            return Ok(ConfirmResult::Unavailable { reason });
        }
    };
    let event = AuditEvent::Confirm {
        id: plan.id.to_string(),
        author: author.to_owned(),
    };
    audit::note(node, event);
    let appended = node.log_service.append(config_sync::STREAM, &data).await;
    match appended {
        Err(LogError::Unavailable { reason }) => Ok(ConfirmResult::Unavailable { reason }),
        Err(LogError::Unknown { reason }) => Ok(decide(node, plan, &reason).await),
        Ok(_) => Ok(decide(node, plan, "the log was not read back in time").await),
    }
}

fn decided(node: &Node, plan: &Plan) -> Option<ConfirmResult> {
    let register = node.register.borrow();
    register.decision(plan.id).and_then(ConfirmResult::of)
}

/// Reads the log until the confirmation is decided.
async fn decide(node: &Rc<Node>, plan: &Plan, reason: &str) -> ConfirmResult {
    let deadline = node.now().saturating_add_millis(DECIDE_TIMEOUT_MS);
    loop {
        // An error is not the end: a peer may have read the record.
        let read = node.clock.before(deadline, config_sync::read_all(node));
        let _ = read.await;
        if let Some(result) = decided(node, plan) {
            return result;
        }
        if node.now() >= deadline {
            let reason = reason.to_owned();
            return ConfirmResult::Unknown { reason };
        }
        let again = node.now().saturating_add_millis(READ_AGAIN_MS);
        tokio::select! {
            () = node.clock.sleep_until(again.min(deadline)) => (),
            () = node.config_changed.notified() => (),
        }
    }
}
