//! Fleets of any size.

use std::fmt::Debug;
use std::str::FromStr;

use cranberrygap_model::{duration, number, size};
use cranberrygap_wire::{configuration, endpoint, view};

/// Memory of a runner with eight accelerators.
const RUNNER_MEMORY: size::Bytes = size::Bytes(640 << 30);

/// Weights of a model: many of middling size.
const MODEL_SIZE: size::Bytes = size::Bytes(24 << 30);

/// Models that a runner holds.
pub(super) const RESIDENT: usize = 8;

/// Failure domains of the fleet planned for.
const DOMAINS: usize = 7;

pub(super) fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("a plain name")
}

pub(super) fn model(number: usize) -> endpoint::Weights {
    endpoint::Weights {
        model: name(&format!("model-{number:04}")),
        size: MODEL_SIZE,
        base: None,
        version_of: None,
    }
}

/// A runner of a fleet with so many models; holds a few of them.
pub(super) fn runner(number: usize, models: usize) -> view::Endpoint {
    view::Endpoint {
        announcement: endpoint::Announcement {
            details: None,
            accelerators: 8,
            address: name(&format!("10.{}.{}.7:8000", number / 250, number % 250)),
            boot: number::Boot(1),
            checks_fence: true,
            domain: domain(number),
            endpoint: name(&format!("runner-{number:04}")),
            fence: None,
            kind: endpoint::Kind::Runner,
            memory: RUNNER_MEMORY,
            order: None,
            phase: endpoint::Phase::Ready,
            resident: resident(number, models),
            residency: number::Sequence(1),
            role: None,
            sequence: number::Sequence(1),
            service: None,
            software: None,
        },
        health: view::Health::Ready,
    }
}

pub(super) fn resident(number: usize, models: usize) -> Vec<endpoint::Resident> {
    let first = number * RESIDENT;
    let held = (first..first + RESIDENT).map(|held| held % models.max(1));
    held.map(|held| endpoint::Resident {
        model: model(held).model,
        size: MODEL_SIZE,
    })
    .collect()
}

pub(super) fn report(number: usize, models: usize) -> endpoint::Report {
    let runner = runner(number, models).announcement;
    endpoint::Report {
        age: duration::Span(0),
        boot: runner.boot,
        cache_size: size::Bytes(0),
        cache_used: size::Bytes(0),
        endpoint: runner.endpoint,
        events: Vec::new(),
        phase: None,
        resident: runner.resident,
        residency: number::Sequence(1),
        running: 20,
        sequence: number::Sequence(0),
        waiting: 3,
    }
}

pub(super) fn entry(number: usize) -> view::Member {
    view::Member {
        instance: name(&format!("entry-{number:04}")),
        domain: domain(number),
        role: view::Role::Entry,
        address: name(&format!("10.9.{}.{}:8080", number / 250, number % 250)),
        endpoints: Some(name(&format!(
            "10.9.{}.{}:8081",
            number / 250,
            number % 250
        ))),
        lending: None,
        phase: view::Phase::Active,
    }
}

/// A confirmation that tells of so many runners heard and models asked for.
pub(super) fn confirm(runners: usize, models: usize) -> view::Confirm {
    let entry = entry(1);
    let seen = (0..runners).map(|number| view::Seen {
        endpoint: runner(number, 1).announcement.endpoint,
        boot: number::Boot(1 << 52),
        sequence: number::Sequence(123_456),
    });
    let demands = (0..models).map(|number| view::Demand {
        waiting: 0,
        refused: 0,
        work: 0,
        model: model(number).model,
        requests: 12,
        tokens: 3_456,
        attained: 11,
    });
    view::Confirm {
        instance: entry.instance,
        boot: number::Boot(1 << 52),
        domain: entry.domain,
        address: entry.address,
        endpoints: entry.endpoints,
        lending: entry.lending,
        phase: entry.phase,
        revision: number::Revision(123_456),
        seen: seen.collect(),
        announcements: Vec::new(),
        demands: demands.collect(),
    }
}

pub(super) fn key(number: usize) -> view::Key {
    view::Key {
        key: name(&format!("cg-{number:016x}")),
        workspace: name(&format!("workspace-{:03}", number % 50)),
        hash: blake3::hash(&number.to_le_bytes()).to_hex().as_str().into(),
    }
}

fn domain(number: usize) -> cranberrygap_model::id::Domain {
    name(&format!("domain-{}", number % DOMAINS))
}

/// A view with so many of each.
pub(super) fn view(runners: usize, models: usize, entries: usize, keys: usize) -> view::State {
    view::State {
        evacuated: Vec::new(),
        traffic: None,
        residencies: Vec::new(),
        lenders: Vec::new(),
        former_routes: Vec::new(),
        staged: None,
        founded: None,
        versions: Vec::new(),
        configuration: configuration::Configuration {
            revision: number::Revision(1),
            defaults: configuration::Defaults::default(),
            exceptions: Vec::new(),
        },
        catalogue: (0..models).map(model).collect(),
        endpoints: (0..runners).map(|number| runner(number, models)).collect(),
        keys: (0..keys).map(key).collect(),
        members: (0..entries).map(entry).collect(),
        quarantines: Vec::new(),
        workspaces: Vec::new(),
    }
}
