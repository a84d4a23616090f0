//! Confirmation of a plan: appends one record to the log and reads the log back to learn whether
//! the plan is in force.

use std::rc::Rc;

use plantainpost_core::config::{Decision, Plan, Verdict, VerifyError};
use serde::Serialize;

use crate::{
    audit::{self, AuditEvent},
    clock, config_sync,
    log_service::LogError,
    node::Node,
};

/// Time to wait for the decision on a confirmation, in milliseconds. A confirmed plan must be in
/// force on all nodes within 4 s.
const DECISION_TIMEOUT_MS: u64 = 4_000;

/// Interval between reads of the log while waiting for the decision, in milliseconds.
const READ_INTERVAL_MS: u64 = 200;

/// Result of a confirmation.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub(crate) enum ConfirmResult {
    /// The plan is in force.
    InForce { version: u64 },
    /// Another confirmation came first. A new plan is required.
    Void {
        winner_version: u64,
        winner_author: String,
        winner_summary: String,
    },
    /// The record may or may not be in the log. Confirming again is safe.
    Unknown { reason: String },
    /// Nothing was appended.
    Unavailable { reason: String },
}

impl ConfirmResult {
    fn from_decision(decision: &Decision) -> Option<Self> {
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
/// Fails if the plan was modified or has expired.
pub(crate) async fn confirm_plan(
    node: &Rc<Node>,
    plan: &Plan,
    author: &str,
) -> Result<ConfirmResult, VerifyError> {
    plan.verify(clock::unix_ms())?;
    if let Some(result) = known_decision(node, plan) {
        return Ok(result);
    }
    if node.config.borrow().has_gap() && plan.overrides.is_none() {
        let reason = "records of the log are missing at this node; confirm at another node, \
                      or plan an override";
        return Ok(ConfirmResult::Unavailable {
            reason: reason.to_owned(),
        });
    }
    let record = {
        let config = node.config.borrow();
        config.confirm_record(plan, author, clock::unix_ms())
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
    audit::record(node, event);
    let appended = node
        .log_service
        .append(config_sync::CONFIG_STREAM, &data)
        .await;
    match appended {
        Err(LogError::Unavailable { reason }) => Ok(ConfirmResult::Unavailable { reason }),
        Err(LogError::Unknown { reason }) => Ok(wait_for_decision(node, plan, &reason).await),
        Ok(_) => Ok(wait_for_decision(node, plan, "the log was not read back in time").await),
    }
}

/// Returns the result for a plan whose confirmation is already decided.
fn known_decision(node: &Node, plan: &Plan) -> Option<ConfirmResult> {
    let config = node.config.borrow();
    config
        .decision(plan.id)
        .and_then(ConfirmResult::from_decision)
}

/// Reads the log until the confirmation is decided. `reason` is reported if that takes too long.
async fn wait_for_decision(node: &Rc<Node>, plan: &Plan, reason: &str) -> ConfirmResult {
    let deadline = node.now().saturating_add_millis(DECISION_TIMEOUT_MS);
    loop {
        // Errors are ignored, because the state of a peer that has read the record may arrive.
        let read = node.clock.timeout_at(deadline, config_sync::read_all(node));
        let _ = read.await;
        if let Some(result) = known_decision(node, plan) {
            return result;
        }
        if node.now() >= deadline {
            let reason = reason.to_owned();
            return ConfirmResult::Unknown { reason };
        }
        let next_read = node.now().saturating_add_millis(READ_INTERVAL_MS);
        tokio::select! {
            () = node.clock.sleep_until(next_read.min(deadline)) => (),
            () = node.config_changed.notified() => (),
        }
    }
}
