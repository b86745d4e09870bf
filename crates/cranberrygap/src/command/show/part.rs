//! Parts of the fleet as tables.

use std::collections::BTreeSet;

use clap::ValueEnum;
use cranberrygap_model::id;
use cranberrygap_wire::{configuration, view};

use super::table::Table;

/// Which part of the fleet to show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// All of it, in short.
    Fleet,
    /// Models and where they are resident.
    Models,
    /// Workspaces with their limits.
    Workspaces,
    /// Model runners and plain services.
    Endpoints,
    /// Entries and control processes.
    Entries,
    /// Requests that are refused or run only alone, since endpoints crashed under them.
    Quarantines,
}

/// The part as a table; `None` for the whole fleet, which is no table.
#[must_use]
pub fn table(part: Part, state: &view::State) -> Option<Table> {
    match part {
        Part::Fleet => None,
        Part::Models => Some(models(state)),
        Part::Workspaces => Some(workspaces(state)),
        Part::Endpoints => Some(endpoints(state)),
        Part::Entries => Some(entries(state)),
        Part::Quarantines => Some(quarantines(state)),
    }
}

fn models(state: &view::State) -> Table {
    let mut table = Table::new(&["model", "size", "base", "copies", "domains", "endpoints"]);
    for weights in &state.catalogue {
        let holders = holders(state, &weights.model);
        let domains: BTreeSet<&id::Domain> = holders
            .iter()
            .map(|holder| &holder.announcement.domain)
            .collect();
        let names = holders
            .iter()
            .map(|holder| holder.announcement.endpoint.as_str());
        table.push(vec![
            weights.model.to_string(),
            weights.size.to_string(),
            weights
                .base
                .as_ref()
                .map_or("-".to_owned(), ToString::to_string),
            holders.len().to_string(),
            domains.len().to_string(),
            words(names),
        ]);
    }
    table
}

fn holders<'state>(state: &'state view::State, model: &id::Model) -> Vec<&'state view::Endpoint> {
    let endpoints = state.endpoints.iter();
    let holding = endpoints.filter(|endpoint| {
        let mut resident = endpoint.announcement.resident.iter();
        resident.any(|held| held.model == *model)
    });
    holding.collect()
}

fn workspaces(state: &view::State) -> Table {
    let mut table = Table::new(&["workspace", "rate", "burst", "weight", "keys", "reason"]);
    let defaults = &state.configuration.defaults;
    for workspace in &state.workspaces {
        let mut exceptions = state.configuration.exceptions.iter();
        let exception = exceptions.find(|exception| {
            exception.target == configuration::Target::Workspace
                && exception.name == workspace.as_str()
        });
        let rate = exception.and_then(|exception| exception.rate);
        let burst = exception.and_then(|exception| exception.burst);
        let weight = exception.and_then(|exception| exception.weight);
        let keys = state.keys.iter().filter(|key| key.workspace == *workspace);
        table.push(vec![
            workspace.to_string(),
            rate.unwrap_or(defaults.rate).to_string(),
            burst.unwrap_or(defaults.burst).to_string(),
            weight.unwrap_or(defaults.weight).to_string(),
            keys.count().to_string(),
            exception.map_or("-".to_owned(), |exception| exception.reason.to_string()),
        ]);
    }
    table
}

fn endpoints(state: &view::State) -> Table {
    let mut table = Table::new(&[
        "endpoint", "kind", "health", "domain", "address", "memory", "serves",
    ]);
    for endpoint in &state.endpoints {
        let found = &endpoint.announcement;
        let models = found.resident.iter().map(|held| held.model.as_str());
        let service = found.service.as_ref().map(id::Service::as_str);
        table.push(vec![
            found.endpoint.to_string(),
            found.kind.to_string(),
            endpoint.health.to_string(),
            found.domain.to_string(),
            found.address.to_string(),
            found.memory.to_string(),
            words(models.chain(service)),
        ]);
    }
    table
}

fn entries(state: &view::State) -> Table {
    let mut table = Table::new(&["instance", "role", "phase", "domain", "address"]);
    for member in &state.members {
        table.push(vec![
            member.instance.to_string(),
            member.role.to_string(),
            member.phase.to_string(),
            member.domain.to_string(),
            member.address.to_string(),
        ]);
    }
    table
}

fn quarantines(state: &view::State) -> Table {
    let mut table = Table::new(&["fingerprint", "request", "until (Unix ms)"]);
    for quarantine in &state.quarantines {
        let treatment = match quarantine.probation {
            Some(true) => "runs only alone",
            _ => "refused",
        };
        table.push(vec![
            quarantine.fingerprint.to_string(),
            treatment.to_owned(),
            quarantine.until.to_string(),
        ]);
    }
    table
}

fn words<'text>(names: impl Iterator<Item = &'text str>) -> String {
    let names: Vec<&str> = names.collect();
    if names.is_empty() {
        return "-".to_owned();
    }
    names.join(" ")
}
