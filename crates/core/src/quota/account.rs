//! Credit, claims and waiting requests of one workspace at a holder.

use std::{collections::VecDeque, rc::Rc};

use rand::Rng;

use super::{
    CREDIT_LIFE_MS, Claim, Grant, GrantAnswer, OutgoingClaim,
    fallback::Fallback,
    holder::{Credit, CreditSource, Decision, HolderOutput, Peers, Ticket},
};
use crate::{
    ids::{Incarnation, NodeName},
    time::{Instant, MICROS_PER_MILLI},
    workspace::QuotaLimit,
};

/// Transmissions of a claim without an answer after which a holder uses its fallback.
const MAX_TRIES: u32 = 3;

/// Time between two transmissions of a claim, in milliseconds. It is many times the round trip
/// between data centres (2.8 ms).
const TRY_INTERVAL_MS: u64 = 60;

/// Time between two claims while no owner answers, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;

/// Time between a claim that was not granted in full and the next one, in milliseconds. Requests
/// that arrive meanwhile share that claim, so that a workspace at its limit causes at most ten claims
/// a second at each holder.
const SHORTAGE_PAUSE_MS: u64 = 100;

/// Longest time for which requests are refused without a claim, in milliseconds. Credit may come
/// back earlier than the owner predicted.
const MAX_REFUSAL_MS: u64 = 250;

/// Period whose use of credit is expected to continue, in microseconds.
const USE_PERIOD_US: u64 = 300_000;

/// Credit for several requests from one grant.
#[derive(Clone, Debug)]
struct Lot {
    /// Above zero.
    count: u32,
    expires_at: Instant,
    source: CreditSource,
}

/// A claim without an answer.
#[derive(Clone, Debug)]
struct OpenClaim {
    claim: Claim,
    /// The node that was asked last.
    owner: NodeName,
    tries: u32,
    /// When the claim is sent again or given up.
    next_try_at: Instant,
    /// When the credit that it asks for expires.
    expires_at: Instant,
}

/// Estimate of the credit used in the last [`USE_PERIOD_US`].
#[derive(Clone, Debug, Default)]
struct RecentUse {
    /// Start of the current period.
    since: Instant,
    current: u32,
    previous: u32,
}

impl RecentUse {
    fn roll(&mut self, now: Instant) {
        let elapsed_us = now.micros_since(self.since);
        if elapsed_us >= USE_PERIOD_US {
            let follows = elapsed_us < 2 * USE_PERIOD_US;
            self.previous = if follows { self.current } else { 0 };
            self.current = 0;
            self.since = now.saturating_sub_micros(elapsed_us % USE_PERIOD_US);
        }
    }

    fn estimate(&mut self, now: Instant) -> u32 {
        self.roll(now);
        let left_us = USE_PERIOD_US - now.micros_since(self.since);
        let previous = u64::from(self.previous) * left_us / USE_PERIOD_US;
        self.current + previous as u32
    }
}

/// State of one workspace at a holder.
#[derive(Clone, Debug)]
pub(super) struct Account {
    workspace: Rc<str>,
    limit: QuotaLimit,
    /// Credit in hand, in ascending order of expiry.
    lots: VecDeque<Lot>,
    /// Credit that was not used in time, and its owner; returned with the next claim.
    unused: Option<(CreditSource, u32)>,
    recent_use: RecentUse,
    /// Requests that wait for credit, in order of arrival. Empty while credit is in hand.
    waiting: VecDeque<Ticket>,
    claim: Option<OpenClaim>,
    /// No claim is started before this time.
    next_claim_at: Instant,
    /// Requests are refused without a claim until this time.
    refuse_until: Instant,
    /// When the owner expects to have credit, according to its last answer.
    credit_at: Instant,
    /// Whether the last claim got no answer from an owner.
    is_cut_off: bool,
    fallback: Fallback,
    /// When the last request came.
    pub(super) used_at: Instant,
}

impl Account {
    pub(super) fn new(workspace: Rc<str>, limit: QuotaLimit) -> Self {
        Account {
            workspace,
            limit,
            lots: VecDeque::new(),
            unused: None,
            recent_use: RecentUse::default(),
            waiting: VecDeque::new(),
            claim: None,
            next_claim_at: Instant::default(),
            refuse_until: Instant::default(),
            credit_at: Instant::default(),
            is_cut_off: false,
            fallback: Fallback::default(),
            used_at: Instant::default(),
        }
    }

    pub(super) fn set_limit(&mut self, limit: QuotaLimit) {
        self.limit = limit;
    }

