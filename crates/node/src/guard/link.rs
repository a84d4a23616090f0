//! The connection over which the guard answers a request.
//!
//! An entry that hears nothing opens another connection and continues the exchange there, so the
//! connection of a running exchange can be replaced. See [`plantainpost_core::progress`].

use std::{cell::RefCell, rc::Rc};

use bytes::BytesMut;
use plantainpost_core::{
    admission::{KeptAnswers, KeptAnswersSettings, RequestKey},
    collections::HashMap,
    progress::ProgressSchedule,
};
use plantainpost_wire::{
    frame::FrameError,
    message::{MAX_BODY_FRAME_BYTES, PeerMessage},
};
use slog::info;
use tokio::sync::mpsc;

use super::{ConnState, InboundConn, state_after_write};
use crate::node::Node;

/// Maximum size of an answer that can be sent again on another connection, in bytes. Its body fits
/// into one frame.
const MAX_KEPT_ANSWER_BYTES: usize = MAX_BODY_FRAME_BYTES;

/// Assumed size of an answer without its body and the text of its headers, in bytes.
const ASSUMED_OVERHEAD_BYTES: usize = 1_024;

/// Exchanges of the guard that can be continued on another connection.
pub(crate) struct ExchangeLinks {
    /// Senders of new connections to the exchanges in progress.
    open: RefCell<HashMap<RequestKey, mpsc::UnboundedSender<Box<InboundConn>>>>,
    /// Answers of exchanges that have ended.
    answers: RefCell<KeptAnswers<Rc<[PeerMessage]>>>,
}

impl Default for ExchangeLinks {
    fn default() -> Self {
        ExchangeLinks {
            open: RefCell::default(),
            answers: RefCell::new(KeptAnswers::new(KeptAnswersSettings::default())),
        }
    }
}

/// Returns whether the exchange of a request is in progress and can be continued on another
/// connection.
pub(super) fn can_resume(node: &Node, key: RequestKey) -> bool {
    node.exchange_links.open.borrow().contains_key(&key)
}

/// Passes a connection to the exchange that is continued on it. If the exchange has just ended,
/// the connection is closed, and the entry asks again.
pub(super) fn hand_over(node: &Node, key: RequestKey, conn: InboundConn) {
    let open = node.exchange_links.open.borrow();
    let sent = open.get(&key).map(|tx| tx.send(Box::new(conn)));
    if !matches!(sent, Some(Ok(()))) {
        node.metrics.count("guard.conn_broken");
    }
}

/// Sends the answer of an exchange that has ended once more; `None` if it isn't kept.
pub(super) async fn send_kept_answer(
    node: &Node,
    conn: &mut InboundConn,
    key: RequestKey,
) -> Option<ConnState> {
    let now = node.now();
    let answer = Rc::clone(node.exchange_links.answers.borrow_mut().get(now, key)?);
    node.metrics.count("guard.answer_resent");
    for msg in &*answer {
        if conn.tx.queue(msg).is_err() {
            return Some(ConnState::MustClose);
        }
    }
    Some(state_after_write(conn.tx.flush().await))
}

/// What happened to a link while its exchange waited.
#[expect(
    clippy::large_enum_variant,
    reason = "An event is handled immediately and not stored."
)]
pub(super) enum LinkEvent {
    /// A message of the entry arrived.
    Message(Result<PeerMessage, FrameError>),
    /// The entry continues on this connection.
    Replaced(Box<InboundConn>),
    /// A sign of life is due.
    ProgressDue,
}

/// The entry of an exchange in [`ExchangeLinks`], removed on drop.
struct OpenExchange {
    node: Rc<Node>,
    key: RequestKey,
    /// Keeps the receiver open. A clone is in [`ExchangeLinks`] while the exchange can be continued
    /// on another connection.
    tx: mpsc::UnboundedSender<Box<InboundConn>>,
}

impl OpenExchange {
    fn allow_resume(&self) {
        let mut open = self.node.exchange_links.open.borrow_mut();
        open.entry(self.key).or_insert_with(|| self.tx.clone());
    }

