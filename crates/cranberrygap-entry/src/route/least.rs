//! Sends each request to the endpoint with the fewest requests in flight.

use std::collections::BTreeMap;

use cranberrygap_model::{address, duration, id, number};
use cranberrygap_wire::{endpoint, view as wire_view};
use parking_lot::Mutex;

use crate::view;

use super::{Choice, Router, Wanted};

/// Time for which an endpoint that broke a request comes last.
const DISTRUST: duration::Span = duration::Span::from_millis(1000);

/// Least requests in flight, counted here.
#[derive(Debug, Default)]
pub(crate) struct Least {
    endpoints: Mutex<BTreeMap<id::Endpoint, Load>>,
}

#[derive(Debug, Clone)]
struct Load {
    announcement: endpoint::Announcement,
    ready: bool,
    in_flight: u32,
    waiting: u32,
    failed_at: Option<duration::Instant>,
}

impl Load {
    fn new(endpoint: &wire_view::Endpoint) -> Self {
        Self {
            announcement: endpoint.announcement.clone(),
            ready: is_ready(endpoint),
            in_flight: 0,
            waiting: 0,
            failed_at: None,
        }
    }

    fn serves(&self, wanted: &Wanted<'_>) -> bool {
        let holds = |model: &id::Model| {
            self.announcement
                .resident
                .iter()
                .any(|resident| resident.model == *model)
        };
        let right_model = wanted.model.is_none_or(holds);
        let right_service = wanted
            .service
            .is_none_or(|service| self.announcement.service.as_ref() == Some(service));
        self.ready && right_model && right_service
    }

    fn score(&self, now: duration::Instant) -> (bool, u32) {
        let distrusted = self.failed_at.is_some_and(|at| now.since(at) < DISTRUST);
        (distrusted, self.in_flight + self.waiting)
    }

    fn choice(&self) -> Choice {
        Choice {
            endpoint: self.announcement.endpoint.clone(),
            address: self.announcement.address,
            boot: self.announcement.boot,
        }
    }
}

fn is_ready(endpoint: &wire_view::Endpoint) -> bool {
    endpoint.health == wire_view::Health::Ready
        && endpoint.announcement.phase == endpoint::Phase::Ready
}

impl Router for Least {
    fn choose(&self, now: duration::Instant, wanted: &Wanted<'_>) -> Option<Choice> {
        let mut endpoints = self.endpoints.lock();
        let candidates = endpoints.values_mut().filter(|load| {
            load.serves(wanted) && !wanted.tried.contains(&load.announcement.endpoint)
        });
        let best = candidates.min_by_key(|load| load.score(now))?;
        best.in_flight += 1;
        Some(best.choice())
    }

    fn ended(&self, now: duration::Instant, choice: &Choice, failed: bool) {
        let mut endpoints = self.endpoints.lock();
        let Some(load) = endpoints.get_mut(&choice.endpoint) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        if failed {
            load.failed_at = Some(now);
        }
    }

    fn follow(&self, view: &view::Snapshot) {
        let mut endpoints = self.endpoints.lock();
        endpoints.retain(|name, _| view.endpoints().contains_key(name));
        for (name, endpoint) in view.endpoints() {
            let load = endpoints
                .entry(name.clone())
                .or_insert_with(|| Load::new(endpoint));
            let left_here = !load.ready && same_boot(&load.announcement, &endpoint.announcement);
            let left_here = left_here && load.announcement.phase == endpoint::Phase::Leaving;
            load.ready = is_ready(endpoint) && !left_here;
            if !left_here {
                load.announcement = endpoint.announcement.clone();
            }
        }
    }

    fn report(&self, _now: duration::Instant, report: &endpoint::Report) {
        let mut endpoints = self.endpoints.lock();
        if let Some(load) = endpoints.get_mut(&report.endpoint) {
            load.waiting = report.waiting;
        }
    }

    fn leaving(&self, endpoint: &id::Endpoint) {
        let mut endpoints = self.endpoints.lock();
        if let Some(load) = endpoints.get_mut(endpoint) {
            load.ready = false;
            load.announcement.phase = endpoint::Phase::Leaving;
        }
    }

    fn runners(&self) -> Vec<(id::Endpoint, address::Socket)> {
        let endpoints = self.endpoints.lock();
        let runners = endpoints
            .values()
            .filter(|load| is_runner(&load.announcement));
        runners
            .map(|load| {
                (
                    load.announcement.endpoint.clone(),
                    load.announcement.address,
                )
            })
            .collect()
    }

    fn dump(&self) -> serde_json::Value {
        let endpoints = self.endpoints.lock();
        let shown = endpoints.iter().map(|(name, load)| {
            let state = serde_json::json!({
                "ready": load.ready, "in_flight": load.in_flight, "waiting": load.waiting,
            });
            (name.to_string(), state)
        });
        shown.collect::<serde_json::Map<_, _>>().into()
    }
}

fn is_runner(announcement: &endpoint::Announcement) -> bool {
    announcement.kind == endpoint::Kind::Runner
}

fn same_boot(left: &endpoint::Announcement, right: &endpoint::Announcement) -> bool {
    let boot: number::Boot = left.boot;
    boot == right.boot
}
