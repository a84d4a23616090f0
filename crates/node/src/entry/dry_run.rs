//! Answers where a request would go now, without sending it.
//!
//! The request takes the same decisions as one of a caller, on copies of the state that they change:
//! `docs/design/routing-dry-run.md`.

use std::rc::Rc;

use bytes::Bytes;
use plantainpost_core::{
    admission::{Admission, Offer, RefuseReason, RequestKey},
    balance::{Balancer, ChoiceError, RequestObservation, RequestOutcome, TargetOption},
    ids::{NodeName, Region},
    load::LoadSample,
    retry::{self, AttemptOutcome},
    routing::Route,
    time::{Instant, MICROS_PER_MILLI},
    workspace::Workspace,
};
use plantainpost_http1::{Framing, RequestHead};
use plantainpost_wire::message::BodyLength;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{
    RequestExecution,
    caller_request::{self, BadRequest, CallerRequest},
    decisions,
    response::{CallerOutcome, LocalResponse},
};
use crate::{
    headers,
    node::Node,
    quota::{self, QuotaPreview},
};

/// The request that an operator asks about. It has no `Debug`, because the key is a secret.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct DryRunQuery {
    host: String,
    path: String,
    method: String,
    /// Key of a workspace, as a caller would send it. Any value is accepted here, because the error of a
    /// wrong type would contain the value; [`request_head`] requires a text.
    key: Option<Value>,
    /// Name of a workspace, in place of a key.
    workspace: Option<String>,
    #[serde(default)]
    body_bytes: u64,
    timeout_ms: Option<u64>,
}

/// What would become of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Start,
    Wait,
    Refused(LocalResponse),
}

/// What would become of one attempt.
struct Trial {
    node: NodeName,
    admission: Admission,
    wait_us: u64,
    /// Age of the load sample that the admission is derived from, in microseconds; `None` if the guard on
    /// this host has decided, or there is no sample.
    sample_age_us: Option<u64>,
    decided_by: &'static str,
}

/// Copies of the state that a request changes, and what happened to it so far.
struct DryRun<'a> {
    node: &'a Rc<Node>,
    now: Instant,
    rng: StdRng,
    balancer: Balancer,
    options: Vec<TargetOption>,
    trials: Vec<Trial>,
}

/// Returns what would become of a request that arrives now.
///
/// # Errors
///
/// Returns what is wrong with the query.
pub(crate) fn dry_run(node: &Rc<Node>, query: DryRunQuery) -> Result<Value, String> {
    let workspace = match &query.workspace {
        Some(name) => Some(find_workspace(node, name)?),
        None => None,
    };
    let now = node.now();
    let mut run = DryRun {
        node,
        now,
        rng: rand::make_rng(),
        balancer: node.balancer.borrow().clone(),
        options: Vec::new(),
        trials: Vec::new(),
    };
    let head = request_head(node, query)?;
    if node.stop.is_closing() {
        let verdict = Verdict::Refused(LocalResponse::not_run("stopping"));
        return Ok(run.report(verdict, None, None));
    }
    let (verdict, request, quota) = match run.receive(head, workspace.as_ref()) {
        Ok(request) => {
            let policy = &request.policy;
            let quota = quota::preview(node, policy.workspace.as_ref(), &mut run.rng);
            (run.run(&request, &quota), Some(request), Some(quota))
        }
        Err(reason) => {
            let response = LocalResponse::bad_request(reason, CallerOutcome::NotRun);
            (Verdict::Refused(response), None, None)
        }
    };
    Ok(run.report(verdict, request.as_deref(), quota.as_ref()))
}

fn find_workspace(node: &Node, name: &str) -> Result<Rc<Workspace>, String> {
    let config = node.config.borrow();
    let table = config.routes().and_then(|table| table.workspaces());
    let workspace = table.and_then(|table| table.get(name));
    let workspace = workspace.ok_or_else(|| format!("workspace: {name} is not configured"))?;
    Ok(Rc::clone(workspace))
}

