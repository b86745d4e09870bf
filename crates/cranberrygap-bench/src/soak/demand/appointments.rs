//! Who lends which workspace's tokens, as the leader chooses it.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};
use cranberrygap_policy::limits::{self, assignment, granter};
use cranberrygap_wire::view;

use super::day::Day;
use super::entry;
use super::way::Lenders;
use super::world;

/// The leader's choice of lenders.
#[derive(Debug)]
pub(super) struct Appointments {
    workspaces: Vec<id::Workspace>,
    candidates: assignment::Candidates,
    lenders: Lenders,
    /// Since when each lender was chosen.
    since: BTreeMap<id::Workspace, duration::Instant>,
}

impl Appointments {
    /// All entries of a day can lend.
    pub(super) fn new(day: Day) -> Self {
        let workspaces = world::limits(day).into_iter().map(|(name, _)| name);
        Self {
            workspaces: workspaces.collect(),
            candidates: (0..day.entries)
                .map(|number| (entry::name(number), true))
                .collect(),
            lenders: Lenders::new(),
            since: BTreeMap::new(),
        }
    }

    /// What has to change at `now`.
    pub(super) fn changes(
        &self,
        now: duration::Instant,
        granter: &granter::Granter,
    ) -> Vec<view::Lender> {
        let is_lost = |workspace: &id::Workspace| self.is_lost(now, granter, workspace);
        assignment::changes(&self.workspaces, &self.lenders, &self.candidates, is_lost)
    }

    /// Notes changes; gives who lends from then on.
    pub(super) fn take(&mut self, now: duration::Instant, changes: Vec<view::Lender>) -> Lenders {
        for change in changes {
            self.since.insert(change.workspace.clone(), now);
            match change.instance {
                Some(instance) => drop(self.lenders.insert(change.workspace, instance)),
                None => drop(self.lenders.remove(&change.workspace)),
            }
        }
        self.lenders.clone()
    }

    /// Another leader begins with what the log says.
    pub(super) fn inherit(&mut self, now: duration::Instant, lenders: &Lenders) {
        self.lenders.clone_from(lenders);
        self.since = lenders.keys().map(|name| (name.clone(), now)).collect();
    }

    /// Whether a lender had the time of a lease and has none.
    fn is_lost(
        &self,
        now: duration::Instant,
        granter: &granter::Granter,
        workspace: &id::Workspace,
    ) -> bool {
        let Some(lender) = self.lenders.get(workspace) else {
            return false;
        };
        let since = self.since.get(workspace).copied().unwrap_or_default();
        now.since(since) > limits::LEASE_DURATION && !granter.is_lender(workspace, lender)
    }
}