    fn forbid_resume(&self) {
        let mut open = self.node.exchange_links.open.borrow_mut();
        // The entry may belong to another exchange, if this request is a duplicate.
        let is_own = |tx: &mpsc::UnboundedSender<_>| tx.same_channel(&self.tx);
        if open.get(&self.key).is_some_and(is_own) {
            open.remove(&self.key);
        }
    }
}

impl Drop for OpenExchange {
    fn drop(&mut self) {
        self.forbid_resume();
    }
}

/// The part of an answer that was queued, for an entry that continues on another connection.
#[derive(Default)]
enum SentAnswer {
    #[default]
    NotBegun,
    /// Small enough to be sent again.
    Kept(Box<KeptParts>),
    /// The answer exceeds [`MAX_KEPT_ANSWER_BYTES`]. It can be sent on its first connection only.
    TooLong,
}

/// The body is copied into one buffer: a target can send it in any number of small pieces, and each
/// message of its own would take far more memory than its bytes.
struct KeptParts {
    head: PeerMessage,
    body: BytesMut,
    end: Option<PeerMessage>,
    /// Size of the answer. At most [`MAX_KEPT_ANSWER_BYTES`].
    bytes: usize,
}

impl SentAnswer {
    /// Adds a message that was queued.
    fn add(&mut self, msg: &PeerMessage) {
        let added_bytes = match msg {
            PeerMessage::Response(head) => {
                let headers = head.headers.iter();
                let text: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
                text + ASSUMED_OVERHEAD_BYTES
            }
            PeerMessage::Body(piece) => piece.len(),
            _ => 0,
        };
        match self {
            SentAnswer::NotBegun if added_bytes <= MAX_KEPT_ANSWER_BYTES => {
                *self = SentAnswer::Kept(Box::new(KeptParts {
                    head: msg.clone(),
                    body: BytesMut::new(),
                    end: None,
                    bytes: added_bytes,
                }));
            }
            SentAnswer::Kept(parts) if parts.bytes + added_bytes <= MAX_KEPT_ANSWER_BYTES => {
                parts.bytes += added_bytes;
                match msg {
                    PeerMessage::Body(piece) => parts.body.extend_from_slice(piece),
                    end => parts.end = Some(end.clone()),
                }
            }
            _ => *self = SentAnswer::TooLong,
        }
    }

    fn is_too_long(&self) -> bool {
        matches!(self, SentAnswer::TooLong)
    }
}

impl KeptParts {
    /// Returns the messages to send again.
    fn messages(&self) -> Vec<PeerMessage> {
        let mut messages = vec![self.head.clone()];
        if !self.body.is_empty() {
            messages.push(PeerMessage::Body(self.body.clone().freeze()));
        }
        messages.extend(self.end.clone());
        messages
    }
}

/// The connection of one exchange.
pub(super) struct ExchangeLink {
    node: Rc<Node>,
    key: RequestKey,
    pub(super) conn: InboundConn,
    new_conns: mpsc::UnboundedReceiver<Box<InboundConn>>,
    open: OpenExchange,
    /// `None` for an entry in this process, and once the answer has begun.
    schedule: Option<ProgressSchedule>,
    /// Always `NotBegun` for an entry in this process, which needs no other connection.
    answer: SentAnswer,
}

impl ExchangeLink {
    /// Creates the link of a request that was received on `conn`.
    pub(super) fn new(node: &Rc<Node>, key: RequestKey, conn: InboundConn) -> Self {
        let (tx, new_conns) = mpsc::unbounded_channel();
        let open = OpenExchange {
            node: Rc::clone(node),
            key,
            tx,
        };
        let is_remote = !conn.rx.is_in_process();
        ExchangeLink {
            schedule: is_remote.then(|| ProgressSchedule::start(node.now())),
            node: Rc::clone(node),
            key,
            conn,
            new_conns,
            open,
            answer: SentAnswer::default(),
        }
    }

