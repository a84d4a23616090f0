//! The part of a response body that the caller's connection can't take yet.

use std::{collections::VecDeque, rc::Rc};

use bytes::{Bytes, BytesMut};
use plantainpost_core::time::Instant;

use super::response_writer::{CallerGone, ResponseWriter};
use crate::node::Node;

/// Pieces below this length are copied together, in bytes. A target can send any number of small
/// pieces, and each of its own would take far more memory than its bytes.
const MIN_BLOCK_BYTES: usize = 16 * 1024;

/// Why the rest of a body was not sent.
pub(super) enum SendFailure {
    CallerGone,
    /// The connection has not taken the rest in time.
    Late,
}

impl From<CallerGone> for SendFailure {
    fn from(_: CallerGone) -> Self {
        SendFailure::CallerGone
    }
}

/// Body bytes that were received and wait for room in the channel to the caller's connection. They
/// count against the budget of the node until they are sent or dropped.
pub(super) struct HeldBody {
    node: Rc<Node>,
    /// Not empty, and in the order of the body.
    blocks: VecDeque<Bytes>,
    /// Small pieces behind `blocks`, shorter than [`MIN_BLOCK_BYTES`].
    tail: BytesMut,
    /// Bytes in `blocks` and `tail`, which the budget contains.
    held_bytes: usize,
}

impl HeldBody {
    pub(super) fn new(node: &Rc<Node>) -> Self {
        HeldBody {
            node: Rc::clone(node),
            blocks: VecDeque::new(),
            tail: BytesMut::new(),
            held_bytes: 0,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.held_bytes == 0
    }

    /// Returns whether another piece may be read from the guard.
    pub(super) fn has_room(&self) -> bool {
        self.is_empty() || self.node.hold_budget.borrow().has_room(self.held_bytes)
    }

    fn is_own_limit_reached(&self) -> bool {
        let budget = self.node.hold_budget.borrow();
        budget.is_own_limit_reached(self.held_bytes)
    }

    /// Passes on a piece, or holds it if the connection has no room.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection has ended.
    pub(super) fn send_or_hold(
        &mut self,
        piece: Bytes,
        writer: &ResponseWriter,
    ) -> Result<(), CallerGone> {
        let unsent = match self.is_empty() {
            true => writer.try_send_data(piece)?,
            false => Some(piece),
        };
        if let Some(piece) = unsent {
            self.push(piece);
        }
        Ok(())
    }

    fn push(&mut self, piece: Bytes) {
        self.held_bytes += piece.len();
        self.node.hold_budget.borrow_mut().add(piece.len());
        if piece.len() >= MIN_BLOCK_BYTES {
            self.close_tail();
            self.blocks.push_back(piece);
            return;
        }
        self.tail.extend_from_slice(&piece);
        if self.tail.len() >= MIN_BLOCK_BYTES {
            self.close_tail();
        }
    }

    fn close_tail(&mut self) {
        if !self.tail.is_empty() {
            let tail = std::mem::take(&mut self.tail);
            self.blocks.push_back(tail.freeze());
        }
    }

    fn pop(&mut self) -> Option<Bytes> {
        if self.blocks.is_empty() {
            self.close_tail();
        }
        let block = self.blocks.pop_front()?;
        self.held_bytes -= block.len();
        self.free(block.len());
        Some(block)
    }

    fn free(&self, bytes: usize) {
        if self.node.hold_budget.borrow_mut().remove(bytes) {
            self.node.hold_budget_freed.notify_waiters();
        }
    }

    /// Waits until another piece may be read from the guard, for room in the memory or in the channel
    /// to the connection, and passes on one block in the latter case.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection has ended.
    pub(super) async fn wait_for_room(
        &mut self,
        writer: &ResponseWriter,
    ) -> Result<(), CallerGone> {
        let node = Rc::clone(&self.node);
        let waits_for_others = !self.is_own_limit_reached();
        tokio::select! {
            biased;
            sent = self.send_block(writer) => sent,
            () = node.hold_budget_freed.notified(), if waits_for_others => Ok(()),
        }
    }

    /// Waits for room in the channel and passes on one block.
    ///
    /// This method is cancel safe.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection has ended.
    pub(super) async fn send_block(&mut self, writer: &ResponseWriter) -> Result<(), CallerGone> {
        let room = writer.wait_for_room().await?;
        if let Some(block) = self.pop() {
            room.send_data(block);
        }
        Ok(())
    }

    /// Passes on all that is held.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection has ended, or has no room by `give_up_at`.
    pub(super) async fn send_rest(
        &mut self,
        writer: &ResponseWriter,
        give_up_at: Instant,
    ) -> Result<(), SendFailure> {
        let clock = self.node.clock;
        while !self.is_empty() {
            let sent = clock.timeout_at(give_up_at, self.send_block(writer));
            sent.await.ok_or(SendFailure::Late)??;
        }
        Ok(())
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.free(self.held_bytes);
    }
}
