//! An endpoint as the run has it: what it does with orders, honestly or not.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number, size};
use cranberrygap_wire::endpoint;

/// A runner with its memory and the orders that it has answered.
#[derive(Debug)]
pub struct Runner {
    /// Its name.
    pub name: id::Endpoint,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether the process runs.
    pub alive: bool,
    /// Number of this process.
    pub boot: number::Boot,
    /// Whether it refuses old fencing numbers.
    pub checks_fence: bool,
    /// Highest fencing number seen.
    pub fence: number::Fence,
    /// Accelerator memory.
    pub memory: size::Bytes,
    /// Number of the resident list.
    pub residency: number::Sequence,
    /// What is resident.
    pub resident: BTreeMap<id::Model, size::Bytes>,
    /// Loads under way and their end.
    pub loading: BTreeMap<id::Model, (size::Bytes, duration::Instant)>,
    verdicts: BTreeMap<id::Order, endpoint::Verdict>,
}

impl Runner {
    /// A runner that has just started.
    #[must_use]
    pub fn new(name: id::Endpoint, domain: id::Domain, checks_fence: bool) -> Self {
        Self {
            name,
            domain,
            alive: true,
            boot: number::Boot(1),
            checks_fence,
            fence: number::Fence(0),
            memory: size::Bytes(100 << 30),
            residency: number::Sequence(0),
            resident: BTreeMap::new(),
            loading: BTreeMap::new(),
            verdicts: BTreeMap::new(),
        }
    }

    /// The process dies; its memory is empty when it comes back.
    pub fn crash(&mut self) {
        self.alive = false;
        self.boot = self.boot.next();
        self.residency = number::Sequence(0);
        self.fence = number::Fence(0);
        self.resident.clear();
        self.loading.clear();
        self.verdicts.clear();
    }

    /// Whether an order could still take effect if it arrived now.
    #[must_use]
    pub fn may_take(&self, order: &endpoint::Order) -> bool {
        let old = self.checks_fence && order.fence < self.fence;
        order.boot == self.boot && !old && !self.verdicts.contains_key(&order.order)
    }

    /// Takes an order; the same one again gets the first verdict.
    pub fn take(&mut self, order: &endpoint::Order, end: duration::Instant) -> endpoint::Verdict {
        if let Some(verdict) = self.verdicts.get(&order.order) {
            return verdict.clone();
        }
        let verdict = self.judge(order);
        if matches!(verdict, endpoint::Verdict::Accepted { .. }) {
            self.fence = self.fence.max(order.fence);
            self.carry_out(order, end);
        }
        self.verdicts.insert(order.order.clone(), verdict.clone());
        verdict
    }

    /// Ends the loads that are due.
    pub fn advance(&mut self, now: duration::Instant) {
        let due: BTreeSet<id::Model> = self
            .loading
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(model, _)| model.clone())
            .collect();
        for model in due {
            if let Some((size, _)) = self.loading.remove(&model) {
                self.resident.insert(model, size);
                self.residency = self.residency.next();
            }
        }
    }

    /// The report of this moment.
    #[must_use]
    pub fn report(&self) -> endpoint::Report {
        let resident = self
            .resident
            .iter()
            .map(|(model, size)| endpoint::Resident {
                model: model.clone(),
                size: *size,
            });
        endpoint::Report {
            age: duration::Span(0),
            boot: self.boot,
            cache_size: size::Bytes(0),
            cache_used: size::Bytes(0),
            endpoint: self.name.clone(),
            events: Vec::new(),
            phase: None,
            resident: resident.collect(),
            residency: self.residency,
            running: 0,
            sequence: number::Sequence(0),
            waiting: 0,
        }
    }

    fn judge(&self, order: &endpoint::Order) -> endpoint::Verdict {
        let id = order.order.clone();
        if order.boot != self.boot {
            return refused(id, "wrong_boot");
        }
        if self.checks_fence && order.fence < self.fence {
            return refused(id, "stale_fence");
        }
        endpoint::Verdict::Accepted { order: id }
    }

    fn carry_out(&mut self, order: &endpoint::Order, end: duration::Instant) {
        match &order.action {
            endpoint::Action::Load { model, size } => {
                if !self.resident.contains_key(model) {
                    self.loading.insert(model.clone(), (*size, end));
                }
            }
            endpoint::Action::Unload { model } => {
                if self.resident.remove(model).is_some() {
                    self.residency = self.residency.next();
                }
            }
            endpoint::Action::Role { .. } => {}
        }
    }
}

fn refused(order: id::Order, code: &str) -> endpoint::Verdict {
    endpoint::Verdict::Refused {
        order,
        code: code.into(),
    }
}
