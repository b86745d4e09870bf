//! State of granting shares during one leader's term.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, assignment, granter};
use cranberrygap_state::fleet;
use cranberrygap_wire::{configuration, share, view};

/// Time after a lender was chosen before reports that it does not answer count against it. Entries
/// learn of a new lender within a few hundred milliseconds.
const LENDER_GRACE_PERIOD: duration::Span = duration::Span::from_secs(1);

/// Granter of one term, with the limits and lenders it was last configured with.
#[derive(Debug)]
pub(super) struct State {
    pub(super) number: number::Term,
    pub(super) granter: granter::Granter,
    limits: BTreeMap<id::Workspace, limits::Limit>,
    lenders: BTreeMap<id::Workspace, id::Instance>,
    /// When each lender was chosen, or first seen by this leader.
    lender_since: BTreeMap<id::Workspace, duration::Instant>,
    /// View revision that limits and lenders were read from.
    revision: Option<number::Revision>,
}

impl State {
    /// Creates the state of a new term from the shares in the log.
    pub(super) fn new(now: duration::Instant, number: number::Term, fleet: &fleet::Fleet) -> Self {
        let limits = workspace_limits(fleet);
        let logged: Vec<share::Allocation> = fleet.shares.iter().cloned().collect();
        spdlog::info!(
            "limits: grants in term {number} with {} shares from the log",
            logged.len()
        );
        Self {
            number,
            granter: granter::Granter::new(now, number, &limits, &logged),
            limits,
            lenders: BTreeMap::new(),
            lender_since: BTreeMap::new(),
            revision: None,
        }
    }

    /// Updates limits and lenders from the replicated state if it has changed.
    pub(super) fn update_from_state(&mut self, now: duration::Instant, fleet: &fleet::Fleet) {
        if self.revision == Some(fleet.view_revision) {
            return;
        }
        self.revision = Some(fleet.view_revision);
        self.update_limits(now, workspace_limits(fleet));
        self.update_lenders(now, fleet);
    }

    fn update_limits(
        &mut self,
        now: duration::Instant,
        limits: BTreeMap<id::Workspace, limits::Limit>,
    ) {
        if limits == self.limits {
            return;
        }
        for (workspace, limit) in &limits {
            if self.limits.get(workspace) == Some(limit) {
                continue;
            }
            spdlog::info!(
                "limits: workspace {workspace} has {} tokens per second and a burst of {}",
                limit.rate,
                limit.burst
            );
            // A workspace that was unknown when this leader took over was added later, so no
            // earlier leader can have granted from its bucket.
            self.granter
                .configure(now, workspace, *limit, granter::Origin::Added);
        }
        self.limits = limits;
    }

    fn update_lenders(&mut self, now: duration::Instant, fleet: &fleet::Fleet) {
        self.lenders
            .retain(|workspace, _| fleet.lenders.get(workspace).is_some());
        for (workspace, lender) in fleet.lenders.iter() {
            if !self.limits.contains_key(workspace) {
                self.lenders.insert(workspace.clone(), lender.clone());
                self.granter.set_lender(workspace, None);
            }
        }
        for workspace in self.limits.keys() {
            let lender = fleet.lenders.get(workspace);
            self.granter.set_lender(workspace, lender);
            if self.lenders.get(workspace) == lender {
                continue;
            }
            match lender {
                Some(lender) => {
                    self.lenders.insert(workspace.clone(), lender.clone());
                    self.lender_since.insert(workspace.clone(), now);
                }
                None => drop(self.lenders.remove(workspace)),
            }
        }
    }

    /// Closes expired shares and chooses lenders for workspaces that lack one.
    ///
    /// Returns the records and lenders to commit.
    pub(super) fn expire_and_choose_lenders(
        &mut self,
        now: duration::Instant,
        fleet: &fleet::Fleet,
    ) -> (Vec<share::Allocation>, Vec<view::Lender>) {
        for (instance, boot) in self.granter.holders() {
            if fleet.members.has_ended(&instance, boot) {
                self.granter.record_process_end(now, &instance, boot);
            }
        }
        let records = self.granter.expire(now);
        let candidates = fleet.members.iter().filter_map(lender_candidate).collect();
        let needs_new_lender = |workspace: &id::Workspace| self.needs_new_lender(now, workspace);
        let limited = |limit: &limits::Limit| limit.rate.0 > 0.0 && limit.burst.0 > 0;
        let workspaces = self.limits.iter();
        let workspaces = workspaces.filter(|(_, limit)| limited(limit));
        let workspaces = workspaces.map(|(workspace, _)| workspace);
        let changes = assignment::changes(workspaces, &self.lenders, &candidates, needs_new_lender);
        (records, changes)
    }

    /// Returns whether a workspace needs another lender.
    ///
    /// It does if its lender holds no lease after the time of one, or does not answer the entries
    /// that ask it.
    fn needs_new_lender(&self, now: duration::Instant, workspace: &id::Workspace) -> bool {
        let Some(lender) = self.lenders.get(workspace) else {
            return false;
        };
        let since = self
            .lender_since
            .get(workspace)
            .copied()
            .unwrap_or_default();
        let time_as_lender = now.since(since);
        let has_no_lease =
            time_as_lender > limits::LEASE_DURATION && !self.granter.is_lender(workspace, lender);
        has_no_lease
            || (time_as_lender > LENDER_GRACE_PERIOD
                && self.granter.is_lender_unreachable(workspace))
    }
}

fn lender_candidate(member: &view::Member) -> Option<(id::Instance, bool)> {
    let can_lend = member.role == view::Role::Entry
        && member.phase != view::Phase::Left
        && member.lending.is_some();
    let active = member.phase == view::Phase::Active;
    can_lend.then(|| (member.instance.clone(), active))
}

/// Returns the rate and burst of every workspace by the configuration and plan in force.
fn workspace_limits(fleet: &fleet::Fleet) -> BTreeMap<id::Workspace, limits::Limit> {
    let configuration = fleet.configuration.current();
    let workspaces = fleet.keys.workspaces();
    let issued = workspaces.map(|workspace| {
        (
            workspace.clone(),
            configured_limit(configuration, workspace),
        )
    });
    let planned = fleet.traffic.plan().into_iter();
    let planned = planned.flat_map(|plan| &plan.workspaces);
    let planned = planned.map(|workspace| {
        let limit = limits::Limit {
            rate: workspace.rate,
            burst: workspace.burst,
        };
        (workspace.workspace.clone(), limit)
    });
    issued.chain(planned).collect()
}

fn configured_limit(
    configuration: &configuration::Configuration,
    workspace: &id::Workspace,
) -> limits::Limit {
    let target = configuration::Target::Workspace;
    let mut exceptions = configuration.exceptions.iter();
    let exception = exceptions
        .find(|exception| exception.target == target && exception.name == workspace.as_str());
    let rate = exception.and_then(|exception| exception.rate);
    let burst = exception.and_then(|exception| exception.burst);
    limits::Limit {
        rate: rate.unwrap_or(configuration.defaults.rate),
        burst: token::Count(burst.unwrap_or(configuration.defaults.burst)),
    }
}
