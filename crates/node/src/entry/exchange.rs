//! The exchange of one attempt with its guard.
//!
//! If the connection is lost or falls silent, the exchange is continued on another connection to
//! the same guard. A silent connection is read until the guard has replied on the other one.

use std::{net::SocketAddr, rc::Rc};

use plantainpost_core::{
    admission::{FenceState, RequestKey},
    balance::RequestOutcome,
    progress::ProgressWatch,
    time::Instant,
};
use plantainpost_wire::{frame::FrameError, message::PeerMessage};
use slog::warn;

use super::{attempt::Attempt, caller_request::CallerRequest, in_flight::InFlightAttempt};
use crate::{
    node::Node,
    peer_pool::{ConnectError, PeerConn},
};

/// Timeout for continuing an exchange whose connection was lost, in milliseconds.
const LOST_TIMEOUT_MS: u64 = 500;

/// Time for which a guard may leave an entry that continues an exchange without a reply before the
/// request is sent to another guard, in milliseconds.
const RESUME_REPLY_TIMEOUT_MS: u64 = 200;

/// Delay before the entry connects to a silent guard again, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 250;

/// Why an exchange has ended without a message of the guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeLoss {
    /// The guard has fenced the request, which was not run.
    Fenced,
    /// The request may have run.
    Unknown,
    /// The guard has asked for a body whose rest another attempt sends. It has started the request,
    /// which ends without the rest.
    BodyUnavailable,
}

/// The exchange of one attempt with its guard.
pub(super) struct Exchange<'a> {
    pub(super) node: &'a Rc<Node>,
    request: &'a CallerRequest,
    attempt: &'a Attempt,
    /// Reports to the balancer that the guard does not reply.
    in_flight: &'a mut InFlightAttempt,
    addr: SocketAddr,
    key: RequestKey,
    pub(super) conn: PeerConn,
    /// Whether the guard has asked for the rest of the body and received all of it.
    pub(super) is_body_rest_sent: bool,
    /// When the last message was sent to or received from the guard.
    last_active_at: Instant,
    /// `None` if silence means nothing: the guard is in this process, or it has said that the
    /// exchange can't be continued on another connection.
    watch: Option<ProgressWatch>,
}

/// What a continued exchange waits for.
enum ResumeEvent {
    /// The guard has sent something on the first connection, or that connection is lost.
    First(Result<PeerMessage, FrameError>),
    /// The guard has replied on the new connection, or that connection is lost.
    New(Result<PeerMessage, FrameError>),
    Connected(Result<Box<PeerConn>, ConnectError>),
    /// The guard has not replied in time.
    Unanswered,
    /// The time to continue a lost exchange has passed.
    GiveUp,
}

impl<'a> Exchange<'a> {
    /// Starts the exchange of a request that is sent on `conn` now.
    pub(super) fn start(
        node: &'a Rc<Node>,
        request: &'a CallerRequest,
        attempt: &'a Attempt,
        in_flight: &'a mut InFlightAttempt,
        (addr, key, conn): (SocketAddr, RequestKey, PeerConn),
    ) -> Self {
        let mut exchange = Exchange {
            node,
            request,
            attempt,
            in_flight,
            addr,
            key,
            conn,
            is_body_rest_sent: false,
            last_active_at: node.now(),
            watch: None,
        };
        exchange.restart_watch();
        exchange
    }

    /// Records that a further part of the request was sent.
    pub(super) fn on_sent(&mut self) {
        let now = self.node.now();
        self.last_active_at = now;
        if let Some(watch) = &mut self.watch {
            watch.on_sent(now);
        }
    }

    /// Starts the watch of a request that was sent, or continued, on this connection.
    fn restart_watch(&mut self) {
        let now = self.node.now();
        self.last_active_at = now;
        if self.conn.rx.is_in_process() {
            return;
        }
        let round_trip_us = self.conn.handshake_us / 2;
        let mut margin = self.node.silence_margin.borrow_mut();
        self.watch = Some(ProgressWatch::start(
            now,
            margin.margin_us(now, round_trip_us),
        ));
    }

