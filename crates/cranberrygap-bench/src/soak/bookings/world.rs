//! Callers, entries, the leader's claims and one service, in virtual time.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id, number};
use cranberrygap_policy::claims;
use cranberrygap_policy::outcome::Evidence;
use cranberrygap_state::{answer, claim as state};
use cranberrygap_wire::claim;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::call::{Call, Event};
use super::report::Counts;
use crate::soak::Violation;

const ENTRIES: usize = 4;
const TRACE: usize = 60;

/// Keys that callers use at a time; a new one takes the place of an old one
/// now and then, and old ones come back.
const KEYS: usize = 30;

/// Deadline and retention of the run in milliseconds. Short, so that claims
/// expire while their keys are still sent again.
const DEADLINE: u64 = 5_000;
const RETENTION: u64 = 120_000;

/// Longest wait of an entry for the leader.
const PATIENCE: u64 = 3_000;

/// A mistake built into the run, to show that the checks find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No mistake.
    None,
    /// An entry sends a booking again when its connection broke.
    SentAgain,
    /// A broken connection is told to callers as "not run".
    BrokenIsNotRun,
    /// A claim that runs is granted to whoever asks next.
    GrantedAgain,
    /// A new leader has lost the claims.
    ForgottenClaims,
}

struct World {
    random: SmallRng,
    fault: Fault,
    now: u64,
    claims: state::Claims,
    calls: BTreeMap<usize, Call>,
    next: usize,
    lives: [u64; ENTRIES],
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    /// Runs by key; a key stands for one booking.
    runs: BTreeMap<usize, Vec<u8>>,
    counts: Counts,
    trace: VecDeque<String>,
}

/// Runs so many steps; the promises are checked at each run and each reply.
///
/// # Errors
///
/// The first broken promise.
pub fn run(seed: u64, steps: u64, fault: Fault) -> Result<serde_json::Value, Violation> {
    let mut world = World {
        random: SmallRng::seed_from_u64(seed),
        fault,
        now: 1_000,
        claims: state::Claims::default(),
        calls: BTreeMap::new(),
        next: 0,
        lives: [1; ENTRIES],
        events: BTreeMap::new(),
        order: 0,
        runs: BTreeMap::new(),
        counts: Counts::default(),
        trace: VecDeque::new(),
    };
    for step in 0..steps {
        world.step().map_err(|invariant| Violation {
            invariant,
            seed,
            step,
            trace: world.trace.iter().cloned().collect(),
        })?;
    }
    world.counts.seed = seed;
    world.counts.steps = steps;
    world.counts.claims_held = world.claims.count();
    Ok(serde_json::to_value(&world.counts).unwrap_or_default())
}

impl World {
    fn step(&mut self) -> Result<(), String> {
        let quiet = self.random.random_ratio(1, 500);
        let longest = if quiet { RETENTION } else { 60 };
        self.now += self.random.random_range(0..longest);
        self.call();
        if self.random.random_ratio(1, 200) {
            self.crash();
        }
        if self.fault == Fault::ForgottenClaims && self.random.random_ratio(1, 2_000) {
            self.claims = state::Claims::default();
        }
        while let Some((&at, _)) = self.events.first_key_value() {
            if at.0 > self.now {
                break;
            }
            if let Some(event) = self.events.remove(&at) {
                self.take(event)?;
            }
        }
        Ok(())
    }

