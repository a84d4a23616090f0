//! What the node knows of the fleet, applied to its balancer and its guard.

use std::{cell::Cell, collections::BTreeMap, net::IpAddr, rc::Rc};

use plantainpost_core::{
    balance::TargetView,
    ids::{DataCentre, NodeName, ServiceName},
    measure::PROBE_COST_US,
    member::{MemberRecord, MemberState, TargetInfo},
};

use crate::node::Node;

/// What the balancer and the guard were last told.
#[derive(Default)]
pub(crate) struct Applied {
    /// Generation of the member table and version of the configuration.
    last: Cell<Option<(u64, Option<u64>)>>,
}

/// A target as a member announced it.
pub(crate) struct FleetTarget {
    pub(crate) service: ServiceName,
    pub(crate) node: NodeName,
    pub(crate) data_centre: DataCentre,
    pub(crate) ip: IpAddr,
    pub(crate) slots: u32,
    pub(crate) draining: bool,
    /// Whether the node is about to stop.
    pub(crate) stopping: bool,
}

/// Tells the balancer and the guard of changes in the fleet and the configuration.
pub(crate) fn refresh(node: &Rc<Node>) {
    announce_own_target(node);
    let generation = node.members.borrow().generation();
    let version = node.register.borrow().version();
    let current = Some((generation, version));
    if node.applied.last.replace(current) == current {
        return;
    }
    apply_own_configuration(node);
    set_targets(node);
    share_budget(node);
}

/// Tells the membership what the guard says of the target on this host.
fn announce_own_target(node: &Node) {
    let now = node.now();
    let guard = node.guard.borrow();
    let target = guard.target(now).map(|target| TargetInfo {
        service: target.service.clone(),
        slots: target.slots.min(target.connections),
        draining: guard.is_draining(),
    });
    drop(guard);
    node.members.borrow_mut().set_target(target);
}

fn apply_own_configuration(node: &Node) {
    let register = node.register.borrow();
    let content = register.content();
    let settings = &node.settings;
    let leaving = content.is_leaving(
        settings.name.as_str(),
        settings.ip,
        settings.data_centre.as_str(),
    );
    let draining = leaving || node.refuses_for_stop();
    node.guard.borrow_mut().set_draining(draining);
    let share = content.measuring_permille();
    let now = node.now();
    let mut measuring = node.measuring.borrow_mut();
    measuring.set_share_permille(now, share);
    if let Some(interval_us) = measuring.interval_us(PROBE_COST_US) {
        node.balancer.borrow_mut().set_probe_interval(interval_us);
    }
}

/// Part of the fleet's slack that is given out, in percent. The rest is for nodes that are
/// not known to each other.
const SLACK_GIVEN_PERCENT: u64 = 80;

/// Gives this node its share of the extra requests that the whole fleet may send.
fn share_budget(node: &Node) {
    let Some(budget) = &node.settings.fleet_budget else {
        return;
    };
    // Dead members count, because they may be back with a new account.
    let members = node.members.borrow().members().count().max(1) as u64;
    let share_percent = budget.slack * SLACK_GIVEN_PERCENT / members;
    let mut retries = node.retries.borrow_mut();
    retries.set_max_saved_percent(share_percent);
}

fn is_usable(record: &MemberRecord) -> bool {
    // A suspected member may still answer; the balancer judges it by its answers.
    matches!(
        record.state,
        MemberState::Alive | MemberState::Suspect | MemberState::Leaving
    )
}

/// Returns all targets that usable members announce, this node's included.
pub(crate) fn targets(node: &Node) -> Vec<FleetTarget> {
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
            ip: record.ip,
            slots: target.slots,
            // A leaving node tells of a draining target in any case; its guard knows better.
            draining: target.draining && record.state != MemberState::Leaving,
            stopping: record.state == MemberState::Leaving,
        });
    }
    targets
}

fn set_targets(node: &Node) {
    let targets = targets(node);
    let mut services: BTreeMap<ServiceName, Vec<TargetView<'_>>> = BTreeMap::new();
    let register = node.register.borrow();
    let content = register.content();
    for target in &targets {
        let (name, dc) = (target.node.as_str(), target.data_centre.as_str());
        let view = TargetView {
            node: name,
            data_centre: dc,
            slots: target.slots,
            weight: content.weight(target.service.as_str(), name, dc),
            draining: target.draining || content.is_leaving(name, target.ip, dc),
            stopping: target.stopping,
        };
        services
            .entry(target.service.clone())
            .or_default()
            .push(view);
    }
    let now = node.now();
    let mut balancer = node.balancer.borrow_mut();
    // Services that lost their last target must lose their old views, too.
    for service in node.known_services.take() {
        services.entry(service).or_default();
    }
    for (service, views) in &services {
        balancer.set_targets(now, service.as_str(), views);
    }
    node.known_services.replace(services.into_keys().collect());
}
