//! Texts of a plan: its changes, what stays as it is, and warnings.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    content::{Content, DEFAULT_SHARE, Leaving, ServiceRules, ShareKey},
    plan::KnownTarget,
};

/// Limit of targets that a line of a plan lists by name. Above it, the line gives their
/// number.
const MAX_LISTED_TARGETS: usize = 8;

/// Returns one line per change from `old` to `new`.
pub(super) fn changes(old: &Content, new: &Content) -> Vec<String> {
    let mut lines = Vec::new();
    for service in service_names(old, new) {
        let empty = ServiceRules::default();
        let before = old.services.get(service).unwrap_or(&empty);
        let after = new.services.get(service).unwrap_or(&empty);
        share_changes(service, &before.shares, &after.shares, &mut lines);
        for method in after.repeatable.difference(&before.repeatable) {
            lines.push(format!("service {service}: {method} becomes repeatable"));
        }
        for method in before.repeatable.difference(&after.repeatable) {
            lines.push(format!(
                "service {service}: {method} is no longer repeatable"
            ));
        }
    }
    for leaving in new.leaving.difference(&old.leaving) {
        lines.push(format!("{leaving} leaves"));
    }
    for leaving in old.leaving.difference(&new.leaving) {
        lines.push(format!("{leaving} returns"));
    }
    if old.measuring_permille != new.measuring_permille {
        let (before, after) = (old.measuring_permille, new.measuring_permille);
        lines.push(format!("measuring share: {before} to {after} permille"));
    }
    lines
}

/// Returns one line per part of the configuration that is equal in `old` and `new`.
pub(super) fn stays(old: &Content, new: &Content) -> Vec<String> {
    let mut lines = Vec::new();
    for (service, rules) in &old.services {
        if new.services.get(service) == Some(rules) {
            let (shares, methods) = (rules.shares.len(), rules.repeatable.len());
            lines.push(format!(
                "service {service}: {shares} shares, {methods} repeatable methods"
            ));
        }
    }
    for leaving in old.leaving.intersection(&new.leaving) {
        lines.push(format!("{leaving} is leaving"));
    }
    if old.measuring_permille == new.measuring_permille {
        lines.push(format!(
            "measuring share: {} permille",
            old.measuring_permille
        ));
    }
    lines
}

/// Returns one line per service with known targets that take traffic before and after
/// the change from `old` to `new`.
pub(super) fn staying_targets(
    old: &Content,
    new: &Content,
    targets: &[KnownTarget<'_>],
) -> Vec<String> {
    let mut services: BTreeMap<&str, (usize, Vec<&str>)> = BTreeMap::new();
    for target in targets.iter().filter(|target| takes_traffic(old, target)) {
        let (before, staying) = services.entry(target.service).or_default();
        *before += 1;
        if takes_traffic(new, target) {
            staying.push(target.node);
        }
    }
    services
        .iter()
        .filter(|(_, (_, staying))| !staying.is_empty())
        .map(|(service, (before, staying))| match staying.len() {
            count if count == *before => {
                format!("service {service}: all {count} targets stay in service")
            }
            count if count <= MAX_LISTED_TARGETS => {
                format!(
                    "service {service}: in service as before: {}",
                    staying.join(", ")
                )
            }
            count => {
                format!("service {service}: {count} of {before} targets stay in service")
            }
        })
        .collect()
}

fn takes_traffic(content: &Content, target: &KnownTarget<'_>) -> bool {
    content.weight(target.service, target.node, target.data_centre) > 0
        && !content.is_leaving(target.node, target.host_ip, target.data_centre)
}

/// Returns one line per service whose last targets leave by the change from `old` to
/// `new`.
///
/// For a service with no known target, the keys of its shares stand for its targets.
pub(super) fn warnings(old: &Content, new: &Content, targets: &[KnownTarget<'_>]) -> Vec<String> {
    let known: BTreeSet<&str> = targets.iter().map(|target| target.service).collect();
    let named = service_names(old, new);
    known
        .union(&named)
        .filter(|service| all_leaving(new, service, targets) && !all_leaving(old, service, targets))
        .map(|service| format!("all known targets of service {service} are leaving"))
        .collect()
}

/// Returns the first service whose known targets all have weight zero.
pub(super) fn service_without_weight<'a>(
    new: &Content,
    targets: &[KnownTarget<'a>],
) -> Option<&'a str> {
    let mut heaviest = BTreeMap::new();
    for target in targets {
        let weight = new.weight(target.service, target.node, target.data_centre);
        let most = heaviest.entry(target.service).or_insert(0);
        *most = weight.max(*most);
    }
    let mut services = heaviest.into_iter();
    services.find_map(|(service, most)| (most == 0).then_some(service))
}

fn all_leaving(content: &Content, service: &str, targets: &[KnownTarget<'_>]) -> bool {
    let mut known = targets.iter().filter(|t| t.service == service).peekable();
    if known.peek().is_some() {
        return known.all(|t| content.is_leaving(t.node, t.host_ip, t.data_centre));
    }
    let Some(rules) = content.services.get(service) else {
        return false;
    };
    let mut keys = rules.shares.keys().peekable();
    keys.peek().is_some()
        && keys.all(|key| {
            content.leaving.contains(&match key {
                ShareKey::Node(name) => Leaving::Target(name.clone()),
                ShareKey::DataCentre(name) => Leaving::DataCentre(name.clone()),
            })
        })
}

fn service_names<'a>(old: &'a Content, new: &'a Content) -> BTreeSet<&'a str> {
    let names = old.services.keys().chain(new.services.keys());
    names.map(String::as_str).collect()
}

fn share_changes(
    service: &str,
    before: &BTreeMap<ShareKey, u32>,
    after: &BTreeMap<ShareKey, u32>,
    lines: &mut Vec<String>,
) {
    let keys: BTreeSet<&ShareKey> = before.keys().chain(after.keys()).collect();
    for key in keys {
        let (old, new) = (before.get(key), after.get(key));
        if old != new {
            let old = share_text(old);
            let new = share_text(new);
            lines.push(format!("service {service}: share of {key}: {old} to {new}"));
        }
    }
}

fn share_text(share: Option<&u32>) -> String {
    match share {
        Some(share) => share.to_string(),
        None => format!("default {DEFAULT_SHARE}"),
    }
}
