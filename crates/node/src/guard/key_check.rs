//! Checks of requests against this node's own configuration, above all of their keys.
//!
//! An entry that is cut off or was frozen may have admitted a request by a key that was withdrawn.

use std::rc::Rc;

use plantainpost_core::admission::RefuseReason;

use super::request::PendingRequest;
use crate::{config_recheck, node::Node};

/// Waits until a request may be dispatched as far as the age of the configuration is concerned, which may
/// lack a withdrawal or an evacuation. Returns whether it has waited.
pub(super) async fn wait_until_startable(node: &Rc<Node>, req_has_claim: bool) -> bool {
    match req_has_claim {
        true => config_recheck::wait_until_current(node).await,
        false => config_recheck::wait_after_suspension(node).await,
    }
}

/// Refuses a request that was not dispatched, and returns why, if its key is no longer valid. Does
/// nothing for requests that need no key.
pub(super) fn refuse_if_withdrawn(node: &Node, req: &PendingRequest) -> Option<RefuseReason> {
    let claim = req.head.claim.as_ref()?;
    let reason = {
        let config = node.config.borrow();
        claim.check(config.routes().map(Rc::as_ref)).err()?
    };
    node.metrics.count("guard.key_refused");
    let (key, now) = (req.head.key, node.now());
    let (reported, wakeups) = {
        let mut guard = node.guard.borrow_mut();
        let reported = guard.refuse(now, key, req.deadline, reason);
        (reported, guard.expire(now))
    };
    node.wake_waiters(wakeups);
    Some(reported)
}

/// Waits until the configuration changes, if the request has a key to check.
pub(super) async fn wait_for_key_change(node: &Node, req_has_claim: bool) {
    match req_has_claim {
        true => node.config_changed.notified().await,
        false => std::future::pending().await,
    }
}
