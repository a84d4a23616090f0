//! Peers from which a node can fetch a newer configuration.

use std::collections::VecDeque;

use crate::ids::NodeName;

/// Maximum number of peers that are remembered.
const MAX_CANDIDATES: usize = 8;

#[derive(Clone, Debug)]
struct FetchCandidate {
    peer: NodeName,
    /// How far the peer said that it has read.
    read_to: u64,
}

/// Peers that have read the log further than this node, in the order in which they are asked.
///
/// A peer that does not answer goes to the end, so that a dead connection or a frozen host does not
/// delay a configuration that other peers have too.
#[derive(Clone, Debug, Default)]
pub struct FetchCandidates {
    /// At most [`MAX_CANDIDATES`], each peer at most once.
    queue: VecDeque<FetchCandidate>,
}

impl FetchCandidates {
    /// Records that a peer has read as far as `read_to`.
    pub fn add(&mut self, peer: &NodeName, read_to: u64) {
        if let Some(known) = self.queue.iter_mut().find(|known| known.peer == *peer) {
            known.read_to = known.read_to.max(read_to);
        } else if self.queue.len() < MAX_CANDIDATES {
            self.queue.push_back(FetchCandidate {
                peer: peer.clone(),
                read_to,
            });
        }
    }

    /// Returns the peer to ask next, for a node that has itself read as far as `own_read_to`.
    /// Forgets peers that have read no further.
    pub fn next(&mut self, own_read_to: u64) -> Option<NodeName> {
        self.queue
            .retain(|candidate| candidate.read_to > own_read_to);
        self.queue.front().map(|candidate| candidate.peer.clone())
    }

    /// Forgets a peer that has answered.
    pub fn remove(&mut self, peer: &NodeName) {
        self.queue.retain(|candidate| candidate.peer != *peer);
    }

    /// Records that a peer has not answered. Returns whether another one can be asked at once.
    pub fn record_failure(&mut self, peer: &NodeName) -> bool {
        let index = self.queue.iter().position(|known| known.peer == *peer);
        if let Some(failed) = index.and_then(|index| self.queue.remove(index)) {
            self.queue.push_back(failed);
        }
        self.queue.len() > 1
    }
}
