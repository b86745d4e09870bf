//! Engines, and the control process that leads.

use cranberrygap_control::leadership;
use cranberrygap_model::{duration, id, number, software};
use cranberrygap_state::{command, endpoint, fleet, member};
use cranberrygap_wire::{endpoint as announced, view};

use super::entry;

/// Service of all engines.
pub fn service() -> id::Service {
    "lm".parse().expect("a name")
}

/// Number of the engine with this name.
pub fn number(name: &id::Endpoint) -> Option<usize> {
    name.as_str().strip_prefix("engine-")?.parse().ok()
}

/// One engine as it is, whatever the fleet believes.
#[derive(Debug, Clone)]
pub struct Engine {
    pub name: id::Endpoint,
    pub boot: u64,
    pub version: Option<software::Version>,
    /// Until when it is down.
    pub down_until: duration::Instant,
    pub is_gone: bool,
    /// When it holds the model; a process that starts is empty, and only the leader's orders fill
    /// it.
    pub holds_from: Option<duration::Instant>,
    pub sequence: u64,
    pub next_heartbeat: duration::Instant,
}

impl Engine {
    pub fn runs(&self, now: duration::Instant) -> bool {
        !self.is_gone && now >= self.down_until
    }

    pub fn serves(&self, now: duration::Instant) -> bool {
        self.runs(now) && self.holds_from.is_some_and(|from| now >= from)
    }

    pub fn announcement(&self, number: usize) -> announced::Announcement {
        let port = 8_000 + u16::try_from(number).expect("a few thousand engines");
        let text = serde_json::json!({
            "endpoint": self.name, "boot": self.boot, "sequence": self.sequence,
            "address": format!("10.1.0.1:{port}"), "domain": "domain-0", "kind": "runner",
            "phase": "ready", "memory": "80GiB", "checks_fence": true, "resident": [],
            "service": "lm", "software": self.version,
            "details": {"started": self.boot, "slots": 64, "cached": [], "stored": []},
        });
        serde_json::from_value(text).expect("an announcement")
    }
}

/// The replicated state and the term of its leader.
#[derive(Debug)]
pub struct Control {
    pub fleet: fleet::Fleet,
    pub office: leadership::Leadership,
    /// Until when nobody leads.
    pub vacant_until: duration::Instant,
    index: number::Index,
    term: u64,
}

impl Control {
    pub fn new(now: duration::Instant) -> Self {
        Self {
            fleet: fleet::Fleet::default(),
            office: leadership::Leadership::new(number::Term(1), now, number::Revision(0)),
            vacant_until: now,
            index: number::Index(0),
            term: 1,
        }
    }

    /// Another process takes over at `at`.
    pub fn change_leader(&mut self, at: duration::Instant) {
        self.term += 1;
        self.vacant_until = at;
        let revision = self.fleet.binding_revision;
        self.office = leadership::Leadership::new(number::Term(self.term), at, revision);
    }

    /// Commits a command; returns the frame that entries are sent, if their view changes.
    pub fn commit(&mut self, command: command::Command) -> Option<view::Frame> {
        self.index = self.index.next();
        let at = self.index.0;
        let proposal = command::Proposal { at, command };
        let (_, changes) = self.fleet.apply(self.index, &proposal);
        (!changes.is_empty()).then_some(view::Frame::Delta {
            revision: self.fleet.view_revision,
            changes,
        })
    }

    pub fn snapshot(&self) -> view::Frame {
        view::Frame::Snapshot {
            revision: self.fleet.view_revision,
            state: self.fleet.view(),
        }
    }

    /// The news in a confirmation, which are committed before a lease is granted.
    pub fn news(&self, number: usize, confirm: &view::Confirm) -> Option<command::Command> {
        let member = entry::member(number, view::Phase::Active);
        let boot = confirm.boot;
        let is_new = self.fleet.members.would_change(&member, boot);
        is_new.then_some(command::Command::Member(member::Step::Seen {
            member,
            boot,
        }))
    }

    pub fn grant(&mut self, now: duration::Instant, confirm: &view::Confirm) -> view::Confirmed {
        let revision = self.fleet.binding_revision;
        self.office.record_revision(now, revision);
        let lease = self.office.grant_lease(now, confirm);
        view::Confirmed {
            revision,
            term: number::Term(self.term),
            lease,
        }
    }

    /// What the leader decides of versions, and of entries that are gone.
    pub fn decide(&mut self, now: duration::Instant) -> Vec<command::Command> {
        self.office
            .record_revision(now, self.fleet.binding_revision);
        let steps = self.office.check_versions(now, &self.fleet);
        let members = self.office.check_liveness(now, &self.fleet).members;
        let steps = steps.into_iter().map(command::Command::Endpoint);
        let members = members.into_iter().map(command::Command::Member);
        steps.chain(members).collect()
    }

    /// Whether the fleet lets an engine's present process serve.
    pub fn is_admitted(&self, engine: &Engine) -> bool {
        let known = self.fleet.endpoints.get(&engine.name);
        known.is_some_and(|known| {
            known.announcement.boot.0 == engine.boot && known.health == view::Health::Ready
        })
    }

    /// Admits each endpoint that waits, whoever knows of it.
    pub fn admit_all(&self) -> Vec<command::Command> {
        let joining = self.fleet.endpoints.joining();
        let seen = joining.map(|(found, _)| view::Seen {
            endpoint: found.endpoint.clone(),
            boot: found.boot,
            sequence: found.sequence,
        });
        seen.map(|seen| command::Command::Endpoint(endpoint::Step::Admitted(seen)))
            .collect()
    }

    /// Forgets each version without endpoints, however long its streams last.
    pub fn retire_all(&self) -> Vec<command::Command> {
        let versions = self.fleet.endpoints.versions().contested();
        let unused = versions.filter(|version| !self.fleet.endpoints.has_version(version));
        unused
            .map(|version| command::Command::Endpoint(endpoint::Step::Retired(version)))
            .collect()
    }
}
