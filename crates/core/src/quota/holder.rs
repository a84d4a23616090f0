//! The holder's side: credit in hand, open claims, and requests that wait.

use std::rc::Rc;

use rand::Rng;

use super::{Grant, OutgoingClaim, account::Account};
use crate::{
    collections::HashMap,
    ids::{Incarnation, NodeName},
    time::Instant,
    workspace::QuotaLimit,
};

/// Time without a request after which the state of a workspace is dropped, in milliseconds.
const IDLE_RETENTION_MS: u64 = 60_000;

/// Number of accounts at which idle ones are dropped; it doubles if none is idle.
const MIN_ACCOUNTS_FOR_CLEANUP: usize = 64;

/// Identifies a request that waits for credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The process whose bucket credit comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CreditSource {
    pub(super) node: NodeName,
    pub(super) incarnation: Incarnation,
}

/// Permission for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credit {
    pub(super) workspace: Rc<str>,
    pub(super) expires_at: Instant,
    /// `None` if the node granted the credit to itself because no owner answered.
    pub(super) source: Option<CreditSource>,
}

impl Credit {
    /// Reports whether the credit can't be used any more.
    pub fn is_expired(&self, now: Instant) -> bool {
        now >= self.expires_at
    }
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Granted(Credit),
    /// The workspace is at its limit.
    Refused {
        /// Microseconds until there is credit for a request.
        wait_us: u64,
    },
}

/// What a holder has to know of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Peers<'a> {
    /// Owner of the workspace; `None` if no member can own it.
    pub owner: Option<&'a NodeName>,
    /// Known members that have not left, dead ones included. `None` if the local node has just
    /// started and does not know the fleet yet.
    pub members: Option<usize>,
}

/// What a node has to do after a call of a [`QuotaHolder`].
#[derive(Debug, Default)]
pub struct HolderOutput {
    /// Claims to send.
    pub claims: Vec<OutgoingClaim>,
    /// Decisions on waiting requests.
    pub decisions: Vec<(Ticket, Decision)>,
    /// Number of requests that were decided without an owner.
    pub decided_alone: u64,
    /// Number of the last claim.
    last_number: u64,
}

impl HolderOutput {
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

/// Credit of the local node, by workspace.
#[derive(Debug, Default)]
pub struct QuotaHolder {
    accounts: HashMap<Rc<str>, Account>,
    last_ticket: u64,
    last_number: u64,
    /// Number of accounts at which idle ones are dropped next.
    cleanup_at: usize,
}

impl QuotaHolder {
    /// Decides on a request of a workspace. An error is the ticket under which the request waits for
    /// a decision in the output of a later call.
    pub fn request(
        &mut self,
        now: Instant,
        workspace: &Rc<str>,
        limit: QuotaLimit,
        peers: &Peers<'_>,
        rng: &mut dyn Rng,
    ) -> (Result<Decision, Ticket>, HolderOutput) {
        if !self.accounts.contains_key(workspace) {
            self.drop_idle_accounts(now);
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let mut out = self.output();
        let account = self.accounts.entry(Rc::clone(workspace));
        let account = account.or_insert_with(|| Account::new(Rc::clone(workspace), limit));
        account.set_limit(limit);
        let decision = account.request(now, ticket, peers, rng, &mut out);
        self.last_number = out.last_number;
        (decision.ok_or(ticket), out)
    }

    /// Returns a copy that knows only one workspace, for decisions without effect.
    pub fn copy_for(&self, workspace: &str) -> Self {
        let account = self.accounts.get_key_value(workspace);
        let copy = account.map(|(name, account)| (Rc::clone(name), account.clone()));
        QuotaHolder {
            accounts: copy.into_iter().collect(),
            ..*self
        }
    }

    fn output(&self) -> HolderOutput {
        HolderOutput {
            last_number: self.last_number,
            ..HolderOutput::default()
        }
    }

    fn drop_idle_accounts(&mut self, now: Instant) {
        if self.accounts.len() < self.cleanup_at.max(MIN_ACCOUNTS_FOR_CLEANUP) {
            return;
        }
        let is_recent =
            |account: &Account| now < account.used_at.saturating_add_millis(IDLE_RETENTION_MS);
        self.accounts
            .retain(|_, account| is_recent(account) || !account.is_idle());
        self.cleanup_at = 2 * self.accounts.len();
    }

    /// Returns when [`on_time`](Self::on_time) has to be called while requests of a workspace wait.
    pub fn due_at(&self, workspace: &str) -> Option<Instant> {
        self.accounts.get(workspace).map(Account::due_at)
    }

    /// Repeats claims and gives up those that got no answer in time.
    pub fn on_time(
        &mut self,
        now: Instant,
        workspace: &str,
        peers: &Peers<'_>,
        rng: &mut dyn Rng,
    ) -> HolderOutput {
        let mut out = self.output();
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.on_time(now, peers, rng, &mut out);
        }
        self.last_number = out.last_number;
        out
    }

    /// Takes an owner's answer. `None` if it answers no open claim.
    pub fn on_grant(
        &mut self,
        now: Instant,
        grant: &Grant,
        peers: &Peers<'_>,
        rng: &mut dyn Rng,
    ) -> Option<HolderOutput> {
        let mut out = self.output();
        let account = self.accounts.get_mut(&*grant.workspace)?;
        let is_expected = account.on_grant(now, grant, peers, rng, &mut out);
        self.last_number = out.last_number;
        is_expected.then_some(out)
    }

    /// Takes back the credit of a request that did not run.
    pub fn give_back(&mut self, now: Instant, credit: &Credit) -> HolderOutput {
        let mut out = self.output();
        if let Some(account) = self.accounts.get_mut(&*credit.workspace) {
            account.give_back(now, credit, &mut out);
        }
        out
    }

    /// Reports whether no owner answered the last claim for a workspace.
    pub fn is_cut_off(&self, workspace: &str) -> bool {
        let account = self.accounts.get(workspace);
        account.is_some_and(Account::is_cut_off)
    }
}