/// Returns the head of the request as a caller would send it.
fn request_head(node: &Node, query: DryRunQuery) -> Result<RequestHead, String> {
    if !query.path.starts_with('/') || query.path.contains(char::is_whitespace) {
        return Err("path: a slash and no white space are required".to_owned());
    }
    let is_token = |c: char| c.is_ascii_graphic() && !c.is_ascii_lowercase();
    if query.method.is_empty() || !query.method.chars().all(is_token) {
        return Err("method: upper-case letters are required".to_owned());
    }
    let key = match query.key {
        None => None,
        Some(Value::String(key)) => Some(key),
        Some(_) => return Err("key: a text is required".to_owned()),
    };
    let names = &node.settings.headers;
    let mut list = vec![headers::header("host", query.host)];
    if let Some(millis) = query.timeout_ms {
        list.push(headers::header(names.timeout_ms, millis.to_string()));
    }
    if let (Some(name), Some(key)) = (names.workspace_key, key) {
        list.push(headers::header(name, key));
    }
    Ok(RequestHead {
        method: query.method,
        path: query.path,
        headers: list,
        framing: match query.body_bytes {
            0 => Framing::None,
            length => Framing::Sized(length),
        },
        keep_alive: true,
        is_http10: false,
        expects_continue: false,
        length: 0,
    })
}

