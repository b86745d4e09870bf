//! One endpoint's memory.

use std::collections::BTreeMap;

use cranberrygap_model::{address, id, number, size};
use cranberrygap_wire::{endpoint, view};

use crate::journal;
use crate::ledger::Refusal;

/// What is resident on one endpoint and what may become so.
#[derive(Debug, Clone)]
pub struct Account {
    /// Where orders go.
    pub address: address::Socket,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it may get work and orders.
    pub health: view::Health,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// Memory for weights and KV cache.
    pub memory: size::Bytes,
    /// Part of the memory that is kept for KV cache.
    pub reserve: size::Bytes,
    /// The boot that reported to this leader; none before its first report.
    pub boot: Option<number::Boot>,
    /// Number of the resident list.
    pub residency: number::Sequence,
    /// What was resident by the newest report.
    pub resident: BTreeMap<id::Model, size::Bytes>,
    /// Orders that may still take effect.
    pub open: BTreeMap<id::Order, endpoint::Order>,
    pub(super) question: u64,
}

impl Account {
    pub(super) fn new(announcement: &endpoint::Announcement, reserve: size::Bytes) -> Self {
        Self {
            address: announcement.address,
            domain: announcement.domain.clone(),
            health: view::Health::Ready,
            checks_fence: announcement.checks_fence,
            accelerators: announcement.accelerators,
            memory: announcement.memory,
            reserve,
            boot: None,
            residency: number::Sequence::default(),
            resident: BTreeMap::new(),
            open: BTreeMap::new(),
            question: 0,
        }
    }

    /// Memory that is taken if every open order took effect, with the KV reserve.
    #[must_use]
    pub fn committed(&self) -> size::Bytes {
        let resident: u64 = self.resident.values().map(|size| size.0).sum();
        let loads = self.open.values().filter_map(|order| match &order.action {
            endpoint::Action::Load { model, size } if !self.resident.contains_key(model) => {
                Some(size.0)
            }
            _ => None,
        });
        size::Bytes(resident + loads.sum::<u64>() + self.reserve.0)
    }

    /// Memory for further loads.
    #[must_use]
    pub fn free(&self) -> size::Bytes {
        size::Bytes(self.memory.0.saturating_sub(self.committed().0))
    }

    /// Whether the endpoint may get orders.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.boot.is_some() && self.health == view::Health::Ready
    }

    /// Whether a copy is proven to serve here and no order may remove it.
    #[must_use]
    pub fn serves(&self, model: &id::Model) -> bool {
        self.is_usable() && self.resident.contains_key(model) && !self.unloads(model)
    }

    /// Whether a copy serves here or a load of it is on the way.
    #[must_use]
    pub fn expects(&self, model: &id::Model) -> bool {
        let there = self.resident.contains_key(model) || self.loads(model);
        there && !self.unloads(model)
    }

    /// Whether a load of the model may still take effect.
    #[must_use]
    pub fn loads(&self, model: &id::Model) -> bool {
        let mut actions = self.open.values().map(|order| &order.action);
        actions
            .any(|action| matches!(action, endpoint::Action::Load { model: m, .. } if m == model))
    }

    /// Whether an unload of the model may still take effect.
    #[must_use]
    pub fn unloads(&self, model: &id::Model) -> bool {
        let mut actions = self.open.values().map(|order| &order.action);
        actions.any(|action| matches!(action, endpoint::Action::Unload { model: m } if m == model))
    }

    /// An endpoint restarts between two reports, and its announcement is heard
    /// first. Its models are gone, but the last report still shows them; another
    /// endpoint's copy could be unloaded on the strength of that. Until the new
    /// process reports, nothing here counts as serving, and no order goes out.
    pub(super) fn void_other_boots(&mut self, announced: number::Boot) {
        if self.boot != Some(announced) {
            self.boot = None;
        }
    }

    pub(super) fn count(&mut self, order: &endpoint::Order) {
        self.open.insert(order.order.clone(), order.clone());
    }

    pub(super) fn admits(&self, order: &endpoint::Order) -> Result<(), Refusal> {
        if !self.is_usable() {
            return Err(Refusal::NotConfirmed);
        }
        if self.boot != Some(order.boot) {
            return Err(Refusal::WrongBoot);
        }
        match &order.action {
            endpoint::Action::Load { model, size } => self.admits_load(model, *size),
            endpoint::Action::Unload { model } => self.admits_unload(model),
            endpoint::Action::Role { .. } => Ok(()),
        }
    }

    fn admits_load(&self, model: &id::Model, size: size::Bytes) -> Result<(), Refusal> {
        if self.loads(model) || self.unloads(model) {
            return Err(Refusal::Conflict);
        }
        if self.resident.contains_key(model) {
            return Err(Refusal::Needless);
        }
        if size > self.free() {
            return Err(Refusal::NoMemory);
        }
        Ok(())
    }

    fn admits_unload(&self, model: &id::Model) -> Result<(), Refusal> {
        if self.loads(model) || self.unloads(model) {
            return Err(Refusal::Conflict);
        }
        if !self.resident.contains_key(model) {
            return Err(Refusal::Needless);
        }
        Ok(())
    }

    pub(super) fn observe(&mut self, report: &endpoint::Report) -> Vec<journal::Record> {
        if self.boot == Some(report.boot) && report.residency < self.residency {
            return Vec::new();
        }
        self.boot = Some(report.boot);
        self.residency = report.residency;
        let resident = report.resident.iter();
        self.resident = resident
            .map(|resident| (resident.model.clone(), resident.size))
            .collect();
        let open = self.open.values();
        open.filter_map(|order| self.ended(order)).collect()
    }

    /// An order may be lost, late or doubled, so neither time nor silence ends
    /// it: given up too early it would land on memory that was given to another
    /// model. It ends when its result is seen or its process is gone.
    fn ended(&self, order: &endpoint::Order) -> Option<journal::Record> {
        let boot = self.boot?;
        let evidence = if order.boot == boot {
            let done = match &order.action {
                endpoint::Action::Load { model, .. } => self.resident.contains_key(model),
                endpoint::Action::Unload { model } => !self.resident.contains_key(model),
                endpoint::Action::Role { .. } => false,
            };
            done.then_some(journal::Evidence::Reported)?
        } else {
            journal::Evidence::Rebooted
        };
        Some(journal::Record::Ended {
            order: order.order.clone(),
            endpoint: order.endpoint.clone(),
            boot,
            residency: self.residency,
            evidence,
        })
    }
}
