//! Quotas of workspaces: connects the owner and the holder of [`plantainpost_core::quota`] to the
//! requests and datagrams of the node.

mod preview;

pub(crate) use self::preview::{QuotaPreview, preview};

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use plantainpost_core::{
    collections::HashMap,
    ids::{Incarnation, NodeName},
    quota::{
        Claim, Claimant, Credit, Decision, Grant, GrantAnswer, HolderOutput, OutgoingClaim,
        Ownership, Peers, QuotaHolder, QuotaOwner, Ticket,
    },
    routing::RouteTable,
    time::Instant,
    workspace::{QuotaLimit, Workspace},
};
use plantainpost_wire::datagram::Datagram;
use rand::Rng;
use serde_json::{Value, json};
use slog::info;
use tokio::sync::oneshot;

use crate::{gossip, node::Node};

/// Time from the start for which contacts count as members, in milliseconds. A node that starts in a
/// partition knows few members, and would use their parts of a limit as well.
const CONTACTS_COUNT_MS: u64 = 600_000;

/// Largest sum of the estimated lengths of the claims in one datagram, in bytes. The rest of the
/// datagram is for the name of the sender and the MAC.
const MAX_BATCH_BYTES: usize = 900;

/// Largest length of an encoded claim or grant without the name of the workspace, in bytes.
const MAX_FIXED_BYTES: usize = 45;

/// Shortest time between two checks by one waiting request, in microseconds.
const MIN_CHECK_INTERVAL_US: u64 = 1_000;

/// State of the quotas at this node.
pub(crate) struct QuotaState {
    owner: RefCell<QuotaOwner>,
    holder: RefCell<QuotaHolder>,
    ownership: RefCell<Ownership>,
    /// Version of the routes that `owner` knows, and whether it was settled then.
    applied: Cell<Option<(u64, bool)>>,
    /// Number of workspaces that this node owned at the last log line.
    logged_owned: Cell<usize>,
    contacts_count_until: Instant,
    /// Contains exactly the requests that wait for credit and were not given up.
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
    /// Claims that are sent when the tasks that are ready have run.
    outbox: RefCell<Vec<OutgoingClaim>>,
}

impl QuotaState {
    pub(crate) fn new(incarnation: Incarnation, now: Instant) -> Self {
        QuotaState {
            owner: RefCell::new(QuotaOwner::new(incarnation, now)),
            holder: RefCell::default(),
            ownership: RefCell::default(),
            applied: Cell::default(),
            logged_owned: Cell::default(),
            contacts_count_until: now.saturating_add_millis(CONTACTS_COUNT_MS),
            waiters: RefCell::default(),
            outbox: RefCell::default(),
        }
    }
}

/// The workspace of a request is at its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OverQuota {
    /// Microseconds until there is credit for a request.
    pub(crate) wait_us: u64,
}

/// Takes credit for a request of a workspace. Returns `None` at once if the workspace has no limit.
///
/// # Errors
///
/// Fails if the workspace is at its limit, or if no credit came before `deadline`.
pub(crate) async fn take_credit(
    node: &Rc<Node>,
    workspace: Option<&Rc<Workspace>>,
    deadline: Instant,
) -> Result<Option<Credit>, OverQuota> {
    let Some(workspace) = workspace else {
        return Ok(None);
    };
    let Some(limit) = workspace.quota else {
        return Ok(None);
    };
    // A node that has just started would refuse the request, because it does not know the fleet yet.
    let settled_at = node.quota.owner.borrow().settled_at();
    node.clock.sleep_until(settled_at.min(deadline)).await;
    loop {
        match decide(node, &workspace.name, limit, deadline).await {
            // The process was paused after the credit was granted.
            Decision::Granted(credit) if credit.is_expired(node.now()) => (),
            Decision::Granted(credit) => return Ok(Some(credit)),
            Decision::Refused { wait_us } => {
                node.metrics.count("quota.refused");
                return Err(OverQuota { wait_us });
            }
        }
    }
}

/// Gives back the credit of a request that did not run.
pub(crate) fn give_back(node: &Rc<Node>, credit: &Credit) {
    let out = node.quota.holder.borrow_mut().give_back(node.now(), credit);
    perform(node, out);
}

