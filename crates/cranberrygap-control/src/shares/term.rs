//! What one leader grants during its term.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, assignment, granter};
use cranberrygap_state::fleet;
use cranberrygap_wire::{configuration, share, view};

/// Time after which entries that ask the leader for a workspace's tokens say that its lender
/// does not answer them. Entries learn of a lender within some hundred milliseconds.
const ANSWERS: duration::Span = duration::Span::from_secs(1);

/// The granter of one term, and what it follows.
#[derive(Debug)]
pub(super) struct Term {
    pub(super) number: number::Term,
    pub(super) granter: granter::Granter,
    limits: BTreeMap<id::Workspace, limits::Limit>,
    lenders: BTreeMap<id::Workspace, id::Instance>,
    /// Since when each lender was chosen, as far as this leader knows.
    since: BTreeMap<id::Workspace, duration::Instant>,
    /// Revision of the state that this was read from.
    read: Option<number::Revision>,
}

impl Term {
    /// Takes leadership with everything that the log knows.
    pub(super) fn new(now: duration::Instant, number: number::Term, fleet: &fleet::Fleet) -> Self {
        let limits = limits_of(fleet);
        let logged: Vec<share::Allocation> = fleet.shares.iter().cloned().collect();
        spdlog::info!(
            "limits: grants in term {number}, {} shares are logged",
            logged.len()
        );
        Self {
            number,
            granter: granter::Granter::new(now, number, &limits, &logged),
            limits,
            lenders: BTreeMap::new(),
            since: BTreeMap::new(),
            read: None,
        }
    }

    /// Takes over limits and lenders that are in force now.
    pub(super) fn follow(&mut self, now: duration::Instant, fleet: &fleet::Fleet) {
        if self.read == Some(fleet.view_revision) {
            return;
        }
        self.read = Some(fleet.view_revision);
        self.follow_limits(now, limits_of(fleet));
        self.follow_lenders(now, fleet);
    }

    fn follow_limits(
        &mut self,
        now: duration::Instant,
        wanted: BTreeMap<id::Workspace, limits::Limit>,
    ) {
        if wanted == self.limits {
            return;
        }
        for (workspace, limit) in &wanted {
            if self.limits.get(workspace) == Some(limit) {
                continue;
            }
            spdlog::info!(
                "limits: workspace {workspace} has {} tokens a second and {} at once",
                limit.rate,
                limit.burst
            );
            // Who is not known since this leader took leadership was added after it,
            // and no earlier leader can have granted from its bucket.
            self.granter
                .configure(now, workspace, *limit, granter::Origin::Added);
        }
        self.limits = wanted;
    }

    fn follow_lenders(&mut self, now: duration::Instant, fleet: &fleet::Fleet) {
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
                    self.since.insert(workspace.clone(), now);
                }
                None => drop(self.lenders.remove(workspace)),
            }
        }
    }

    /// Closes shares that have ended, and chooses lenders where one is missing.
    pub(super) fn look(
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
        let candidates = fleet.members.iter().filter_map(candidate).collect();
        let is_lost = |workspace: &id::Workspace| self.has_lost_lender(now, workspace);
        let limited = |limit: &limits::Limit| limit.rate.0 > 0.0 && limit.burst.0 > 0;
        let workspaces = self.limits.iter();
        let workspaces = workspaces.filter(|(_, limit)| limited(limit));
        let workspaces = workspaces.map(|(workspace, _)| workspace);
        let changes = assignment::changes(workspaces, &self.lenders, &candidates, is_lost);
        (records, changes)
    }

    /// Whether a lender had the time of a lease and has none, or does not answer those who
    /// ask it.
    fn has_lost_lender(&self, now: duration::Instant, workspace: &id::Workspace) -> bool {
        let Some(lender) = self.lenders.get(workspace) else {
            return false;
        };
        let since = self.since.get(workspace).copied().unwrap_or_default();
        let held = now.since(since);
        let idle = held > limits::LEASE_DURATION && !self.granter.is_lender(workspace, lender);
        idle || (held > ANSWERS && self.granter.is_lender_unreachable(workspace))
    }
}

fn candidate(member: &view::Member) -> Option<(id::Instance, bool)> {
    let can = member.role == view::Role::Entry
        && member.phase != view::Phase::Left
        && member.lending.is_some();
    let active = member.phase == view::Phase::Active;
    can.then(|| (member.instance.clone(), active))
}

/// Rate and burst of every workspace by the configuration in force.
fn limits_of(fleet: &fleet::Fleet) -> BTreeMap<id::Workspace, limits::Limit> {
    let current = fleet.configuration.current();
    let workspaces = fleet.keys.workspaces();
    let issued = workspaces.map(|workspace| (workspace.clone(), limit_of(current, workspace)));
    let planned = fleet.traffic.plan().into_iter();
    let planned = planned.flat_map(|plan| &plan.workspaces);
    let planned = planned.map(|found| {
        let limit = limits::Limit {
            rate: found.rate,
            burst: found.burst,
        };
        (found.workspace.clone(), limit)
    });
    issued.chain(planned).collect()
}

fn limit_of(current: &configuration::Configuration, workspace: &id::Workspace) -> limits::Limit {
    let target = configuration::Target::Workspace;
    let mut exceptions = current.exceptions.iter();
    let exception = exceptions
        .find(|exception| exception.target == target && exception.name == workspace.as_str());
    let rate = exception.and_then(|exception| exception.rate);
    let burst = exception.and_then(|exception| exception.burst);
    limits::Limit {
        rate: rate.unwrap_or(current.defaults.rate),
        burst: token::Count(burst.unwrap_or(current.defaults.burst)),
    }
}
