//! Peers from which a node can fetch a newer configuration.

use std::collections::VecDeque;

use super::Progress;
use crate::ids::NodeName;

/// Maximum number of peers that are remembered.
const MAX_CANDIDATES: usize = 8;

#[derive(Clone, Debug)]
struct FetchCandidate {
    peer: NodeName,
    /// How far the peer said that it has read.
    progress: Progress,
}

/// Peers that have something newer than this node, in the order in which they are asked.
///
/// A peer that does not answer goes to the end, so that a dead connection or a frozen host does not
/// delay a configuration that other peers have too.
#[derive(Clone, Debug, Default)]
pub struct FetchCandidates {
    /// At most [`MAX_CANDIDATES`], each peer at most once.
    queue: VecDeque<FetchCandidate>,
}

impl FetchCandidates {
    /// Records how far a peer has read.
    pub fn add(&mut self, peer: &NodeName, progress: Progress) {
        if let Some(known) = self.queue.iter_mut().find(|known| known.peer == *peer) {
            known.progress = known.progress.merged(progress);
        } else if self.queue.len() < MAX_CANDIDATES {
            self.queue.push_back(FetchCandidate {
                peer: peer.clone(),
                progress,
            });
        }
    }

    /// Returns the peer to ask next and how far it has read, for a node that has itself read as far as
    /// `own`. Forgets peers that have nothing newer.
    pub fn next(&mut self, own: Progress) -> Option<(NodeName, Progress)> {
        self.queue
            .retain(|candidate| candidate.progress.is_ahead_of(own));
        let candidate = self.queue.front()?;
        Some((candidate.peer.clone(), candidate.progress))
    }

    /// Forgets a peer that has answered, unless it has announced more than `asked`, for which it was
    /// asked: the answer may be from before that.
    pub fn remove(&mut self, peer: &NodeName, asked: Progress) {
        self.queue
            .retain(|candidate| candidate.peer != *peer || candidate.progress.is_ahead_of(asked));
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
