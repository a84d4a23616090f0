//! Admission, dispatch and refusal of one request.

use std::{collections::VecDeque, rc::Rc};

use bytes::Bytes;
use plantainpost_core::{
    admission::{Admission, DispatchDecision, Offer, RefuseReason, Urgency},
    time::Instant,
};
use plantainpost_http1::{self as http1, Connection};
use plantainpost_wire::{
    frame::FrameError,
    message::{BodyLength, FailReason, MAX_BODY_FRAME_BYTES, PeerMessage, PeerRequestHead},
};
use slog::info;
use tokio::sync::oneshot;

use super::{
    ConnState, InboundConn, framing,
    key_check::{refuse_if_withdrawn, wait_for_key_change, wait_until_startable},
    link::{ExchangeLink, LinkEvent},
    relay,
    slot::{Slot, UndispatchedRequest},
    state_after_write, to_local_clock,
};
use crate::{config_recheck, node::Node, pace};

/// Time for reading the rest of the body of a request from its entry after the request has
/// ended, in milliseconds.
const BODY_DRAIN_TIMEOUT_MS: u64 = 5_000;

/// The part of a request body that was received from the entry.
pub(super) struct ReceivedBody {
    /// Pieces that were not sent to the target yet. At most [`MAX_BODY_FRAME_BYTES`] bytes before
    /// the request is dispatched.
    pub(super) pieces: VecDeque<Bytes>,
    /// Total bytes received.
    pub(super) received_bytes: u64,
    /// Whether the end of the body was received.
    pub(super) is_complete: bool,
}

impl ReceivedBody {
    fn new(length: BodyLength) -> Self {
        ReceivedBody {
            pieces: VecDeque::new(),
            received_bytes: 0,
            is_complete: matches!(length, BodyLength::None | BodyLength::Sized(0)),
        }
    }

    /// Adds a frame of the body. Fails on any other frame, and if the end of the body doesn't
    /// match the received bytes or `stated_length`.
    pub(super) fn receive(
        &mut self,
        stated_length: BodyLength,
        msg: PeerMessage,
    ) -> Result<(), ()> {
        match msg {
            PeerMessage::Body(piece)
                if !self.is_complete && piece.len() <= MAX_BODY_FRAME_BYTES =>
            {
                self.received_bytes += piece.len() as u64;
                self.pieces.push_back(piece);
                Ok(())
            }
            PeerMessage::BodyEnd { length, .. }
                if !self.is_complete && length == self.received_bytes =>
            {
                self.is_complete = true;
                match stated_length {
                    BodyLength::Sized(stated_length) if stated_length != length => Err(()),
                    _ => Ok(()),
                }
            }
            _ => Err(()),
        }
    }
}

/// A request that was received from an entry.
pub(super) struct PendingRequest {
    pub(super) head: PeerRequestHead,
    /// Deadline on the local clock.
    pub(super) deadline: Instant,
    /// Whether the entry was asked for the part of the body that it keeps until the request is
    /// started.
    pub(super) continue_sent: bool,
    /// When the entry stops, on the local clock; `None` unless it is stopping.
    pub(super) answer_by: Option<Instant>,
    /// Urgency, with its instants on the local clock.
    pub(super) urgency: Urgency,
    pub(super) body: ReceivedBody,
}

impl PendingRequest {
    /// Returns `true` if the entry sends the body unasked, or was asked for it.
    fn is_body_expected(&self) -> bool {
        self.continue_sent || !framing::needs_continue(self.head.body)
    }

    /// Returns the name of the workspace for logs.
    pub(super) fn workspace(&self) -> Option<String> {
        let claim = self.head.claim.as_ref();
        claim.map(|claim| claim.workspace.to_string())
    }

    /// Returns the id of the request for logs.
    pub(super) fn public_id(&self, node: &Node) -> String {
        let name = node.settings.headers.request_id;
        let id = http1::header_value(&self.head.headers, name).unwrap_or_default();
        String::from_utf8_lossy(id).into_owned()
    }
}

/// Result of waiting for a slot.
enum SlotWait {
    Dispatch,
    Refused(RefuseReason),
    /// The entry closed the connection or violated the protocol.
    EntryGone,
}

/// Admits one request and relays it to the target, or refuses it. Returns the connection to use
/// for further requests, which may be another one.
pub(super) async fn serve_request(
    node: &Rc<Node>,
    conn: InboundConn,
    head: PeerRequestHead,
) -> (ConnState, InboundConn) {
    let mut link = ExchangeLink::new(node, head.key, conn);
    let state = serve_on_link(node, &mut link, head).await;
    (state, link.conn)
}

