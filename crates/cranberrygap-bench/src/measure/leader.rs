//! Processor time of the leader, by the number of entries and by cause.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use clap::Parser;
use cranberrygap_control::{delta, encoded, leadership};
use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::leader_calls;
use cranberrygap_policy::limits::{self, granter};
use cranberrygap_wire::{share, view};
use serde_json::{Value, json};

use super::Measurement;

/// Fleets that are measured, in entries.
const SIZES: [usize; 4] = [30, 65, 130, 390];

/// Time between two heartbeats of an entry.
const HEARTBEAT: duration::Span = duration::Span::from_millis(500);

/// Binding changes a second, as on a day with a steady stream of them.
const CHANGES: f64 = 3.3;

const MICROS: f64 = 1e6;

/// The leader's work for entries.
#[derive(Debug)]
pub struct Leader;

#[derive(Debug, Parser)]
struct Arguments {
    /// Workspaces that each entry renews its shares of.
    #[arg(long, default_value_t = 16)]
    workspaces: usize,
    /// How often each piece of work is timed.
    #[arg(long, default_value_t = 2_000)]
    rounds: u64,
}

impl Measurement for Leader {
    fn name(&self) -> &'static str {
        "leader"
    }

    fn description(&self) -> &'static str {
        "processor time of the leader by number of entries: renewals, leases, frames, without links"
    }

    fn run(&self, arguments: &[String]) -> eyre::Result<Value> {
        let arguments: Arguments = super::arguments(self.name(), arguments)?;
        let sizes = SIZES.map(|entries| measure(entries, &arguments));
        Ok(json!({ "measurement": "leader", "workspaces": arguments.workspaces, "sizes": sizes }))
    }
}

fn measure(entries: usize, arguments: &Arguments) -> Value {
    let renewal = renewal_micros(entries, arguments);
    let lease = lease_micros(entries, arguments.rounds);
    let frame = frame_micros(arguments.rounds);
    let gap = leader_calls::min_interval(entries);
    let renewals = calls(entries, limits::RENEWAL_INTERVAL.max(gap));
    let wanted = 1.0 / HEARTBEAT.as_secs_f64() + CHANGES;
    let confirmations = entries as f64 * wanted.min(1.0 / gap.as_secs_f64());
    let frames = 1.0 / leader_calls::min_interval(1).as_secs_f64();
    json!({
        "entries": entries,
        "renewal_micros": renewal,
        "lease_micros": lease,
        "frame_micros": frame,
        "renewals_a_second": renewals,
        "confirmations_a_second": confirmations,
        "frames_a_second_at_most": frames,
        "cores": {
            "renewals": renewals * renewal / MICROS,
            "leases": confirmations * lease / MICROS,
            "frames_at_most": frames * frame / MICROS,
        },
    })
}

fn calls(entries: usize, period: duration::Span) -> f64 {
    entries as f64 / period.as_secs_f64()
}

/// Mean time of `work` over so many rounds, in microseconds.
fn micros(rounds: u64, mut work: impl FnMut(u64)) -> f64 {
    let begin = Instant::now();
    for round in 0..rounds {
        work(round);
    }
    begin.elapsed().as_secs_f64() * MICROS / rounds as f64
}

fn at(millis: u64) -> duration::Instant {
    duration::Instant::default().after(duration::Span::from_millis(millis))
}

fn workspace(number: usize) -> id::Workspace {
    let name = format!("workspace-{number}");
    name.parse().expect("a plain name")
}

fn instance(number: usize) -> id::Instance {
    let name = format!("entry-{number}");
    name.parse().expect("a plain name")
}

/// One renewal after another, each entry in its turn and once in a period.
fn renewal_micros(entries: usize, arguments: &Arguments) -> f64 {
    let limit = limits::Limit {
        rate: token::Rate(1_000_000.0),
        burst: token::Count(4_000_000),
    };
    let workspaces = arguments.workspaces;
    let limits: BTreeMap<id::Workspace, limits::Limit> = (0..workspaces)
        .map(|number| (workspace(number), limit))
        .collect();
    let mut granter = granter::Granter::new(at(0), number::Term(1), &limits, &[]);
    let turn = limits::RENEWAL_INTERVAL.0 / 1_000;
    let mut shares: BTreeMap<(usize, id::Workspace), u64> = BTreeMap::new();
    let mut renew = |round: u64| {
        let entry = usize::try_from(round).unwrap_or_default() % entries;
        let demands = (0..workspaces).map(|number| {
            let workspace = workspace(number);
            let share = shares.get(&(entry, workspace.clone()));
            demand(workspace, share.copied().unwrap_or_default())
        });
        let renew = share::Renew {
            instance: instance(entry),
            boot: number::Boot(1),
            sequence: number::Sequence(round + 1),
            lends: false,
            demands: demands.collect(),
        };
        let now = at(1_000 + round * turn / entries as u64);
        let answer = granter.renew(now, &renew).expect("renewals come in order");
        for grant in &answer.granted.grants {
            shares.insert((entry, grant.workspace.clone()), grant.share);
        }
        black_box(answer);
    };
    let known = entries as u64 * 2;
    (0..known).for_each(&mut renew);
    micros(arguments.rounds, |round| renew(known + round))
}

fn demand(workspace: id::Workspace, share: u64) -> share::Demand {
    share::Demand {
        workspace,
        rate: token::Rate(5_000.0),
        wanted: token::Count(0),
        returned: token::Count(0),
        share,
        room: token::Count(100),
        first: token::Count(0),
        usual: token::Count(500),
        lent: token::Count(0),
        unlent: token::Count(0),
    }
}

fn lease_micros(entries: usize, rounds: u64) -> f64 {
    let revision = number::Revision(5);
    let mut office = leadership::Leadership::new(number::Term(1), at(0), revision);
    micros(rounds, |round| {
        let entry = usize::try_from(round).unwrap_or_default() % entries;
        let confirm = view::Confirm {
            instance: instance(entry),
            boot: number::Boot(1),
            domain: "domain-1".parse().expect("a plain name"),
            address: "127.0.0.1:9".parse().expect("an address"),
            endpoints: None,
            lending: None,
            phase: view::Phase::Active,
            revision,
            seen: Vec::new(),
            announcements: Vec::new(),
            demands: Vec::new(),
        };
        black_box(office.grant_lease(at(round), &confirm));
    })
}

/// A frame with one change that is encoded already.
fn frame_micros(rounds: u64) -> f64 {
    let residency = view::Residency {
        endpoint: "runner-1".parse().expect("a plain name"),
        boot: number::Boot(1),
        retiring: Vec::new(),
        adapters: vec!["model/a1".parse().expect("a plain name")],
    };
    let change = Arc::new(encoded::Change::new(view::Change::Resided { residency }));
    micros(rounds, |round| {
        let mut waiting = delta::Buffer::default();
        waiting.push(number::Revision(round), &[Arc::clone(&change)]);
        let frame = waiting.take_delta(at(round));
        black_box(serde_json::value::to_raw_value(&frame).expect("frames have text keys only"));
    })
}
