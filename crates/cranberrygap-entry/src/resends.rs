//! Requests that are sent to endpoints once more, within the entry's budget.

use std::collections::BTreeMap;
use std::sync::Arc;

use cadence::{Counted as _, Gauged as _};
use cranberrygap_model::{duration, id};
use cranberrygap_policy::resend::{self, tally};
use parking_lot::Mutex;
use spdlog::warn;

use crate::core;
use crate::metric;

/// Share of the bound at which operators are warned.
const WARNING_SHARE: f64 = 0.75;

/// Why a request is to be sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The endpoint did not run it.
    Rejected,
    /// The endpoint responded with a server error.
    Failed,
    /// No response came.
    Unanswered,
    /// The response broke off.
    Cut,
}

/// The budget of this entry and what it was used for.
#[derive(Debug, Default)]
pub(crate) struct Resends {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    budget: resend::Budget,
    services: BTreeMap<id::Service, Usage>,
}

/// What was sent for one service lately.
#[derive(Debug, Default)]
struct Usage {
    tally: tally::Tally,
    warned_at: Option<duration::Instant>,
}

impl Cause {
    const fn name(self) -> &'static str {
        match self {
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Unanswered => "unanswered",
            Self::Cut => "cut",
        }
    }
}

impl Resends {
    /// The state for a dump.
    pub(crate) fn dump(&self, now: duration::Instant) -> serde_json::Value {
        let state = self.state.lock();
        let services = state.services.iter().map(|(service, usage)| {
            let counts = usage.tally.counts(now);
            let described = serde_json::json!({
                "saved": state.budget.saved(service),
                "last_10s": counts,
                "bound_10s": bound(counts, state.budget.max_saved(now)),
            });
            (service.to_string(), described)
        });
        services.collect::<serde_json::Map<_, _>>().into()
    }
}

/// Records a request that was sent for the first time, which adds its share to the budget.
///
/// A request that another entry sends in the end pays there, and nowhere else.
pub(crate) fn record_first_send(core: &core::Core, service: &id::Service, entries: usize) {
    let mut state = core.resends.state.lock();
    state.budget.earn(core.now(), service, entries);
    record(core, &mut state, service, tally::Event::FirstSend);
    drop(state);
    count(core, metric::FIRST_SENDS, &[service.as_str()]);
}

/// A resend taken from the budget of a service; it goes back if it is dropped unused.
#[derive(Debug)]
pub(crate) struct Ticket {
    core: Arc<core::Core>,
    service: id::Service,
    cause: Cause,
    is_used: bool,
}

/// Takes one resend from the budget; `None` if the request must not be sent once more.
pub(crate) fn take(core: &Arc<core::Core>, service: &id::Service, cause: Cause) -> Option<Ticket> {
    spend(core, service, cause).then(|| Ticket {
        core: Arc::clone(core),
        service: service.clone(),
        cause,
        is_used: false,
    })
}

impl Ticket {
    /// Lets the service to which the request goes now pay for it; false if it cannot.
    ///
    /// The plan may have changed since the ticket was taken.
    pub(crate) fn transfer(&mut self, service: &id::Service) -> bool {
        if self.service == *service {
            return true;
        }
        if !spend(&self.core, service, self.cause) {
            return false;
        }
        self.give_back();
        self.service = service.clone();
        true
    }

    /// Records that the request was sent once more.
    pub(crate) fn use_up(mut self) {
        self.is_used = true;
        let mut state = self.core.resends.state.lock();
        record(&self.core, &mut state, &self.service, tally::Event::Resend);
        drop(state);
        count_resend(&self.core, &self.service, self.cause, "sent");
    }

    fn give_back(&self) {
        let mut state = self.core.resends.state.lock();
        state.budget.give_back(self.core.now(), &self.service);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.is_used {
            self.give_back();
        }
    }
}

fn spend(core: &core::Core, service: &id::Service, cause: Cause) -> bool {
    let mut state = core.resends.state.lock();
    if state.budget.spend(service) {
        return true;
    }
    record(core, &mut state, service, tally::Event::Denied);
    drop(state);
    count_resend(core, service, cause, "denied");
    false
}

fn count_resend(core: &core::Core, service: &id::Service, cause: Cause, result: &str) {
    count(
        core,
        metric::RESENDS,
        &[service.as_str(), cause.name(), result],
    );
}

/// Resends that the requests of a window allow, beside what was saved before it.
fn bound(counts: tally::Counts, max_saved: f64) -> f64 {
    f64::from(counts.first_sends) * resend::RESENDS_PER_REQUEST + max_saved
}

fn record(core: &core::Core, state: &mut State, service: &id::Service, event: tally::Event) {
    let now = core.now();
    let max_saved = state.budget.max_saved(now);
    if !state.services.contains_key(service) {
        state.services.insert(service.clone(), Usage::default());
    }
    let Some(usage) = state.services.get_mut(service) else {
        return;
    };
    usage.tally.record(now, event);
    let counts = usage.tally.counts(now);
    let bound = bound(counts, max_saved);
    set_gauge(
        core,
        metric::RESENDS_RECENT,
        service,
        f64::from(counts.resends),
    );
    set_gauge(core, metric::RESENDS_BOUND, service, bound);
    if event == tally::Event::FirstSend || !usage.is_warning_due(now, counts, bound) {
        return;
    }
    usage.warned_at = Some(now);
    warn!(
        "resends: {} of {} requests for {service} were sent again in {}, {bound:.0} are allowed; \
         {} more were not",
        counts.resends,
        counts.first_sends,
        tally::WINDOW,
        counts.denied,
    );
}

impl Usage {
    /// Whether the bound is near, and operators were not told in this window.
    fn is_warning_due(&self, now: duration::Instant, counts: tally::Counts, bound: f64) -> bool {
        let was_told = self
            .warned_at
            .is_some_and(|at| now.since(at) < tally::WINDOW);
        let is_near = f64::from(counts.resends) >= bound * WARNING_SHARE;
        !was_told && (is_near || counts.denied > 0)
    }
}

/// Increments a counter with several tags. A metric that cannot be sent is dropped.
fn count(core: &core::Core, name: &'static str, tags: &[&str]) {
    let counter = core.metrics.count_with_tags(name, 1);
    let tagged = tags
        .iter()
        .fold(counter, |counter, tag| counter.with_tag_value(tag));
    tagged.send();
}

/// Sets a gauge in whole resends, rounded down. A metric that cannot be sent is dropped.
fn set_gauge(core: &core::Core, name: &'static str, service: &id::Service, value: f64) {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small number that is not negative"
    )]
    let value = value as u64;
    let gauge = core.metrics.gauge_with_tags(name, value);
    gauge.with_tag_value(service.as_str()).send();
}
