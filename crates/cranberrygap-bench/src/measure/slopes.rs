//! `measure slopes`: time of decisions and size of state, today and as planned.

use std::collections::BTreeMap;
use std::time::Instant;

use clap::Parser;
use cranberrygap_model::{address, duration, id, number, size};
use cranberrygap_placement::{catalogue, journal, ledger, plan};
use cranberrygap_routing::router;
use cranberrygap_wire::{endpoint, view};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::measure;

/// Decision times of routing and placement, and bytes of their state.
#[derive(Debug)]
pub struct Slopes;

/// Arguments of `measure slopes`.
#[derive(Debug, Parser)]
struct Arguments {
    /// Seed of placements and demand.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Planning rounds to measure.
    #[arg(long, default_value_t = 20)]
    rounds: u32,
    /// Routed requests to measure.
    #[arg(long, default_value_t = 20_000)]
    requests: u32,
}

/// Numbers of a fleet.
#[derive(Debug, Clone, Copy)]
struct Sizes {
    name: &'static str,
    runners: usize,
    accelerators: u32,
    models: usize,
    adapters: usize,
}

/// Today's fleet, four times as much, and the fleet of the two-year plan. The
/// plan names no number of adapters; two for each model are taken.
const SIZES: [Sizes; 3] = [
    Sizes {
        name: "today",
        runners: 18,
        accelerators: 4,
        models: 40,
        adapters: 100,
    },
    Sizes {
        name: "four times today",
        runners: 72,
        accelerators: 4,
        models: 160,
        adapters: 400,
    },
    Sizes {
        name: "planned",
        runners: 600,
        accelerators: 8,
        models: 1_300,
        adapters: 2_600,
    },
];

const GIB: u64 = 1 << 30;

/// Failure domains.
const DOMAINS: usize = 7;

/// Copies of each model before planning.
const COPIES: usize = 2;

impl measure::Measurement for Slopes {
    fn name(&self) -> &'static str {
        "slopes"
    }

    fn description(&self) -> &'static str {
        "time of a routing and a placement decision and bytes of state, by fleet size"
    }

    fn run(&self, arguments: &[String]) -> eyre::Result<serde_json::Value> {
        let arguments: Arguments = measure::arguments("slopes", arguments)?;
        let mut results = Vec::new();
        for sizes in SIZES {
            results.push(sizes.measure(&arguments)?);
        }
        Ok(serde_json::json!({
            "measurement": "slopes",
            "seed": arguments.seed,
            "fleets": results,
        }))
    }
}

impl Sizes {
    fn measure(&self, arguments: &Arguments) -> eyre::Result<serde_json::Value> {
        let mut rng = SmallRng::seed_from_u64(arguments.seed);
        let list = self.weights()?;
        let catalogue = catalogue::Catalogue::new(&list);
        let reports = self.reports(&list)?;
        let mut ledger = self.ledger(&reports)?;
        let demand: BTreeMap<id::Model, f64> = list
            .iter()
            .map(|weights| (weights.model.clone(), rng.random_range(0.0..200.0)))
            .collect();
        let (round, moves) = time_rounds(&ledger, &catalogue, &demand, arguments.rounds);
        let choice = time_choices(&reports, &mut rng, arguments.requests)?;
        for (runner, report) in reports.iter().enumerate().step_by(DOMAINS) {
            ledger.update_endpoint(&view::Endpoint {
                health: view::Health::Gone,
                ..self.known(runner, report)?
            });
        }
        let (repair, repairs) = time_rounds(&ledger, &catalogue, &demand, arguments.rounds);
        Ok(serde_json::json!({
            "fleet": self.name,
            "runners": self.runners,
            "models": self.models,
            "adapters": self.adapters,
            "placement_round_milliseconds": round * 1e3,
            "moves_wanted": moves,
            "placement_round_after_domain_loss_milliseconds": repair * 1e3,
            "moves_wanted_after_domain_loss": repairs,
            "routing_decision_microseconds": choice * 1e6,
            "report_bytes": json_bytes(&reports)? / reports.len(),
            "catalogue_bytes_per_model": json_bytes(&list)? / list.len(),
            "order_bytes": json_bytes(&order(&reports[0], &list[0]))?,
        }))
    }

    fn weights(&self) -> eyre::Result<Vec<endpoint::Weights>> {
        let mut list = Vec::new();
        for number in 0..self.models + self.adapters {
            let adapts = number >= self.models;
            let base = adapts.then(|| format!("model-{}", number % self.models).parse());
            list.push(endpoint::Weights {
                base: base.transpose()?,
                model: format!("model-{number}").parse()?,
                size: size::Bytes(if adapts { GIB / 2 } else { 30 * GIB }),
                version_of: None,
            });
        }
        Ok(list)
    }

    /// Reports of all runners, the models spread evenly over them.
    fn reports(&self, list: &[endpoint::Weights]) -> eyre::Result<Vec<endpoint::Report>> {
        let mut resident = vec![Vec::new(); self.runners];
        for (number, weights) in list.iter().enumerate() {
            let base = number % self.models;
            for copy in 0..COPIES {
                let runner = (base * COPIES + copy) % self.runners;
                resident[runner].push(endpoint::Resident {
                    model: weights.model.clone(),
                    size: weights.size,
                });
            }
        }
        let numbered = resident.into_iter().enumerate();
        numbered
            .map(|(runner, resident)| report(runner, resident))
            .collect()
    }

