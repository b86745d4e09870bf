//! Workspaces whose rate at one entry is a fraction of one request.
//!
//! Many entries share the buckets of a few workspaces of unequal size. A generation costs its
//! prompt and its largest output, thousands of tokens at once, while the smallest workspace
//! has a few thousand per second for all entries together. Needless refusals are counted
//! against an ideal bucket that sees every request at once.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, granter, holder};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time step of the simulation.
const STEP: duration::Span = duration::Span::from_millis(1);
/// Round trip of a renewal, with the commit of changed shares.
const ROUND_TRIP: duration::Span = duration::Span::from_millis(8);
/// Longest wait of a request for its tokens.
const MAX_WAIT: duration::Span = duration::Span::from_secs(3);

/// Fleet and demand of one simulation.
#[derive(Debug, Clone, Copy)]
struct Simulation {
    entries: usize,
    seconds: u64,
    /// Rate of the workspace in tokens per second, and its burst in tokens.
    rate: u64,
    /// Demand as a fraction of the rate.
    demand: f64,
    seed: u64,
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct Totals {
    asked: u64,
    refused: u64,
    /// Requests that were refused although the ideal bucket held their tokens.
    needless: u64,
    renewals: u64,
    /// Tokens above rate and burst in the worst window.
    above: f64,
    /// Tokens admitted, as a fraction of what rate and burst allow.
    admitted: f64,
}

/// Ideal token bucket that sees every request at once.
#[derive(Debug)]
struct IdealBucket {
    level: f64,
    at: duration::Instant,
    rate: f64,
    burst: f64,
}

impl IdealBucket {
    fn new(rate: u64) -> Self {
        Self {
            level: rate as f64,
            at: duration::Instant(0),
            rate: rate as f64,
            burst: rate as f64,
        }
    }

