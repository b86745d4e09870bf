//! Workspaces whose rate at one entry is a fraction of one request.
//!
//! Many entries share the buckets of a few workspaces of unequal size. A generation
//! costs its prompt and its largest output, thousands of tokens at once, while the
//! smallest workspace has a few thousand a second for all entries together. What is
//! refused within the rate is counted against a bucket that sees every request at once.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, granter, holder};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the run.
const STEP: duration::Span = duration::Span::from_millis(1);
/// Time of a renewal to the leader and back, with the commit of changed shares.
const ROUND_TRIP: duration::Span = duration::Span::from_millis(8);
/// Longest wait of a request for its tokens.
const PATIENCE: duration::Span = duration::Span::from_secs(3);

/// A fleet and the demand of one workspace after the other.
#[derive(Debug, Clone, Copy)]
struct Shape {
    entries: usize,
    seconds: u64,
    /// Tokens a second and at once of the workspace.
    rate: u64,
    /// Demand as a part of the rate.
    demand: f64,
    seed: u64,
}

/// What came of a run.
#[derive(Debug, Default)]
struct Tally {
    asked: u64,
    refused: u64,
    /// Refused though a bucket that sees all would have held the tokens.
    needless: u64,
    renewals: u64,
    /// Tokens above rate and burst in the worst window.
    above: f64,
    /// Tokens admitted, as a part of what rate and burst allow.
    admitted: f64,
}

/// A bucket that sees every request at once.
#[derive(Debug)]
struct Ideal {
    level: f64,
    at: duration::Instant,
    rate: f64,
    burst: f64,
}

impl Ideal {
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
        let there = self.level >= cost as f64;
        if there {
            self.level -= cost as f64;
        }
        there
    }
}

/// Highest sum of admitted tokens above `rate * t + burst` over any window.
#[derive(Debug, Default)]
struct Window {
    admitted: Vec<(duration::Instant, u64)>,
}

