//! What one leader knows of the runners during its term.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number};
use cranberrygap_placement::residency::{engine, planner};
use cranberrygap_state::fleet;
use cranberrygap_wire::traffic;
use tokio::sync::oneshot;

/// Time after taking leadership in which nothing is ordered. Runners that do not
/// compare leaders would take orders of two; the one before may have sent its last
/// order just before its lease ended, and orders take a moment on their way.
const SUCCESSION: duration::Span = duration::Span::from_millis(3_300);

/// One leader's term.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) term: number::Term,
    pub(super) since: duration::Instant,
    pub(super) books: BTreeMap<id::Service, planner::Planner>,
    plan: Option<u64>,
    pub(super) waiting: BTreeMap<u64, oneshot::Sender<Option<id::Endpoint>>>,
}

impl Leadership {
    /// A term that has begun at `now`.
    pub(super) const fn new(term: number::Term, now: duration::Instant) -> Self {
        Self {
            term,
            since: now,
            books: BTreeMap::new(),
            plan: None,
            waiting: BTreeMap::new(),
        }
    }

    /// Changes the book of a service, if there is one.
    pub(super) fn with(&mut self, service: &id::Service, work: impl FnOnce(&mut planner::Planner)) {
        if let Some(book) = self.books.get_mut(service) {
            work(book);
        }
    }

    /// Notes that a request wants an adapter.
    pub(super) fn want(
        &mut self,
        now: duration::Instant,
        ticket: u64,
        want: &traffic::Want,
        answer: oneshot::Sender<Option<id::Endpoint>>,
    ) {
        let Some(book) = self.books.get_mut(&want.service) else {
            return;
        };
        let adapter = (want.model.clone(), want.adapter.clone());
        self.waiting.insert(ticket, answer);
        book.request_adapter(now, ticket, &adapter, &want.endpoint, want.expires);
    }

    /// Takes over services and models, when the plan is a new one.
    pub(super) fn follow_plan(&mut self, now: duration::Instant, fleet: &fleet::Fleet) {
        let version = fleet.traffic.version();
        if version == self.plan {
            return;
        }
        self.plan = version;
        let services = fleet.traffic.plan().into_iter();
        let services = services.flat_map(|plan| &plan.services);
        let mut known = Vec::new();
        for service in services {
            let Some(engine) = &service.engine else {
                continue;
            };
            known.push(service.service.clone());
            let engine = engine::Engine::new(engine);
            if let Some(book) = self.books.get_mut(&service.service) {
                book.set_engine(now, engine);
                continue;
            }
            let wait = self.since.after(SUCCESSION).since(now);
            let name = service.service.clone();
            let book = planner::Planner::new(name.clone(), engine, now, wait);
            self.books.insert(name, book);
        }
        self.books.retain(|name, _| known.contains(name));
    }
}