async fn serve_on_link(
    node: &Rc<Node>,
    link: &mut ExchangeLink,
    head: PeerRequestHead,
) -> ConnState {
    node.metrics.count("guard.request");
    let deadline = to_local_clock(&link.conn, head.deadline);
    let body = ReceivedBody::new(head.body);
    let urgency = Urgency {
        due: head.urgency.due.map(|due| to_local_clock(&link.conn, due)),
        ..head.urgency
    };
    let answer_by = head.answer_by.map(|at| to_local_clock(&link.conn, at));
    let mut req = PendingRequest {
        head,
        deadline,
        answer_by,
        continue_sent: false,
        urgency,
        body,
    };
    let key = req.head.key;
    pace::refresh_pace(node).await;
    // An entry that is cut off or was frozen may have admitted the request by a key that was withdrawn.
    if req.head.claim.is_some()
        && let ConfigWait::EntryGone = wait_for_config(node, link, &mut req).await
    {
        return ConnState::MustClose;
    }
    let admission = match refuse_if_withdrawn(node, &req) {
        Some(reason) => Admission::Refused(reason),
        None => offer_request(node, &req),
    };
    let undispatched = match admission {
        Admission::Refused(reason) => return send_refusal(node, link, req, reason).await,
        Admission::Start | Admission::Queued => UndispatchedRequest::new(node, key),
    };
    if req.body.is_complete {
        link.allow_resume();
    }
    let wait_result = match admission {
        Admission::Queued => wait_for_slot(node, link, &mut req).await,
        _ => SlotWait::Dispatch,
    };
    match wait_result {
        SlotWait::Dispatch => dispatch_request(node, link, req, undispatched).await,
        SlotWait::Refused(reason) => {
            undispatched.disarm();
            send_refusal(node, link, req, reason).await
        }
        SlotWait::EntryGone => ConnState::MustClose,
    }
}

fn offer_request(node: &Rc<Node>, req: &PendingRequest) -> Admission {
    // After a suspension this may run before the next tick, and would give a slot.
    config_recheck::observe(node);
    let offer = Offer {
        key: req.head.key,
        service: req.head.service.as_str(),
        deadline: req.deadline,
        has_alternative: req.head.may_refuse_if_slow,
        answer_by: req.answer_by,
        urgency: req.urgency,
    };
    node.guard.borrow_mut().offer(node.now(), &offer)
}

/// Waits until a queued request gets a slot or is refused. Meanwhile receives the body and
/// detects that the entry closes the connection.
async fn wait_for_slot(node: &Node, link: &mut ExchangeLink, req: &mut PendingRequest) -> SlotWait {
    let (tx, mut rx) = oneshot::channel();
    node.waiters.borrow_mut().insert(req.head.key, tx);
    wake_displaced(node);
    node.pace.notify_request_queued();
    let has_claim = req.head.claim.is_some();
    loop {
        let event = tokio::select! {
            woken = &mut rx => return match woken {
                Ok(Admission::Start) => SlotWait::Dispatch,
                Ok(Admission::Refused(reason)) => SlotWait::Refused(reason),
                Ok(Admission::Queued) | Err(_) => SlotWait::EntryGone,
            },
            event = link.next_event() => event,
            () = wait_for_key_change(node, has_claim) => match refuse_if_withdrawn(node, req) {
                Some(reason) => return SlotWait::Refused(reason),
                None => continue,
            },
        };
        if handle_link_event(link, req, event).await.is_err() {
            return SlotWait::EntryGone;
        }
    }
}

/// Tells the requests that an arriving one has displaced, so that their entries can send them
/// elsewhere at once.
fn wake_displaced(node: &Node) {
    let has_refusals = node.guard.borrow().has_pending_refusals();
    if has_refusals {
        let wakeups = node.guard.borrow_mut().expire(node.now());
        node.wake_waiters(wakeups);
    }
}

/// Handles an event of a link before the answer has begun. Fails if the entry has gone or violated
/// the protocol.
pub(super) async fn handle_link_event(
    link: &mut ExchangeLink,
    req: &mut PendingRequest,
    event: LinkEvent,
) -> Result<(), ()> {
    match event {
        LinkEvent::Message(msg) => {
            receive_body(req, msg)?;
            if req.body.is_complete {
                link.allow_resume();
            }
            Ok(())
        }
        LinkEvent::Replaced(conn) => link.replace_conn(*conn).await.map_err(|_| ()),
        LinkEvent::ProgressDue => link.send_progress().await.map_err(|_| ()),
    }
}

fn receive_body(req: &mut PendingRequest, msg: Result<PeerMessage, FrameError>) -> Result<(), ()> {
    let stated_length = req.head.body;
    req.body.receive(stated_length, msg.map_err(|_| ())?)
}

