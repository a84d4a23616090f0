//! The control listener: announcements of the target on this host, and readiness.

use std::rc::Rc;

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use plantainpost_core::admission::{Announcement, AnnouncementEffect, TargetInstance};
use slog::{info, warn};

use crate::{
    admin,
    border::{Control, ControlCall, TargetReport},
    node::Node,
};

/// Announcements that may fail to arrive before the target counts as gone, as a multiple of
/// the interval in the settings. They can be seconds late, and a target that is gone shows it
/// at the first request.
const MISSED_ANNOUNCEMENTS: u64 = 6;

/// Most connections that the guard opens to a target whose service has no rule yet.
const DEFAULT_CONNECTIONS: u32 = 100;

/// Answers one call.
pub(crate) async fn handle(
    node: Rc<Node>,
    control: Rc<dyn Control>,
    mut req: Request,
) -> Response<BoxBody> {
    let Some(body) = admin::read_body(&mut req).await else {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let call = control.decode(req.method().as_str(), req.uri().path(), &body);
    empty(match call {
        ControlCall::Ready if node.is_ready() => StatusCode::OK,
        ControlCall::Ready => StatusCode::SERVICE_UNAVAILABLE,
        ControlCall::Announce(report) => announce(&node, &report),
        ControlCall::Leave(id) => leave(&node, &id),
        ControlCall::Malformed(reason) => {
            node.metrics.count("control.malformed");
            warn!(node.logger, "announcement refused"; "reason" => reason);
            StatusCode::BAD_REQUEST
        }
        ControlCall::Unknown => StatusCode::NOT_FOUND,
    })
}

fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(()))
}

fn announce(node: &Rc<Node>, report: &TargetReport) -> StatusCode {
    if report.address.ip() != node.settings.ip {
        node.metrics.count("control.malformed");
        warn!(node.logger, "announcement refused"; "reason" => "the address is not on this host",
            "target" => &report.id, "address" => %report.address);
        return StatusCode::BAD_REQUEST;
    }
    let now = node.now();
    let ttl_ms = node.settings.announce_every_ms * MISSED_ANNOUNCEMENTS;
    let connections = {
        let register = node.register.borrow();
        let rule = register
            .routes()
            .and_then(|table| table.service_rule(&report.service));
        rule.map_or(DEFAULT_CONNECTIONS, |rule| rule.max_connections)
    };
    let announcement = Announcement {
        instance: TargetInstance {
            id: &report.id,
            started_unix_ms: report.born_ms,
            seq: report.seq,
        },
        service: &report.service,
        address: report.address,
        slots: report.slots,
        connections,
        expires: now.saturating_add_millis(ttl_ms),
        leaving: report.leaving,
    };
    let was_draining = node.guard.borrow().is_draining();
    let announced = node.guard.borrow_mut().announce(now, announcement);
    if announced == AnnouncementEffect::Replaced {
        node.targets.clear();
    }
    if announced != AnnouncementEffect::Renewed || was_draining != report.leaving {
        info!(node.logger, "target announced"; "target" => &report.id, "service" => &report.service,
            "born_ms" => report.born_ms, "seq" => report.seq, "leaving" => report.leaving,
            "effect" => ?announced);
    }
    admin::after_announcement(node);
    StatusCode::OK
}

fn leave(node: &Rc<Node>, id: &str) -> StatusCode {
    let is_known = node.guard.borrow_mut().mark_leaving(id);
    info!(node.logger, "target leaves"; "target" => id, "known" => is_known);
    admin::after_announcement(node);
    StatusCode::OK
}
