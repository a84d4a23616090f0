//! The owner's side: token buckets and the answers to claims.

use std::rc::Rc;

use super::{
    Claim, FleetShare, Grant, GrantAnswer,
    bucket::{Bucket, WHOLE_PERMILLE},
};
use crate::{
    collections::HashMap,
    ids::{Incarnation, NodeName},
    time::{Instant, MICROS_PER_MILLI},
    workspace::QuotaLimit,
};

/// Time from the start of a node for which it grants nothing, in milliseconds.
///
/// A node that has just started knows only a few members and may wrongly take itself for the owner. The
/// members of a fleet that starts as a whole know each other after about 200 ms. Requests wait meanwhile.
const SETTLE_MS: u64 = 500;

/// Time from the change of members that made a node the owner for which it grants nothing, in
/// milliseconds. The other members learn of the change within about a second and use their own parts
/// of the rate until then.
const TAKEOVER_MS: u64 = 1_000;

/// Time after which a larger share takes effect, in milliseconds. When a partition ends, members
/// claim from the owner on their old side for up to this long.
const SHARE_RISE_MS: u64 = 2_000;

/// Longest time between two observations for which buckets fill, in microseconds.
///
/// Holders get no answers from a paused owner and use their own parts of the rate meanwhile.
const MAX_FILL_GAP_US: u64 = 500_000;

/// Pause of the process after which another node may have become owner, in microseconds. It is below
/// the time in which a member is declared dead (5 s of suspicion).
const MAX_PAUSE_US: u64 = 2_000_000;

/// Mean time until the members of one part of a fleet suspect those of another part that they were
/// cut off from, in microseconds. Members out of reach have used their own parts of the rate for
/// about this long when the owner notices.
const UNNOTICED_US: u64 = 3_000_000;

/// Time after which the record of a holder that claims nothing is dropped, in milliseconds. Without
/// its record, a late repetition of a claim is granted again, but the holder ignores that grant.
const HOLDER_RETENTION_MS: u64 = 10_000;

/// A claim's sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimant<'a> {
    /// Name of the node.
    pub node: &'a NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// What an owner knows of one holder of a workspace's credit.
#[derive(Clone, Debug)]
struct HolderRecord {
    incarnation: Incarnation,
    /// Number of the last claim that was answered.
    number: u64,
    /// Answer to that claim.
    answer: GrantAnswer,
    /// Credit granted since `granted_since_us` and not returned.
    granted: u32,
    /// Running time of the owner at the first of these grants.
    granted_since_us: u64,
    /// When the last claim was answered.
    claimed_at: Instant,
}

impl HolderRecord {
    fn is_recent(&self, now: Instant) -> bool {
        now < self.claimed_at.saturating_add_millis(HOLDER_RETENTION_MS)
    }
}

#[derive(Clone, Debug)]
struct OwnedWorkspace {
    /// When this node starts to grant credit.
    opens_at: Instant,
    bucket: Bucket,
    holders: HashMap<NodeName, HolderRecord>,
}

/// Token buckets of the workspaces that the local node owns.
#[derive(Debug)]
pub struct QuotaOwner {
    incarnation: Incarnation,
    settled_at: Instant,
    /// Time for which this process was running, in microseconds, without long pauses.
    running_us: u64,
    observed_at: Instant,
    /// Part of each limit that the buckets use.
    share_permille: u64,
    /// Share that applies from an instant on; `None` unless it is larger than `share_permille`.
    rise: Option<(Instant, u64)>,
    /// Contains exactly the workspaces that this node believes to own. Empty before `settled_at`.
    owned: HashMap<Rc<str>, OwnedWorkspace>,
    /// Whether workspaces were assigned to this node since it is settled.
    has_owned: bool,
}

impl QuotaOwner {
    /// Creates the owner's side of a node that starts at `now`.
    pub fn new(incarnation: Incarnation, now: Instant) -> Self {
        QuotaOwner {
            incarnation,
            settled_at: now.saturating_add_millis(SETTLE_MS),
            running_us: 0,
            observed_at: now,
            share_permille: WHOLE_PERMILLE,
            rise: None,
            owned: HashMap::default(),
            has_owned: false,
        }
    }

    /// Returns a copy that owns only one workspace, if this node does, for answers without effect.
    pub fn copy_for(&self, workspace: &str) -> Self {
        let owned = self.owned.get_key_value(workspace);
        let copy = owned.map(|(name, owned)| (Rc::clone(name), owned.clone()));
        QuotaOwner {
            owned: copy.into_iter().collect(),
            ..*self
        }
    }

    /// Returns when the node has run long enough to own workspaces.
    pub fn settled_at(&self) -> Instant {
        self.settled_at
    }

    /// Reports whether the node has run long enough to own workspaces.
    pub fn is_settled(&self, now: Instant) -> bool {
        now >= self.settled_at
    }

    /// Notes that the process is running. Call it several times a second.
    pub fn observe(&mut self, now: Instant) {
        let gap_us = now.micros_since(self.observed_at);
        self.observed_at = now;
        self.running_us += gap_us.min(MAX_FILL_GAP_US);
        if gap_us > MAX_PAUSE_US {
            for workspace in self.owned.values_mut() {
                let bucket = &mut workspace.bucket;
                let share_permille = self.share_permille;
                *bucket = Bucket::new(*bucket.limit(), share_permille, self.running_us);
            }
        }
        if let Some((_, share_permille)) = self.rise.take_if(|(at, _)| now >= *at) {
            self.set_share(share_permille);
        }
    }