    fn note(&mut self, event: &str) {
        if self.trace.len() == TRACE {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{}ms {event}", self.now));
    }

    fn after(&mut self, longest: u64, event: Event) {
        self.order += 1;
        let at = self.now + self.random.random_range(1..=longest);
        self.events.insert((at, self.order), event);
    }

    /// A message: usually quick, sometimes late, sometimes lost.
    fn send(&mut self, event: Event) -> bool {
        if self.random.random_ratio(1, 12) {
            self.counts.lost_messages += 1;
            return false;
        }
        let late = self.random.random_ratio(1, 10);
        self.after(if late { 8_000 } else { 20 }, event);
        true
    }

    fn call(&mut self) {
        let recent = self.next / 40;
        let oldest = if self.random.random_ratio(1, 20) {
            0
        } else {
            recent
        };
        let key = self.random.random_range(oldest..=recent + KEYS);
        let entry = self.random.random_range(0..ENTRIES);
        self.next += 1;
        let call = Call {
            entry,
            life: self.lives[entry],
            key,
            body: u8::from(self.random.random_ratio(1, 15)),
            booking: claims::Booking::new(),
            ran: false,
            told: None,
        };
        self.counts.sent += 1;
        self.calls.insert(self.next, call);
        let number = self.next;
        self.send(Event::Open(number));
        self.order += 1;
        let at = self.now + PATIENCE;
        self.events
            .insert((at, self.order), Event::GiveUpOpen(number));
        self.forget();
    }

    fn forget(&mut self) {
        while self.calls.len() > 2_000 {
            self.calls.pop_first();
        }
    }

    fn crash(&mut self) {
        let entry = self.random.random_range(0..ENTRIES);
        let life = self.lives[entry];
        self.lives[entry] += 1;
        self.counts.crashes += 1;
        self.note(&format!("entry {entry} dies in life {life}"));
        self.after(4_000, Event::Gone(entry, life));
    }

    fn lives(&self, number: usize) -> bool {
        let call = self.calls.get(&number);
        call.is_some_and(|call| call.life == self.lives[call.entry])
    }

    fn take(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Open(number) => self.open(number),
            Event::Close(number, claim, outcome) => self.close(number, claim, outcome),
            Event::Dispatch(number) => return self.serve(number),
            Event::Input(number, input) => return self.input(number, input),
            Event::GiveUpOpen(number) => return self.input(number, claims::Input::OpenFailed),
            Event::GiveUpRun(number, evidence) => {
                return self.input(number, claims::Input::Ended(evidence));
            }
            Event::Gone(entry, life) => {
                self.claims
                    .mark_unknown(self.now, &instance(entry), number::Boot(life));
            }
        }
        Ok(())
    }

    fn apply(&mut self, step: &state::Step) -> answer::Answer {
        let terms = state::Lifetimes {
            deadline: duration::Span::from_millis(DEADLINE),
            retention: duration::Span::from_millis(RETENTION),
        };
        self.claims.apply(self.now, terms, step)
    }

    fn open(&mut self, number: usize) {
        let Some(call) = self.calls.get(&number).cloned() else {
            return;
        };
        let open = claim::Open {
            workspace: workspace(),
            key: format!("key-{}", call.key).into(),
            body: format!("body-{}", call.body).into(),
            request: format!("request-{number}").parse().expect("a valid name"),
            instance: instance(call.entry),
            boot: number::Boot(call.life),
        };
        let answer::Answer::Claimed(verdict) = self.apply(&state::Step::Open(open)) else {
            return;
        };
        let again = self.fault == Fault::GrantedAgain && verdict == claim::Verdict::Running;
        let verdict = if again {
            claim::Verdict::Granted { claim: 0 }
        } else {
            verdict
        };
        self.note(&format!("call {number} of key {}: {verdict:?}", call.key));
        self.send(Event::Input(number, claims::Input::Verdict(verdict)));
    }

