//! Waiting for the target and for the entry while a response is relayed.

use bytes::BytesMut;
use plantainpost_core::{delivery::TargetTime, time::Instant};
use plantainpost_wire::message::{MAX_BODY_FRAME_BYTES, PeerMessage};

use super::{ConnState, link::ExchangeLink, state_after_write};
use crate::node::Node;

/// The times of one response. The deadline bounds the waiting for the target only.
pub(super) struct RelayTime<'a> {
    node: &'a Node,
    time: TargetTime,
}

impl<'a> RelayTime<'a> {
    pub(super) fn new(node: &'a Node, deadline: Instant) -> Self {
        RelayTime {
            node,
            time: TargetTime::new(deadline, node.settings.limits.max_timeout_ms),
        }
    }

    /// Returns the time for which the target was not read, in microseconds.
    pub(super) fn blocked_us(&self) -> u64 {
        self.time.blocked_us()
    }

    /// Waits for the target. Fails at the deadline.
    pub(super) async fn wait_for_target<F: Future>(&self, fut: F) -> Result<F::Output, ()> {
        let clock = self.node.clock;
        clock.timeout_at(self.time.deadline(), fut).await.ok_or(())
    }

    /// Queues the bytes in `batch`, and sends what is queued once it is long enough. Fails if that
    /// does, or if the target sends too much after its deadline.
    pub(super) async fn queue_body(
        &mut self,
        link: &mut ExchangeLink,
        batch: &mut BytesMut,
    ) -> Result<(), ()> {
        if !self.time.on_bytes(self.node.now(), batch.len()) {
            return Err(());
        }
        while !batch.is_empty() {
            let part = batch.split_to(batch.len().min(MAX_BODY_FRAME_BYTES));
            let msg = PeerMessage::Body(part.freeze());
            link.queue_answer(&msg).map_err(|_| ())?;
            if link.conn.tx.queued_bytes() >= MAX_BODY_FRAME_BYTES {
                self.flush(link).await?;
            }
        }
        Ok(())
    }

    /// Sends the queued messages. Fails if the connection does, or if the entry takes nothing for too
    /// long.
    pub(super) async fn flush(&mut self, link: &mut ExchangeLink) -> Result<(), ()> {
        let node = self.node;
        self.time.block(node.now());
        let give_up_at = self.time.give_up_at();
        let flushed = node.clock.timeout_at(give_up_at, link.flush()).await;
        self.time.unblock(node.now());
        match flushed {
            Some(result) => result.map_err(|_| ()),
            None => {
                node.metrics.count("guard.answer_given_up");
                Err(())
            }
        }
    }

    /// Sends the end of a response that the target has completed.
    pub(super) async fn finish_answer(&self, link: &mut ExchangeLink) -> ConnState {
        let node = self.node;
        let finished = link.finish_answer();
        match node
            .clock
            .timeout_at(self.time.give_up_at(), finished)
            .await
        {
            Some(result) => state_after_write(result),
            None => {
                node.metrics.count("guard.answer_given_up");
                ConnState::MustClose
            }
        }
    }
}
