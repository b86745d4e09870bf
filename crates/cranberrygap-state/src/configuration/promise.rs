//! Refuses promises that cannot be kept.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, token};
use cranberrygap_wire::{configuration, ini, operator};

use super::facts::Facts;
use super::reader::Draft;

const METHODS: [&str; 5] = ["GET", "HEAD", "POST", "PUT", "DELETE"];

/// Adds a mistake for each promise that the fleet cannot keep.
pub(super) fn check(draft: &mut Draft, facts: &Facts) {
    let defaults = draft.defaults.as_ref();
    let plain = configuration::Defaults::default();
    let effective = defaults.map_or(&plain, |(_, defaults)| defaults);
    let mut mistakes = Vec::new();
    if let Some((table, defaults)) = defaults {
        mistakes.extend(times(table, defaults));
        mistakes.extend(room(table, defaults, facts));
        mistakes.extend(largest_request(table, defaults.burst, defaults.max_tokens));
    }
    for (table, exception) in &draft.exceptions {
        mistakes.extend(exceptional(table, exception, effective, facts));
    }
    mistakes.extend(capacity(draft, effective, facts));
    draft.mistakes.extend(mistakes);
}

fn exceptional(
    table: &ini::Table,
    exception: &configuration::Exception,
    defaults: &configuration::Defaults,
    facts: &Facts,
) -> Vec<operator::Mistake> {
    match exception.target {
        configuration::Target::Workspace => {
            let burst = exception.burst.unwrap_or(defaults.burst);
            let tokens = exception.max_tokens.unwrap_or(defaults.max_tokens);
            largest_request(table, burst, tokens).into_iter().collect()
        }
        configuration::Target::Model => too_large(table, exception, defaults, facts)
            .into_iter()
            .collect(),
        configuration::Target::Service => patterns(table, exception),
    }
}

/// A request that names no bound takes `max_tokens` out of the burst; with a
/// smaller burst it could never be admitted, and its caller would retry for ever.
fn largest_request(table: &ini::Table, burst: u64, max_tokens: u64) -> Option<operator::Mistake> {
    if burst >= max_tokens {
        return None;
    }
    let expected = format!("a burst of at least max_tokens, which is {max_tokens}");
    let entry = table.get("burst").or_else(|| table.get("max_tokens"))?;
    Some(table.wrong(entry, expected))
}

fn times(table: &ini::Table, defaults: &configuration::Defaults) -> Vec<operator::Mistake> {
    let mut mistakes = Vec::new();
    let deadline = defaults.request_deadline;
    for (key, span) in [
        ("queue_deadline", defaults.queue_deadline),
        ("first_token_target", defaults.first_token_target),
        ("between_token_target", defaults.between_token_target),
    ] {
        if let Some(entry) = table.get(key).filter(|_| span > deadline) {
            let expected = format!("a time up to request_deadline, which is {deadline}");
            mistakes.push(table.wrong(entry, expected));
        }
    }
    for (key, span) in [
        ("claim_retention", defaults.claim_retention),
        ("address_lifetime", defaults.address_lifetime),
        ("endpoint_silence", defaults.endpoint_silence),
        ("request_deadline", defaults.request_deadline),
        ("booking_deadline", defaults.booking_deadline),
    ] {
        if let Some(entry) = table.get(key).filter(|_| span == duration::Span(0)) {
            mistakes.push(table.wrong(entry, "a time above 0s".to_owned()));
        }
    }
    // A claim must outlive the booking that it stands for.
    if let Some(entry) = table.get("claim_retention")
        && defaults.claim_retention < defaults.booking_deadline
    {
        let least = defaults.booking_deadline;
        let expected = format!("a time of at least booking_deadline, which is {least}");
        mistakes.push(table.wrong(entry, expected));
    }
    mistakes
}

fn room(
    table: &ini::Table,
    defaults: &configuration::Defaults,
    facts: &Facts,
) -> Option<operator::Mistake> {
    let largest = facts.largest_memory?;
    let entry = table.get("cache_reserve")?;
    let expected = format!("a size below the memory of the largest runner, which is {largest}");
    (defaults.cache_reserve >= largest).then(|| table.wrong(entry, expected))
}

fn too_large(
    table: &ini::Table,
    exception: &configuration::Exception,
    defaults: &configuration::Defaults,
    facts: &Facts,
) -> Option<operator::Mistake> {
    let largest = facts.largest_memory?;
    let size = facts.models.get(exception.name.as_str())?;
    let reserve = defaults.cache_reserve;
    if size.0.saturating_add(reserve.0) <= largest.0 {
        return None;
    }
    let expected = format!(
        "a model that fits: this one has {size}, the largest runner {largest} less a cache_reserve of {reserve}"
    );
    Some(table.mistake(expected))
}

fn patterns(table: &ini::Table, exception: &configuration::Exception) -> Vec<operator::Mistake> {
    let Some(entry) = table.get("idempotent") else {
        return Vec::new();
    };
    let fits = |pattern: &str| {
        let (method, path) = pattern.split_once(' ').unwrap_or_default();
        METHODS.contains(&method) && path.starts_with('/')
    };
    let wrong = exception.idempotent.iter().filter(|pattern| !fits(pattern));
    wrong
        .map(|pattern| {
            let expected = format!("a method and a path such as GET /lookup/* for \"{pattern}\"");
            table.wrong(entry, expected)
        })
        .collect()
}

/// The rates of all workspaces together may not be above the capacity, or some
/// workspace would be refused although it is within its rate.
fn capacity(
    draft: &Draft,
    defaults: &configuration::Defaults,
    facts: &Facts,
) -> Option<operator::Mistake> {
    let (table, _) = draft.defaults.as_ref()?;
    let entry = table.get("capacity")?;
    let capacity = defaults.capacity?;
    let mut rates: BTreeMap<&str, token::Rate> = BTreeMap::new();
    for workspace in &facts.workspaces {
        rates.insert(workspace.as_str(), defaults.rate);
    }
    for (_, exception) in &draft.exceptions {
        if exception.target == configuration::Target::Workspace {
            let rate = exception.rate.unwrap_or(defaults.rate);
            rates.insert(exception.name.as_str(), rate);
        }
    }
    let promised: f64 = rates.values().map(|rate| rate.0).sum();
    if promised <= capacity.0 {
        return None;
    }
    let promised = token::Rate(promised);
    let expected =
        format!("at least {promised}, which the workspaces are promised, or lower rates");
    Some(table.wrong(entry, expected))
}