    fn close(&mut self, number: usize, claim: u64, outcome: claim::Outcome) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let close = claim::Close {
            workspace: workspace(),
            key: format!("key-{}", call.key).into(),
            claim,
            outcome,
        };
        self.apply(&state::Step::Close(close));
        if !self.send(Event::Input(number, claims::Input::Closed)) {
            self.after(PATIENCE, Event::Input(number, claims::Input::CloseFailed));
        }
    }

    /// The booking arrives at the service, perhaps long after its entry has died.
    fn serve(&mut self, number: usize) -> Result<(), String> {
        if self.random.random_ratio(1, 15) {
            let refused = Event::GiveUpRun(number, Evidence::EndpointRefused);
            self.send(refused);
            return Ok(());
        }
        let Some(call) = self.calls.get_mut(&number) else {
            return Ok(());
        };
        call.ran = true;
        let (key, body, told) = (call.key, call.body, call.told.clone());
        self.counts.runs += 1;
        self.note(&format!("call {number} runs key {key}"));
        if matches!(told, Some(claims::Reply::NotRun | claims::Reply::NoQuorum)) {
            return Err(format!(
                "a refusal that says \"not run\" is true; call {number} ran after it"
            ));
        }
        let runs = self.runs.entry(key).or_default();
        runs.push(body);
        if runs.len() > 1 {
            return Err(format!(
                "a booking runs at most once; key {key} ran {} times",
                runs.len()
            ));
        }
        let response = response(key, number);
        self.send(Event::Input(number, claims::Input::Answered(response)));
        Ok(())
    }

    fn input(&mut self, number: usize, input: claims::Input) -> Result<(), String> {
        if !self.lives(number) {
            return Ok(());
        }
        let Some(call) = self.calls.get_mut(&number) else {
            return Ok(());
        };
        for output in call.booking.step(input) {
            self.output(number, output)?;
        }
        Ok(())
    }

    fn output(&mut self, number: usize, output: claims::Output) -> Result<(), String> {
        match output {
            claims::Output::Dispatch => self.dispatch(number),
            claims::Output::Close {
                claim,
                outcome,
                after,
            } => {
                let wait = after.0 / 1_000 + 1;
                if self.random.random_ratio(1, 12) {
                    let failed = Event::Input(number, claims::Input::CloseFailed);
                    self.after(PATIENCE, failed);
                } else {
                    self.after(wait + 10, Event::Close(number, claim, outcome));
                }
            }
            claims::Output::Reply(reply) => return self.reply(number, reply),
        }
        Ok(())
    }

    fn dispatch(&mut self, number: usize) {
        match self.random.random_range(0..10) {
            0 => self.after(5, Event::GiveUpRun(number, Evidence::ConnectFailed)),
            1 => {
                // The connection breaks; the booking may have left or not.
                if self.random.random_bool(0.5) {
                    self.after(10, Event::Dispatch(number));
                }
                if self.fault == Fault::SentAgain {
                    self.after(30, Event::Dispatch(number));
                }
                let proves = if self.fault == Fault::BrokenIsNotRun {
                    Evidence::ConnectFailed
                } else {
                    Evidence::ConnectionBroke
                };
                self.after(5, Event::GiveUpRun(number, proves));
            }
            _ => {
                self.send(Event::Dispatch(number));
                self.order += 1;
                let at = self.now + DEADLINE;
                let silence = Event::GiveUpRun(number, Evidence::Silence);
                self.events.insert((at, self.order), silence);
            }
        }
    }

    fn reply(&mut self, number: usize, reply: claims::Reply) -> Result<(), String> {
        let Some(call) = self.calls.get_mut(&number) else {
            return Ok(());
        };
        call.told = Some(reply.clone());
        let (key, body, ran) = (call.key, call.body, call.ran);
        self.note(&format!("call {number} of key {key} is told {reply:?}"));
        let counts = &mut self.counts;
        match &reply {
            claims::Reply::Answer(_) => counts.answered += 1,
            claims::Reply::NotRun => counts.not_run += 1,
            claims::Reply::NoQuorum => counts.no_quorum += 1,
            claims::Reply::Unknown => counts.unknown += 1,
            claims::Reply::Running => counts.running += 1,
            claims::Reply::Conflict => counts.conflicts += 1,
            claims::Reply::Expired => counts.expired += 1,
        }
        match reply {
            claims::Reply::NotRun | claims::Reply::NoQuorum if ran => Err(format!(
                "a refusal that says \"not run\" is true; call {number} had run"
            )),
            claims::Reply::Answer(response) => {
                let own = format!("ran-{key}-");
                let bodies = self.runs.get(&key);
                let is_own = response.body.starts_with(own.as_str());
                if is_own && bodies.is_some_and(|bodies| bodies.contains(&body)) {
                    return Ok(());
                }
                Err(format!(
                    "a stored answer is that of the booking; key {key} got {response:?}"
                ))
            }
            _ => Ok(()),
        }
    }
}

fn workspace() -> id::Workspace {
    "survey".parse().expect("a valid name")
}

fn instance(entry: usize) -> id::Instance {
    format!("entry-{entry}").parse().expect("a valid name")
}

fn response(key: usize, number: usize) -> claim::Response {
    claim::Response {
        status: 201,
        content_type: "text/plain".into(),
        body: format!("ran-{key}-{number}").into(),
    }
}
