//! Announcements to the node beside the target.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix_rt::time::timeout;
use futures_util::{
    FutureExt,
    future::{Either, select},
};
use tokio::sync::oneshot;

use super::state::Shared;

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
    let settings = &shared.settings;
    let body = serde_json::json!({
        "service": settings.service,
        "address": shared.address.to_string(),
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
    // The lease expires on its own when the node does not answer.
    drop(
        client
            .delete(format!("http://{node}/v1/target"))
            .send()
            .await,
    );
}