impl DryRun<'_> {
    fn receive(
        &mut self,
        head: RequestHead,
        workspace: Option<&Rc<Workspace>>,
    ) -> Result<Rc<CallerRequest>, BadRequest> {
        let node = self.node;
        // As in `request_policy`, an invalid timeout is refused before the configuration is consulted.
        caller_request::caller_timeout_ms(node, &head)?;
        // Calls of a target on this host have another share of the capacity of guards.
        let is_from_own_host = false;
        let rng = &mut self.rng;
        let policy = caller_request::policy_of(node, &head, is_from_own_host, workspace, rng)?;
        let (deadline, length) = caller_request::check_head(node, &head, &policy, self.now)?;
        let id = caller_request::new_request_id();
        let request = caller_request::request_without_body(
            node,
            (id, Bytes::from(id.to_string())),
            policy,
            (self.now, deadline),
            head,
            length.map_or(BodyLength::None, BodyLength::Sized),
        );
        Ok(Rc::new(request))
    }

    fn run(&mut self, request: &Rc<CallerRequest>, quota: &QuotaPreview) -> Verdict {
        let node = self.node;
        let mut execution = RequestExecution::new_without_hedge(node, request);
        self.options = {
            let query = execution.target_query(&self.balancer);
            self.balancer.explain_for(self.now, &query)
        };
        if let QuotaPreview::Refused { wait_us } = quota {
            return Verdict::Refused(LocalResponse::over_quota(*wait_us));
        }
        let mut refusal: Option<RefuseReason> = None;
        loop {
            if let Err(reason) = self.check_next(&execution, request, refusal) {
                return self.refuse(request, reason);
            }
            let query = execution.target_query(&self.balancer);
            let chosen = self
                .balancer
                .choose_target_for(self.now, &query, &mut self.rng);
            let peer = match chosen.map_err(ChoiceError::reason) {
                Ok(peer) => peer,
                Err(reason) => {
                    return self.refuse(request, refusal.map_or(reason, RefuseReason::as_str));
                }
            };
            let trial = self.try_target(&execution, request, &peer);
            let admission = trial.admission;
            self.trials.push(trial);
            execution.tried_nodes.push(peer);
            match admission {
                Admission::Start => return Verdict::Start,
                Admission::Queued => return Verdict::Wait,
                Admission::Refused(reason) => {
                    execution.evacuated_refusals += usize::from(reason == RefuseReason::Evacuated);
                    refusal = Some(reason);
                }
            }
        }
    }

    /// Checks whether there would be an attempt, after the refusal of the last one if there was any.
    fn check_next(
        &self,
        execution: &RequestExecution<'_>,
        request: &CallerRequest,
        refusal: Option<RefuseReason>,
    ) -> Result<(), &'static str> {
        if execution.is_too_cold(&self.balancer, request.deadline) {
            return Err(refusal.unwrap_or(RefuseReason::Cold).as_str());
        }
        let Some(refusal) = refusal else {
            return Ok(());
        };
        let query = execution.retry_query(AttemptOutcome::NotRun, 0, false);
        match retry::permanent_refusal(self.now, &query) {
            Some(_) => Err(refusal.as_str()),
            None => Ok(()),
        }
    }

    fn refuse(&mut self, request: &CallerRequest, reason: &'static str) -> Verdict {
        Verdict::Refused(decisions::not_run_response(
            self.node,
            &self.balancer,
            &request.policy,
            reason,
            &mut self.rng,
        ))
    }

    /// Offers the request to the copy of the guard on this host, or derives from the last load sample what
    /// another guard would decide.
    fn try_target(
        &mut self,
        execution: &RequestExecution<'_>,
        request: &CallerRequest,
        peer: &NodeName,
    ) -> Trial {
        let now = self.now;
        let (trial, load) = match peer == self.node.name() {
            true => {
                let offer = Offer {
                    key: RequestKey {
                        id: request.id,
                        attempt: execution.tried_nodes.len() as u32,
                    },
                    service: request.policy.service.as_str(),
                    deadline: request.deadline,
                    has_alternative: execution.may_refuse_if_slow(&self.balancer, now, peer),
                    answer_by: self.node.stop.deadline(),
                    urgency: request.urgency(),
                };
                self.offer(peer, &offer)
            }
            false => (self.expect(peer, request), None),
        };
        self.balancer.on_request_sent(now, peer.as_str());
        if let Admission::Refused(refusal) = trial.admission {
            let observation = RequestObservation {
                outcome: RequestOutcome::Refused,
                latency_us: 0,
                load,
            };
            self.balancer
                .on_request_ended(now, peer.as_str(), &observation);
            decisions::record_refusal(&mut self.balancer, now, peer, request, refusal);
        }
        trial
    }

    /// Copies the guard only here, as it may have 65,536 records. A request is offered to it at most once.
    fn offer(&self, peer: &NodeName, offer: &Offer<'_>) -> (Trial, Option<LoadSample>) {
        let now = self.now;
        let mut guard = self.node.guard.borrow().clone();
        let wait_us = guard.expected_wait_us(now, &offer.urgency);
        let admission = guard.offer(now, offer);
        let trial = Trial {
            node: peer.clone(),
            admission,
            wait_us: match admission {
                Admission::Start => 0,
                Admission::Queued | Admission::Refused(_) => wait_us,
            },
            sample_age_us: None,
            decided_by: "the guard of this node",
        };
        (trial, Some(guard.load_sample(now)))
    }

    fn expect(&self, peer: &NodeName, request: &CallerRequest) -> Trial {
        let outlook = self.balancer.outlook(self.now, peer.as_str());
        let admission = outlook.map_or(Admission::Start, |outlook| {
            outlook.expected_admission(self.now, request.deadline, request.class())
        });
        Trial {
            node: peer.clone(),
            admission,
            wait_us: outlook.map_or(0, |outlook| outlook.wait_us),
            sample_age_us: outlook.map(|outlook| outlook.age_us),
            decided_by: match outlook {
                Some(_) => "the last load sample",
                None => "nothing, there is no load sample yet",
            },
        }
    }

    fn report(
        &self,
        verdict: Verdict,
        request: Option<&CallerRequest>,
        quota: Option<&QuotaPreview>,
    ) -> Value {
        let (outcome, response) = match verdict {
            Verdict::Start => ("start", None),
            Verdict::Wait => ("wait", None),
            Verdict::Refused(response) => ("refused", Some(response)),
        };
        let target = self.trials.last().filter(|_| response.is_none());
        let data_centre = target.and_then(|trial| self.data_centre(&trial.node));
        let own = self.node.settings.data_centre.as_str();
        let policy = request.map(|request| &request.policy);
        let route = policy.and_then(|policy| policy.route.as_ref());
        let regions = policy.map(|policy| policy.allowed_regions());
        let left_us = request.map(|request| request.deadline.micros_since(self.now));
        json!({
            "node": self.node.name(),
            "outcome": outcome,
            "reason": response.map(|response| response.reason),
            "status": response.map(|response| response.status.as_u16()),
            "retry_after": response.and_then(|response| response.retry_after()),
            "target": target.map(|trial| &trial.node),
            "data_centre": data_centre,
            "leaves_data_centre": data_centre.map(|data_centre| data_centre != own),
            "expected_wait_us": target.map(|trial| trial.wait_us),
            "route": route.map(|route| &*route.name),
            "service": policy.map(|policy| policy.service.as_str()),
            "service_shares": route.map(|route| shares(route)),
            "workspace": policy.and_then(|policy| policy.workspace.as_ref()).map(|w| &*w.name),
            "priority": request.map(|request| request.urgency().priority),
            "idempotent": policy.map(|policy| policy.idempotent),
            "deadline_ms": left_us.map(|us| us / MICROS_PER_MILLI),
            "regions_of_route": regions.and_then(|regions| restriction(regions.route)),
            "regions_of_workspace": regions.and_then(|regions| restriction(regions.workspace)),
            "quota": quota.map(describe_quota),
            "configuration_version": policy.map(|policy| policy.version),
            "attempts": self.trials.iter().map(trial_json).collect::<Vec<_>>(),
            "targets": self.options.iter().map(|option| self.option_json(option)).collect::<Vec<_>>(),
            "knowledge": self.knowledge(quota),
        })
    }

    fn data_centre(&self, node: &NodeName) -> Option<&str> {
        let mut options = self.options.iter().map(|option| &option.explanation);
        let option = options.find(|explanation| explanation.node == *node);
        option.map(|explanation| explanation.data_centre.as_str())
    }

    fn option_json(&self, option: &TargetOption) -> Value {
        let (explanation, score) = (&option.explanation, &option.explanation.score);
        let sampled_at = explanation.sampled_at;
        json!({
            "node": explanation.node,
            "candidate": option.is_candidate,
            "usage": explanation.usage.to_string(),
            "data_centre": explanation.data_centre,
            "region": explanation.region,
            "weight": explanation.weight,
            "in_flight_of_this_node": explanation.own_in_flight,
            "sample_age_ms": sampled_at.map(|at| self.now.micros_since(at) / MICROS_PER_MILLI),
            "predicted_us": score.total_us() as u64,
            "wait_us": (score.queue_us + score.start_wait_us) as u64,
            "service_us": score.service_us as u64,
            "distance_us": (score.distance_us + score.transfer_us) as u64,
            "penalty_us": (score.failure_us + score.refusal_us + score.cold_us) as u64,
        })
    }

    /// Returns which parts of the answer are local knowledge, and how old it is.
    fn knowledge(&self, quota: Option<&QuotaPreview>) -> Vec<String> {
        let mut notes = vec![
            "routes, workspaces, evacuations and targets: as this node knows them now".to_owned(),
        ];
        if let Some(QuotaPreview::Asked { owner }) = quota {
            let owner = owner.as_ref().map_or("not known yet", NodeName::as_str);
            notes.push(format!(
                "quota: the owner decides ({owner}) and was not asked; credit is assumed"
            ));
        }
        let Some(trial) = self.trials.last() else {
            return notes;
        };
        let node = &trial.node;
        notes.push(match (trial.sample_age_us, node == self.node.name()) {
            (_, true) => format!("admission: decided by the guard of this node for {node}"),
            (Some(age_us), _) => format!(
                "admission: the guard on {node} decides and was not asked; its last load sample is {} ms old",
                age_us / MICROS_PER_MILLI
            ),
            (None, _) => format!(
                "admission: the guard on {node} decides and was not asked; it has sent no load sample"
            ),
        });
        notes.push(
            "choice: random among candidates of similar score, so the next request may differ"
                .to_owned(),
        );
        notes
    }
}

