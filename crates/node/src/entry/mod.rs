//! The entry: takes requests of callers and has them run by a guard.

mod answer;
mod attempt;
mod body;
mod call;
mod conn;
mod flight;
pub(crate) mod listener;
mod reply;

use std::rc::Rc;

use actix_http::StatusCode;
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use plantainpost_core::{
    ids::{NodeName, RequestId},
    retry::{AttemptOutcome, RetryDecision, RetryQuery},
    time::Instant,
};
use plantainpost_http1::RequestHead;
use plantainpost_wire::message::FailReason;

use self::{
    answer::{Outcome, OwnAnswer},
    attempt::{Attempt, AttemptEnd, Cause},
    call::{BadRequest, Call},
    conn::{Incoming, RequestBody},
    reply::{Gone, Reply},
};
use slog::info;

use crate::{
    node::Node,
    trace::{AttemptTrace, RequestTrace},
};

/// Starts the task that answers one request of a caller.
pub(crate) fn handle(node: Rc<Node>, incoming: Incoming) -> JoinHandle<()> {
    actix_rt::spawn(answer_request(node, incoming))
}

async fn answer_request(node: Rc<Node>, incoming: Incoming) {
    node.metrics.count("entry.request");
    let Incoming {
        head,
        body,
        received,
        reply,
    } = incoming;
    let id = call::new_id();
    if node.stop.is_closing() {
        let public_id = call::public_id(&node, id, &head);
        return refuse_at_stop(&node, &public_id, reply).await;
    }
    let public_id = call::public_id(&node, id, &head);
    let call = receive(&node, id, &public_id, received, head, body).await;
    let sent = match call {
        Ok(call) => {
            let call = Rc::new(call);
            let mut run = Run::new(&node, &call);
            let end = run.complete().await;
            run.finish(end, reply).await
        }
        Err(answer) => {
            node.metrics.count("entry.bad_request");
            info!(node.logger, "request refused"; "request" => %String::from_utf8_lossy(&public_id),
                "status" => answer.status.as_u16(), "reason" => answer.reason);
            answer.send(&node.settings.headers, &public_id, reply).await
        }
    };
    if sent.is_err() {
        node.metrics.count("entry.caller_gone");
    }
}

/// Refuses a request that came so late in a stop that its answer could be cut.
async fn refuse_at_stop(node: &Node, public_id: &Bytes, reply: Reply) {
    node.metrics.count("entry.refused_at_stop");
    let answer = OwnAnswer {
        close: true,
        ..OwnAnswer::not_run("stopping")
    };
    info!(node.logger, "request refused"; "request" => %String::from_utf8_lossy(public_id),
        "reason" => answer.reason);
    if answer
        .send(&node.settings.headers, public_id, reply)
        .await
        .is_err()
    {
        node.metrics.count("entry.caller_gone");
    }
}

/// Takes a request up to the point at which it can be sent to a guard.
async fn receive(
    node: &Rc<Node>,
    id: RequestId,
    public_id: &Bytes,
    received: Instant,
    head: RequestHead,
    body: RequestBody,
) -> Result<Call, OwnAnswer> {
    let refused = |reason| OwnAnswer::bad_request(reason, Outcome::NotRun);
    let rule = call::rule(node, &head).map_err(refused)?;
    let body_until = received.saturating_add_millis(rule.timeout_ms);
    let call = call::receive(node, id, public_id.clone(), rule, received, head, body);
    match node.clock.timeout_at(body_until, call).await {
        Some(call) => call.map_err(refused),
        None => Err(OwnAnswer {
            status: StatusCode::REQUEST_TIMEOUT,
            close: true,
            ..refused(BadRequest::Incomplete)
        }),
    }
}

/// Attempts that a guard may refuse because of a slow moment of its target's host. The next
/// one waits for the end of the moment. Slow moments of hosts are mostly independent, so that
/// three at once are rare.
const MAX_DECLINES: usize = 3;

type AttemptFuture = LocalBoxFuture<'static, (Attempt, AttemptEnd)>;

/// All attempts of one request.
struct Run<'a> {
    node: &'a Rc<Node>,
    call: &'a Rc<Call>,
    /// Attempts in flight: one, or two while a hedge is out.
    running: FuturesUnordered<AttemptFuture>,
    /// Nodes that were tried, which are not chosen again.
    tried: Vec<NodeName>,
    /// When to think of a hedge, while none was sent.
    hedge: Option<HedgePlan>,
    /// Why the outcome of an ended attempt is unknown. A later attempt that was not run
    /// says nothing about that one.
    unknown: Option<&'static str>,
    /// Attempts that reached a target.
    reached: u32,
    traces: Vec<AttemptTrace>,
}

