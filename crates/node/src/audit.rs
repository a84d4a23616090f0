//! The audit trail: decisions of operators and automatic changes made by nodes.

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use plantainpost_core::{balance::EjectionChange, ids::NodeName, time::Instant};
use rand::RngExt;
use serde::Serialize;
use serde_json::Value;
use slog::info;

use crate::{clock, node::Node};

/// Stream of the log service that holds the audit trail.
pub(crate) const AUDIT_STREAM: &str = "audit";

/// Largest number of entries that are kept in memory while the log service is down.
const MAX_PENDING_ENTRIES: usize = 1_024;

/// Largest number of entries in one append.
const MAX_BATCH_ENTRIES: usize = 64;

/// Upper bound of the random delay before entries are written, in milliseconds.
///
/// All nodes record the same configuration change at once. Spread over this time, 860 nodes make
/// 86 appends per second; the log service accepts several hundred.
const MAX_WRITE_DELAY_MS: u64 = 10_000;

/// Delay before a failed append is retried, in milliseconds.
const APPEND_RETRY_MS: u64 = 5_000;

/// An event in the audit trail.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub(crate) enum AuditEvent {
    /// An operator requested a plan.
    Plan {
        id: String,
        author: String,
        changes: Vec<String>,
    },
    /// An operator confirmed a plan.
    Confirm { id: String, author: String },
    /// A configuration version took effect on this node.
    InForce { version: Option<u64> },
    /// This node read a confirmation from the log that is void, because another one came first.
    Void {
        id: String,
        author: String,
        winner: u64,
        winner_author: String,
    },
    /// This node ejected a target: it sends it no requests.
    SetAside { target: NodeName, reason: String },
    /// This node readmitted an ejected target.
    Returned { target: NodeName },
    /// The measurement budget was exhausted.
    BudgetReached { refused: u64 },
    /// This node appended a checkpoint of the configuration.
    Checkpoint { offset: u64 },
    /// The node started.
    Started,
    /// A graceful stop began.
    Stopping,
}

impl AuditEvent {
    /// Returns the event for a target that the balancer ejected or restored.
    pub(crate) fn from_ejection_change(target: NodeName, change: &EjectionChange) -> Self {
        match change {
            EjectionChange::Ejected { reason, .. } => AuditEvent::SetAside {
                target,
                reason: reason.to_string(),
            },
            EjectionChange::Restored => AuditEvent::Returned { target },
        }
    }
}

#[derive(Debug, Serialize)]
struct AuditEntry {
    /// Wall clock of the node, in milliseconds since the Unix epoch. Only shown to operators.
    at_unix_ms: u64,
    node: NodeName,
    #[serde(flatten)]
    event: AuditEvent,
}

/// Entries that are not yet written to the log service.
#[derive(Default)]
pub(crate) struct AuditQueue {
    /// At most [`MAX_PENDING_ENTRIES`] entries, oldest first.
    pending: RefCell<VecDeque<AuditEntry>>,
}

impl AuditQueue {
    /// Returns the number of entries that are not yet written.
    pub(crate) fn len(&self) -> usize {
        self.pending.borrow().len()
    }

    fn take_batch(&self) -> Vec<AuditEntry> {
        let mut pending = self.pending.borrow_mut();
        let count = pending.len().min(MAX_BATCH_ENTRIES);
        pending.drain(..count).collect()
    }

    /// Puts back entries that could not be written, and returns how many were dropped for lack of
    /// room.
    fn requeue(&self, mut entries: Vec<AuditEntry>) -> usize {
        let mut pending = self.pending.borrow_mut();
        let room = MAX_PENDING_ENTRIES.saturating_sub(pending.len());
        let dropped = entries.len().saturating_sub(room);
        for entry in entries.drain(dropped..).rev() {
            pending.push_front(entry);
        }
        dropped
    }
}

/// Records an event. The oldest entry is dropped if too many are pending.
pub(crate) fn record(node: &Node, event: AuditEvent) {
    info!(node.logger, "audit"; "entry" => serde_json::to_string(&event).unwrap_or_default());
    let mut pending = node.audit.pending.borrow_mut();
    if pending.len() >= MAX_PENDING_ENTRIES {
        pending.pop_front();
        node.metrics.count("audit.dropped");
    }
    pending.push_back(AuditEntry {
        at_unix_ms: clock::unix_ms(),
        node: node.name().clone(),
        event,
    });
}

/// Writes entries to the log service until the process exits.
pub(crate) async fn write_entries(node: Rc<Node>) {
    loop {
        let delay = node.rng.borrow_mut().random_range(0..=MAX_WRITE_DELAY_MS);
        let wake_at: Instant = node.now().saturating_add_millis(delay);
        tokio::select! {
            () = node.clock.sleep_until(wake_at) => (),
            () = node.stop.wait_for_closing() => return,
        }
        while node.audit.len() > 0 {
            if !write_batch(&node).await {
                let retry_at = node.now().saturating_add_millis(APPEND_RETRY_MS);
                node.clock.sleep_until(retry_at).await;
                break;
            }
        }
    }
}

/// Writes the pending entries before the process exits. Gives up at the first error.
pub(crate) async fn flush(node: &Node) {
    while node.audit.len() > 0 && write_batch(node).await {}
}

/// Appends one batch, and reports whether it succeeded.
///
/// An append is repeated if its response was lost. The duplicate entries have the same node and
/// time, so that [`parse_entries`] drops them.
async fn write_batch(node: &Node) -> bool {
    let entries = node.audit.take_batch();
    let data = serde_json::to_string(&entries).unwrap_or_default();
    match node.log_service.append(AUDIT_STREAM, &data).await {
        Ok(_) => {
            node.metrics.add("audit.written", entries.len() as i64);
            true
        }
        Err(_) => {
            node.metrics.count("audit.append_error");
            let dropped = node.audit.requeue(entries);
            node.metrics.add("audit.dropped", dropped as i64);
            false
        }
    }
}

/// Returns the entries in records of the log, without duplicates.
pub(crate) fn parse_entries<'a>(records: impl Iterator<Item = &'a str>) -> Vec<Value> {
    let mut seen = std::collections::HashSet::new();
    records
        .filter_map(|data| serde_json::from_str::<Vec<Value>>(data).ok())
        .flatten()
        .filter(|entry| seen.insert(entry.to_string()))
        .collect()
}
