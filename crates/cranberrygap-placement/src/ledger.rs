//! A leader's account of the endpoints' memory.
//!
//! The memory of an endpoint counts as committed for everything resident, for every load
//! that may still take effect, and for the KV reserve. Nothing is freed without evidence.

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

/// Identifies the report request that a report answers.
///
/// An abandoned request may be answered late, after newer ones, and its answer would
/// restore an old list of resident models, so that a model counts where it is gone. Only
/// the answer to the newest request is used; it was made after all answers used before
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

impl Ledger {
    /// Creates a new leader's ledger from the replicated journal.
    ///
    /// `reserve` is the part of each endpoint's memory that is kept for the KV cache.
    #[must_use]
    pub fn new(journal: journal::Journal, reserve: size::Bytes) -> Self {
        Self {
            accounts: BTreeMap::new(),
            journal,
            reserve,
        }
    }

    /// Applies the replicated state of an endpoint.
    pub fn update_endpoint(&mut self, state: &view::Endpoint) {
        let announcement = &state.announcement;
        if announcement.kind != endpoint::Kind::Runner {
            return;
        }
        let account = self
            .accounts
            .entry(announcement.endpoint.clone())
            .or_insert_with(|| account::Account::new(announcement, self.reserve));
        account.health = state.health;
        account.address = announcement.address;
        account.void_other_boot(announcement.boot);
        for order in self.journal.open.values() {
            if order.endpoint == announcement.endpoint {
                account.add_order(order);
            }
        }
    }

    /// Forgets endpoints that the replicated state no longer has.
    pub fn retain(&mut self, keep: impl Fn(&id::Endpoint) -> bool) {
        self.accounts.retain(|endpoint, _| keep(endpoint));
    }

    /// Issues the ticket of a new report request; earlier tickets become void.
    pub fn issue_ticket(&mut self, endpoint: &id::Endpoint) -> Option<Ticket> {
        let account = self.accounts.get_mut(endpoint)?;
        account.latest_ticket += 1;
        Some(Ticket(account.latest_ticket))
    }

    /// Applies an endpoint's report; returns the records to be logged.
    ///
    /// The orders stay counted until those records are committed and reach
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
        if ticket.0 != account.latest_ticket {
            return Vec::new();
        }
        let outdated = floor
            .is_some_and(|floor| floor.boot == report.boot && report.residency < floor.residency);
        if outdated {
            return Vec::new();
        }
        account.apply_report(report)
    }

    /// The record to be logged for an endpoint's answer to an order, if any.
    #[must_use]
    pub fn record_for_verdict(&self, verdict: &endpoint::Verdict) -> Option<journal::Record> {
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
    /// The guarantee that the order would break.
    pub fn open_order(
        &mut self,
        catalogue: &catalogue::Catalogue,
        order: &endpoint::Order,
    ) -> Result<(), Refusal> {
        if let endpoint::Action::Unload { model } = &order.action {
            self.check_unload(catalogue, &order.endpoint, model)?;
        }
        let account = self
            .accounts
            .get_mut(&order.endpoint)
            .ok_or(Refusal::UnknownEndpoint)?;
        account.check_order(order)?;
        account.add_order(order);
        Ok(())
    }

    /// Drops an order whose intent certainly did not enter the log.
    pub fn drop_order(&mut self, order: &endpoint::Order) {
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
                    account.add_order(order);
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

    /// All accounts by endpoint.
    #[must_use]
    pub fn accounts(&self) -> &BTreeMap<id::Endpoint, account::Account> {
        &self.accounts
    }

    /// Committed orders that may still take effect.
    #[must_use]
    pub fn journal(&self) -> &journal::Journal {
        &self.journal
    }

    /// Number of copies that serve now and will go on serving.
    #[must_use]
    pub fn serving_copies(&self, model: &id::Model) -> usize {
        let accounts = self.accounts.values();
        accounts.filter(|account| account.serves(model)).count()
    }

    /// Checks that an unload leaves the model and its adapters reachable.
    ///
    /// Unloading the last copy that is proven to serve would make the model unreachable
    /// until another load ends, and callers would be refused. So another copy must be
    /// confirmed first, or, for an old version, a copy of the version that replaces it.
    /// An adapter serves only beside its base model, so unloading a base model also
    /// removes the adapters beside it.
    fn check_unload(
        &self,
        catalogue: &catalogue::Catalogue,
        endpoint: &id::Endpoint,
        model: &id::Model,
    ) -> Result<(), Refusal> {
        let account = self.accounts.get(endpoint);
        let account = account.ok_or(Refusal::UnknownEndpoint)?;
        let adapters = catalogue.adapters(model).iter();
        let mut removed = adapters
            .filter(|adapter| account.serves(adapter))
            .chain(std::iter::once(model));
        if removed.all(|name| self.serves_elsewhere(catalogue, endpoint, name)) {
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
            let base_serves = base.is_none_or(|base| account.serves(base));
            let successor_serves = successor.is_some_and(|newer| account.serves(newer));
            base_serves && account.serves(model) || successor_serves
        })
    }

    /// Residency number of the last report that an account has.
    #[must_use]
    pub fn residency_number(&self, endpoint: &id::Endpoint) -> Option<number::Sequence> {
        self.accounts.get(endpoint).map(|account| account.residency)
    }
}
