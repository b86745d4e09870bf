//! Today's way: each entry renews its shares at the leader.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, number};
use cranberrygap_policy::limits::{granter, holder};
use cranberrygap_wire::share;
use rand::Rng;
use serde_json::json;

use super::cost;
use super::day::Day;
use super::processor::Work;
use super::way::{Message, Place, Way};
use super::wire::Wire;
use super::world;

/// Renewals that one commit answers.
const MOST_TOGETHER: usize = 128;

/// Time of a write to disk.
const SYNC: u64 = 2_000;

/// Time to the other replicas and back.
const ROUND: std::ops::Range<u64> = 600..1_400;

/// The leader's granter and what waits for it.
#[derive(Debug)]
pub struct Leader {
    granter: granter::Granter,
    controls: u64,
    inbox: VecDeque<Waiting>,
    /// What is answered once the commit under way is done.
    open: Vec<(usize, share::Granted)>,
    answering: bool,
    counts: Counts,
}

#[derive(Debug)]
struct Waiting {
    entry: usize,
    renew: share::Renew,
    at: u64,
}

#[derive(Debug, Default)]
struct Counts {
    answered: u64,
    given_up: u64,
    commits: u64,
    records: u64,
    asking: u64,
    /// Ask for nothing, hand nothing back and have no room for tokens.
    for_nothing: u64,
}

impl Leader {
    /// A leader under which the day's workspaces were added.
    #[must_use]
    pub fn new(day: Day) -> Self {
        let now = duration::Instant(1);
        let mut granter = granter::Granter::new(now, number::Term(1), &BTreeMap::new(), &[]);
        for (workspace, limit) in world::limits(day) {
            granter.configure(now, &workspace, limit, granter::Origin::Added);
        }
        Self {
            granter,
            controls: day.controls as u64,
            inbox: VecDeque::new(),
            open: Vec::new(),
            answering: false,
            counts: Counts::default(),
        }
    }

    /// Answers what waits, with one commit for all of it.
    fn answer(&mut self, wire: &mut Wire) {
        if self.answering || self.inbox.is_empty() {
            return;
        }
        self.answering = true;
        let together = self.inbox.len().min(MOST_TOGETHER);
        let mut records = 0;
        let mut done = wire.now();
        for waiting in self.inbox.drain(..together) {
            if wire.now() > waiting.at + holder::PATIENCE.0 {
                self.counts.given_up += 1;
                continue;
            }
            let demands = waiting.renew.demands.len() as u64;
            done = wire.spend(Place::Leader, Work::Renewal, cost::granting(demands));
            let Ok(answer) = self.granter.renew(wire.clock(), &waiting.renew) else {
                continue;
            };
            records += answer.records.len() as u64;
            self.open.push((waiting.entry, answer.granted));
        }
        if records > 0 {
            self.counts.commits += 1;
            self.counts.records += records;
            let spent = cost::committing(self.controls, records);
            let told = wire.spend(Place::Leader, Work::Commit, spent);
            done = told + SYNC + wire.random.random_range(ROUND);
        }
        wire.later(done, Place::Leader, 0);
    }

    fn count(&mut self, renew: &share::Renew) {
        let asks = renew.demands.iter().any(|demand| demand.wanted.0 > 0);
        let moves = renew
            .demands
            .iter()
            .any(|demand| demand.room.0 > 0 || demand.returned.0 > 0 || demand.unlent.0 > 0);
        self.counts.asking += u64::from(asks);
        self.counts.for_nothing += u64::from(!asks && !moves);
    }
}

impl Way for Leader {
    fn ask(&mut self, wire: &mut Wire, entry: usize, renew: share::Renew) {
        let message = Message::Renewal(entry, renew);
        wire.send(Place::Entry(entry), Place::Leader, message);
    }

    fn take(&mut self, wire: &mut Wire, _at: Place, message: Message) -> Option<share::Granted> {
        match message {
            Message::Granted(granted) => Some(granted),
            Message::Renewal(entry, renew) => {
                self.count(&renew);
                let at = wire.now();
                self.inbox.push_back(Waiting { entry, renew, at });
                self.answer(wire);
                None
            }
        }
    }

    fn wake(&mut self, wire: &mut Wire, _at: Place, _token: u64) {
        for (entry, granted) in std::mem::take(&mut self.open) {
            self.counts.answered += 1;
            wire.send(
                Place::Leader,
                Place::Entry(entry),
                Message::Granted(granted),
            );
        }
        self.answering = false;
        self.answer(wire);
    }

    fn counts(&self) -> serde_json::Value {
        json!({
            "answered": self.counts.answered,
            "given_up": self.counts.given_up,
            "commits": self.counts.commits,
            "records": self.counts.records,
            "asking": self.counts.asking,
            "for_nothing": self.counts.for_nothing,
        })
    }
}