/// Returns the allowed regions, or `None` if all are allowed.
fn restriction(regions: &[Region]) -> Option<&[Region]> {
    Some(regions).filter(|regions| !regions.is_empty())
}

/// Returns the services of a route with their weights.
fn shares(route: &Route) -> String {
    let shares = route.shares.iter();
    let shares = shares.map(|share| format!("{}={}", share.service, share.weight));
    shares.collect::<Vec<_>>().join(" ")
}

fn describe_quota(quota: &QuotaPreview) -> String {
    match quota {
        QuotaPreview::Unlimited => "no limit".to_owned(),
        QuotaPreview::Granted => "credit is there".to_owned(),
        QuotaPreview::Refused { wait_us } => format!("exhausted, credit in {wait_us} us"),
        QuotaPreview::Asked { owner: Some(owner) } => format!("{owner} decides"),
        QuotaPreview::Asked { owner: None } => "the owner is not known yet".to_owned(),
    }
}

fn trial_json(trial: &Trial) -> Value {
    let result = match trial.admission {
        Admission::Start => "start".to_owned(),
        Admission::Queued => "wait".to_owned(),
        Admission::Refused(reason) => format!("refused: {reason}"),
    };
    json!({
        "node": trial.node,
        "result": result,
        "expected_wait_us": trial.wait_us,
        "decided_by": trial.decided_by,
        "sample_age_ms": trial.sample_age_us.map(|us| us / MICROS_PER_MILLI),
    })
}
