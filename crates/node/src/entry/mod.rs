//! The entry: receives requests of callers, chooses a target for each and sends it to the guard
//! on the target's host, with retries and hedges.

mod attempt;
mod body_remainder;
mod caller_close;
mod caller_request;
mod caller_write;
mod conn;
mod decisions;
pub(crate) mod dry_run;
mod exchange;
mod hedge;
mod held_body;
mod in_flight;
pub(crate) mod listener;
mod outcome;
mod response;
mod response_writer;
mod shedding;
mod target_response;

use std::rc::Rc;

use actix_http::StatusCode;
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use plantainpost_core::{
    admission::RefuseReason,
    balance::ChoiceError,
    ids::{NodeName, RequestId},
    quota::Credit,
    retry::{AttemptOutcome, RetryDecision},
    time::Instant,
};
use plantainpost_http1::RequestHead;

pub(crate) use self::response::CallerOutcome;

use self::{
    attempt::{Attempt, AttemptCause, AttemptEnd},
    caller_request::{BadRequest, CallerRequest, RequestPolicy},
    conn::{IncomingRequest, RequestBody},
    hedge::{HedgePlan, wait_for_hedge},
    outcome::RefusedRequest,
    response::LocalResponse,
    response_writer::{CallerGone, ResponseWriter},
};
use tokio::sync::Notify;

use crate::{
    node::Node,
    quota::{self, OverQuota},
    trace::AttemptTrace,
};

/// Spawns the task that responds to one request of a caller.
pub(crate) fn spawn_request_task(node: Rc<Node>, incoming: IncomingRequest) -> JoinHandle<()> {
    actix_rt::spawn(respond_to_request(node, incoming))
}

async fn respond_to_request(node: Rc<Node>, incoming: IncomingRequest) {
    node.metrics.count("entry.request");
    let IncomingRequest {
        head,
        body,
        received_at,
        is_from_own_host,
        writer,
    } = incoming;
    let id = caller_request::new_request_id();
    let public_id = caller_request::public_id(&node, id, &head);
    let refused = |version| RefusedRequest {
        id,
        public_id: &public_id,
        received_at,
        version,
    };
    let sent = if node.stop.is_closing() {
        node.metrics.count("entry.refused_at_stop");
        // The response to a request that arrives now could be truncated.
        let response = LocalResponse {
            close: true,
            ..LocalResponse::not_run("stopping")
        };
        let refused = refused(routes_version(&node));
        refused.finish(&node, response, writer).await
    } else {
        let policy = caller_request::request_policy(&node, &head, is_from_own_host).await;
        // Taken before the body is read, as the routes may change meanwhile.
        let version = match &policy {
            Ok(policy) => policy.routes_version(),
            Err(_) => routes_version(&node),
        };
        let request =
            receive_before_timeout(&node, id, &public_id, policy, received_at, head, body).await;
        match request {
            Ok(request) => run_request(&node, request, writer).await,
            Err(response) => {
                node.metrics.count("entry.bad_request");
                if response.status == StatusCode::UNAUTHORIZED {
                    node.metrics.count("entry.unauthorized");
                }
                refused(version).finish(&node, response, writer).await
            }
        }
    };
    if sent.is_err() {
        node.metrics.count("entry.caller_gone");
    }
}

/// Returns the version of the routes in force, if there are any.
fn routes_version(node: &Node) -> Option<u64> {
    let config = node.config.borrow();
    config.routes().map(|table| table.version())
}

/// Runs a request within the quota of its workspace and sends the response.
async fn run_request(
    node: &Rc<Node>,
    request: CallerRequest,
    writer: ResponseWriter,
) -> Result<(), CallerGone> {
    let request = Rc::new(request);
    let workspace = request.policy.workspace.as_ref();
    let credit = quota::take_credit(node, workspace, request.deadline).await;
    let mut execution = RequestExecution::new(node, &request);
    let end = execution.run_with_credit(credit).await;
    execution.finish_request(end, writer).await
}

/// Validates a request and reads the start of its body within the timeout of its policy.
async fn receive_before_timeout(
    node: &Rc<Node>,
    id: RequestId,
    public_id: &Bytes,
    policy: Result<RequestPolicy, BadRequest>,
    received_at: Instant,
    head: RequestHead,
    body: RequestBody,
) -> Result<CallerRequest, LocalResponse> {
    let to_response = |reason| LocalResponse::bad_request(reason, CallerOutcome::NotRun);
    let policy = policy.map_err(to_response)?;
    let body_deadline = received_at.saturating_add_millis(policy.timeout_ms);
    let request = caller_request::receive_request(
        node,
        id,
        public_id.clone(),
        policy,
        received_at,
        head,
        body,
    );
    match node.clock.timeout_at(body_deadline, request).await {
        Some(request) => request.map_err(to_response),
        None => Err(LocalResponse {
            status: StatusCode::REQUEST_TIMEOUT,
            close: true,
            ..to_response(BadRequest::BodyIncomplete)
        }),
    }
}