impl Window {
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
    // A third are plain calls, the others prompts with some hundreds of tokens out.
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

fn run(shape: &Shape) -> Tally {
    let workspace: id::Workspace = "mill".parse().expect("a valid name");
    let limit = limits::Limit {
        rate: token::Rate(shape.rate as f64),
        burst: token::Count(shape.rate),
    };
    let start = duration::Instant(0);
    let mut granter = granter::Granter::new(start, number::Term(1), &BTreeMap::new(), &[]);
    granter.configure(start, &workspace, limit, granter::Origin::Added);
    let mut random = SmallRng::seed_from_u64(shape.seed);
    let mut fleet = fleet(shape.entries);
    let mut ideal = Ideal::new(shape.rate);
    let mut window = Window::default();
    let mut tally = Tally::default();
    let mean: f64 = (0..2_000)
        .map(|_| cost(&mut random, shape.rate) as f64)
        .sum::<f64>()
        / 2_000.0;
    let arrivals = shape.demand * shape.rate as f64 / mean;
    let mut now = start;
    let end = start.after(duration::Span::from_secs(shape.seconds));
    while now < end {
        if random.random::<f64>() < arrivals * STEP.as_secs_f64() {
            let cost = cost(&mut random, shape.rate);
            let within = ideal.take(now, cost);
            let entry = &mut fleet[random.random_range(0..shape.entries)];
            tally.asked += 1;
            let patience = holder::MaxWait::uniform(PATIENCE);
            let cost_tokens = token::Count(cost);
            match entry.holder.admit(now, &workspace, cost_tokens, patience) {
                holder::Admission::Admitted(reservation) => {
                    entry
                        .holder
                        .close_reservation(now, &reservation, token::Count(cost));
                    window.admitted.push((now, cost));
                }
                holder::Admission::Queued(ticket) => {
                    entry.waiting.insert(ticket, (cost, within));
                }
            }
        }
        for entry in &mut fleet {
            step(entry, &mut granter, now, &mut window, &mut tally);
        }
        now = now.after(STEP);
    }
    tally.above = window.above(shape.rate, shape.rate);
    let allowed = (shape.seconds + 1) * shape.rate;
    let admitted: u64 = window.admitted.iter().map(|(_, cost)| cost).sum();
    tally.admitted = admitted as f64 / allowed as f64;
    tally
}

fn step(
    entry: &mut Entry,
    granter: &mut granter::Granter,
    now: duration::Instant,
    window: &mut Window,
    tally: &mut Tally,
) {
    if let Some((_, answer)) = entry.answer.take_if(|(at, _)| *at <= now) {
        entry.holder.apply_grants(now, &answer);
    }
    for (ticket, decision) in entry.holder.poll(now) {
        let Some((cost, within)) = entry.waiting.remove(&ticket) else {
            continue;
        };
        match decision {
            holder::Decision::Admitted(reservation) => {
                entry
                    .holder
                    .close_reservation(now, &reservation, token::Count(cost));
                window.admitted.push((now, cost));
            }
            holder::Decision::Refused(_) => {
                tally.refused += 1;
                tally.needless += u64::from(within);
            }
        }
    }
    if entry.answer.is_none() && entry.holder.next_renewal_at() <= now {
        let renewal = entry.holder.begin_renewal(now);
        tally.renewals += 1;
        let answer = granter.renew(now, &renewal).expect("renewals are in order");
        entry.answer = Some((now.after(ROUND_TRIP), answer.granted));
    }
}

/// Runs one shape with several seeds and adds up what came of it.
fn runs(entries: usize, rate: u64, demand: f64) -> Tally {
    let mut all = Tally::default();
    for seed in 1..=3 {
        let tally = run(&Shape {
            entries,
            seconds: 25,
            rate,
            demand,
            seed,
        });
        all.asked += tally.asked;
        all.refused += tally.refused;
        all.needless += tally.needless;
        all.renewals += tally.renewals;
        all.above = all.above.max(tally.above);
        all.admitted += tally.admitted / 3.0;
    }
    all
}

// A planner's call costs a thousand tokens, his workspace has forty thousand a second,
// and he meets another entry each time. Each share held less than one request, and of
// 65 entries' callers more than a third were refused within their rate.
#[test]
fn requests_within_the_rate_are_served_wherever_they_come() {
    for entries in [9, 65] {
        let tally = runs(entries, 40_000, 0.8);

        assert_eq!(tally.needless, 0, "{entries} entries: {tally:?}");
        assert!(tally.above <= 1.0, "{entries} entries: {tally:?}");
    }
}

// A small workspace has four thousand tokens a second, and one request costs up to two
// thousand. Spread over shares a fourth of its calls were refused at half its rate. Now
// one may still meet a bucket that prompts have emptied for longer than it can wait:
// one in 33 at most, the chance of three large ones at once.
#[test]
fn small_workspace_is_served_at_half_its_rate() {
    for entries in [9, 65] {
        let tally = runs(entries, 4_200, 0.55);

        assert!(tally.needless * 33 <= tally.asked, "{entries}: {tally:?}");
        assert!(tally.above <= 1.0, "{entries} entries: {tally:?}");
    }
}

// A workspace asks for half more than its rate everywhere at once. It must get its rate
// and no more, and entries must not wear the leader out by asking again and again: one
// saw a hundred renewals a second from each.
#[test]
fn workspace_above_its_rate_gets_it_and_asks_seldom() {
    const PLANNED_RENEWALS: u64 = 12;
    let tally = runs(65, 40_000, 1.5);

    let seconds = 3 * 25;
    assert!(tally.above <= 1.0, "{tally:?}");
    assert!(tally.admitted >= 0.95, "{tally:?}");
    let each = tally.renewals / seconds / 65;
    assert!(each <= PLANNED_RENEWALS, "{each} renewals a second");
}
