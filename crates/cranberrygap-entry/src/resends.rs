//! Requests that are sent to endpoints once more, within the entry's budget.

mod cause;
mod ticket;
mod usage;

use std::collections::BTreeMap;
use std::sync::Arc;

use cadence::{Counted as _, Gauged as _};
use cranberrygap_model::duration;
use cranberrygap_policy::resend::{self, scope, tally};
use parking_lot::Mutex;
use spdlog::warn;

use crate::core;
use crate::metric;

pub(crate) use cause::Cause;
pub(crate) use ticket::Ticket;
use usage::Usage;

/// The budget of this entry and what it was used for.
#[derive(Debug, Default)]
pub(crate) struct Resends {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    budget: resend::Budget,
    usages: BTreeMap<scope::Scope, Usage>,
}

impl Resends {
    /// The state for a dump.
    pub(crate) fn dump(&self, now: duration::Instant) -> serde_json::Value {
        let state = self.state.lock();
        let usages = state.usages.iter().map(|(scope, usage)| {
            let counts = usage.tally.counts(now);
            let described = serde_json::json!({
                "saved": state.budget.saved(scope),
                "last_10s": counts,
                "bound_10s": bound(&state.budget, now, counts),
            });
            (scope.to_string(), described)
        });
        usages.collect::<serde_json::Map<_, _>>().into()
    }
}

/// Records a request that was sent for the first time, which adds its share to the budget.
///
/// A request that another entry sends in the end pays there, and nowhere else.
pub(crate) fn record_first_send(core: &core::Core, scope: &scope::Scope) {
    let view = core.view.latest();
    let entries = view
        .as_ref()
        .map_or(0, |view| view.active_entries().count());
    let mut state = core.resends.state.lock();
    if let Some(view) = view {
        state.budget.set_share(view.defaults().retry_share);
    }
    state.budget.earn(core.now(), scope, entries);
    record(core, &mut state, scope, tally::Event::FirstSend);
    drop(state);
    count(core, metric::FIRST_SENDS, &[scope.to_string().as_str()]);
}

/// Takes one resend from the budget; `None` if the request must not be sent once more.
pub(crate) fn take(core: &Arc<core::Core>, scope: &scope::Scope, cause: Cause) -> Option<Ticket> {
    spend(core, scope, cause).then(|| Ticket {
        core: Arc::clone(core),
        scope: scope.clone(),
        cause,
        is_used: false,
    })
}

fn spend(core: &core::Core, scope: &scope::Scope, cause: Cause) -> bool {
    let mut state = core.resends.state.lock();
    if state.budget.spend(scope) {
        return true;
    }
    record(core, &mut state, scope, tally::Event::Denied);
    drop(state);
    count_resend(core, scope, cause, "denied");
    false
}

fn count_resend(core: &core::Core, scope: &scope::Scope, cause: Cause, result: &str) {
    count(
        core,
        metric::RESENDS,
        &[scope.to_string().as_str(), cause.name(), result],
    );
}

/// Resends that the requests of a window allow, and those that may be saved before it.
fn bound(budget: &resend::Budget, now: duration::Instant, counts: tally::Counts) -> f64 {
    f64::from(counts.first_sends) * budget.share() + budget.max_saved(now)
}

fn record(core: &core::Core, state: &mut State, scope: &scope::Scope, event: tally::Event) {
    let now = core.now();
    if !state.usages.contains_key(scope) {
        state.usages.insert(scope.clone(), Usage::default());
    }
    let Some(usage) = state.usages.get_mut(scope) else {
        return;
    };
    usage.tally.record(now, event);
    let counts = usage.tally.counts(now);
    let bound = bound(&state.budget, now, counts);
    set_gauge(
        core,
        metric::RESENDS_RECENT,
        scope,
        f64::from(counts.resends),
    );
    set_gauge(core, metric::RESENDS_BOUND, scope, bound);
    if event == tally::Event::FirstSend || !usage.is_warning_due(now, counts, bound) {
        return;
    }
    usage.warned_at = Some(now);
    warn!(
        "resends: {} of {} requests for {scope} were sent again in {}, {bound:.0} are allowed; \
         {} more were not",
        counts.resends,
        counts.first_sends,
        tally::WINDOW,
        counts.denied,
    );
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
fn set_gauge(core: &core::Core, name: &'static str, scope: &scope::Scope, value: f64) {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small number that is not negative"
    )]
    let value = value as u64;
    let gauge = core.metrics.gauge_with_tags(name, value);
    gauge.with_tag_value(&scope.to_string()).send();
}