    fn set_share(&mut self, share_permille: u64) {
        self.share_permille = share_permille;
        for workspace in self.owned.values_mut() {
            let bucket = &mut workspace.bucket;
            bucket.set_share(share_permille, UNNOTICED_US, self.running_us);
        }
    }

    fn update_share(&mut self, now: Instant, share_permille: u64) {
        if self.owned.is_empty() || share_permille <= self.share_permille {
            self.rise = None;
            if share_permille != self.share_permille {
                self.set_share(share_permille);
            }
            return;
        }
        let rises_at = now.saturating_add_millis(SHARE_RISE_MS);
        let (at, _) = self.rise.unwrap_or((rises_at, share_permille));
        self.rise = Some((at, share_permille));
    }

    /// Sets the workspaces that this node owns. Buckets of others are dropped.
    pub fn set_owned<'a>(
        &mut self,
        now: Instant,
        share: FleetShare,
        workspaces: impl Iterator<Item = (&'a Rc<str>, QuotaLimit)>,
    ) {
        self.observe(now);
        if !self.is_settled(now) {
            return;
        }
        self.update_share(now, share.usable_permille());
        let mut old = std::mem::take(&mut self.owned);
        for (name, limit) in workspaces {
            let workspace = match old.remove(name) {
                Some(workspace) => self.updated(workspace, now, limit),
                None => self.taken_over(now, limit),
            };
            self.owned.insert(Rc::clone(name), workspace);
        }
        self.has_owned = true;
    }

    /// Returns a bucket that this node was not the owner of before.
    ///
    /// A node that has just started takes over at once, with a half full bucket: nothing was granted while
    /// it was down and until it settled, and after a restart of the whole fleet all callers return at the
    /// same time.
    fn taken_over(&self, now: Instant, limit: QuotaLimit) -> OwnedWorkspace {
        if !self.has_owned {
            return OwnedWorkspace {
                opens_at: now,
                bucket: Bucket::half_full(limit, self.share_permille, self.running_us),
                holders: HashMap::default(),
            };
        }
        let opens_at_us = self.running_us + TAKEOVER_MS * MICROS_PER_MILLI;
        OwnedWorkspace {
            opens_at: now.saturating_add_millis(TAKEOVER_MS),
            bucket: Bucket::new(limit, self.share_permille, opens_at_us),
            holders: HashMap::default(),
        }
    }

    fn updated(
        &self,
        mut workspace: OwnedWorkspace,
        now: Instant,
        limit: QuotaLimit,
    ) -> OwnedWorkspace {
        workspace.bucket.set_limit(limit, self.running_us);
        let holders = &mut workspace.holders;
        holders.retain(|_, record| record.is_recent(now));
        workspace
    }

    /// Answers a claim. `None` if it is older than the last one of the holder.
    pub fn answer(&mut self, now: Instant, from: &Claimant<'_>, claim: &Claim) -> Option<Grant> {
        self.observe(now);
        let (now_us, incarnation) = (self.running_us, self.incarnation);
        let grant = |answer| Grant {
            workspace: Rc::clone(&claim.workspace),
            number: claim.number,
            owner: incarnation,
            answer,
        };
        let owned = self.owned.get_mut(&*claim.workspace);
        let Some(workspace) = owned.filter(|workspace| now >= workspace.opens_at) else {
            return Some(grant(GrantAnswer::NotOwner));
        };
        let bucket = &mut workspace.bucket;
        let (mut granted, mut granted_since_us) = (0, now_us);
        let last = workspace.holders.get(from.node);
        if let Some(last) = last.filter(|last| last.is_recent(now)) {
            let (old, new) = (
                (last.incarnation, last.number),
                (from.incarnation, claim.number),
            );
            if new < old {
                return None;
            }
            if new == old {
                return Some(grant(last.answer.clone()));
            }
            let is_same_process = last.incarnation == from.incarnation;
            if is_same_process && !bucket.was_half_full_since(last.granted_since_us, now_us) {
                (granted, granted_since_us) = (last.granted, last.granted_since_us);
            }
        }
        // Credit of an earlier process of this node came from another bucket.
        if claim.granted_by == incarnation {
            let returned = claim.returned.min(granted);
            bucket.put_back(returned, now_us);
            granted -= returned;
        }
        let count = bucket.take(claim.needed, claim.advance, now_us);
        let answer = GrantAnswer::Granted {
            count,
            wait_us: bucket.wait_us(),
        };
        let record = HolderRecord {
            incarnation: from.incarnation,
            number: claim.number,
            answer: answer.clone(),
            granted: granted.saturating_add(count),
            granted_since_us,
            claimed_at: now,
        };
        workspace.holders.insert(from.node.clone(), record);
        Some(grant(answer))
    }

    /// Returns the level of a bucket in credits; `None` if this node does not own the workspace.
    pub fn level(&self, workspace: &str) -> Option<f64> {
        let workspace = self.owned.get(workspace)?;
        Some(workspace.bucket.level(self.running_us))
    }
}
