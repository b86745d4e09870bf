//! Second and later arrivals at each service.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id};
use smol_str::SmolStr;

use super::{Check, some_of};
use crate::finding;
use crate::record;
use crate::rules;

/// In any window, second and later arrivals stay within a share of the requests and a fixed
/// number.
#[derive(Debug)]
pub struct Budget;

impl Check for Budget {
    fn name(&self) -> &'static str {
        "budget"
    }

    fn description(&self) -> &'static str {
        "second and later arrivals at a service stay within a share of its requests and a fixed \
         number in any window, over all entries"
    }

    fn run(&self, record: &record::Record, rules: &rules::Rules) -> Vec<finding::Finding> {
        let mut requests: BTreeMap<&id::Service, Vec<duration::Instant>> = BTreeMap::new();
        for attempt in &record.attempts {
            let times = requests.entry(&attempt.service).or_default();
            times.push(attempt.sent_at);
        }
        for times in requests.values_mut() {
            times.sort_unstable();
        }
        let repeats = repeats(record);
        let worst = repeats.iter().filter_map(|(service, repeats)| {
            let none = Vec::new();
            let requests = requests.get(service).unwrap_or(&none);
            worst_window(rules, requests, repeats).map(|mut worst| {
                worst.subject = SmolStr::new(service.as_str());
                worst
            })
        });
        worst.collect()
    }
}

/// Second and later arrivals by service, in their order.
fn repeats(record: &record::Record) -> BTreeMap<&id::Service, Vec<(duration::Instant, &SmolStr)>> {
    let mut seen = BTreeSet::new();
    let mut repeats: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for arrival in record.ordered_arrivals() {
        if !seen.insert(&arrival.attempt) {
            let of_service = repeats.entry(&arrival.service).or_default();
            of_service.push((arrival.at, &arrival.attempt));
        }
    }
    repeats
}

/// The window with the most repeats beyond what it allows, if any has more.
fn worst_window(
    rules: &rules::Rules,
    requests: &[duration::Instant],
    repeats: &[(duration::Instant, &SmolStr)],
) -> Option<finding::Finding> {
    let mut worst: Option<finding::Finding> = None;
    for (first, (start, _)) in repeats.iter().enumerate() {
        let end = start.after(rules.window);
        let count = repeats[first..].partition_point(|(at, _)| *at < end);
        let allowed = rules.share * most_requests(rules, requests, *start) as f64 + rules.fixed;
        let excess = count as f64 - allowed;
        let is_worse = worst
            .as_ref()
            .is_none_or(|worst| excess > worst.seen - worst.allowed);
        if excess > 0.0 && is_worse {
            let named = repeats[first..first + count].iter().rev();
            worst = Some(finding::Finding {
                check: Budget.name(),
                at: *start,
                subject: SmolStr::default(),
                allowed,
                seen: count as f64,
                attempts: some_of(named.map(|(_, attempt)| *attempt)),
            });
        }
    }
    worst
}

/// Requests in a window, in the one before it or in the one half a window before it, whichever
/// has most. A request may be sent again long after its caller sent it.
fn most_requests(
    rules: &rules::Rules,
    requests: &[duration::Instant],
    start: duration::Instant,
) -> usize {
    let window = rules.window.0;
    let counts = [0, window / 2, window].map(|earlier| {
        // The first windows of a run begin before its clock.
        let end = (start.0 + window).saturating_sub(earlier);
        let from = start.0.saturating_sub(earlier);
        let before = |limit: u64| requests.partition_point(|at| at.0 < limit);
        before(end) - before(from)
    });
    counts.into_iter().max().unwrap_or_default()
}