impl<'a> Run<'a> {
    fn new(node: &'a Rc<Node>, call: &'a Rc<Call>) -> Self {
        Run {
            node,
            call,
            running: FuturesUnordered::new(),
            tried: Vec::new(),
            hedge: HedgePlan::of(node, call),
            unknown: None,
            reached: 0,
            traces: Vec::new(),
        }
    }

    /// Runs attempts until one gives the answer or no further one is allowed.
    async fn complete(&mut self) -> AttemptEnd {
        if let Err(reason) = self.start(Cause::First) {
            return AttemptEnd::NotRun {
                reason,
                reached: false,
            };
        }
        loop {
            let hedge = wait_for_hedge(self.node, self.hedge);
            let done = tokio::select! {
                done = self.running.next() => done,
                () = self.node.stop.wait_for_abort() => return AttemptEnd::Unknown("stopping"),
                () = hedge => {
                    self.hedge();
                    continue;
                }
            };
            let Some((attempt, end)) = done else {
                return AttemptEnd::Unknown("no-attempt");
            };
            self.record(&attempt, &end);
            if let AttemptEnd::Unknown(reason) = end {
                self.unknown.get_or_insert(reason);
            }
            self.reached += u32::from(end.has_reached_target());
            let is_last = self.running.is_empty();
            if matches!(end, AttemptEnd::Response(_)) || (is_last && !self.retry(&end)) {
                return self.outcome_of_all(end);
            }
        }
    }

    /// Turns the end of the last attempt into the end of the request.
    fn outcome_of_all(&self, last: AttemptEnd) -> AttemptEnd {
        match (last, self.unknown) {
            (AttemptEnd::NotRun { .. }, Some(reason)) => AttemptEnd::Unknown(reason),
            (last, _) => last,
        }
    }