    /// Waits for the next message of the guard that is no sign of life.
    ///
    /// # Errors
    ///
    /// Fails if the exchange can't be continued.
    pub(super) async fn next_message(&mut self) -> Result<PeerMessage, ExchangeLoss> {
        loop {
            let msg = self.next_message_or_progress().await?;
            self.on_message();
            match msg {
                PeerMessage::Progress { key } if key == self.key => (),
                msg => return Ok(msg),
            }
        }
    }

    /// Like [`Exchange::next_message`], after the connection has failed.
    ///
    /// # Errors
    ///
    /// Fails if the exchange can't be continued.
    pub(super) async fn next_message_after_loss(&mut self) -> Result<PeerMessage, ExchangeLoss> {
        match self.resume(true).await? {
            PeerMessage::Progress { key } if key == self.key => self.next_message().await,
            msg => Ok(msg),
        }
    }

    fn on_message(&mut self) {
        let now = self.node.now();
        self.last_active_at = now;
        if let Some(watch) = &mut self.watch {
            watch.on_message(now);
        }
    }

    async fn next_message_or_progress(&mut self) -> Result<PeerMessage, ExchangeLoss> {
        let clock = self.node.clock;
        let silent_at = self.watch.map(|watch| watch.silent_at());
        let silence = async {
            match silent_at {
                Some(at) => clock.sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        let is_lost = tokio::select! {
            biased;
            msg = self.conn.rx.read() => match msg {
                Ok(msg) => return Ok(msg),
                Err(_) => true,
            },
            () = silence => false,
        };
        self.resume(is_lost).await
    }

    /// Continues the exchange on a new connection. Returns the next message, from whichever
    /// connection it comes.
    async fn resume(&mut self, is_lost: bool) -> Result<PeerMessage, ExchangeLoss> {
        let clock = self.node.clock;
        let now = self.node.now();
        self.node.metrics.count(match is_lost {
            true => "entry.connection_lost",
            false => "entry.connection_silent",
        });
        warn!(self.node.logger, "exchange with a node interrupted";
            "request" => %self.request.public_id_text(), "peer" => self.attempt.peer.as_str(),
            "lost" => is_lost, "silent_us" => now.micros_since(self.last_active_at));
        let mut first_is_open = !is_lost;
        let mut give_up_at = match is_lost {
            true => now.saturating_add_millis(LOST_TIMEOUT_MS),
            // The attempt ends at the deadline.
            false => Instant::MAX,
        };
        let mut unanswered_at = Some(now.saturating_add_millis(RESUME_REPLY_TIMEOUT_MS));
        let mut new_conn: Option<Box<PeerConn>> = None;
        let mut connect_at = now;
        let node = self.node;
        let (peer, addr, deadline) = (&self.attempt.peer, self.addr, self.request.deadline);
        let connect = |at: Instant| async move {
            clock.sleep_until(at).await;
            let conn = node.peer_pool.connect(peer, addr, deadline).await;
            conn.map(Box::new)
        };
        let mut connecting = Box::pin(connect(connect_at));
        loop {
            let read_first = async {
                match first_is_open {
                    true => self.conn.rx.read().await,
                    false => std::future::pending().await,
                }
            };
            let read_new_or_connect = async {
                match &mut new_conn {
                    Some(conn) => ResumeEvent::New(conn.rx.read().await),
                    None => ResumeEvent::Connected(connecting.as_mut().await),
                }
            };
            let unanswered = async {
                match unanswered_at {
                    Some(at) => clock.sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let event = tokio::select! {
                biased;
                event = read_new_or_connect => event,
                msg = read_first => ResumeEvent::First(msg),
                () = unanswered => ResumeEvent::Unanswered,
                () = clock.sleep_until(give_up_at) => ResumeEvent::GiveUp,
            };
            let now = self.node.now();
            match event {
                ResumeEvent::GiveUp => return Err(ExchangeLoss::Unknown),
                ResumeEvent::Unanswered => {
                    unanswered_at = None;
                    self.in_flight.report(RequestOutcome::Failed, None);
                    self.attempt.unresponsive.notify_one();
                }
                ResumeEvent::Connected(Ok(conn)) if conn.incarnation != self.conn.incarnation => {
                    // The guard has restarted and knows nothing of the request.
                    return Err(ExchangeLoss::Unknown);
                }
                ResumeEvent::Connected(Ok(mut conn)) => {
                    let key = self.key;
                    match conn.tx.write(&PeerMessage::Resume { key, deadline }).await {
                        Ok(()) => new_conn = Some(conn),
                        Err(_) if !first_is_open => return Err(ExchangeLoss::Unknown),
                        Err(_) => {
                            connect_at = now.saturating_add_millis(RECONNECT_DELAY_MS);
                            connecting = Box::pin(connect(connect_at));
                        }
                    }
                }
                ResumeEvent::Connected(Err(_)) | ResumeEvent::New(Err(_)) => {
                    if !first_is_open {
                        return Err(ExchangeLoss::Unknown);
                    }
                    new_conn = None;
                    connect_at = now.saturating_add_millis(RECONNECT_DELAY_MS);
                    connecting = Box::pin(connect(connect_at));
                }
                ResumeEvent::New(Ok(PeerMessage::FenceResult { key, state }))
                    if key == self.key =>
                {
                    let conn = new_conn.take();
                    if let Some(conn) = conn {
                        self.node.peer_pool.release(&self.attempt.peer, *conn);
                    }
                    match state {
                        FenceState::Fenced => {
                            self.node.metrics.count("entry.fenced");
                            if first_is_open {
                                self.on_proven_silence();
                            }
                            return Err(ExchangeLoss::Fenced);
                        }
                        _ if !first_is_open => return Err(ExchangeLoss::Unknown),
                        FenceState::Finished | FenceState::Expired => {
                            // The answer may be on its way on the first connection.
                            give_up_at = now.saturating_add_millis(LOST_TIMEOUT_MS);
                            unanswered_at = None;
                            connecting = Box::pin(connect(Instant::MAX));
                        }
                        FenceState::Started => {
                            // Only the first connection can bring the answer.
                            self.watch = None;
                            unanswered_at = None;
                            connecting = Box::pin(connect(Instant::MAX));
                        }
                    }
                }
                ResumeEvent::New(Ok(msg)) => {
                    if first_is_open {
                        self.on_proven_silence();
                    }
                    self.node.metrics.count("entry.resumed");
                    if let Some(conn) = new_conn {
                        drop(connecting);
                        self.conn = *conn;
                    }
                    self.restart_watch();
                    return Ok(msg);
                }
                ResumeEvent::First(Ok(PeerMessage::Progress { .. })) => {
                    self.on_false_alarm(now);
                    // Once the guard was asked, it answers on the new connection.
                    if new_conn.is_none() {
                        let key = self.key;
                        return Ok(PeerMessage::Progress { key });
                    }
                }
                ResumeEvent::First(Ok(msg)) => {
                    self.on_false_alarm(now);
                    return Ok(msg);
                }
                ResumeEvent::First(Err(_)) => {
                    first_is_open = false;
                    let lost_at = now.saturating_add_millis(LOST_TIMEOUT_MS);
                    give_up_at = give_up_at.min(lost_at);
                }
            }
        }
    }

    fn on_false_alarm(&self, now: Instant) {
        self.node.metrics.count("entry.silence_false_alarm");
        self.node.silence_margin.borrow_mut().on_false_alarm(now);
    }

    /// Records that the guard lives while its connection carries no data. Other connections may
    /// have failed with it, so those that were idle all the while are not used any more.
    fn on_proven_silence(&self) {
        self.node.metrics.count("entry.silence_proven");
        self.node.peer_pool.close_unused_since(self.last_active_at);
    }
}
