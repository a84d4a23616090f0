//! Announcements to the node beside the target.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_rt::time::timeout;
use futures_util::{
    FutureExt,
    future::{Either, select},
};
use tokio::sync::oneshot;

use super::{Interface, state::Shared};

/// Longest wait for the node's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Renewals within the time to live.
const RENEWALS: u64 = 3;

/// Announces the target until the sender of `stop` is dropped.
pub(super) async fn renew(shared: Arc<Shared>, mut stop: oneshot::Receiver<()>) {
    let client = awc::Client::builder().timeout(ANSWER_TIMEOUT).finish();
    let pause = Duration::from_millis((shared.settings.ttl_ms / RENEWALS).max(1));
    loop {
        let silent = shared.faults().silent;
        if let (Some(node), false) = (shared.node(), silent) {
            shared.set_announced(put(&client, node, &shared).await);
        }
        // The end of the pause and a change both lead to the next announcement.
        let next = timeout(pause, shared.changed.notified()).boxed_local();
        if let Either::Right(_) = select(next, &mut stop).await {
            return;
        }
    }
}

/// Sends one announcement; true when the node accepted it.
async fn put(client: &awc::Client, node: SocketAddr, shared: &Shared) -> bool {
    match shared.settings.interface {
        Interface::Product => put_on_product(client, node, shared).await,
        Interface::Platform => put_on_platform(client, node, shared).await,
    }
}

async fn put_on_platform(client: &awc::Client, node: SocketAddr, shared: &Shared) -> bool {
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
            "warmupMs": 0,
        },
        "born": incarnation.born_ms,
    });
    let id = shared.id_of(incarnation.number);
    let sent = client
        .put(format!("http://{node}/-/instances/{id}"))
        .content_type("application/json")
        .send_body(body.to_string());
    let is_known = sent.await.is_ok_and(|res| res.status().is_success());
    if is_known && leaving {
        shared.note_leave_acknowledged(incarnation.number);
    }
    is_known
}

async fn put_on_product(client: &awc::Client, node: SocketAddr, shared: &Shared) -> bool {
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

/// Withdraws the announcement.
pub(super) async fn withdraw(shared: &Shared) {
    let Some(node) = shared.node() else { return };
    if shared.faults().silent {
        return;
    }
    let client = awc::Client::builder().timeout(ANSWER_TIMEOUT).finish();
    let path = match shared.settings.interface {
        Interface::Product => "/v1/target".to_owned(),
        Interface::Platform => format!("/-/instances/{}", shared.incarnation_id()),
    };
    // The lease expires on its own when the node does not answer.
    drop(client.delete(format!("http://{node}{path}")).send().await);
}