type AttemptFuture = LocalBoxFuture<'static, (Attempt, AttemptEnd)>;

/// The attempts of one request.
struct RequestExecution<'a> {
    node: &'a Rc<Node>,
    request: &'a Rc<CallerRequest>,
    /// Attempts in flight: one, and further ones for a hedge and for each guard that gives no sign of
    /// life.
    in_flight: FuturesUnordered<AttemptFuture>,
    /// Nodes that were tried. They are not chosen again.
    tried_nodes: Vec<NodeName>,
    /// When to consider a hedge. `None` if the request can't be hedged, or once a hedge was sent
    /// or denied.
    hedge_plan: Option<HedgePlan>,
    /// Reason of the first attempt whose outcome is unknown. It takes precedence over later
    /// attempts that were not run, as that attempt may have run.
    unknown_reason: Option<&'static str>,
    /// Number of attempts that reached a target.
    targets_reached: u32,
    /// Number of attempts that a guard refused because of an evacuation. They count as none, because this
    /// entry may learn of an evacuation later than the guards.
    evacuated_refusals: usize,
    traces: Vec<AttemptTrace>,
    /// Notified by an attempt whose guard gives no sign of life.
    unresponsive: Rc<Notify>,
}

impl<'a> RequestExecution<'a> {
    fn new(node: &'a Rc<Node>, request: &'a Rc<CallerRequest>) -> Self {
        RequestExecution {
            hedge_plan: HedgePlan::new(node, request),
            ..Self::new_without_hedge(node, request)
        }
    }

    fn new_without_hedge(node: &'a Rc<Node>, request: &'a Rc<CallerRequest>) -> Self {
        RequestExecution {
            node,
            request,
            in_flight: FuturesUnordered::new(),
            tried_nodes: Vec::new(),
            hedge_plan: None,
            unknown_reason: None,
            targets_reached: 0,
            evacuated_refusals: 0,
            traces: Vec::new(),
            unresponsive: Rc::default(),
        }
    }

    /// Runs attempts if there is credit for the request.
    async fn run_with_credit(&mut self, credit: Result<Option<Credit>, OverQuota>) -> AttemptEnd {
        let credit = match credit {
            Ok(credit) => credit,
            Err(refusal) => return AttemptEnd::OverQuota(refusal),
        };
        let end = self.run_attempts().await;
        if let (AttemptEnd::NotRun { .. }, Some(credit)) = (&end, &credit) {
            quota::give_back(self.node, credit);
        }
        end
    }

    /// Runs attempts until one receives a response or no further attempt is allowed.
    async fn run_attempts(&mut self) -> AttemptEnd {
        if let Err(reason) = self.start_first_attempt().await {
            return AttemptEnd::NotRun {
                reason,
                reached_target: false,
            };
        }
        loop {
            let hedge = wait_for_hedge(self.node, self.hedge_plan);
            let done = tokio::select! {
                done = self.in_flight.next() => done,
                () = self.node.stop.wait_for_abort() => return AttemptEnd::Unknown("stopping"),
                () = hedge => {
                    self.consider_hedge();
                    continue;
                }
                () = self.unresponsive.notified() => {
                    self.try_another_guard();
                    continue;
                }
            };
            let Some((attempt, end)) = done else {
                return AttemptEnd::Unknown("no-attempt");
            };
            self.record_attempt(&attempt, &end);
            if let AttemptEnd::Unknown(reason) = end {
                self.unknown_reason.get_or_insert(reason);
            }
            self.targets_reached += u32::from(end.has_reached_target());
            self.evacuated_refusals += usize::from(end.is_evacuated());
            let is_last = self.in_flight.is_empty();
            if matches!(end, AttemptEnd::Response(_)) || (is_last && !self.try_retry(&end)) {
                return self.combine_outcomes(end);
            }
        }
    }

    /// Returns the end of the request, given the end of its last attempt.
    fn combine_outcomes(&self, last: AttemptEnd) -> AttemptEnd {
        match (last, self.unknown_reason) {
            (AttemptEnd::NotRun { .. }, Some(reason)) => AttemptEnd::Unknown(reason),
            (last, _) => last,
        }
    }

