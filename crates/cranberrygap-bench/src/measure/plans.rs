//! `measure plans`: what a change of the traffic plan costs each process, by the number of routes.

use std::time::Instant;

use clap::Parser;
use cranberrygap_control::replicated;
use cranberrygap_entry::view as held;
use cranberrygap_link::compression;
use cranberrygap_model::{duration, number};
use cranberrygap_state::traffic::{change, part};
use cranberrygap_state::{command, fleet};
use cranberrygap_wire::{traffic, view};
use serde_json::{Value, json};

use crate::measure;

/// Changes of traffic plans: bytes and time at the leader, a replica and an entry.
#[derive(Debug)]
pub struct Plans;

/// Arguments of `measure plans`.
#[derive(Debug, Parser)]
struct Arguments {
    /// Numbers of routes.
    #[arg(long, value_delimiter = ',', default_value = "100,1220,5000,20000")]
    routes: Vec<u64>,
    /// JSON of one part, in bytes.
    #[arg(long, default_value_t = 32 << 10)]
    part: usize,
}

impl measure::Measurement for Plans {
    fn name(&self) -> &'static str {
        "plans"
    }

    fn description(&self) -> &'static str {
        "bytes and processor time of a change of the traffic plan, at the leader, a replica and \
         an entry, by the number of routes: of the first plan, and of one route in it"
    }

    fn run(&self, arguments: &[String]) -> eyre::Result<Value> {
        let arguments: Arguments = measure::arguments(self.name(), arguments)?;
        let sizes = arguments.routes.iter();
        let rows = sizes.map(|routes| measure_size(*routes, arguments.part));
        Ok(
            json!({ "part_bytes": arguments.part, "sizes": rows.collect::<eyre::Result<Vec<_>>>()? }),
        )
    }
}

/// Time of work, in milliseconds.
fn timed<R>(work: impl FnOnce() -> R) -> (R, f64) {
    let begun = Instant::now();
    let result = work();
    (result, begun.elapsed().as_secs_f64() * 1_000.0)
}

fn measure_size(routes: u64, part_bytes: usize) -> eyre::Result<Value> {
    let mut replica = Replica::new();
    let first = replica.change(&plan(1, routes, 1), part_bytes)?;
    let one_route = replica.change(&plan(2, routes, 2), part_bytes)?;
    let (snapshot, snapshot_ms) = timed(|| replica.fleet.snapshot());
    let (view, view_ms) = timed(|| serde_json::to_vec(&replica.fleet.view()));
    let view = view?;
    let (packed, pack_ms) = timed(|| compression::compress(&view));
    let table = replica.entry.latest();
    let table = table.as_ref().and_then(|view| view.traffic());
    let table = table.ok_or_else(|| eyre::eyre!("the entry has no plan"))?;
    let path = format!("/place-{:07}/x", routes - 1);
    let (found, lookup_ms) = timed(|| {
        (0..1_000)
            .filter(|_| table.route("shop.example", &path).is_some())
            .count()
    });
    eyre::ensure!(found == 1_000, "the entry does not find {path}");
    Ok(json!({
        "routes": routes,
        "first_plan": first,
        "change_of_one_route": one_route,
        "snapshot_bytes": snapshot.len(),
        "snapshot_ms": snapshot_ms,
        "first_frame_bytes": view.len(),
        "first_frame_packed_bytes": packed.map_or(view.len(), |packed| packed.len()),
        "first_frame_ms": view_ms + pack_ms,
        "lookup_us": lookup_ms,
    }))
}

/// A replica and an entry that follows its view.
struct Replica {
    fleet: fleet::Fleet,
    entry: held::Holder,
    index: u64,
}

impl Replica {
    fn new() -> Self {
        let replica = Self {
            fleet: fleet::Fleet::default(),
            entry: held::Holder::default(),
            index: 0,
        };
        let frame = view::Frame::Snapshot {
            revision: number::Revision(0),
            state: replica.fleet.view(),
        };
        // The first frame of an entry is never out of order.
        let _applied = replica.entry.apply_frame(frame);
        replica
    }