    fn start(&mut self, cause: Cause) -> Result<(), &'static str> {
        let now = self.node.now();
        let chosen = self.node.balancer.borrow_mut().choose_target_for_size(
            now,
            self.call.rule.service.as_str(),
            self.call.bytes(),
            &self.tried,
            &mut *self.node.rng.borrow_mut(),
        );
        let peer = chosen.map_err(|_| "no-target")?;
        let service = self.call.rule.service.as_str();
        let targets = self.node.balancer.borrow().target_count(service);
        if cause == Cause::First {
            // Only services with targets get an account: callers can make up names.
            let service = self.call.rule.service.as_str();
            self.node
                .retry_budgets
                .borrow_mut()
                .on_request(now, service);
        }
        let attempt = Attempt {
            peer: peer.clone(),
            number: self.tried.len() as u32,
            cause,
            may_decline: self.tried.len() + 1 < targets.min(MAX_DECLINES + 1),
            started: now,
        };
        self.tried.push(peer);
        let (node, call) = (Rc::clone(self.node), Rc::clone(self.call));
        self.running.push(Box::pin(async move {
            let end = attempt::run(&node, &call, &attempt).await;
            (attempt, end)
        }));
        Ok(())
    }

    /// Sends a hedge if the target looks slow or the request is long overdue. Hedges of
    /// requests that are only in the tail of healthy targets would use up the budget.
    fn hedge(&mut self) {
        let now = self.node.now();
        let Some(plan) = &mut self.hedge else { return };
        let tried = self.tried.first();
        let balancer = self.node.balancer.borrow();
        let slow = tried.is_some_and(|peer| balancer.is_slow(now, peer.as_str()));
        drop(balancer);
        let service = self.call.rule.service.as_str();
        if !slow && now < plan.overdue_at {
            let look_us = self
                .node
                .retry_budgets
                .borrow_mut()
                .hedge_check_interval_us(service);
            let next = look_us.map(|us| now.saturating_add_micros(us));
            plan.look_at = next.unwrap_or(plan.overdue_at);
            return;
        }
        self.hedge = None;
        let allowed = self.node.retry_budgets.borrow_mut().try_hedge(now, service);
        if allowed && self.start(Cause::Hedge).is_ok() {
            self.node.metrics.count("entry.hedge");
        }
    }

    /// Starts another attempt if the outcome and the budget allow it.
    fn retry(&mut self, end: &AttemptEnd) -> bool {
        let outcome = match end {
            AttemptEnd::NotRun { .. } => AttemptOutcome::NotRun,
            AttemptEnd::Unknown(_) => AttemptOutcome::Unknown,
            AttemptEnd::Response(_) | AttemptEnd::BadRequest(_) => return false,
        };
        let query = RetryQuery {
            service: self.call.rule.service.as_str(),
            outcome,
            idempotent: self.call.rule.idempotent,
            answer_started: self.call.upload_started(),
            attempts: self.tried.len() as u32,
            targets_reached: self.reached,
            last_reached_target: end.has_reached_target(),
            max_targets_reached: self.call.rule.max_reached,
            deadline: self.call.deadline,
        };
        let now = self.node.now();
        let decision = self.node.retry_budgets.borrow_mut().try_retry(now, &query);
        if decision != RetryDecision::Retry {
            self.node.metrics.count("entry.retry_denied");
            return false;
        }
        self.node.metrics.count("entry.retry");
        self.start(Cause::Retry).is_ok()
    }

    fn record(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        self.traces.push(AttemptTrace {
            node: attempt.peer.clone(),
            cause: attempt.cause.as_str(),
            result: end.describe(),
            micros: self.node.now().micros_since(attempt.started),
        });
    }

    /// Notes how the request ended, and answers it.
    async fn finish(self, end: AttemptEnd, reply: Reply) -> Result<(), Gone> {
        let (node, call) = (self.node, self.call);
        self.trace(&end);
        let names = &node.settings.headers;
        let answer = match end {
            AttemptEnd::Response(answer) => return answer.pass_on(call, reply).await,
            AttemptEnd::NotRun { reason, .. } => OwnAnswer::not_run(reason),
            AttemptEnd::Unknown(reason) => {
                // The guard's clock may be a little ahead.
                let is_past = reason == FailReason::Deadline.as_str();
                OwnAnswer::unknown(reason, is_past || node.now() >= call.deadline)
            }
            AttemptEnd::BadRequest(reason) => OwnAnswer::bad_request(reason, Outcome::Unknown),
        };
        answer.send(names, &call.public_id, reply).await
    }

    fn trace(self, end: &AttemptEnd) {
        let (node, call) = (self.node, self.call);
        let outcome = end.outcome();
        let micros = node.now().micros_since(call.received);
        node.metrics.count(match outcome {
            Outcome::Answered => "entry.answered",
            Outcome::NotRun => "entry.not_run",
            Outcome::Unknown => "entry.unknown",
        });
        node.metrics.latency("entry.head_us", micros);
        let attempts: Vec<String> = self.traces.iter().map(AttemptTrace::describe).collect();
        info!(node.logger, "request ended"; "request" => %call.public_id(),
            "service" => call.rule.service.as_str(),
            "route" => call.rule.route.as_ref().map(|route| route.name.to_string()),
            "version" => call.rule.version, "outcome" => outcome.as_str(),
            "result" => end.describe(), "attempts" => attempts.join(", "), "us" => micros);
        node.traces.borrow_mut().push(RequestTrace {
            id: call.id,
            service: call.rule.service.as_str().to_owned(),
            method: call.method.clone(),
            idempotent: call.rule.idempotent,
            outcome: outcome.as_str(),
            micros,
            attempts: self.traces,
        });
    }
}

/// When to think of a hedge.
#[derive(Clone, Copy)]
struct HedgePlan {
    /// When to look whether the target is slow.
    look_at: Instant,
    /// When to send the hedge whatever the target looks like.
    overdue_at: Instant,
}

impl HedgePlan {
    fn of(node: &Node, call: &Call) -> Option<Self> {
        if !call.is_buffered() {
            return None;
        }
        let now = node.now();
        let mut retries = node.retry_budgets.borrow_mut();
        let service = call.rule.service.as_str();
        let p95_at = retries.hedge_at(
            now,
            service,
            call.rule.idempotent,
            call.hedged,
            call.deadline,
        )?;
        let look_us = retries.hedge_check_interval_us(service)?;
        Some(HedgePlan {
            look_at: now.saturating_add_micros(look_us),
            overdue_at: p95_at.saturating_add_micros(p95_at.micros_since(now)),
        })
    }
}

async fn wait_for_hedge(node: &Node, plan: Option<HedgePlan>) {
    match plan {
        Some(plan) => node.clock.sleep_until(plan.look_at).await,
        None => std::future::pending().await,
    }
}
