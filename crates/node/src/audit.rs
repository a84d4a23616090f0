//! The audit trail: what operators decided and what nodes did by themselves.

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use plantainpost_core::{balance::EjectionChange, ids::NodeName, time::Instant};
use rand::RngExt;
use serde::Serialize;
use serde_json::Value;
use slog::info;

use crate::{clock, node::Node};

/// Stream of the audit trail.
pub(crate) const STREAM: &str = "audit";

/// Entries that wait in memory while the log service is down.
const MAX_WAITING: usize = 1_024;

/// Entries in one append.
const MAX_BATCH: usize = 64;

/// Longest time that an entry waits before it is written, in milliseconds.
///
/// All nodes note the same change of configuration at once; spread over this time
/// 860 nodes make 86 appends per second, of the several hundred that the log takes.
const SPREAD_MS: u64 = 10_000;

/// Pause after a failed append, in milliseconds.
const RETRY_MS: u64 = 5_000;

/// What happened.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub(crate) enum AuditEvent {
    /// An operator asked for a plan.
    Plan {
        id: String,
        author: String,
        changes: Vec<String>,
    },
    /// An operator confirmed a plan.
    Confirm { id: String, author: String },
    /// This node put a version in force.
    InForce { version: Option<u64> },
    /// A confirmation was void, as this node read it.
    Void {
        id: String,
        author: String,
        winner: u64,
        winner_author: String,
    },
    /// This node sends a target no requests.
    SetAside { target: NodeName, reason: String },
    /// This node sends a target requests again.
    Returned { target: NodeName },
    /// The measuring budget was used up.
    BudgetReached { refused: u64 },
    /// This node wrote a checkpoint.
    Checkpoint { offset: u64 },
    /// The node started.
    Started,
    /// A planned stop began.
    Stopping,
}

impl AuditEvent {
    /// Returns the event for a change that the balancer made.
    pub(crate) fn from_balance(target: NodeName, change: &EjectionChange) -> Self {
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
struct Entry {
    /// Wall clock of the node, for people.
    at_unix_ms: u64,
    node: NodeName,
    #[serde(flatten)]
    event: AuditEvent,
}

/// Entries that wait to be written.
#[derive(Default)]
pub(crate) struct AuditQueue {
    /// At most [`MAX_WAITING`] entries, the oldest first.
    waiting: RefCell<VecDeque<Entry>>,
}

impl AuditQueue {
    /// Returns the number of entries that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    fn take(&self) -> Vec<Entry> {
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.len().min(MAX_BATCH);
        waiting.drain(..count).collect()
    }

    /// Puts entries back that could not be written, and returns how many had no room.
    fn put_back(&self, mut entries: Vec<Entry>) -> usize {
        let mut waiting = self.waiting.borrow_mut();
        let room = MAX_WAITING.saturating_sub(waiting.len());
        let dropped = entries.len().saturating_sub(room);
        for entry in entries.drain(dropped..).rev() {
            waiting.push_front(entry);
        }
        dropped
    }
}

/// Notes an event. The oldest entry is dropped when too many wait.
pub(crate) fn note(node: &Node, event: AuditEvent) {
    info!(node.logger, "audit"; "entry" => serde_json::to_string(&event).unwrap_or_default());
    let mut waiting = node.audit.waiting.borrow_mut();
    if waiting.len() >= MAX_WAITING {
        waiting.pop_front();
        node.metrics.count("audit.dropped");
    }
    waiting.push_back(Entry {
        at_unix_ms: clock::unix_ms(),
        node: node.name().clone(),
        event,
    });
}

/// Writes entries until the process exits.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        let delay = node.rng.borrow_mut().random_range(0..=SPREAD_MS);
        let at: Instant = node.now().saturating_add_millis(delay);
        tokio::select! {
            () = node.clock.sleep_until(at) => (),
            () = node.stop.wait_closing() => return,
        }
        while node.audit.len() > 0 {
            if !write_some(&node).await {
                let at = node.now().saturating_add_millis(RETRY_MS);
                node.clock.sleep_until(at).await;
                break;
            }
        }
    }
}

/// Writes what waits, once, before the process exits.
pub(crate) async fn write_rest(node: &Node) {
    while node.audit.len() > 0 && write_some(node).await {}
}

/// Appends one batch. An append whose answer was lost is made again: a double entry
/// has the same node and time and is left out by readers.
async fn write_some(node: &Node) -> bool {
    let entries = node.audit.take();
    let data = serde_json::to_string(&entries).unwrap_or_default();
    match node.log_service.append(STREAM, &data).await {
        Ok(_) => {
            node.metrics.add("audit.written", entries.len() as i64);
            true
        }
        Err(_) => {
            node.metrics.count("audit.append_error");
            let dropped = node.audit.put_back(entries);
            node.metrics.add("audit.dropped", dropped as i64);
            false
        }
    }
}

/// Returns the entries of records from the log, without double ones.
pub(crate) fn entries<'a>(records: impl Iterator<Item = &'a str>) -> Vec<Value> {
    let mut seen = std::collections::HashSet::new();
    records
        .filter_map(|data| serde_json::from_str::<Vec<Value>>(data).ok())
        .flatten()
        .filter(|entry| seen.insert(entry.to_string()))
        .collect()
}
