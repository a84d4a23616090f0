//! What operators can see of a node.

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{CONTENT_TYPE, HeaderValue},
};
use plantainpost_core::{measure::PROBE_COST_US, member::MemberRecord};
use serde_json::{Value, json};

use crate::{fleet, node::Node};

fn member(record: &MemberRecord) -> Value {
    json!({
        "name": record.name,
        "state": format!("{:?}", record.state).to_lowercase(),
        "data_centre": record.data_centre,
        "ip": record.ip,
        "incarnation": record.incarnation.0,
        // Members tell the version plus one, and zero without a version.
        "config_version": record.config_version.checked_sub(1),
        "service": record.target.as_ref().map(|t| t.service.as_str()),
        "slots": record.target.as_ref().map(|t| t.slots),
        "leaving": record.target.as_ref().map(|t| t.draining),
    })
}

/// Returns members, targets, versions in force and the use of the budget.
pub(crate) fn status(node: &Node) -> Value {
    let now = node.now();
    let members = node.members.borrow();
    let mut list: Vec<Value> = members.members().map(member).collect();
    list.sort_by_key(|m| m["name"].as_str().map(str::to_owned));
    let register = node.register.borrow();
    let guard = node.guard.borrow();
    let measuring = node.measuring.borrow();
    let share = register.content().measuring_permille();
    json!({
        "node": node.name(),
        "stopping": node.stop.has_started(),
        "members": list,
        "configuration": {
            "version": register.version(),
            "read_to": register.read_to(),
            "gap": register.has_gap(),
            "content": register.content(),
            "recent_versions": register.recent_versions().collect::<Vec<_>>(),
        },
        "guard": {
            "in_flight": guard.in_flight(),
            "queued": guard.queued(),
            "limit": guard.concurrency_limit(),
            "records": guard.record_count(),
            "draining": guard.is_draining(),
        },
        "measuring": {
            "share_permille": share,
            "spent_us_last_second": measuring.spent_us(now),
            "allowed_us_per_second": u64::from(share) * 1_000,
            "cost_per_probe_us": PROBE_COST_US,
            "refused": measuring.refused_charges(),
        },
        "audit_waiting": node.audit.len(),
    })
}

/// Returns counters, gauges and latency quantiles.
pub(crate) fn metrics(node: &Node) -> Value {
    let members = node.members.borrow();
    json!({
        "counters": node.metrics.totals(),
        "latencies": node.metrics.quantiles(),
        "membership": format!("{:?}", members.counters()),
        "guard": format!("{:?}", node.guard.borrow().counters()),
        "configuration": format!("{:?}", node.register.borrow().counters()),
    })
}

/// Returns counters, gauges and latency quantiles as text, one to a line.
pub(crate) fn metrics_text(node: &Node) -> Response<BoxBody> {
    let mut text = String::new();
    for (name, value) in node.metrics.totals() {
        text.push_str(&format!("{} {value}\n", metric_name(&name)));
    }
    for (name, quantiles) in node.metrics.quantiles() {
        for (label, value) in quantiles.labelled() {
            text.push_str(&format!("{}{{{label}}} {value}\n", metric_name(name)));
        }
    }
    let mut res = Response::with_body(StatusCode::OK, BoxBody::new(text));
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    res.headers_mut().insert(CONTENT_TYPE, plain);
    res
}

/// Returns a name without the dots of StatsD.
fn metric_name(name: &str) -> String {
    format!("plantainpost_{}", name.replace('.', "_"))
}

/// Returns why the target beside a node gets the requests that it gets from here.
pub(crate) fn target(node: &Node, name: &str) -> Option<Value> {
    let now = node.now();
    let record = {
        let members = node.members.borrow();
        member(members.get(name)?)
    };
    let targets = fleet::targets(node);
    let service = targets.iter().find(|t| t.node.as_str() == name);
    let Some(service) = service.map(|target| target.service.clone()) else {
        return Some(json!({ "member": record, "usage": "announces no target" }));
    };
    let balancer = node.balancer.borrow();
    let explanations = balancer.explain(now, service.as_str());
    let explained = explanations.iter().find(|e| e.node.as_str() == name);
    Some(match explained {
        None => json!({ "member": record, "usage": "not known to the balancer yet" }),
        Some(e) => json!({
            "member": record,
            "service": service,
            "weight": e.weight,
            "usage": e.usage.to_string(),
            "own_in_flight": e.own_in_flight,
            "evidence_age_us": e.sampled_at.map(|at| now.micros_since(at)),
            "predicted_us": e.score.total_us(),
            "score": format!("{:?}", e.score),
        }),
    })
}
