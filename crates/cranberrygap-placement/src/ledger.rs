//! What a leader knows of the endpoints' memory.
//!
//! An endpoint's memory counts as taken by everything that is resident, by
//! every load that may still take effect, and by the KV reserve. Nothing is
//! taken off the books without evidence.

use std::collections::BTreeMap;

use cranberrygap_model::{id, number, size};
use cranberrygap_wire::{endpoint, view};

use crate::catalogue;
use crate::journal;

pub mod account;
mod refusal;

pub use refusal::Refusal;

/// Accounts of all runners, and the orders that may still take effect.
#[derive(Debug, Clone)]
pub struct Ledger {
    accounts: BTreeMap<id::Endpoint, account::Account>,
    journal: journal::Journal,
    reserve: size::Bytes,
}

/// The question for a report that an answer belongs to.
///
/// An abandoned question may be answered late, after newer ones, and its answer
/// would bring an old resident list back. One would notice a model counted
/// where it is no longer. Only the answer to the newest question is used; it
/// was made after all answers used before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

impl Ledger {
    /// A new leader's ledger, from the replicated journal.
    ///
    /// `reserve` is the part of each endpoint's memory that is kept for KV cache.
    #[must_use]
    pub fn new(journal: journal::Journal, reserve: size::Bytes) -> Self {
        Self {
            accounts: BTreeMap::new(),
            journal,
            reserve,
        }
    }

    /// Takes over what the replicated state says of an endpoint.
    pub fn update_endpoint(&mut self, known: &view::Endpoint) {
        let announcement = &known.announcement;
        if announcement.kind != endpoint::Kind::Runner {
            return;
        }
        let account = self
            .accounts
            .entry(announcement.endpoint.clone())
            .or_insert_with(|| account::Account::new(announcement, self.reserve));
        account.health = known.health;
        account.address = announcement.address;
        account.void_other_boots(announcement.boot);
        for order in self.journal.open.values() {
            if order.endpoint == announcement.endpoint {
                account.count(order);
            }
        }
    }

    /// Forgets endpoints that the replicated state no longer has.
    pub fn retain(&mut self, keep: impl Fn(&id::Endpoint) -> bool) {
        self.accounts.retain(|endpoint, _| keep(endpoint));
    }

    /// Starts a question for a report; earlier questions become void.
    pub fn issue_ticket(&mut self, endpoint: &id::Endpoint) -> Option<Ticket> {
        let account = self.accounts.get_mut(endpoint)?;
        account.question += 1;
        Some(Ticket(account.question))
    }

    /// Uses an endpoint's report; gives the records to be logged.
    ///
    /// The orders stay counted until those records come back through
    /// [`Ledger::apply`].
    pub fn apply_report(
        &mut self,
        ticket: Ticket,
        report: &endpoint::Report,
    ) -> Vec<journal::Record> {
        let floor = self.journal.floors.get(&report.endpoint).copied();
        let Some(account) = self.accounts.get_mut(&report.endpoint) else {
            return Vec::new();
        };
        if ticket.0 != account.question {
            return Vec::new();
        }
        let outdated = floor
            .is_some_and(|floor| floor.boot == report.boot && report.residency < floor.residency);
        if outdated {
            return Vec::new();
        }
        account.observe(report)
    }

    /// Uses an endpoint's answer to an order.
    #[must_use]
    pub fn hear(&self, verdict: &endpoint::Verdict) -> Option<journal::Record> {
        let endpoint::Verdict::Refused { order, .. } = verdict else {
            return None;
        };
        let open = self.journal.open.get(order)?;
        let account = self.accounts.get(&open.endpoint)?;
        Some(journal::Record::Ended {
            order: order.clone(),
            endpoint: open.endpoint.clone(),
            boot: open.boot,
            residency: account.residency,
            evidence: journal::Evidence::Refused,
        })
    }

    /// Counts an order from now on, before its intent is proposed to the log.
    ///
    /// # Errors
    ///
    /// Why the order would break a promise.
    pub fn intend(
        &mut self,
        catalogue: &catalogue::Catalogue,
        order: &endpoint::Order,
    ) -> Result<(), Refusal> {
        if let endpoint::Action::Unload { model } = &order.action {
            self.may_unload(catalogue, &order.endpoint, model)?;
        }
        let account = self
            .accounts
            .get_mut(&order.endpoint)
            .ok_or(Refusal::UnknownEndpoint)?;
        account.admits(order)?;
        account.count(order);
        Ok(())
    }

    /// Takes an order off the books that never entered the log.
    pub fn withdraw(&mut self, order: &endpoint::Order) {
        if let Some(account) = self.accounts.get_mut(&order.endpoint) {
            account.open.remove(&order.order);
        }
    }

    /// Applies one committed record.
    pub fn apply(&mut self, record: &journal::Record) {
        if !self.journal.apply(record) {
            return;
        }
        match record {
            journal::Record::Opened { .. } => {}
            journal::Record::Intended { order } => {
                if let Some(account) = self.accounts.get_mut(&order.endpoint) {
                    account.count(order);
                }
            }
            journal::Record::Ended {
                order, endpoint, ..
            } => {
                if let Some(account) = self.accounts.get_mut(endpoint) {
                    account.open.remove(order);
                }
            }
        }
    }

    /// All accounts in the order of their names.
    #[must_use]
    pub fn accounts(&self) -> &BTreeMap<id::Endpoint, account::Account> {
        &self.accounts
    }

    /// Orders that may still take effect and are committed.
    #[must_use]
    pub fn journal(&self) -> &journal::Journal {
        &self.journal
    }

    /// Number of copies that serve now and will go on serving.
    #[must_use]
    pub fn copies(&self, model: &id::Model) -> usize {
        let accounts = self.accounts.values();
        accounts.filter(|account| account.serves(model)).count()
    }

    /// Unloading the last copy that is proven to serve would make the model
    /// unreachable until another load ends. Callers would see refusals. So
    /// another copy must be confirmed first, or, for an old version, a copy of
    /// the version that takes its place. An adapter serves only beside its base
    /// model, so a base model takes the adapters that are with it along.
    fn may_unload(
        &self,
        catalogue: &catalogue::Catalogue,
        endpoint: &id::Endpoint,
        model: &id::Model,
    ) -> Result<(), Refusal> {
        let account = self.accounts.get(endpoint);
        let account = account.ok_or(Refusal::UnknownEndpoint)?;
        let adapters = catalogue.adapters(model).iter();
        let mut taken = adapters
            .filter(|adapter| account.serves(adapter))
            .chain(std::iter::once(model));
        if taken.all(|taken| self.serves_elsewhere(catalogue, endpoint, taken)) {
            return Ok(());
        }
        Err(Refusal::LastCopy)
    }

    fn serves_elsewhere(
        &self,
        catalogue: &catalogue::Catalogue,
        endpoint: &id::Endpoint,
        model: &id::Model,
    ) -> bool {
        let others = self.accounts.iter().filter(|(name, _)| *name != endpoint);
        let mut others = others.map(|(_, account)| account);
        let successor = catalogue.successor(model);
        let base = catalogue.base(model);
        others.any(|account| {
            let based = base.is_none_or(|base| account.serves(base));
            let replaced = successor.is_some_and(|newer| account.serves(newer));
            based && account.serves(model) || replaced
        })
    }

    /// The residency number that an account was last seen with.
    #[must_use]
    pub fn residency(&self, endpoint: &id::Endpoint) -> Option<number::Sequence> {
        self.accounts.get(endpoint).map(|account| account.residency)
    }
}