async fn decide(
    node: &Rc<Node>,
    workspace: &Rc<str>,
    limit: QuotaLimit,
    deadline: Instant,
) -> Decision {
    refresh(node);
    let (answer, out) = with_peers(node, workspace, |holder, now, peers, rng| {
        holder.request(now, workspace, limit, peers, rng)
    });
    let ticket = match answer {
        Ok(decision) => {
            perform(node, out);
            return decision;
        }
        Err(ticket) => ticket,
    };
    let (tx, mut rx) = oneshot::channel();
    node.quota.waiters.borrow_mut().insert(ticket, tx);
    // A claim to this node itself is answered at once.
    perform(node, out);
    loop {
        let earliest = node.now().saturating_add_micros(MIN_CHECK_INTERVAL_US);
        let due_at = node.quota.holder.borrow().due_at(workspace);
        let check_at = due_at.unwrap_or(earliest).max(earliest).min(deadline);
        if let Some(decision) = node.clock.timeout_at(check_at, &mut rx).await {
            return decision.unwrap_or(Decision::Refused { wait_us: 0 });
        }
        if node.now() >= deadline {
            node.quota.waiters.borrow_mut().remove(&ticket);
            return Decision::Refused { wait_us: 0 };
        }
        let out = with_peers(node, workspace, |holder, now, peers, rng| {
            holder.on_time(now, workspace, peers, rng)
        });
        perform(node, out);
    }
}

