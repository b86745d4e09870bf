//! Homes of the endpoints: the entries that keep their load.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cranberrygap_model::{address, duration, id};
use cranberrygap_routing::prompt::{backlog, home, reports};

use super::{Endpoints, Inner};
use crate::gateway::gossip;
use crate::view;

/// Assignment of endpoints to entries.
#[derive(Debug, Default)]
pub(super) struct Homes {
    own: Option<id::Instance>,
    gossip_port: Option<u16>,
    entries: Vec<home::Entry>,
    domains: BTreeMap<u32, id::Domain>,
    /// Home of each endpoint by the hash of its name, `None` for this entry.
    assigned: BTreeMap<u32, Option<address::Socket>>,
    /// Time since which this entry is the home, by endpoint.
    own_since: BTreeMap<u32, duration::Instant>,
    /// Time since which the entries are these.
    entries_since: duration::Instant,
    reports: reports::Reports,
}

impl Homes {
    /// Creates an assignment without endpoints. Without a port there is no other entry to tell.
    pub(super) fn new(own: id::Instance, gossip_port: Option<u16>) -> Self {
        Self {
            own: Some(own),
            gossip_port,
            ..Self::default()
        }
    }

    /// Applies the entries of a new view.
    pub(super) fn apply_view(&mut self, now: duration::Instant, view: &view::Snapshot) {
        let Some(port) = self.gossip_port else {
            return;
        };
        let entries = gossip::entries(view, port);
        if entries == self.entries {
            return;
        }
        self.entries = entries;
        self.entries_since = now;
        let domains = std::mem::take(&mut self.domains);
        self.assigned.clear();
        for (endpoint, domain) in &domains {
            self.assign(*endpoint, domain);
        }
        self.domains = domains;
    }

    pub(super) fn clear_endpoints(&mut self) {
        self.domains.clear();
        self.assigned.clear();
    }

    /// Forgets since when this entry is the home of endpoints that are gone.
    pub(super) fn forget_gone_endpoints(&mut self) {
        let domains = &self.domains;
        self.own_since
            .retain(|endpoint, _| domains.contains_key(endpoint));
    }

    /// Time since which this entry is the home of an endpoint; `None` if it is not. Another entry
    /// may have been the home of an endpoint that is new until the entries changed last.
    pub(super) fn own_since(&self, endpoint: u32) -> Option<duration::Instant> {
        self.own_since.get(&endpoint).copied()
    }

    pub(super) fn set_endpoint(&mut self, endpoint: u32, domain: &id::Domain) {
        self.domains.insert(endpoint, domain.clone());
        self.assign(endpoint, domain);
    }

    fn assign(&mut self, endpoint: u32, domain: &id::Domain) {
        let home = home::choose(endpoint, domain, &self.entries);
        let other = home.filter(|home| Some(&home.instance) != self.own.as_ref());
        let address = other.map(|home| home.address);
        self.assigned.insert(endpoint, address);
        if address.is_some() {
            self.own_since.remove(&endpoint);
        } else {
            let since = self.entries_since;
            self.own_since.entry(endpoint).or_insert(since);
        }
    }

    /// Whether this entry is the home of an endpoint, or knows of none.
    pub(super) fn is_own(&self, endpoint: u32) -> bool {
        self.address(endpoint).is_none()
    }

    /// Address of an endpoint's home, `None` for this entry.
    pub(super) fn address(&self, endpoint: u32) -> Option<address::Socket> {
        self.assigned.get(&endpoint).copied().flatten()
    }

    /// Whether an address belongs to an entry of the view.
    pub(super) fn is_entry(&self, address: SocketAddr) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.address.0 == address)
    }

    /// Number of entries that share the endpoints.
    pub(super) fn entry_count(&self) -> usize {
        self.entries.len().max(1)
    }

    /// Requests that this entry may have at an endpoint whose home does not answer.
    pub(super) fn part(&self, endpoint: u32, slots: u32) -> u32 {
        match &self.own {
            Some(own) => home::part(endpoint, slots, own, &self.entries),
            None => slots,
        }
    }

    /// Records that a home is told of prompts.
    pub(super) fn record_notices(&mut self, home: address::Socket) {
        self.reports.record_notices(home);
    }

    /// What is due to be reported at `now`, out of the whole own backlog.
    fn due(
        &mut self,
        now: duration::Instant,
        backlogs: &[(u32, backlog::Backlog)],
    ) -> Vec<reports::Report> {
        let mut by_home: BTreeMap<address::Socket, Vec<(u32, backlog::Backlog)>> = BTreeMap::new();
        for (endpoint, backlog) in backlogs {
            if let Some(home) = self.address(*endpoint) {
                by_home.entry(home).or_default().push((*endpoint, *backlog));
            }
        }
        self.reports.due(now, by_home)
    }
}

impl Endpoints {
    /// Addresses at which the other entries of the view are told and asked.
    pub(crate) fn other_entries(&self) -> Vec<address::Socket> {
        let inner = self.inner.lock();
        let homes = &inner.homes;
        let others = homes.entries.iter();
        let others = others.filter(|entry| Some(&entry.instance) != homes.own.as_ref());
        others.map(|entry| entry.address).collect()
    }

    /// What this entry has to report to the homes of the endpoints that it uses.
    pub(crate) fn due_reports(&self, now: duration::Instant) -> Vec<reports::Report> {
        let mut inner = self.inner.lock();
        let Inner { states, homes, .. } = &mut *inner;
        let busy = states
            .values()
            .filter(|state| !state.own_backlog.is_empty());
        let busy = busy.map(|state| (state.name_hash, state.own_backlog));
        let busy: Vec<(u32, backlog::Backlog)> = busy.collect();
        homes.due(now, &busy)
    }

    /// Applies the backlog that another entry has at endpoints of this home. One that the view does
    /// not know is ignored.
    pub(crate) fn apply_backlogs(
        &self,
        now: duration::Instant,
        from: SocketAddr,
        sequence: u64,
        backlogs: &[(u32, backlog::Backlog)],
    ) {
        let mut inner = self.inner.lock();
        if inner.homes.is_entry(from) {
            inner.book.apply_backlogs(now, from, sequence, backlogs);
        }
    }

    /// Load of endpoints of this home, without the part of the entry that asks; `None` for one
    /// that the view does not know.
    pub(crate) fn answer(
        &self,
        now: duration::Instant,
        asker: SocketAddr,
        endpoints: &[u32],
    ) -> Option<Vec<(u32, home::Load)>> {
        let inner = self.inner.lock();
        if !inner.homes.is_entry(asker) {
            return None;
        }
        let loads = endpoints.iter().map(|endpoint| {
            let mut load = inner.book.load_without(now, *endpoint, Some(asker));
            let mut states = inner.states.values();
            if let Some(state) = states.find(|state| state.name_hash == *endpoint) {
                let own_prompts = state.recent_prompts.prefill_time(now).0;
                let own_prompts = u32::try_from(own_prompts).unwrap_or(u32::MAX);
                load.backlog = load.backlog.combined(&state.own_backlog);
                load.recent_micros = load.recent_micros.saturating_add(own_prompts);
            }
            let statement = inner.limits.statement(*endpoint);
            load.limit = statement.map(|statement| statement.to_report(now));
            (*endpoint, load)
        });
        Some(loads.collect())
    }
}