    /// Allows the entry to continue on another connection. To be called once the guard has
    /// accepted the request and received its whole body.
    pub(super) fn allow_resume(&mut self) {
        if !self.conn.rx.is_in_process() {
            self.open.allow_resume();
        }
    }

    /// Waits for a message, for another connection or until a sign of life is due. Bytes behind a
    /// complete request are an event as well, as nothing may follow it.
    ///
    /// This method is cancel safe.
    pub(super) async fn next_event(&mut self) -> LinkEvent {
        let clock = self.node.clock;
        let schedule = self.schedule;
        let progress_due = async {
            match schedule {
                Some(schedule) => clock.sleep_until(schedule.next_at()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            Some(conn) = self.new_conns.recv(), if !self.answer.is_too_long() => {
                LinkEvent::Replaced(conn)
            }
            msg = self.conn.rx.read() => LinkEvent::Message(msg),
            () = progress_due => LinkEvent::ProgressDue,
        }
    }

    /// Continues on another connection.
    ///
    /// # Errors
    ///
    /// Returns an error if that connection fails.
    pub(super) async fn replace_conn(&mut self, conn: InboundConn) -> Result<(), FrameError> {
        self.node.metrics.count("guard.resumed");
        info!(self.node.logger, "request continued on another connection";
            "peer" => conn.peer.identity.node.as_str(),
            "answered" => !matches!(self.answer, SentAnswer::NotBegun));
        self.conn = conn;
        let SentAnswer::Kept(parts) = &self.answer else {
            self.schedule = Some(ProgressSchedule::start(self.node.now()));
            return self.write_progress().await;
        };
        for msg in parts.messages() {
            self.conn.tx.queue(&msg)?;
        }
        Ok(())
    }

    /// Sends a sign of life.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub(super) async fn send_progress(&mut self) -> Result<(), FrameError> {
        if let Some(schedule) = &mut self.schedule {
            schedule.on_sent(self.node.now());
        }
        self.write_progress().await
    }

    async fn write_progress(&mut self) -> Result<(), FrameError> {
        let key = self.key;
        self.conn.tx.write(&PeerMessage::Progress { key }).await
    }

    /// Queues a message of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too long.
    pub(super) fn queue_answer(&mut self, msg: &PeerMessage) -> Result<(), FrameError> {
        self.schedule = None;
        self.conn.tx.queue(msg)?;
        if self.conn.rx.is_in_process() {
            return Ok(());
        }
        self.answer.add(msg);
        if self.answer.is_too_long() {
            self.open.forbid_resume();
        }
        Ok(())
    }

    /// Sends the queued messages, and the whole answer again if the entry continues on another
    /// connection meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub(super) async fn flush(&mut self) -> Result<(), FrameError> {
        loop {
            // The write is not cancel safe, but a replaced connection is not used any more.
            tokio::select! {
                result = self.conn.tx.flush() => return result,
                Some(conn) = self.new_conns.recv(), if !self.answer.is_too_long() => {
                    self.replace_conn(*conn).await?;
                }
            }
        }
    }

    /// Uses the newest connection of the entry, so that the end of an exchange without an answer
    /// reaches it there.
    pub(super) fn adopt_new_conn(&mut self) {
        self.open.forbid_resume();
        while let Ok(conn) = self.new_conns.try_recv() {
            self.conn = *conn;
        }
    }

    /// Sends the rest of the answer, and keeps all of it for an entry that does not receive it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub(super) async fn finish_answer(&mut self) -> Result<(), FrameError> {
        let mut result = self.flush().await;
        while !self.answer.is_too_long()
            && let Ok(conn) = self.new_conns.try_recv()
        {
            result = match self.replace_conn(*conn).await {
                Ok(()) => self.flush().await,
                Err(e) => Err(e),
            };
        }
        self.open.forbid_resume();
        if let SentAnswer::Kept(parts) = std::mem::take(&mut self.answer) {
            let mut answers = self.node.exchange_links.answers.borrow_mut();
            let now = self.node.now();
            answers.put(now, self.key, parts.messages().into(), parts.bytes);
        }
        result
    }
}