    /// Reports whether the account has neither waiting requests nor an open claim.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.claim.is_none()
    }

    /// Reports whether the last claim got no answer from an owner.
    pub(super) fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns when [`on_time`](Self::on_time) has to be called for the waiting requests.
    pub(super) fn due_at(&self) -> Instant {
        match &self.claim {
            Some(open) => open.next_try_at,
            None => self.next_claim_at,
        }
    }

    /// Decides on a new request, or returns `None` if it has to wait under `ticket`.
    pub(super) fn request(
        &mut self,
        now: Instant,
        ticket: Ticket,
        peers: &Peers<'_>,
        rng: &mut dyn Rng,
        out: &mut HolderOutput,
    ) -> Option<Decision> {
        self.used_at = now;
        self.on_time(now, peers, rng, out);
        if let Some(credit) = self.take(now) {
            return Some(Decision::Granted(credit));
        }
        if self.is_cut_off {
            self.probe(now, peers, out);
            return Some(self.decide_alone(now, peers, rng, out));
        }
        if now < self.refuse_until {
            let wait_us = self.credit_at.micros_since(now);
            return Some(Decision::Refused { wait_us });
        }
        self.waiting.push_back(ticket);
        self.on_time(now, peers, rng, out);
        // Without an owner the request is already decided.
        let last = out.decisions.pop_if(|(decided, _)| *decided == ticket);
        last.map(|(_, decision)| decision)
    }

    /// Sends, repeats and gives up claims.
    pub(super) fn on_time(
        &mut self,
        now: Instant,
        peers: &Peers<'_>,
        rng: &mut dyn Rng,
        out: &mut HolderOutput,
    ) {
        self.expire(now);
        if let Some(open) = self.claim.take_if(|open| now >= open.next_try_at) {
            if self.is_cut_off {
                // Nobody waits for the answer.
            } else if now >= open.expires_at {
                // The process was paused. The answer could not be used any more.
                self.start_claim(now, peers, rng, out);
            } else if open.tries < MAX_TRIES {
                self.repeat_claim(now, open, peers, rng, out);
            } else {
                self.wait_for_late_answer(open);
                self.enter_fallback(now, peers, rng, out);
            }
        } else if self.claim.is_none() && !self.waiting.is_empty() && now >= self.next_claim_at {
            self.start_claim(now, peers, rng, out);
        }
    }

    fn start_claim(
        &mut self,
        now: Instant,
        peers: &Peers<'_>,
        rng: &mut dyn Rng,
        out: &mut HolderOutput,
    ) {
        if self.waiting.is_empty() {
            return;
        }
        let Some(owner) = peers.owner else {
            return self.enter_fallback(now, peers, rng, out);
        };
        let unused = self.unused.take();
        let unused = unused.filter(|(source, _)| source.node == *owner);
        let claim = Claim {
            workspace: Rc::clone(&self.workspace),
            number: out.next_number(),
            needed: self.waiting.len() as u32,
            advance: self.recent_use.estimate(now),
            returned: unused.as_ref().map_or(0, |(_, count)| *count),
            granted_by: unused.map_or(Incarnation::default(), |(source, _)| source.incarnation),
        };
        self.send(now, claim, owner, TRY_INTERVAL_MS, out);
    }

    /// Asks for an owner while there is none, without asking for credit.
    fn probe(&mut self, now: Instant, peers: &Peers<'_>, out: &mut HolderOutput) {
        let Some(owner) = peers.owner.filter(|_| self.claim.is_none()) else {
            return;
        };
        let claim = Claim {
            workspace: Rc::clone(&self.workspace),
            number: out.next_number(),
            needed: 0,
            advance: 0,
            returned: 0,
            granted_by: Incarnation::default(),
        };
        self.send(now, claim, owner, PROBE_INTERVAL_MS, out);
    }

    fn send(
        &mut self,
        now: Instant,
        claim: Claim,
        owner: &NodeName,
        interval_ms: u64,
        out: &mut HolderOutput,
    ) {
        out.claims.push(OutgoingClaim {
            owner: owner.clone(),
            claim: claim.clone(),
        });
        self.claim = Some(OpenClaim {
            claim,
            owner: owner.clone(),
            tries: 1,
            next_try_at: now.saturating_add_millis(interval_ms),
            expires_at: now.saturating_add_millis(CREDIT_LIFE_MS),
        });
    }

    fn repeat_claim(
        &mut self,
        now: Instant,
        mut open: OpenClaim,
        peers: &Peers<'_>,
        rng: &mut dyn Rng,
        out: &mut HolderOutput,
    ) {
        let Some(owner) = peers.owner else {
            return self.enter_fallback(now, peers, rng, out);
        };
        open.owner = owner.clone();
        open.tries += 1;
        open.next_try_at = now.saturating_add_millis(TRY_INTERVAL_MS);
        out.claims.push(OutgoingClaim {
            owner: owner.clone(),
            claim: open.claim.clone(),
        });
        self.claim = Some(open);
    }

    /// Keeps a claim open until its credit expires, so that the credit is used if the answer is late.
    fn wait_for_late_answer(&mut self, mut open: OpenClaim) {
        open.next_try_at = open.expires_at;
        self.claim = Some(open);
    }

    fn enter_fallback(
        &mut self,
        now: Instant,
        peers: &Peers<'_>,
        rng: &mut dyn Rng,
        out: &mut HolderOutput,
    ) {
        if !self.is_cut_off {
            self.is_cut_off = true;
            self.fallback.enter(now);
        }
        for ticket in std::mem::take(&mut self.waiting) {
            let decision = self.decide_alone(now, peers, rng, out);
            out.decisions.push((ticket, decision));
        }
    }

    fn decide_alone(
        &mut self,
        now: Instant,
        peers: &Peers<'_>,
        rng: &mut dyn Rng,
        out: &mut HolderOutput,
    ) -> Decision {
        out.decided_alone += 1;
        let Some(members) = peers.members else {
            let wait_us = MAX_REFUSAL_MS * MICROS_PER_MILLI;
            return Decision::Refused { wait_us };
        };
        match self.fallback.take(now, &self.limit, members, rng) {
            Ok(()) => Decision::Granted(Credit {
                workspace: Rc::clone(&self.workspace),
                expires_at: now.saturating_add_millis(CREDIT_LIFE_MS),
                source: None,
            }),
            Err(wait_us) => Decision::Refused { wait_us },
        }
    }

    /// Takes an owner's answer, and returns whether it was expected.
    pub(super) fn on_grant(
        &mut self,
        now: Instant,
        grant: &Grant,
        peers: &Peers<'_>,
        rng: &mut dyn Rng,
        out: &mut HolderOutput,
    ) -> bool {
        let is_answered = |open: &mut OpenClaim| open.claim.number == grant.number;
        let GrantAnswer::Granted { count, wait_us } = grant.answer else {
            // The next try may find the owner.
            return self.claim.as_mut().is_some_and(is_answered);
        };
        let Some(open) = self.claim.take_if(is_answered) else {
            return false;
        };
        self.is_cut_off = false;
        let source = CreditSource {
            node: open.owner.clone(),
            incarnation: grant.owner,
        };
        if now >= open.expires_at {
            self.add_unused(&source, count);
        } else if count > 0 {
            self.lots.push_back(Lot {
                count,
                expires_at: open.expires_at,
                source,
            });
        }
        self.serve_waiting(now, out);
        let missing = open.claim.needed.saturating_sub(count);
        if missing > 0 {
            self.on_shortage(now, missing as usize, wait_us, out);
        }
        // Claims for the requests that came after the claim.
        self.on_time(now, peers, rng, out);
        true
    }

    /// Refuses the requests that the owner has no credit for.
    fn on_shortage(&mut self, now: Instant, missing: usize, wait_us: u64, out: &mut HolderOutput) {
        self.next_claim_at = now.saturating_add_millis(SHORTAGE_PAUSE_MS);
        self.credit_at = now.saturating_add_micros(wait_us);
        let mut refused = missing.min(self.waiting.len());
        if wait_us > SHORTAGE_PAUSE_MS * MICROS_PER_MILLI {
            let longest_us = MAX_REFUSAL_MS * MICROS_PER_MILLI;
            self.refuse_until = now.saturating_add_micros(wait_us.min(longest_us));
            refused = self.waiting.len();
        }
        for ticket in self.waiting.drain(..refused) {
            out.decisions.push((ticket, Decision::Refused { wait_us }));
        }
    }

    fn serve_waiting(&mut self, now: Instant, out: &mut HolderOutput) {
        while !self.waiting.is_empty()
            && let Some(credit) = self.take(now)
            && let Some(ticket) = self.waiting.pop_front()
        {
            out.decisions.push((ticket, Decision::Granted(credit)));
        }
    }

    fn take(&mut self, now: Instant) -> Option<Credit> {
        self.expire(now);
        let lot = self.lots.front_mut()?;
        lot.count -= 1;
        let credit = Credit {
            workspace: Rc::clone(&self.workspace),
            expires_at: lot.expires_at,
            source: Some(lot.source.clone()),
        };
        if lot.count == 0 {
            self.lots.pop_front();
        }
        self.recent_use.roll(now);
        self.recent_use.current += 1;
        Some(credit)
    }

    fn expire(&mut self, now: Instant) {
        while let Some(lot) = self.lots.pop_front_if(|lot| now >= lot.expires_at) {
            self.add_unused(&lot.source, lot.count);
        }
    }

    fn add_unused(&mut self, source: &CreditSource, count: u32) {
        match &mut self.unused {
            Some((owner, sum)) if owner == source => *sum = sum.saturating_add(count),
            unused => *unused = Some((source.clone(), count)),
        }
    }

    /// Takes back the credit of a request that did not run.
    pub(super) fn give_back(&mut self, now: Instant, credit: &Credit, out: &mut HolderOutput) {
        let Some(source) = &credit.source else {
            return;
        };
        if now >= credit.expires_at {
            return self.add_unused(source, 1);
        }
        let lot = Lot {
            count: 1,
            expires_at: credit.expires_at,
            source: source.clone(),
        };
        let later = |other: &Lot| other.expires_at <= lot.expires_at;
        let index = self.lots.partition_point(later);
        self.lots.insert(index, lot);
        self.serve_waiting(now, out);
    }
}