/// Calls the holder with what it has to know of the fleet.
fn with_peers<T>(
    node: &Node,
    workspace: &str,
    f: impl FnOnce(&mut QuotaHolder, Instant, &Peers<'_>, &mut dyn Rng) -> T,
) -> T {
    let now = node.now();
    let state = &node.quota;
    let mut ownership = state.ownership.borrow_mut();
    let known = ownership.share().known;
    let is_settled = state.owner.borrow().is_settled(now);
    let peers = Peers {
        owner: ownership.owner(workspace).map(|owner| &owner.node),
        members: is_settled.then_some(known),
    };
    let mut rng = node.rng.borrow_mut();
    f(&mut state.holder.borrow_mut(), now, &peers, &mut *rng)
}

/// Delivers decisions and claims, and what follows from them at this node.
fn perform(node: &Rc<Node>, out: HolderOutput) {
    let mut pending = vec![out];
    while let Some(out) = pending.pop() {
        if out.decided_alone > 0 {
            node.metrics.add("quota.fallback", out.decided_alone as i64);
        }
        for (ticket, decision) in out.decisions {
            let waiter = node.quota.waiters.borrow_mut().remove(&ticket);
            let undelivered = match waiter {
                Some(tx) => tx.send(decision).err(),
                None => Some(decision),
            };
            // The request was given up while it waited.
            if let Some(Decision::Granted(credit)) = undelivered {
                let mut holder = node.quota.holder.borrow_mut();
                pending.push(holder.give_back(node.now(), &credit));
            }
        }
        for outgoing in out.claims {
            if outgoing.owner == *node.name() {
                pending.extend(answer_own_claim(node, &outgoing.claim));
            } else {
                queue_claim(node, outgoing);
            }
        }
    }
}

fn answer_own_claim(node: &Node, claim: &Claim) -> Option<HolderOutput> {
    let name = node.name();
    let grant = answer_claim(node, name, node.identity.incarnation, claim)?;
    on_grant(node, &grant)
}

fn answer_claim(
    node: &Node,
    from: &NodeName,
    incarnation: Incarnation,
    claim: &Claim,
) -> Option<Grant> {
    let claimant = Claimant {
        node: from,
        incarnation,
    };
    let now = node.now();
    let grant = node
        .quota
        .owner
        .borrow_mut()
        .answer(now, &claimant, claim)?;
    if let GrantAnswer::Granted { count, .. } = grant.answer {
        node.metrics.add("quota.grants", count.into());
    }
    Some(grant)
}

fn on_grant(node: &Node, grant: &Grant) -> Option<HolderOutput> {
    let out = with_peers(node, &grant.workspace, |holder, now, peers, rng| {
        holder.on_grant(now, grant, peers, rng)
    });
    if out.is_none() {
        node.metrics.count("quota.unmatched");
    }
    out
}

fn queue_claim(node: &Rc<Node>, outgoing: OutgoingClaim) {
    node.metrics.count("quota.claims");
    let mut outbox = node.quota.outbox.borrow_mut();
    outbox.push(outgoing);
    if outbox.len() == 1 {
        actix_rt::spawn(send_claims(Rc::clone(node)));
    }
}

/// Sends the queued claims, those for one owner together.
async fn send_claims(node: Rc<Node>) {
    let mut by_owner: BTreeMap<NodeName, Vec<Claim>> = BTreeMap::new();
    for outgoing in node.quota.outbox.take() {
        let claims = by_owner.entry(outgoing.owner).or_default();
        claims.push(outgoing.claim);
    }
    for (owner, claims) in by_owner {
        let Some(addr) = gossip::peer_udp_addr(&node, &owner) else {
            continue;
        };
        for claims in batches(claims, |claim| &claim.workspace) {
            let datagram = Datagram::QuotaClaim {
                from: node.name().clone(),
                incarnation: node.identity.incarnation,
                claims,
            };
            gossip::send_datagram(&node, addr, &datagram).await;
        }
    }
}

/// Divides claims or grants into batches for one datagram each.
fn batches<T>(items: Vec<T>, workspace: impl Fn(&T) -> &str) -> Vec<Vec<T>> {
    let mut batches: Vec<Vec<T>> = Vec::new();
    let mut bytes = 0;
    for item in items {
        let length = workspace(&item).len() + MAX_FIXED_BYTES;
        match batches.last_mut() {
            Some(batch) if bytes + length <= MAX_BATCH_BYTES => {
                bytes += length;
                batch.push(item);
            }
            _ => {
                bytes = length;
                batches.push(vec![item]);
            }
        }
    }
    batches
}

/// Answers claims of another node.
pub(crate) async fn on_claims(
    node: &Rc<Node>,
    addr: SocketAddr,
    from: &NodeName,
    incarnation: Incarnation,
    claims: &[Claim],
) {
    refresh(node);
    let answer = |claim| answer_claim(node, from, incarnation, claim);
    let grants = claims.iter().filter_map(answer).collect();
    for grants in batches(grants, |grant: &Grant| &grant.workspace) {
        let datagram = Datagram::QuotaGrant {
            to: incarnation,
            grants,
        };
        gossip::send_datagram(node, addr, &datagram).await;
    }
}

/// Takes the answers of an owner to claims of this node.
pub(crate) fn on_grants(node: &Rc<Node>, to: Incarnation, grants: &[Grant]) {
    if to != node.identity.incarnation {
        node.metrics.count("quota.unmatched");
        return;
    }
    for grant in grants {
        if let Some(out) = on_grant(node, grant) {
            perform(node, out);
        }
    }
}

/// Notes that the process is running, and applies changes of the members and the configuration.
pub(crate) fn tick(node: &Node) {
    node.quota.owner.borrow_mut().observe(node.now());
    refresh(node);
}

/// Applies changes of the members and the configuration since the last call.
fn refresh(node: &Node) {
    let state = &node.quota;
    let config = node.config.borrow();
    let routes = config.routes().filter(|table| table.workspaces().is_some());
    let Some(routes) = routes else {
        // The configuration has no workspaces.
        if state.applied.take().is_some() {
            let share = state.ownership.borrow().share();
            let mut owner = state.owner.borrow_mut();
            owner.set_owned(node.now(), share, std::iter::empty());
        }
        return;
    };
    let now = node.now();
    let is_settled = state.owner.borrow().is_settled(now);
    let applied = Some((routes.version(), is_settled));
    let is_new = state.applied.replace(applied) != applied;
    let has_moved = refresh_ownership(node, now);
    if is_new || has_moved {
        set_owned(node, now, routes);
    }
}

fn refresh_ownership(node: &Node, now: Instant) -> bool {
    let members = node.members.borrow();
    let expected = match now < node.quota.contacts_count_until {
        true => members.contact_count() + 1,
        false => 0,
    };
    let generation = members.generation();
    let mut ownership = node.quota.ownership.borrow_mut();
    ownership.refresh(generation, expected, members.members())
}

fn set_owned(node: &Node, now: Instant, routes: &RouteTable) {
    let state = &node.quota;
    let mut ownership = state.ownership.borrow_mut();
    let mut owned = Vec::new();
    for workspace in routes
        .workspaces()
        .into_iter()
        .flat_map(|table| table.iter())
    {
        let Some(limit) = workspace.quota else {
            continue;
        };
        let owner = ownership.owner(&workspace.name);
        if owner.is_some_and(|owner| owner.node == *node.name()) {
            owned.push((&workspace.name, limit));
        }
    }
    let (share, count) = (ownership.share(), owned.len());
    state
        .owner
        .borrow_mut()
        .set_owned(now, share, owned.into_iter());
    if state.logged_owned.replace(count) != count {
        info!(node.logger, "quotas owned"; "workspaces" => count,
            "members" => share.known, "reachable" => share.reachable);
    }
}

/// Returns each workspace with a quota, its owner, and the level of its bucket if it is this node.
pub(crate) fn status(node: &Node) -> Value {
    let config = node.config.borrow();
    let workspaces = config.routes().and_then(|table| table.workspaces());
    let state = &node.quota;
    let mut ownership = state.ownership.borrow_mut();
    let mut list = Vec::new();
    for workspace in workspaces.into_iter().flat_map(|table| table.iter()) {
        let Some(limit) = workspace.quota else {
            continue;
        };
        list.push(json!({
            "workspace": &*workspace.name,
            "requests_per_1000_s": limit.per_1000_s,
            "burst": limit.burst,
            "owner": ownership.owner(&workspace.name).map(|owner| owner.node.as_str()),
            "level": state.owner.borrow().level(&workspace.name),
            "owner_silent": state.holder.borrow().is_cut_off(&workspace.name),
        }));
    }
    let share = ownership.share();
    json!({
        "members": share.known,
        "reachable": share.reachable,
        "workspaces": list,
    })
}
