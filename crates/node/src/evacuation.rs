//! Evacuations of data centres at this node: the guard, log lines, metrics and status.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use plantainpost_core::{
    admission::ClosedReason,
    collections::{HashMap, HashSet},
    config::Evacuations,
    ids::DataCentre,
    time::Instant,
};
use serde_json::{Value, json};
use slog::{info, warn};

use crate::{clock, node::Node, settings::Routing};

/// Time after which an evacuated data centre without members is taken for unknown, in milliseconds. A
/// node that has just started does not know all members yet.
const UNKNOWN_AFTER_MS: u64 = 5_000;

/// When this node has put the evacuation of a data centre in force or ended it.
#[derive(Clone, Copy)]
struct InForceSince {
    at: Instant,
    unix_ms: u64,
    /// Whether a log line said that no member is in the data centre.
    is_logged_as_unknown: bool,
}

/// Evacuations that this node has applied.
#[derive(Default)]
pub(crate) struct AppliedEvacuations {
    register: RefCell<Evacuations>,
    /// Has an entry for each data centre in `register`.
    since: RefCell<HashMap<DataCentre, InForceSince>>,
    /// Whether all data centres with running members were evacuated at the last check.
    are_all_evacuated: Cell<bool>,
}

/// Takes over the evacuations of the configuration. Returns whether they have changed.
pub(crate) fn take_changes(node: &Node) -> bool {
    let applied = &node.evacuations;
    let config = node.config.borrow();
    let current = config.evacuations();
    if *current == *applied.register.borrow() {
        return false;
    }
    let previous = applied.register.replace(current.clone());
    let mut since = applied.since.borrow_mut();
    for (data_centre, state) in current.iter() {
        let was_evacuated = previous.is_evacuated(data_centre.as_str());
        if state.is_evacuated != was_evacuated {
            info!(node.logger, "evacuation of a data centre"; "data_centre" => %data_centre,
                "is_evacuated" => state.is_evacuated, "era" => state.position.era, "offset" => state.position.offset);
        }
        if state.is_evacuated != was_evacuated || !since.contains_key(data_centre) {
            let in_force = InForceSince {
                at: node.now(),
                unix_ms: clock::unix_ms(),
                is_logged_as_unknown: false,
            };
            since.insert(data_centre.clone(), in_force);
        }
    }
    since.retain(|data_centre, _| current.contains(data_centre.as_str()));
    node.metrics
        .gauge("fleet.evacuated", current.evacuated().count() as u64);
    true
}

/// Closes the guard while the data centre of this node is evacuated, and before the first configuration,
/// and moves its queued requests.
pub(crate) fn update_guard(node: &Rc<Node>) {
    let closed = closed_reason(node);
    let mut guard = node.guard.borrow_mut();
    if guard.closed() == closed {
        return;
    }
    let now = node.now();
    guard.set_closed(now, closed);
    let wakeups = guard.expire(now);
    drop(guard);
    node.wake_waiters(wakeups);
}

fn closed_reason(node: &Node) -> Option<ClosedReason> {
    let config = node.config.borrow();
    let data_centre = node.settings.data_centre.as_str();
    if config.evacuations().is_evacuated(data_centre) {
        return Some(ClosedReason::Evacuated);
    }
    let needs_routes = node.settings.routing == Routing::ByRouteTable;
    (needs_routes && config.routes().is_none()).then_some(ClosedReason::NoConfiguration)
}

/// Logs evacuations of data centres without members, and when all data centres with running members are
/// evacuated. Called once a second.
pub(crate) fn log_unusual(node: &Node) {
    let applied = &node.evacuations;
    let register = applied.register.borrow();
    let is_any_evacuated = register.evacuated().next().is_some();
    if !is_any_evacuated && !applied.are_all_evacuated.get() {
        return;
    }
    let members = node.members.borrow();
    let known: HashSet<&DataCentre> = members.members().map(|m| &m.data_centre).collect();
    let is_evacuated = |data_centre: &DataCentre| register.is_evacuated(data_centre.as_str());
    let running = members.members().filter(|m| !m.state.is_terminal());
    let mut running = running.map(|m| &m.data_centre);
    let are_all_evacuated = is_any_evacuated && running.all(is_evacuated);
    if applied.are_all_evacuated.replace(are_all_evacuated) != are_all_evacuated {
        warn!(node.logger, "evacuation of all data centres"; "in_force" => are_all_evacuated);
    }
    let mut since = applied.since.borrow_mut();
    for (data_centre, state) in register.evacuated() {
        let Some(since) = since.get_mut(data_centre) else {
            continue;
        };
        let is_settled = since.at.saturating_add_millis(UNKNOWN_AFTER_MS) <= node.now();
        if is_settled && !since.is_logged_as_unknown && !known.contains(data_centre) {
            since.is_logged_as_unknown = true;
            warn!(node.logger, "evacuation of an unknown data centre has no effect";
                "data_centre" => %data_centre, "era" => state.position.era, "offset" => state.position.offset);
        }
    }
}

/// Returns the data centres with members or records of an evacuation, for operators.
pub(crate) fn data_centres_status(node: &Node) -> Value {
    let register = node.evacuations.register.borrow();
    let since = node.evacuations.since.borrow();
    let members = node.members.borrow();
    let mut members_by_data_centre: HashMap<&str, usize> = HashMap::default();
    for member in members.members() {
        let count = members_by_data_centre.entry(member.data_centre.as_str());
        *count.or_default() += 1;
    }
    let recorded = register.iter().map(|(data_centre, _)| data_centre.as_str());
    let mut names: Vec<&str> = members_by_data_centre.keys().copied().collect();
    names.extend(recorded);
    names.sort_unstable();
    names.dedup();
    let entries = names.into_iter().map(|name| {
        let record = register.iter().find(|(other, _)| other.as_str() == name);
        json!({
            "name": name,
            "members": members_by_data_centre.get(name).copied().unwrap_or_default(),
            "evacuated": record.is_some_and(|(_, state)| state.is_evacuated),
            "era": record.map(|(_, state)| state.position.era),
            "offset": record.map(|(_, state)| state.position.offset),
            "since_unix_ms": since.get(name).map(|since| since.unix_ms),
        })
    });
    entries.collect()
}