/// Connects to the target, makes the final admission check and relays the request.
async fn dispatch_request(
    node: &Rc<Node>,
    link: &mut ExchangeLink,
    mut req: PendingRequest,
    undispatched: UndispatchedRequest,
) -> ConnState {
    let key = req.head.key;
    // The connection is opened first, so that the deadline is checked immediately before the
    // request is written.
    let target_conn = loop {
        let target_conn = match connect_to_target(node, req.deadline).await {
            Ok(target_conn) => target_conn,
            Err(ConnectFailure::NoTarget) => {
                drop(undispatched);
                return send_refusal(node, link, req, RefuseReason::NoTarget).await;
            }
            Err(ConnectFailure::ConnectError) => {
                drop(undispatched);
                return relay::send_failure(node, link, key, false, FailReason::Connect).await;
            }
        };
        let wait_result = wait_for_config(node, link, &mut req).await;
        if let ConfigWait::Current | ConfigWait::Deadline = wait_result {
            break target_conn;
        }
        // The target may have closed the connection meanwhile.
        node.target_pool.release(target_conn, node.now());
        if let ConfigWait::EntryGone = wait_result {
            return ConnState::MustClose;
        }
    };
    let decision = match refuse_if_withdrawn(node, &req) {
        Some(reason) => DispatchDecision::Refused(reason),
        None => node.guard.borrow_mut().dispatch(node.now(), key),
    };
    undispatched.disarm();
    if let DispatchDecision::Refused(reason) = decision {
        node.target_pool.release(target_conn, node.now());
        let wakeups = node.guard.borrow_mut().expire(node.now());
        node.wake_waiters(wakeups);
        return send_refusal(node, link, req, reason).await;
    }
    let slot = Slot::new(node, key);
    relay::relay_request(node, link, req, slot, target_conn).await
}

/// Result of waiting until the configuration may be relied on.
enum ConfigWait {
    /// It may be relied on without a wait.
    Current,
    Waited,
    Deadline,
    /// The entry closed the connection or violated the protocol.
    EntryGone,
}

/// Waits until the configuration may be relied on, at most until the deadline. Meanwhile receives the
/// body, serves the link, and detects that the entry closes the connection.
async fn wait_for_config(
    node: &Rc<Node>,
    link: &mut ExchangeLink,
    req: &mut PendingRequest,
) -> ConfigWait {
    let wait = wait_until_startable(node, req.head.claim.is_some());
    let mut wait = std::pin::pin!(wait);
    loop {
        let event = tokio::select! {
            biased;
            has_waited = &mut wait => return match has_waited {
                true => ConfigWait::Waited,
                false => ConfigWait::Current,
            },
            event = link.next_event() => event,
            () = node.clock.sleep_until(req.deadline) => return ConfigWait::Deadline,
        };
        if handle_link_event(link, req, event).await.is_err() {
            return ConfigWait::EntryGone;
        }
    }
}

/// Why the request can't be sent to the target.
enum ConnectFailure {
    NoTarget,
    ConnectError,
}

async fn connect_to_target(node: &Node, deadline: Instant) -> Result<Connection, ConnectFailure> {
    let now = node.now();
    let target_addr = node.guard.borrow().target(now).map(|target| target.address);
    let target_addr = target_addr.ok_or(ConnectFailure::NoTarget)?;
    let timeout_ms = node.settings.limits.connect_timeout_ms;
    let connect_deadline = now.saturating_add_millis(timeout_ms).min(deadline);
    match node
        .clock
        .timeout_at(connect_deadline, node.target_pool.acquire(target_addr, now))
        .await
    {
        Some(Ok(target_conn)) => Ok(target_conn),
        Some(Err(_)) | None => {
            node.metrics.count("guard.target_connect_error");
            Err(ConnectFailure::ConnectError)
        }
    }
}

/// Tells the entry that the request was refused, and reads the rest of the body, so that the
/// connection can be reused. The part of a body that the entry was not asked for is not sent.
pub(super) async fn send_refusal(
    node: &Node,
    link: &mut ExchangeLink,
    mut req: PendingRequest,
    reason: RefuseReason,
) -> ConnState {
    node.metrics.count("guard.refused");
    match reason {
        RefuseReason::Evacuated => node.metrics.count("guard.refused_evacuated"),
        RefuseReason::Cold => node.metrics.count("guard.refused_cold"),
        RefuseReason::Displaced => node.metrics.count("guard.displaced"),
        _ => (),
    }
    let load = node.guard.borrow().load_sample(node.now());
    info!(node.logger, "request refused"; "request" => %req.public_id(node),
        "workspace" => req.workspace(), "reason" => reason.as_str(), "in_flight" => load.in_flight, "queued" => load.queued,
        "slots" => load.slots, "pace" => load.pace_percent, "draining" => load.draining,
        "left_us" => req.deadline.micros_since(node.now()));
    let key = req.head.key;
    let msg = PeerMessage::Refused { key, reason, load };
    link.adopt_new_conn();
    let conn = &mut link.conn;
    if state_after_write(conn.tx.write(&msg).await) == ConnState::MustClose {
        return ConnState::MustClose;
    }
    discard_body_rest(node, conn, &mut req).await
}

/// Reads the rest of the body and discards it. What follows its end belongs to the next request, which
/// the entry may send as soon as it has received the end of this one.
pub(super) async fn discard_body_rest(
    node: &Node,
    conn: &mut InboundConn,
    req: &mut PendingRequest,
) -> ConnState {
    let drain_deadline = node.now().saturating_add_millis(BODY_DRAIN_TIMEOUT_MS);
    let drain = async {
        while !req.body.is_complete && req.is_body_expected() {
            let msg = conn.rx.read().await;
            receive_body(req, msg)?;
            req.body.pieces.clear();
        }
        Ok::<(), ()>(())
    };
    match node.clock.timeout_at(drain_deadline, drain).await {
        Some(Ok(())) => ConnState::Reusable,
        _ => ConnState::MustClose,
    }
}