    /// Starts the first attempt. If this node has just started, waits until it knows a target.
    async fn start_first_attempt(&mut self) -> Result<(), &'static str> {
        let (startup, clock) = (&self.node.startup, self.node.clock);
        loop {
            if self.is_too_cold(&self.node.balancer.borrow(), self.request.deadline) {
                self.node.metrics.count("entry.refused_cold");
                return Err(RefuseReason::Cold.as_str());
            }
            let started = self.start_attempt(AttemptCause::First);
            let may_change = started.is_err() && self.request.check_key(self.node).is_ok();
            if !may_change || !startup.wait_for_change(clock, self.request.deadline).await {
                return started;
            }
        }
    }

    fn start_attempt(&mut self, cause: AttemptCause) -> Result<(), &'static str> {
        let now = self.node.now();
        let claim = self
            .request
            .check_key(self.node)
            .map_err(RefuseReason::as_str)?;
        let chosen = {
            let mut balancer = self.node.balancer.borrow_mut();
            let query = self.target_query(&balancer);
            balancer.choose_target_for(now, &query, &mut *self.node.rng.borrow_mut())
        };
        let peer = chosen.map_err(ChoiceError::reason)?;
        if cause == AttemptCause::First {
            // Only services with targets get a retry budget, since callers can send any number
            // of made-up names.
            let service = self.request.policy.service.as_str();
            self.node
                .retry_budgets
                .borrow_mut()
                .on_request(now, service);
        }
        let attempt = Attempt {
            peer: peer.clone(),
            number: self.tried_nodes.len() as u32,
            cause,
            may_refuse_if_slow: self.may_refuse_if_slow(&self.node.balancer.borrow(), now, &peer),
            claim,
            started_at: now,
            unresponsive: Rc::clone(&self.unresponsive),
        };
        self.tried_nodes.push(peer);
        let (node, request) = (Rc::clone(self.node), Rc::clone(self.request));
        self.in_flight.push(Box::pin(async move {
            let end = attempt::run_attempt(&node, &request, &attempt).await;
            (attempt, end)
        }));
        Ok(())
    }

    /// Sends a hedge if the target is slow or the request is past `overdue_at`. Hedges for
    /// requests in the normal latency tail of healthy targets would use up the budget.
    fn consider_hedge(&mut self) {
        let now = self.node.now();
        let Some(plan) = &mut self.hedge_plan else {
            return;
        };
        let first_node = self.tried_nodes.first();
        let balancer = self.node.balancer.borrow();
        let is_slow = first_node.is_some_and(|peer| {
            balancer.is_slow(now, peer.as_str(), self.request.policy.allowed_regions())
        });
        drop(balancer);
        let service = self.request.policy.service.as_str();
        if !is_slow && now < plan.overdue_at {
            let check_interval_us = self
                .node
                .retry_budgets
                .borrow_mut()
                .hedge_check_interval_us(service);
            let next = check_interval_us.map(|us| now.saturating_add_micros(us));
            plan.check_at = next.unwrap_or(plan.overdue_at);
            return;
        }
        self.hedge_plan = None;
        // A hedge that has to wait at a cold target would come too late, and take a start from another
        // request.
        if self.is_too_cold(&self.node.balancer.borrow(), now.saturating_add_millis(1)) {
            return;
        }
        let allowed = self.node.retry_budgets.borrow_mut().try_hedge(now, service);
        if allowed && self.start_attempt(AttemptCause::Hedge).is_ok() {
            self.node.metrics.count("entry.hedge");
        }
    }

    /// Starts another attempt if the outcome and the retry budget allow it.
    fn try_retry(&mut self, end: &AttemptEnd) -> bool {
        let outcome = match end {
            // The other guards get the configuration without the key as well.
            AttemptEnd::NotRun { reason, .. } if *reason == RefuseReason::KeyWithdrawn.as_str() => {
                return false;
            }
            AttemptEnd::NotRun { .. } => AttemptOutcome::NotRun,
            AttemptEnd::Unknown(_) => AttemptOutcome::Unknown,
            AttemptEnd::Response(_) | AttemptEnd::BadRequest(_) | AttemptEnd::OverQuota(_) => {
                return false;
            }
        };
        self.start_retry(outcome, self.targets_reached, end.has_reached_target())
    }

    /// Sends the request to another guard as well if the one that has it gives no sign of life.
    /// That one may run it all the same.
    fn try_another_guard(&mut self) {
        let targets_reached = self.targets_reached + self.in_flight.len() as u32;
        if self.start_retry(AttemptOutcome::Unknown, targets_reached, true) {
            self.node.metrics.count("entry.moved");
        }
    }

    fn start_retry(
        &mut self,
        outcome: AttemptOutcome,
        targets_reached: u32,
        last_reached_target: bool,
    ) -> bool {
        if self.is_too_cold(&self.node.balancer.borrow(), self.request.deadline) {
            self.node.metrics.count("entry.refused_cold");
            return false;
        }
        let query = self.retry_query(outcome, targets_reached, last_reached_target);
        let now = self.node.now();
        let decision = self.node.retry_budgets.borrow_mut().try_retry(now, &query);
        if decision != RetryDecision::Retry {
            self.node.metrics.count("entry.retry_denied");
            return false;
        }
        self.node.metrics.count("entry.retry");
        self.start_attempt(AttemptCause::Retry).is_ok()
    }
}
