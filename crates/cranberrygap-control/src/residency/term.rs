//! State of residency planning during one leader's term.

use std::collections::BTreeMap;

use cranberrygap_link::clock;
use cranberrygap_model::{duration, id, number};
use cranberrygap_placement::residency::{engine, planner};
use cranberrygap_state::fleet;
use cranberrygap_wire::traffic;
use tokio::sync::oneshot;

/// Delay after taking leadership before the first order. Runners that do not check fencing tokens
/// would accept orders of two leaders: the predecessor may have sent an order just before its lease
/// ended, and that order takes a moment to arrive.
const TAKEOVER_DELAY: duration::Span = duration::Span::from_millis(3_300);

/// Uptime from which a runner process gets no order that was meant for an earlier process of its
/// name: the longest delivery of an order, and some seconds by which clocks differ.
const SETTLED_UPTIME: duration::Span = duration::Span::from_secs(20);

/// State of one leader's term.
#[derive(Debug)]
pub(super) struct State {
    pub(super) number: number::Term,
    pub(super) start: duration::Instant,
    pub(super) planners: BTreeMap<id::Service, planner::Planner>,
    plan_version: Option<u64>,
    pub(super) adapter_requests: BTreeMap<u64, oneshot::Sender<Option<id::Endpoint>>>,
}

impl State {
    /// Creates the state of a term that began at `now`.
    pub(super) const fn new(number: number::Term, now: duration::Instant) -> Self {
        Self {
            number,
            start: now,
            planners: BTreeMap::new(),
            plan_version: None,
            adapter_requests: BTreeMap::new(),
        }
    }

    /// Number of runners of all services.
    pub(super) fn runner_count(&self) -> usize {
        let planners = self.planners.values();
        planners.map(|planner| planner.runners().count()).sum()
    }

    /// Calls `work` with the planner of a service, if there is one.
    pub(super) fn with_planner(
        &mut self,
        service: &id::Service,
        work: impl FnOnce(&mut planner::Planner),
    ) {
        if let Some(planner) = self.planners.get_mut(service) {
            work(planner);
        }
    }

    /// Passes an entry's request for an adapter to the planner of its service.
    pub(super) fn request_adapter(
        &mut self,
        now: duration::Instant,
        ticket: u64,
        want: &traffic::Want,
        reply: oneshot::Sender<Option<id::Endpoint>>,
    ) {
        let Some(planner) = self.planners.get_mut(&want.service) else {
            return;
        };
        let adapter = (want.model.clone(), want.adapter.clone());
        self.adapter_requests.insert(ticket, reply);
        planner.request_adapter(now, ticket, &adapter, &want.endpoint, want.expires);
    }

    /// Updates services and models if the traffic plan has a new version.
    pub(super) fn update_from_plan(&mut self, now: duration::Instant, fleet: &fleet::Fleet) {
        let version = fleet.traffic.version();
        if version == self.plan_version {
            return;
        }
        self.plan_version = version;
        let services = fleet.traffic.plan().into_iter();
        let services = services.flat_map(|plan| &plan.services);
        let mut planned_services = Vec::new();
        for service in services {
            let Some(engine) = &service.engine else {
                continue;
            };
            planned_services.push(service.service.clone());
            let engine = engine::Engine::new(engine);
            if let Some(planner) = self.planners.get_mut(&service.service) {
                planner.set_engine(now, engine);
                continue;
            }
            let delay = self.start.after(TAKEOVER_DELAY).since(now);
            let name = service.service.clone();
            let before = settled_before(fleet);
            let planner = planner::Planner::new(name.clone(), engine, now, delay, before);
            self.planners.insert(name, planner);
        }
        self.planners
            .retain(|name, _| planned_services.contains(name));
    }
}

/// Time before which runner processes started that no order of an earlier leader reaches by
/// mistake; `None` if no leader has ordered anything. One that orders publishes before what
/// runners hold.
fn settled_before(fleet: &fleet::Fleet) -> Option<u64> {
    let uptime = SETTLED_UPTIME.0 / 1_000;
    let has_predecessor = fleet.residencies.iter().next().is_some();
    has_predecessor.then(|| clock::unix_millis().saturating_sub(uptime))
}
