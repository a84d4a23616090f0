//! Announcements of a target to the node on its host.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_rt::time::timeout;
use futures_util::{
    FutureExt,
    future::{Either, select},
};
use tokio::sync::oneshot;

use super::{Interface, state::SharedTarget};

/// Longest wait for the node's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Number of announcements within the time to live.
const RENEWALS_PER_TTL: u64 = 3;

/// Announces the target at regular intervals, and at once after each change, until the sender
/// of `stop` is dropped.
pub(super) async fn announce_until_stopped(
    shared: Arc<SharedTarget>,
    mut stop: oneshot::Receiver<()>,
) {
    let client = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
    let interval = Duration::from_millis((shared.settings.ttl_ms / RENEWALS_PER_TTL).max(1));
    loop {
        let silent = shared.faults().silent;
        if let (Some(node), false) = (shared.node(), silent) {
            shared.set_announced(announce(&client, node, &shared).await);
        }
        // Both the end of the interval and a change lead to the next announcement.
        let next = timeout(interval, shared.announcement_changed.notified()).boxed_local();
        if let Either::Right(_) = select(next, &mut stop).await {
            return;
        }
    }
}

/// Sends one announcement; returns whether the node accepted it.
async fn announce(client: &awc::Client, node: SocketAddr, shared: &SharedTarget) -> bool {
    match shared.settings.interface {
        Interface::Product => announce_to_product(client, node, shared).await,
        Interface::Platform => announce_to_platform(client, node, shared).await,
    }
}

async fn announce_to_platform(
    client: &awc::Client,
    node: SocketAddr,
    shared: &SharedTarget,
) -> bool {
    let settings = &shared.settings;
    let (incarnation, leaving) = shared.next_announcement();
    let address = settings.announced_address.unwrap_or(shared.address);
    let body = serde_json::json!({
        "address": address.to_string(),
        "info": {
            "service": settings.service,
            "version": "v1",
            "zone": "one",
            "maxConcurrency": settings.slots,
        },
        "status": {
            "state": if leaving { "draining" } else { "ready" },
            "seq": incarnation.sequence,
            "warmupMs": shared.cold_ms(),
        },
        "born": incarnation.born_ms,
    });
    let id = shared.instance_id(incarnation.number);
    let sent = client
        .put(format!("http://{node}/-/instances/{id}"))
        .content_type("application/json")
        .send_body(body.to_string());
    let accepted = sent.await.is_ok_and(|res| res.status().is_success());
    if accepted && leaving {
        shared.record_leave_acknowledged(incarnation.number);
    }
    accepted
}

async fn announce_to_product(
    client: &awc::Client,
    node: SocketAddr,
    shared: &SharedTarget,
) -> bool {
    let settings = &shared.settings;
    let body = serde_json::json!({
        "service": settings.service,
        "address": settings.announced_address.unwrap_or(shared.address).to_string(),
        "slots": settings.slots,
        "connections": settings.connections,
        "ttl_ms": settings.ttl_ms,
        "leaving": shared.faults().leaving,
    });
    client
        .put(format!("http://{node}/v1/target"))
        .content_type("application/json")
        .send_body(body.to_string())
        .await
        .is_ok_and(|res| res.status().is_success())
}

/// Withdraws the announcement, unless the target is silent or has no node.
pub(super) async fn withdraw(shared: &SharedTarget) {
    let Some(node) = shared.node() else { return };
    if shared.faults().silent {
        return;
    }
    let client = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
    let path = match shared.settings.interface {
        Interface::Product => "/v1/target".to_owned(),
        Interface::Platform => format!("/-/instances/{}", shared.current_instance_id()),
    };
    // If the node does not answer, the lease expires without the withdrawal.
    drop(client.delete(format!("http://{node}{path}")).send().await);
}