    fn take(&mut self, now: duration::Instant, cost: u64) -> bool {
        self.level += now.since(self.at).as_secs_f64() * self.rate;
        self.level = self.level.min(self.burst);
        self.at = now;
        let is_available = self.level >= cost as f64;
        if is_available {
            self.level -= cost as f64;
        }
        is_available
    }
}

/// Admissions, to find the most tokens above `rate * t + burst` over any window.
#[derive(Debug, Default)]
struct Admissions {
    admitted: Vec<(duration::Instant, u64)>,
}

impl Admissions {
    fn above(&self, rate: u64, burst: u64) -> f64 {
        let mut highest: f64 = 0.0;
        let mut least = f64::MAX;
        let mut sum = 0.0;
        for (at, cost) in &self.admitted {
            let accrued = at.since(duration::Instant(0)).as_secs_f64() * rate as f64;
            least = least.min(sum - accrued);
            sum += *cost as f64;
            highest = highest.max(sum - accrued - least - burst as f64);
        }
        highest
    }
}

fn cost(random: &mut SmallRng, burst: u64) -> u64 {
    // A third are plain calls; the others are prompts with some hundreds of output tokens.
    if random.random_bool(0.3) {
        return 200;
    }
    let spread = random.random_range(0..1_000_u64);
    let prompt = 150 + 1_800 * spread * spread / 1_000_000;
    let output = random.random_range(100..900);
    (prompt + output).min(burst)
}

#[derive(Debug)]
struct Entry {
    holder: holder::Holder,
    answer: Option<(duration::Instant, cranberrygap_wire::share::Granted)>,
    waiting: BTreeMap<u64, (u64, bool)>,
}

fn fleet(entries: usize) -> Vec<Entry> {
    let entry = |number: usize| Entry {
        holder: holder::Holder::new(
            format!("entry-{number}").parse().expect("a valid name"),
            number::Boot(number as u64 + 1),
        ),
        answer: None,
        waiting: BTreeMap::new(),
    };
    (0..entries).map(entry).collect()
}

fn run(simulation: &Simulation) -> Totals {
    let workspace: id::Workspace = "mill".parse().expect("a valid name");
    let limit = limits::Limit {
        rate: token::Rate(simulation.rate as f64),
        burst: token::Count(simulation.rate),
    };
    let start = duration::Instant(0);
    let mut granter = granter::Granter::new(start, number::Term(1), &BTreeMap::new(), &[]);
    granter.configure(start, &workspace, limit, granter::Origin::Added);
    let mut random = SmallRng::seed_from_u64(simulation.seed);
    let mut fleet = fleet(simulation.entries);
    let mut ideal = IdealBucket::new(simulation.rate);
    let mut admissions = Admissions::default();
    let mut totals = Totals::default();
    let mean: f64 = (0..2_000)
        .map(|_| cost(&mut random, simulation.rate) as f64)
        .sum::<f64>()
        / 2_000.0;
    let arrivals = simulation.demand * simulation.rate as f64 / mean;
    let mut now = start;
    let end = start.after(duration::Span::from_secs(simulation.seconds));
    while now < end {
        if random.random::<f64>() < arrivals * STEP.as_secs_f64() {
            let cost = cost(&mut random, simulation.rate);
            let is_within_rate = ideal.take(now, cost);
            let entry = &mut fleet[random.random_range(0..simulation.entries)];
            totals.asked += 1;
            let max_wait = holder::MaxWait::uniform(MAX_WAIT);
            let cost_tokens = token::Count(cost);
            match entry.holder.admit(now, &workspace, cost_tokens, max_wait) {
                holder::Admission::Admitted(reservation) => {
                    entry
                        .holder
                        .close_reservation(now, &reservation, token::Count(cost));
                    admissions.admitted.push((now, cost));
                }
                holder::Admission::Queued(ticket) => {
                    entry.waiting.insert(ticket, (cost, is_within_rate));
                }
            }
        }
        for entry in &mut fleet {
            step(entry, &mut granter, now, &mut admissions, &mut totals);
        }
        now = now.after(STEP);
    }
    totals.above = admissions.above(simulation.rate, simulation.rate);
    let allowed = (simulation.seconds + 1) * simulation.rate;
    let admitted: u64 = admissions.admitted.iter().map(|(_, cost)| cost).sum();
    totals.admitted = admitted as f64 / allowed as f64;
    totals
}

fn step(
    entry: &mut Entry,
    granter: &mut granter::Granter,
    now: duration::Instant,
    admissions: &mut Admissions,
    totals: &mut Totals,
) {
    if let Some((_, answer)) = entry.answer.take_if(|(at, _)| *at <= now) {
        entry.holder.apply_grants(now, &answer);
    }
    for (ticket, decision) in entry.holder.poll(now) {
        let Some((cost, is_within_rate)) = entry.waiting.remove(&ticket) else {
            continue;
        };
        match decision {
            holder::Decision::Admitted(reservation) => {
                entry
                    .holder
                    .close_reservation(now, &reservation, token::Count(cost));
                admissions.admitted.push((now, cost));
            }
            holder::Decision::Refused(_) => {
                totals.refused += 1;
                totals.needless += u64::from(is_within_rate);
            }
        }
    }
    if entry.answer.is_none() && entry.holder.next_renewal_at() <= now {
        let renewal = entry.holder.begin_renewal(now);
        totals.renewals += 1;
        let answer = granter.renew(now, &renewal).expect("renewals are in order");
        entry.answer = Some((now.after(ROUND_TRIP), answer.granted));
    }
}

/// Runs one simulation with several seeds and adds up the results.
fn run_seeds(entries: usize, rate: u64, demand: f64) -> Totals {
    let mut all = Totals::default();
    for seed in 1..=3 {
        let totals = run(&Simulation {
            entries,
            seconds: 25,
            rate,
            demand,
            seed,
        });
        all.asked += totals.asked;
        all.refused += totals.refused;
        all.needless += totals.needless;
        all.renewals += totals.renewals;
        all.above = all.above.max(totals.above);
        all.admitted += totals.admitted / 3.0;
    }
    all
}

// A call costs a thousand tokens, its workspace has forty thousand per second, and each call
// reaches another entry. When each share held less than one request, more than a third of the
// requests at 65 entries were refused within the rate.
#[test]
fn requests_within_the_rate_are_served_at_any_entry() {
    for entries in [9, 65] {
        let totals = run_seeds(entries, 40_000, 0.8);

        assert_eq!(totals.needless, 0, "{entries} entries: {totals:?}");
        assert!(totals.above <= 1.0, "{entries} entries: {totals:?}");
    }
}

// A small workspace has four thousand tokens per second, and one request costs up to two
// thousand. Spread over shares, a fourth of its calls were refused at half its rate. A
// request may still find a bucket that prompts have emptied for longer than it can wait: at
// most one in 33, the chance of three large ones at once.
#[test]
fn small_workspace_is_served_at_half_its_rate() {
    for entries in [9, 65] {
        let totals = run_seeds(entries, 4_200, 0.55);

        assert!(
            totals.needless * 33 <= totals.asked,
            "{entries}: {totals:?}"
        );
        assert!(totals.above <= 1.0, "{entries} entries: {totals:?}");
    }
}

// A workspace asks for half more than its rate at all entries at once. It must get its rate
// and no more, and the entries must not overload the leader by asking again and again: it
// once got a hundred renewals per second from each entry.
#[test]
fn workspace_above_its_rate_gets_it_with_few_renewals() {
    const MAX_RENEWALS_PER_SECOND: u64 = 12;
    let totals = run_seeds(65, 40_000, 1.5);

    let seconds = 3 * 25;
    assert!(totals.above <= 1.0, "{totals:?}");
    assert!(totals.admitted >= 0.95, "{totals:?}");
    let each = totals.renewals / seconds / 65;
    assert!(each <= MAX_RENEWALS_PER_SECOND, "{each} renewals a second");
}
