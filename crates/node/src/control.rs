//! Requests on the control listener: heartbeats of the target on this host, and readiness checks.

use std::rc::Rc;

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use plantainpost_core::admission::{Announcement, AnnouncementEffect, TargetInstance, TargetLeave};
use slog::{info, warn};

use crate::{
    admin, clock,
    external::{ControlCall, ControlProtocol, TargetHeartbeat},
    guard::cold,
    node::Node,
    pace,
};

/// Number of announcement intervals without a heartbeat after which a target is treated as gone.
///
/// Heartbeats can be seconds late. Until then, a target that no longer exists is detected by the
/// first request to it.
const HEARTBEAT_TTL_INTERVALS: u64 = 6;

/// Largest number of connections to a target whose service has no rule yet.
const DEFAULT_MAX_CONNECTIONS: u32 = 100;

/// Handles a call of the target or the platform.
pub(crate) async fn handle_control_request(
    node: Rc<Node>,
    control: Rc<dyn ControlProtocol>,
    mut req: Request,
) -> Response<BoxBody> {
    let Some(body) = admin::read_body(&mut req).await else {
        return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let call = control.decode(req.method().as_str(), req.uri().path(), &body);
    empty_response(match call {
        ControlCall::CheckReadiness if node.is_ready() => StatusCode::OK,
        ControlCall::CheckReadiness => StatusCode::SERVICE_UNAVAILABLE,
        ControlCall::Announce(heartbeat) => on_heartbeat(&node, &heartbeat),
        ControlCall::Leave(id) => on_leave(&node, &id),
        ControlCall::Malformed(reason) => {
            node.metrics.count("control.malformed");
            warn!(node.logger, "announcement refused"; "reason" => reason);
            StatusCode::BAD_REQUEST
        }
        ControlCall::Unknown => StatusCode::NOT_FOUND,
    })
}

fn empty_response(status: StatusCode) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(()))
}

fn on_heartbeat(node: &Rc<Node>, heartbeat: &TargetHeartbeat) -> StatusCode {
    if heartbeat.address.ip() != node.settings.ip {
        node.metrics.count("control.malformed");
        warn!(node.logger, "announcement refused"; "reason" => "the address is not on this host",
            "target" => &heartbeat.id, "address" => %heartbeat.address);
        return StatusCode::BAD_REQUEST;
    }
    let now = node.now();
    let ttl_ms = node.settings_state.current().announce_interval_ms * HEARTBEAT_TTL_INTERVALS;
    let connections = {
        let config = node.config.borrow();
        let rule = config
            .routes()
            .and_then(|table| table.service_rule(&heartbeat.service));
        rule.map_or(DEFAULT_MAX_CONNECTIONS, |rule| rule.max_connections)
    };
    let announcement = Announcement {
        instance: TargetInstance {
            id: &heartbeat.id,
            started_unix_ms: heartbeat.started_unix_ms,
            seq: heartbeat.seq,
        },
        service: &heartbeat.service,
        address: heartbeat.address,
        slots: heartbeat.slots,
        connections,
        expires: now.saturating_add_millis(ttl_ms),
        leaving: heartbeat.leaving,
    };
    let was_draining = node.guard.borrow().is_draining();
    let effect = node.guard.borrow_mut().announce(now, announcement);
    if effect != AnnouncementEffect::Late {
        cold::record_heartbeat(node, heartbeat.warmup_ms);
    }
    if effect == AnnouncementEffect::Replaced {
        node.target_pool.close_idle();
    }
    if effect != AnnouncementEffect::Renewed || was_draining != heartbeat.leaving {
        info!(node.logger, "target announced"; "target" => &heartbeat.id, "service" => &heartbeat.service,
            "born_ms" => heartbeat.started_unix_ms, "seq" => heartbeat.seq, "leaving" => heartbeat.leaving,
            "effect" => ?effect);
    }
    admin::on_target_changed(node);
    if node.guard.borrow().may_have_left() {
        // It gets no requests, before which its health would be checked again.
        let node = Rc::clone(node);
        actix_rt::spawn(async move { pace::refresh_pace(&node).await });
    }
    StatusCode::OK
}

fn on_leave(node: &Rc<Node>, id: &str) -> StatusCode {
    let leave = TargetLeave {
        id,
        received_unix_ms: clock::unix_ms(),
    };
    let is_known = node.guard.borrow_mut().mark_leaving(node.now(), &leave);
    info!(node.logger, "target leaves"; "target" => id, "known" => is_known,
        "received_ms" => leave.received_unix_ms);
    admin::on_target_changed(node);
    StatusCode::OK
}
