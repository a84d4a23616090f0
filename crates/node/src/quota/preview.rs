//! The decision on the quota of a request without effect.

use std::rc::Rc;

use plantainpost_core::{
    ids::NodeName,
    quota::{Claimant, Decision, Peers},
    workspace::Workspace,
};
use rand::Rng;

use crate::node::Node;

/// What would be decided on the quota of a request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum QuotaPreview {
    /// The request belongs to no workspace, or to one without a limit.
    Unlimited,
    /// This node has credit for the request.
    Granted,
    /// The workspace is at its limit.
    Refused {
        /// Microseconds until there is credit for a request.
        wait_us: u64,
    },
    /// The owner of the workspace would be asked.
    Asked {
        /// The owner; `None` while this node does not know it, directly after its start.
        owner: Option<NodeName>,
    },
}

impl From<Decision> for QuotaPreview {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Granted(_) => QuotaPreview::Granted,
            Decision::Refused { wait_us } => QuotaPreview::Refused { wait_us },
        }
    }
}

/// Decides on a request of a workspace with copies of the state that [`take_credit`](super::take_credit)
/// uses. Other nodes are not asked.
pub(crate) fn preview(
    node: &Node,
    workspace: Option<&Rc<Workspace>>,
    rng: &mut dyn Rng,
) -> QuotaPreview {
    let limited = workspace.and_then(|workspace| Some((&workspace.name, workspace.quota?)));
    let Some((name, limit)) = limited else {
        return QuotaPreview::Unlimited;
    };
    let (now, state) = (node.now(), &node.quota);
    let mut owner = state.owner.borrow().copy_for(name);
    if !owner.is_settled(now) {
        return QuotaPreview::Asked { owner: None };
    }
    let mut ownership = state.ownership.borrow_mut();
    let known = ownership.share().known;
    let owner_name = ownership.owner(name).map(|owner| owner.node.clone());
    let peers = Peers {
        owner: owner_name.as_ref(),
        members: Some(known),
    };
    let mut holder = state.holder.borrow().copy_for(name);
    let (answer, out) = holder.request(now, name, limit, &peers, rng);
    let ticket = match answer {
        Ok(decision) => return decision.into(),
        Err(ticket) => ticket,
    };
    let claimant = Claimant {
        node: node.name(),
        incarnation: node.identity.incarnation,
    };
    let own_claims = out.claims.iter().filter(|out| out.owner == *node.name());
    for outgoing in own_claims {
        let grant = owner.answer(now, &claimant, &outgoing.claim);
        let out = grant.and_then(|grant| holder.on_grant(now, &grant, &peers, rng));
        let decisions = out.map(|out| out.decisions).unwrap_or_default();
        let own = decisions.into_iter().find(|(other, _)| *other == ticket);
        if let Some((_, decision)) = own {
            return decision.into();
        }
    }
    QuotaPreview::Asked { owner: owner_name }
}
