//! The operator's changes, and what must hold of the entries.

use cranberrygap_model::{duration, number as model};
use cranberrygap_state::{command, traffic as state};
use cranberrygap_wire::{traffic, view};
use rand::Rng;

use super::control::{Control, Pending};
use super::packet::Place;
use super::plans;
use super::world::{SECOND, World};

/// Endpoints of the fleet, and adapters that they load in turn.
const ENDPOINTS: usize = 64;
const ADAPTERS: usize = 300;

/// Time after its acknowledgement from which a change must be in force.
const IN_FORCE: u64 = 2 * SECOND;

/// Time after the return of power, and after the start, by which entries must serve.
const RECOVERY: u64 = 12 * SECOND;

/// Changes of the operator that may be under way.
const UNDER_WAY: usize = 8;

impl World {
    /// The operator sends a change to whoever leads.
    pub fn operate(&mut self) {
        for place in 0..self.controls.len() {
            if self.controls[place].frozen_until <= self.now {
                self.go_on_with_publication(place);
            }
        }
        if self.now < self.next_change {
            return;
        }
        self.next_change = self.now + self.day.changes;
        let now = self.now;
        let leads = |control: &Control| {
            let running = control.running.as_ref();
            let clock = control.clock(now);
            control.frozen_until <= now
                && running.is_some_and(|running| {
                    running.node.may_grant(clock)
                        && running.pending.len() < UNDER_WAY
                        && running.publication.is_none()
                })
        };
        let Some(place) = self.controls.iter().position(leads) else {
            return;
        };
        self.version += 1;
        let version = self.version;
        if self.day.parts {
            self.begin_publication(place, version);
            return;
        }
        if let Some(running) = &mut self.controls[place].running {
            running.pending.push(Pending {
                index: running.node.log().last().index.next(),
                version,
                sent: now,
                revision: None,
            });
        }
        let step = state::Step {
            plan: plan(version),
            source: "".into(),
        };
        self.propose(place, command::Command::Traffic(Box::new(step)));
        // A leader that hands over refuses it.
        if let Some(running) = &mut self.controls[place].running {
            let last = running.node.log().last().index;
            running.pending.retain(|one| one.index <= last);
        }
    }

    pub fn poll_entries(&mut self) -> Result<(), String> {
        while let Some((at, version)) = self.acknowledged.front().copied() {
            if self.now < at + IN_FORCE {
                break;
            }
            self.acknowledged.pop_front();
            self.due = self.due.max(version);
        }
        let controls = self.controls.len();
        for number in 0..self.entries.len() {
            let entry = &mut self.entries[number];
            if entry.starts_at.is_some() || entry.frozen_until > self.now {
                continue;
            }
            let version = entry.decides_by(self.now);
            let plan = entry.plan(self.now).filter(|_| self.day.parts);
            if let Some(mistake) = plan.as_ref().and_then(plans::mistake) {
                return Err(format!("{mistake}, at entry {number}"));
            }
            let revision = entry.holder.revision();
            let sent = self.versions.get(&revision).copied();
            if self.day.parts && version.is_some() && sent.is_some() && version != sent {
                return Err(format!(
                    "skipped: entry {number} serves by version {version:?} at {revision}, which \
                     has {sent:?}"
                ));
            }
            let before = entry.served;
            entry.served = before.max(version.unwrap_or(0));
            let sends = entry.poll(self.now, controls);
            for (to, packet) in sends {
                self.send(Place::Entry(number), to, packet);
            }
            let Some(version) = version else {
                self.tally.refusals += 1;
                if !self.day.troubled && self.now > RECOVERY {
                    return Err(format!(
                        "serving: entry {number} may not serve on a day without trouble"
                    ));
                }
                continue;
            };
            self.tally.decisions += 1;
            if version < before {
                return Err(format!(
                    "going back: entry {number} serves by {version} after {before}"
                ));
            }
            if version < self.due {
                let due = self.due;
                return Err(format!(
                    "in force: entry {number} serves by version {version}, {due} was acknowledged \
                     two seconds ago and more"
                ));
            }
            if let Some(back) = self.back.take() {
                let took = self.now.saturating_sub(back) / 1_000;
                self.tally.recovery = self.tally.recovery.max(took);
            }
        }
        Ok(())
    }

    /// Endpoints load and drop adapters all the time.
    pub fn tell_news(&mut self) {
        let Some(gap) = self.day.news.filter(|_| self.now >= self.next_news) else {
            return;
        };
        self.next_news = self.now + gap;
        let Some(place) = self.leader() else {
            return;
        };
        let number = self.rng.random_range(0..ENDPOINTS);
        let adapter = self.rng.random_range(0..ADAPTERS);
        let told = view::Residency {
            endpoint: format!("runner-{number}").parse().expect("a plain name"),
            boot: model::Boot(1),
            retiring: Vec::new(),
            adapters: vec![format!("model/a{adapter}").parse().expect("a plain name")],
        };
        self.propose(place, command::Command::Residency(told));
    }

    /// Counts heartbeats without an answer; without trouble there is none once all are ready.
    pub fn check_answers(&mut self) -> Result<(), String> {
        let busiest = self.controls.iter().map(|control| control.spent).max();
        self.tally.busiest = busiest.unwrap_or_default() * 1_000 / self.now.max(1);
        let unanswered = self.entries.iter().map(|entry| entry.unanswered).sum();
        let before = std::mem::replace(&mut self.tally.unanswered, unanswered);
        if !self.day.troubled && self.now > RECOVERY && unanswered > before {
            let late = self.tally.latest;
            return Err(format!(
                "answers: a heartbeat got no answer in time on a day without trouble; the work \
                 of a control process is up to {late} ms late"
            ));
        }
        Ok(())
    }

    pub fn check_recovery(&self) -> Result<(), String> {
        match self.back {
            Some(back) if self.now > back + RECOVERY => Err(format!(
                "recovery: nobody serves {} ms after power was back",
                (self.now - back) / 1_000
            )),
            _ => Ok(()),
        }
    }
}

fn plan(version: u64) -> traffic::Plan {
    traffic::Plan {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        workspaces: Vec::new(),
        bounds: traffic::Bounds {
            body: 1,
            header: 1,
            header_time: duration::Span::from_secs(1),
            idle: duration::Span::from_secs(1),
        },
        access: None,
    }
}
