//! Status, metrics and explanations for operators.

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{CONTENT_TYPE, HeaderValue},
};
use plantainpost_core::{ids::Region, measure::PROBE_COST_US, member::MemberRecord};
use serde_json::{Value, json};

use crate::{config_sync, evacuation, fleet, node::Node, quota, reload, workspace_usage};

fn member_json(record: &MemberRecord) -> Value {
    json!({
        "name": record.name,
        "state": format!("{:?}", record.state).to_lowercase(),
        "data_centre": record.data_centre,
        "region": record.region,
        "ip": record.ip,
        "incarnation": record.incarnation.0,
        // Members announce the version plus one, or zero if they have no version.
        "config_version": record.config_version.checked_sub(1),
        "service": record.target.as_ref().map(|t| t.service.as_str()),
        "slots": record.target.as_ref().map(|t| t.slots),
        "leaving": record.target.as_ref().map(|t| t.draining),
    })
}

/// Returns members, targets, recent configuration versions and the use of the measurement budget.
pub(crate) fn node_status(node: &Node) -> Value {
    let now = node.now();
    let members = node.members.borrow();
    let mut member_list: Vec<Value> = members.members().map(member_json).collect();
    member_list.sort_by_key(|m| m["name"].as_str().map(str::to_owned));
    let config = node.config.borrow();
    let guard = node.guard.borrow();
    let budget = node.measurement_budget.borrow();
    let share_permille = config.content().measuring_permille();
    json!({
        "node": node.name(),
        "stopping": node.stop.has_started(),
        "members": member_list,
        "configuration": {
            "version": config.version(),
            "era": config.progress().read_to.era,
            "read_to": config.read_to(),
            "gap": config.has_gap(),
            "content": config.content(),
            "recent_versions": config.recent_versions().collect::<Vec<_>>(),
        },
        "routes": config_sync::routes_status(node),
        "data_centres": evacuation::data_centres_status(node),
        "settings": reload::settings_status(node),
        "guard": {
            "in_flight": guard.in_flight(),
            "queued": guard.queued(),
            "limit": guard.concurrency_limit(),
            "records": guard.record_count(),
            "draining": guard.is_draining(),
            "closed": guard.closed().map(|reason| format!("{reason:?}")),
        },
        "measuring": {
            "share_permille": share_permille,
            "spent_us_last_second": budget.spent_us(now),
            "allowed_us_per_second": u64::from(share_permille) * 1_000,
            "cost_per_probe_us": PROBE_COST_US,
            "refused": budget.refused_charges(),
        },
        "quotas": quota::status(node),
        "audit_waiting": node.audit.len(),
    })
}

/// Returns counters, gauges and latency quantiles.
pub(crate) fn metrics_json(node: &Node) -> Value {
    let members = node.members.borrow();
    json!({
        "counters": node.metrics.totals(),
        "latencies": node.metrics.quantiles(),
        "membership": format!("{:?}", members.counters()),
        "guard": format!("{:?}", node.guard.borrow().counters()),
        "configuration": format!("{:?}", node.config.borrow().counters()),
        "workspaces": workspace_usage::usage_json(node),
    })
}

/// Returns counters, gauges and latency quantiles, one per line in the Prometheus text format.
pub(crate) fn metrics_text(node: &Node) -> Response<BoxBody> {
    let mut text = String::new();
    for (name, value) in node.metrics.totals() {
        text.push_str(&format!("{} {value}\n", prometheus_name(&name)));
    }
    for (name, quantiles) in node.metrics.quantiles() {
        for (label, value) in quantiles.with_labels() {
            text.push_str(&format!("{}{{{label}}} {value}\n", prometheus_name(name)));
        }
    }
    text.push_str(&workspace_usage::usage_text(
        node,
        &prometheus_name("workspace.request"),
    ));
    let mut res = Response::with_body(StatusCode::OK, BoxBody::new(text));
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    res.headers_mut().insert(CONTENT_TYPE, plain);
    res
}

/// Converts a StatsD metric name, which contains dots.
fn prometheus_name(name: &str) -> String {
    format!("plantainpost_{}", name.replace('.', "_"))
}

/// Returns the data by which this node decides whether to send requests to the target of node
/// `name`, or `None` if that node is not a member.
pub(crate) fn explain_target(node: &Node, name: &str) -> Option<Value> {
    let now = node.now();
    let record = {
        let members = node.members.borrow();
        member_json(members.get(name)?)
    };
    let targets = fleet::announced_targets(node);
    let target = targets.iter().find(|t| t.node.as_str() == name);
    let Some(service) = target.map(|target| target.service.clone()) else {
        return Some(json!({ "member": record, "usage": "announces no target" }));
    };
    let balancer = node.balancer.borrow();
    let explanations = balancer.explain(now, service.as_str());
    let explanation = explanations.iter().find(|e| e.node.as_str() == name);
    Some(match explanation {
        None => json!({ "member": record, "usage": "not known to the balancer yet" }),
        Some(e) => json!({
            "member": record,
            "service": service,
            "weight": e.weight,
            "usage": e.usage.to_string(),
            "not_allowed_for": rules_that_exclude(node, e.region.as_str()),
            "own_in_flight": e.own_in_flight,
            "evidence_age_us": e.sampled_at.map(|at| now.micros_since(at)),
            "predicted_us": e.score.total_us(),
            "score": format!("{:?}", e.score),
        }),
    })
}

/// Returns the routes and workspaces whose allowed regions do not contain `region`.
fn rules_that_exclude(node: &Node, region: &str) -> Vec<String> {
    let config = node.config.borrow();
    let Some(table) = config.routes() else {
        return Vec::new();
    };
    let excludes = |allowed: &[Region]| {
        !allowed.is_empty() && allowed.iter().all(|other| other.as_str() != region)
    };
    let routes = table
        .iter()
        .filter(|route| excludes(&route.allowed_regions))
        .map(|route| format!("route {}", route.name));
    let workspaces = table.workspaces().into_iter().flat_map(|all| all.iter());
    let workspaces = workspaces
        .filter(|workspace| excludes(&workspace.allowed_regions))
        .map(|workspace| format!("workspace {}", workspace.name));
    routes.chain(workspaces).collect()
}
