//! Coldness of the target on this host: what the target and the configuration say about it, and what
//! operators see.

use std::{cell::Cell, rc::Rc};

use plantainpost_core::{admission::ColdReport, routing::WarmUp};
use plantainpost_http1::{self as http1, ResponseHead};
use slog::info;

use crate::{admin, node::Node};

/// State of the target that operators were last told.
#[derive(Default)]
pub(crate) struct ColdLog {
    /// `None` before the first update.
    is_cold: Cell<Option<bool>>,
}

/// Passes the rule of the target's service to the guard, and logs when the target has become cold or
/// warm.
pub(crate) fn update(node: &Node) {
    apply_rule(node);
    let now = node.now();
    let guard = node.guard.borrow();
    let is_cold = guard.is_cold(now);
    let id = guard.target(now).map(|target| Rc::clone(&target.id));
    drop(guard);
    let was_cold = node.cold_log.is_cold.replace(Some(is_cold));
    if was_cold == Some(is_cold) {
        return;
    }
    node.metrics.gauge("guard.cold", u64::from(is_cold));
    match is_cold {
        true => info!(node.logger, "target is cold"; "target" => id.as_deref()),
        false if was_cold.is_none() => (),
        false => info!(node.logger, "target is no longer cold"; "target" => id.as_deref()),
    }
}

fn apply_rule(node: &Node) {
    let rule = warm_up_rule(node);
    node.guard.borrow_mut().set_warm_up(node.now(), rule);
}

/// Returns the rule on cold targets of the service of the target on this host.
fn warm_up_rule(node: &Node) -> Option<WarmUp> {
    let guard = node.guard.borrow();
    let service = &guard.target(node.now())?.service;
    let config = node.config.borrow();
    let rule = config.routes()?.service_rule(service.as_str());
    rule.and_then(|rule| rule.warm_up)
}

/// Records the remaining cold time in a heartbeat of the target, after its announcement. A heartbeat
/// that announces a new target is the first to tell that it is cold.
pub(crate) fn record_heartbeat(node: &Node, warmup_ms: u64) {
    apply_rule(node);
    let mut guard = node.guard.borrow_mut();
    let generation = guard.target_generation();
    guard.record_cold(node.now(), generation, ColdReport::Heartbeat(warmup_ms));
}

/// Records the remaining cold time in a response of the target. A response without it says nothing.
/// `generation` is the value of [`Guard::target_generation`] when the request was sent.
///
/// [`Guard::target_generation`]: plantainpost_core::admission::Guard::target_generation
pub(super) fn record_header(node: &Rc<Node>, head: &ResponseHead, generation: u64) {
    if !node.guard.borrow().may_become_cold() {
        return;
    }
    let header = node.settings.headers.cold;
    let Some(text) = header.and_then(|name| http1::header_text(&head.headers, name)) else {
        return;
    };
    let Some(left_ms) = parse_millis(text) else {
        node.metrics.count("guard.bad_cold_header");
        return;
    };
    let report = ColdReport::Response(left_ms);
    let has_changed = node
        .guard
        .borrow_mut()
        .record_cold(node.now(), generation, report);
    if has_changed {
        admin::on_target_changed(node);
    }
}

/// Returns a number of milliseconds, rounded up; `None` if it is invalid.
fn parse_millis(text: &str) -> Option<u64> {
    let millis: f64 = text.trim().parse().ok()?;
    (millis.is_finite() && millis >= 0.0).then_some(millis.ceil() as u64)
}
