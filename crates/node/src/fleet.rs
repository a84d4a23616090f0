//! Applies changes in the fleet and the configuration to the balancer and the guard.

use std::{cell::Cell, collections::BTreeMap, net::IpAddr, rc::Rc};

use plantainpost_core::{
    balance::TargetView,
    ids::{DataCentre, NodeName, Region, ServiceName},
    measure::PROBE_COST_US,
    member::{MemberRecord, MemberState, TargetInfo},
};

use crate::{evacuation, guard::cold, node::Node};

/// Versions that were last applied to the balancer and the guard.
#[derive(Default)]
pub(crate) struct AppliedVersions {
    /// Generation of the member table and version of the configuration.
    last: Cell<Option<(u64, Option<u64>)>>,
}

/// A target that a member announces.
pub(crate) struct FleetTarget {
    pub(crate) service: ServiceName,
    pub(crate) node: NodeName,
    pub(crate) data_centre: DataCentre,
    pub(crate) region: Region,
    pub(crate) ip: IpAddr,
    pub(crate) slots: u32,
    pub(crate) draining: bool,
    pub(crate) cold: bool,
    /// Whether the node on the target's host is about to stop.
    pub(crate) stopping: bool,
}

/// Applies changes in the fleet and the configuration since the last call.
pub(crate) fn apply_changes(node: &Rc<Node>) {
    publish_local_target(node);
    evacuation::update_guard(node);
    let have_evacuations_changed = evacuation::take_changes(node);
    let generation = node.members.borrow().generation();
    let version = node.config.borrow().version();
    let current = Some((generation, version));
    let have_versions_changed = node.applied_versions.last.replace(current) != current;
    if !have_versions_changed && !have_evacuations_changed {
        return;
    }
    apply_local_config(node);
    update_balancer_targets(node);
    set_retry_budget_share(node);
    node.startup.notify();
}

/// Passes the state of the target on this host from the guard to the membership.
fn publish_local_target(node: &Node) {
    cold::update(node);
    let now = node.now();
    let guard = node.guard.borrow();
    let target = guard.target(now).map(|target| TargetInfo {
        service: target.service.clone(),
        slots: target.slots.min(target.connections),
        draining: guard.is_draining(),
        cold: guard.is_cold(now),
    });
    drop(guard);
    node.members.borrow_mut().set_target(target);
}

/// Applies the configuration that concerns this node: whether it is draining, and its
/// measurement budget.
fn apply_local_config(node: &Node) {
    let config = node.config.borrow();
    let content = config.content();
    let settings = &node.settings;
    let leaving = content.is_leaving(
        settings.name.as_str(),
        settings.ip,
        settings.data_centre.as_str(),
    );
    let draining = leaving || node.is_draining_for_stop();
    node.guard.borrow_mut().set_draining(draining);
    let share_permille = content.measuring_permille();
    let now = node.now();
    let mut budget = node.measurement_budget.borrow_mut();
    budget.set_share_permille(now, share_permille);
    if let Some(interval_us) = budget.interval_us(PROBE_COST_US) {
        node.balancer.borrow_mut().set_probe_interval(interval_us);
    }
}

/// Percentage of the fleet's extra requests (retries and hedges) that is distributed among the
/// known members. The rest is reserved for nodes that do not know each other yet.
const DISTRIBUTED_BUDGET_PERCENT: u64 = 80;

/// Limits the saved retry credit of this node to its share of the extra requests that the whole
/// fleet may send.
pub(crate) fn set_retry_budget_share(node: &Node) {
    let Some(budget) = node.settings_state.current().fleet_retry_budget else {
        return;
    };
    // Dead members count, because they may return with a new retry budget.
    let members = node.members.borrow().members().count().max(1) as u64;
    // In percent of an extra request.
    let max_saved_percent = budget.extra_requests * DISTRIBUTED_BUDGET_PERCENT / members;
    let mut retry_budgets = node.retry_budgets.borrow_mut();
    retry_budgets.set_max_saved_percent(max_saved_percent);
}

fn is_usable(record: &MemberRecord) -> bool {
    // A suspected member may still respond. The balancer rates it by its responses.
    matches!(
        record.state,
        MemberState::Alive | MemberState::Suspect | MemberState::Leaving
    )
}

/// Returns all targets that usable members announce, including this node's.
pub(crate) fn announced_targets(node: &Node) -> Vec<FleetTarget> {
    let members = node.members.borrow();
    let mut targets = Vec::new();
    for record in members.members().filter(|record| is_usable(record)) {
        let Some(target) = &record.target else {
            continue;
        };
        targets.push(FleetTarget {
            service: target.service.clone(),
            node: record.name.clone(),
            data_centre: record.data_centre.clone(),
            region: record.region.clone(),
            ip: record.ip,
            slots: target.slots,
            // A leaving node always announces its target as draining. Whether it still accepts
            // requests is decided by its guard.
            draining: target.draining && record.state != MemberState::Leaving,
            cold: target.cold,
            stopping: record.state == MemberState::Leaving,
        });
    }
    targets
}

fn update_balancer_targets(node: &Node) {
    let targets = announced_targets(node);
    let mut services: BTreeMap<ServiceName, Vec<TargetView<'_>>> = BTreeMap::new();
    let config = node.config.borrow();
    let content = config.content();
    for target in &targets {
        let (name, data_centre) = (target.node.as_str(), target.data_centre.as_str());
        let view = TargetView {
            node: name,
            data_centre,
            region: target.region.as_str(),
            slots: target.slots,
            weight: content.weight(target.service.as_str(), name, data_centre),
            draining: target.draining || content.is_leaving(name, target.ip, data_centre),
            evacuated: config.evacuations().is_evacuated(data_centre),
            stopping: target.stopping,
        };
        services
            .entry(target.service.clone())
            .or_default()
            .push(view);
    }
    let now = node.now();
    let mut balancer = node.balancer.borrow_mut();
    // Services without any target left get an empty list, which removes their old targets.
    for service in node.known_services.take() {
        services.entry(service).or_default();
    }
    for (service, views) in &services {
        balancer.set_targets(now, service.as_str(), views);
    }
    let cold = targets.iter().filter(|target| target.cold);
    let cold: Vec<NodeName> = cold.map(|target| target.node.clone()).collect();
    balancer.set_cold_nodes(now, &cold);
    node.known_services.replace(services.into_keys().collect());
}
