//! Validates a parsed configuration against what the fleet has.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, token};
use cranberrygap_wire::{configuration, ini, operator};

use super::facts::Facts;
use super::reader::Draft;

const METHODS: [&str; 5] = ["GET", "HEAD", "POST", "PUT", "DELETE"];

/// Adds a mistake for each value that the fleet cannot support.
pub(super) fn check(draft: &mut Draft, facts: &Facts) {
    let defaults = draft.defaults.as_ref();
    let default_values = configuration::Defaults::default();
    let effective = defaults.map_or(&default_values, |(_, defaults)| defaults);
    let mut mistakes = Vec::new();
    if let Some((table, defaults)) = defaults {
        mistakes.extend(check_times(table, defaults));
        mistakes.extend(check_cache_reserve(table, defaults, facts));
        mistakes.extend(check_burst(table, defaults.burst, defaults.max_tokens));
    }
    for (table, exception) in &draft.exceptions {
        mistakes.extend(check_exception(table, exception, effective, facts));
    }
    mistakes.extend(check_capacity(draft, effective, facts));
    draft.mistakes.extend(mistakes);
}

fn check_exception(
    table: &ini::Table,
    exception: &configuration::Exception,
    defaults: &configuration::Defaults,
    facts: &Facts,
) -> Vec<operator::Mistake> {
    match exception.target {
        configuration::Target::Workspace => {
            let burst = exception.burst.unwrap_or(defaults.burst);
            let tokens = exception.max_tokens.unwrap_or(defaults.max_tokens);
            check_burst(table, burst, tokens).into_iter().collect()
        }
        configuration::Target::Model => check_model_size(table, exception, defaults, facts)
            .into_iter()
            .collect(),
        configuration::Target::Service => check_idempotent_patterns(table, exception),
    }
}

/// Checks that a burst covers the largest request.
///
/// A request without its own bound takes `max_tokens` out of the burst. With a smaller
/// burst it could never be admitted, and its caller would retry for ever.
fn check_burst(table: &ini::Table, burst: u64, max_tokens: u64) -> Option<operator::Mistake> {
    if burst >= max_tokens {
        return None;
    }
    let expected = format!("a burst of at least max_tokens, which is {max_tokens}");
    let entry = table.get("burst").or_else(|| table.get("max_tokens"))?;
    Some(table.wrong(entry, expected))
}

fn check_times(table: &ini::Table, defaults: &configuration::Defaults) -> Vec<operator::Mistake> {
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
    // A claim must be kept longer than its booking may run.
    if let Some(entry) = table.get("claim_retention")
        && defaults.claim_retention < defaults.booking_deadline
    {
        let least = defaults.booking_deadline;
        let expected = format!("a time of at least booking_deadline, which is {least}");
        mistakes.push(table.wrong(entry, expected));
    }
    mistakes
}

fn check_cache_reserve(
    table: &ini::Table,
    defaults: &configuration::Defaults,
    facts: &Facts,
) -> Option<operator::Mistake> {
    let largest = facts.largest_memory?;
    let entry = table.get("cache_reserve")?;
    let expected = format!("a size below the memory of the largest runner, which is {largest}");
    (defaults.cache_reserve >= largest).then(|| table.wrong(entry, expected))
}

fn check_model_size(
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

fn check_idempotent_patterns(
    table: &ini::Table,
    exception: &configuration::Exception,
) -> Vec<operator::Mistake> {
    let Some(entry) = table.get("idempotent") else {
        return Vec::new();
    };
    let is_valid = |pattern: &str| {
        let (method, path) = pattern.split_once(' ').unwrap_or_default();
        METHODS.contains(&method) && path.starts_with('/')
    };
    let invalid = exception
        .idempotent
        .iter()
        .filter(|pattern| !is_valid(pattern));
    invalid
        .map(|pattern| {
            let expected = format!("a method and a path such as GET /lookup/* for \"{pattern}\"");
            table.wrong(entry, expected)
        })
        .collect()
}

/// Checks that the rates of all workspaces together do not exceed the capacity.
///
/// Otherwise some workspace would be refused although it is within its rate.
fn check_capacity(
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