    /// Commits a change in parts, and tells what it took.
    fn change(&mut self, to: &traffic::Plan, part_bytes: usize) -> eyre::Result<Value> {
        let source = serde_json::to_string(to)?;
        let (commands, make_ms) = timed(|| self.commands(to, &source, part_bytes));
        let mut times = Times::default();
        for command in &commands {
            self.index += 1;
            let proposal = command::Proposal {
                at: 1,
                command: command.clone(),
            };
            let (payload, encode_ms) = timed(|| replicated::encode(&proposal));
            let index = number::Index(self.index);
            let ((_, changes), apply_ms) = timed(|| self.fleet.apply(index, &proposal));
            let json: usize = changes
                .iter()
                .map(|change| serde_json::to_vec(change).map_or(0, |json| json.len()))
                .sum();
            let frame = view::Frame::Delta {
                revision: self.fleet.view_revision,
                changes,
            };
            let (applied, entry_ms) = timed(|| self.entry.apply_frame(frame));
            applied?;
            times.add(payload.len(), encode_ms, apply_ms, json, entry_ms);
        }
        Ok(json!({
            "text_bytes": source.len(),
            "parts": commands.len(),
            "make_ms": make_ms,
            "log_bytes": times.log_bytes,
            "view_bytes": times.view_bytes,
            "encode_ms": times.encode_ms,
            "apply_ms": times.apply_ms,
            "longest_apply_ms": times.longest_apply_ms,
            "entry_ms": times.entry_ms,
            "longest_entry_ms": times.longest_entry_ms,
        }))
    }

    fn commands(
        &self,
        to: &traffic::Plan,
        source: &str,
        part_bytes: usize,
    ) -> Vec<command::Command> {
        let stage = traffic::Stage {
            term: number::Term(1),
            version: to.version,
        };
        let to = change::Version { plan: to, source };
        let from = self.fleet.traffic.current();
        let change = change::Change::new(&stage, from, to, part_bytes);
        change.into_commands().collect()
    }
}

/// Sums over the parts of a change.
#[derive(Default)]
struct Times {
    log_bytes: usize,
    view_bytes: usize,
    encode_ms: f64,
    apply_ms: f64,
    longest_apply_ms: f64,
    entry_ms: f64,
    longest_entry_ms: f64,
}

impl Times {
    fn add(&mut self, log: usize, encode_ms: f64, apply_ms: f64, view: usize, entry_ms: f64) {
        self.log_bytes += log;
        self.view_bytes += view;
        self.encode_ms += encode_ms;
        self.apply_ms += apply_ms;
        self.longest_apply_ms = self.longest_apply_ms.max(apply_ms);
        self.entry_ms += entry_ms;
        self.longest_entry_ms = self.longest_entry_ms.max(entry_ms);
    }
}

fn plan(version: u64, routes: u64, priority: u32) -> traffic::Plan {
    let mut plan = part::empty_plan(
        version,
        traffic::Bounds {
            header: 16 << 10,
            body: 1 << 20,
            header_time: duration::Span::from_secs(3),
            idle: duration::Span::from_secs(15),
        },
    );
    plan.routes = (0..routes).map(route).collect();
    if let Some(route) = plan.routes.last_mut() {
        route.priority = priority;
    }
    plan
}

fn route(number: u64) -> traffic::Route {
    traffic::Route {
        name: format!("r-{number:07}").into(),
        host: "shop.example".into(),
        prefix: format!("/place-{number:07}/").into(),
        kind: traffic::Kind::Resumable,
        deadline: duration::Span::from_secs(3),
        objective: duration::Span::from_millis(300),
        pause: None,
        priority: 1,
        attempts: 2,
        public: false,
        affinity: false,
        splits: vec![traffic::Split {
            service: "app".parse().expect("a name"),
            weight: 1,
        }],
    }
}
