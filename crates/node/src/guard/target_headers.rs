//! What a target says about itself in the headers of its responses: its load, a rate limit, that it
//! is cold, and that it is leaving.

use std::rc::Rc;

use plantainpost_http1::{self as http1, ResponseHead};
use slog::info;

use super::{cold, relay::SERVICE_UNAVAILABLE};
use crate::{admin, node::Node};

/// Change of a rate limit, as a share of the old one, from which on it is logged. A limit may differ
/// a little in each response.
const MIN_LOGGED_CHANGE: f64 = 0.1;

/// Records what the target says about itself in the head of a response. `generation` is the value
/// of [`Guard::target_generation`] when the request was sent.
///
/// [`Guard::target_generation`]: plantainpost_core::admission::Guard::target_generation
pub(super) fn record_target_headers(node: &Rc<Node>, head: &ResponseHead, generation: u64) {
    record_health_headers(node, head, generation);
    record_rate_limit(node, head, generation);
}

/// Records the response to a health check, which need not state a rate limit.
pub(crate) fn record_health(node: &Rc<Node>, head: &ResponseHead, generation: u64) {
    record_health_headers(node, head, generation);
    // A target that is full refuses health checks like other requests.
    let names = &node.settings.headers;
    let is_refused = names
        .not_run
        .is_some_and(|name| http1::header_value(&head.headers, name).is_some());
    let has_passed = is_refused || head.status != SERVICE_UNAVAILABLE;
    let now = node.now();
    if node
        .guard
        .borrow_mut()
        .record_health(now, generation, has_passed)
    {
        info!(node.logger, "health check of the target"; "status" => head.status,
            "may_have_left" => !has_passed);
        admin::on_target_changed(node);
    }
}

fn record_health_headers(node: &Rc<Node>, head: &ResponseHead, generation: u64) {
    record_load(node, head);
    cold::record_header(node, head, generation);
    let leaving = node.settings.headers.leaving;
    let is_leaving =
        leaving.is_some_and(|name| http1::header_text(&head.headers, name) == Some("1"));
    let now = node.now();
    if is_leaving
        && node
            .guard
            .borrow_mut()
            .mark_leaving_by_answer(now, generation)
    {
        info!(node.logger, "target leaves"; "source" => "answer");
        admin::on_target_changed(node);
    }
}

/// Records the rate limit that the target states in requests per second. It holds for as long as
/// the responses state it.
fn record_rate_limit(node: &Node, head: &ResponseHead, generation: u64) {
    let Some(name) = node.settings.headers.rate_limit else {
        return;
    };
    let stated = http1::header_text(&head.headers, name).map(|text| text.trim().parse::<f64>());
    let per_second = match stated {
        Some(Ok(per_second)) if per_second.is_finite() && per_second >= 0.0 => Some(per_second),
        Some(_) => {
            node.metrics.count("guard.bad_rate_limit");
            return;
        }
        None => None,
    };
    let mut guard = node.guard.borrow_mut();
    let is_recorded = guard.record_rate_limit(node.now(), generation, per_second);
    drop(guard);
    if is_recorded {
        log_rate_limit(node, per_second);
    }
}

fn log_rate_limit(node: &Node, per_second: Option<f64>) {
    let logged = &node.logged_rate_limit;
    let is_logged = match (logged.get(), per_second) {
        (Some(old), Some(new)) => (new - old).abs() <= old * MIN_LOGGED_CHANGE,
        (old, new) => old.is_none() && new.is_none(),
    };
    if !is_logged {
        logged.set(per_second);
        info!(node.logger, "rate limit of the target"; "per_second" => per_second);
        let millis = per_second.map_or(0, |per_second| (per_second * 1_000.0) as u64);
        node.metrics.gauge("guard.rate_limit_per_1000_s", millis);
    }
}

/// Records the pace of the host (see [`crate::pace`]) from the load header of a target's response.
///
/// The header holds at least three comma-separated integers; the fourth, if there is
/// one, is the pace in percent.
fn record_load(node: &Node, head: &ResponseHead) {
    let Some(name) = node.settings.headers.load else {
        return;
    };
    let load_fields = http1::header_text(&head.headers, name).map(|text| {
        text.split(',')
            .map(|field| field.trim().parse::<u32>())
            .collect::<Result<Vec<_>, _>>()
    });
    match load_fields {
        None => (),
        Some(Ok(load_fields)) if load_fields.len() >= 3 => {
            let pace_percent = load_fields.get(3).copied();
            let mut guard = node.guard.borrow_mut();
            guard.record_pace(node.now(), pace_percent.unwrap_or_default());
        }
        Some(_) => node.metrics.count("guard.bad_load_header"),
    }
}
