//! Which node owns a workspace, and which part of its limit an owner may use.

use std::net::SocketAddr;

use super::bucket::WHOLE_PERMILLE;
use crate::{
    collections::HashMap,
    ids::{Incarnation, NodeName},
    member::{MemberRecord, MemberState},
};

/// Part of the members that may be out of reach without a reduction of the limit, in permille.
///
/// The parts of a few dead members need not be withheld, since a workspace may exceed its limit by a
/// tenth.
const TOLERATED_PERMILLE: u64 = 50;

/// A node that may own workspaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the node.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its address for datagrams.
    pub addr: SocketAddr,
}

/// Numbers of members, as one node sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetShare {
    /// Members that have not left, dead ones included.
    pub known: usize,
    /// Those of them that are neither suspected nor dead.
    pub reachable: usize,
}

impl FleetShare {
    /// Returns the part of a limit that an owner may use, in permille.
    ///
    /// Members out of reach use their own parts, or those of another owner.
    pub fn usable_permille(&self) -> u64 {
        let missing = self.known.saturating_sub(self.reachable) as u64;
        let missing_permille = missing * WHOLE_PERMILLE / self.known.max(1) as u64;
        match missing_permille <= TOLERATED_PERMILLE {
            true => WHOLE_PERMILLE,
            false => WHOLE_PERMILLE - missing_permille,
        }
    }
}

/// Owners of workspaces for one generation of the member table.
#[derive(Debug, Default)]
pub struct Ownership {
    /// Arguments of the last refresh, which the other fields are computed from.
    last: Option<(u64, usize)>,
    /// Nodes that may own workspaces, each with the hash of its name.
    candidates: Vec<(u64, Candidate)>,
    share: FleetShare,
    /// Index in `candidates` of the owner of each workspace asked for since the last change.
    owners: HashMap<Box<str>, usize>,
}

impl Ownership {
    /// Takes over the member table if its generation is another than the last one, and returns
    /// whether it was.
    ///
    /// `expected` is the least number of members that the fleet has, according to other sources.
    pub fn refresh<'a>(
        &mut self,
        generation: u64,
        expected: usize,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) -> bool {
        let arguments = (generation, expected);
        if self.last.replace(arguments) == Some(arguments) {
            return false;
        }
        self.candidates.clear();
        self.owners.clear();
        self.share = FleetShare::default();
        for record in members {
            let (is_known, is_reachable) = match record.state {
                MemberState::Alive | MemberState::Leaving => (true, true),
                MemberState::Suspect | MemberState::Dead => (true, false),
                MemberState::Left => (false, false),
            };
            self.share.known += usize::from(is_known);
            self.share.reachable += usize::from(is_reachable);
            // A suspected member stays the owner: the suspicion is often refuted, and a new owner
            // starts without credit.
            if matches!(record.state, MemberState::Alive | MemberState::Suspect) {
                let candidate = Candidate {
                    node: record.name.clone(),
                    incarnation: record.incarnation,
                    addr: record.udp_addr(),
                };
                let hash = name_hash(record.name.as_str());
                self.candidates.push((hash, candidate));
            }
        }
        self.share.known = self.share.known.max(expected);
        true
    }

    /// Returns the numbers of members.
    pub fn share(&self) -> FleetShare {
        self.share
    }

    /// Returns the owner of a workspace, or `None` if no member can be.
    pub fn owner(&mut self, workspace: &str) -> Option<&Candidate> {
        if let Some(&index) = self.owners.get(workspace) {
            return Some(&self.candidates[index].1);
        }
        let hash = name_hash(workspace);
        let scores = self.candidates.iter().enumerate().map(|(index, entry)| {
            let score = mix(hash ^ entry.0.rotate_left(32));
            (score, &entry.1.node, index)
        });
        let (_, _, index) = scores.max()?;
        self.owners.insert(workspace.into(), index);
        Some(&self.candidates[index].1)
    }
}

/// Returns the 64-bit FNV-1a hash of a name, which is the same on every node.
fn name_hash(name: &str) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, fold))
}

/// Spreads a hash over all bits: the finalizer of SplitMix64.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