    fn ledger(&self, reports: &[endpoint::Report]) -> eyre::Result<ledger::Ledger> {
        let reserve = size::Bytes(64 * GIB);
        let mut ledger = ledger::Ledger::new(journal::Journal::default(), reserve);
        for (runner, report) in reports.iter().enumerate() {
            ledger.update_endpoint(&self.known(runner, report)?);
            if let Some(ticket) = ledger.issue_ticket(&report.endpoint) {
                ledger.apply_report(ticket, report);
            }
        }
        Ok(ledger)
    }

    fn known(&self, runner: usize, report: &endpoint::Report) -> eyre::Result<view::Endpoint> {
        let announcement = endpoint::Announcement {
            details: None,
            accelerators: self.accelerators,
            address: address::Socket(([127, 0, 0, 1], 1).into()),
            boot: report.boot,
            checks_fence: true,
            domain: format!("domain-{}", runner % DOMAINS).parse()?,
            endpoint: report.endpoint.clone(),
            fence: None,
            kind: endpoint::Kind::Runner,
            memory: size::Bytes(320 * GIB),
            order: None,
            phase: endpoint::Phase::Ready,
            resident: Vec::new(),
            residency: report.residency,
            role: None,
            sequence: number::Sequence(1),
            service: None,
            software: None,
        };
        Ok(view::Endpoint {
            announcement,
            health: view::Health::Ready,
        })
    }
}

/// Mean time of a choice among a model's endpoints, in seconds.
fn time_choices(
    reports: &[endpoint::Report],
    rng: &mut SmallRng,
    requests: u32,
) -> eyre::Result<f64> {
    let mut router = router::Router::new(router::Settings::builder().build());
    let now = duration::Instant(1_000_000);
    for report in reports {
        router.apply_report(now, report);
    }
    let mut holders: BTreeMap<id::Model, Vec<id::Endpoint>> = BTreeMap::new();
    for report in reports {
        for resident in &report.resident {
            let endpoints = holders.entry(resident.model.clone()).or_default();
            endpoints.push(report.endpoint.clone());
        }
    }
    let models: Vec<(&id::Model, &Vec<id::Endpoint>)> = holders.iter().collect();
    let mut dispatched = 0_u32;
    let started = Instant::now();
    for _request in 0..requests {
        let (model, endpoints) = models[rng.random_range(0..models.len())];
        let question = router::Request {
            model,
            prompt_blocks: &[1, 2, 3, 4],
            time_left: duration::Span::from_secs(60),
            preferred: &endpoints[..1],
            fill: router::Fill::Spread(1.0),
            spill_fill: 0.7,
        };
        let residency = router::Residency::Resident(endpoints);
        if let router::Choice::Dispatch(endpoint) = router.choose(rng, &question, &residency) {
            dispatched += 1;
            router.record_sent(now, &endpoint);
            router.record_ended(now, &endpoint);
        }
    }
    let passed = started.elapsed().as_secs_f64();
    eyre::ensure!(dispatched == requests, "only {dispatched} were dispatched");
    Ok(passed / f64::from(requests))
}

/// Mean time of a planning round in seconds, and the changes that it wants.
fn time_rounds(
    ledger: &ledger::Ledger,
    catalogue: &catalogue::Catalogue,
    demand: &BTreeMap<id::Model, f64>,
    rounds: u32,
) -> (f64, usize) {
    let settings = plan::Settings::builder()
        .demand_per_accelerator(600.0)
        .demand_per_gib(8.0)
        .build();
    let mut plan = plan::Plan::default();
    let started = Instant::now();
    for _round in 0..rounds {
        plan = plan::plan(ledger, catalogue, demand, &plan.preferred, &settings);
    }
    let passed = started.elapsed().as_secs_f64();
    (passed / f64::from(rounds.max(1)), plan.moves.len())
}

fn report(runner: usize, resident: Vec<endpoint::Resident>) -> eyre::Result<endpoint::Report> {
    Ok(endpoint::Report {
        age: duration::Span(0),
        boot: number::Boot(1),
        cache_size: size::Bytes(64 * GIB),
        cache_used: size::Bytes(20 * GIB),
        endpoint: format!("runner-{runner}").parse()?,
        events: Vec::new(),
        phase: None,
        resident,
        residency: number::Sequence(1),
        running: 5,
        sequence: number::Sequence(0),
        waiting: 0,
    })
}

fn order(report: &endpoint::Report, weights: &endpoint::Weights) -> Option<endpoint::Order> {
    Some(endpoint::Order {
        order: "12-3456789-12".parse().ok()?,
        endpoint: report.endpoint.clone(),
        boot: report.boot,
        fence: number::Fence(12),
        action: endpoint::Action::Load {
            model: weights.model.clone(),
            size: weights.size,
        },
    })
}

fn json_bytes(value: &impl serde::Serialize) -> eyre::Result<usize> {
    Ok(serde_json::to_vec(value)?.len())
}
