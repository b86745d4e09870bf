//! The whole replicated state of the fleet.

use cranberrygap_model::{duration, id, number, size};
use cranberrygap_placement::journal;
use cranberrygap_wire::{binding, configuration as wire, endpoint as announced, operator, view};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    answer, audit, audit_event, catalogue, claim, command, configuration, deduplication, endpoint,
    evacuation, history, key, lender, member, quarantine, residency, share, traffic,
};

/// Replicated state of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Time of the first command in Unix milliseconds, which tells histories of the state apart;
    /// `None` for a state from an earlier version of the program.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub founded: Option<u64>,
    /// Index of the last command that was applied.
    pub revision: number::Revision,
    /// Index of the last command that changed the view of entries.
    #[serde(rename = "seen")]
    pub view_revision: number::Revision,
    /// Index of the last command that entries must have applied before its change is
    /// acknowledged, see [`binding::is_binding`].
    #[serde(default, rename = "binding")]
    pub binding_revision: number::Revision,
    /// Largest time of any command, in Unix milliseconds; it never goes back.
    pub clock: u64,
    /// Current configuration and earlier ones.
    pub configuration: configuration::State,
    /// Models that the weight store lists.
    pub catalogue: catalogue::Catalogue,
    /// Keys of callers, and workspaces.
    pub keys: key::Keys,
    /// Endpoints and their health.
    pub endpoints: endpoint::Endpoints,
    /// Failure domains whose endpoints get no requests.
    #[serde(default)]
    pub evacuations: evacuation::Evacuations,
    /// Entries and control processes.
    pub members: member::Members,
    /// Claims of bookings.
    pub claims: claim::Claims,
    /// Requests that crash endpoints.
    pub quarantines: quarantine::Quarantines,
    /// Shares of the workspaces' rates and bursts.
    #[serde(default)]
    pub shares: share::Shares,
    /// Entries that lend tokens in place of the leader.
    #[serde(default)]
    pub lenders: lender::Lenders,
    /// Orders to endpoints that may still take effect.
    #[serde(default)]
    pub orders: journal::Journal,
    /// Models and adapters that are being loaded or dropped, by endpoint.
    #[serde(default)]
    pub residencies: residency::Residencies,
    /// Traffic plan in force.
    #[serde(default)]
    pub traffic: traffic::State,
    /// First answers by change id.
    pub changes: deduplication::Answers,
    /// Changes that operators made.
    pub history: history::History,
    /// Hash-chained audit trail.
    pub audit: audit::Trail,
}

type Outcome = (answer::Answer, Vec<view::Change>);

impl Fleet {
    /// Applies a committed command; returns its answer and the changes of the view.
    pub fn apply(&mut self, index: number::Index, proposal: &command::Proposal) -> Outcome {
        if self.revision == number::Revision(0) {
            self.founded = Some(proposal.at);
        }
        self.revision = number::Revision(index.0);
        self.clock = self.clock.max(proposal.at);
        let command = &proposal.command;
        let outcome = self.apply_once(command);
        if !outcome.1.is_empty() {
            self.view_revision = self.revision;
        }
        if outcome.1.iter().any(binding::is_binding) {
            self.binding_revision = self.revision;
        }
        outcome
    }

    fn apply_once(&mut self, command: &command::Command) -> Outcome {
        let Some(author) = command.author() else {
            return self.execute(command);
        };
        if let Some(first) = self.changes.first_answer(&author.change, command) {
            return (first, Vec::new());
        }
        let outcome = self.execute(command);
        self.changes.insert(&author.change, command, &outcome.0);
        if is_accepted(&outcome.0) {
            self.history.push(operator::Record {
                revision: self.revision,
                at: self.clock,
                author: author.clone(),
                subject: command.summary(),
            });
        }
        outcome
    }

    fn execute(&mut self, command: &command::Command) -> Outcome {
        let (revision, at) = (self.revision, self.clock);
        let outcome = match command {
            command::Command::Configuration(step) => self.configuration.apply(revision, at, step),
            command::Command::Catalogue(step) => (answer::Answer::Done, self.catalogue.apply(step)),
            command::Command::Key(step) => self.keys.apply(revision, step),
            command::Command::Endpoint(step) => {
                let outcome = self.endpoints.apply(revision, step);
                self.residencies.apply_removals(&outcome.1);
                outcome
            }
            command::Command::Member(step) => self.apply_member(step),
            command::Command::Claim(step) => {
                let lifetimes = self.claim_lifetimes();
                (self.claims.apply(at, lifetimes, step), Vec::new())
            }
            command::Command::Quarantine(step) => {
                let span = self.configuration.current().defaults.quarantine;
                (answer::Answer::Done, self.quarantines.apply(at, span, step))
            }
            command::Command::Group(_) => (answer::Answer::Done, Vec::new()),
            command::Command::Share(step) => {
                self.shares.apply(step);
                (answer::Answer::Done, Vec::new())
            }
            command::Command::Lender(step) => (answer::Answer::Done, self.lenders.apply(step)),
            command::Command::Order(record) => {
                let accepted = self.orders.apply(record);
                let refused = answer::Answer::Refused("a newer leader gives orders".into());
                let answer = if accepted {
                    answer::Answer::Done
                } else {
                    refused
                };
                (answer, Vec::new())
            }
            command::Command::Residency(residency) => {
                (answer::Answer::Done, self.residencies.apply(residency))
            }
            command::Command::Traffic(step) => self.traffic.apply(revision, step),
            command::Command::TrafficPart(part) => self.traffic.stage(part),
            command::Command::TrafficAdoption(adoption) => self.traffic.adopt(revision, adoption),
            command::Command::FormerRoutes(until) => {
                (answer::Answer::Done, self.traffic.retire(*until))
            }
            command::Command::Drain(drain) => self.drain(drain),
            command::Command::Release(release) => self.release(release),
            command::Command::Evacuation(step) => self.evacuations.apply(revision, step),
        };
        if is_accepted(&outcome.0)
            && let Some(event) = audit_event::for_command(command, &outcome.0, &outcome.1)
        {
            self.audit.push(revision, at, event);
        }
        outcome
    }

    fn apply_member(&mut self, step: &member::Step) -> Outcome {
        let outcome = self.members.apply(step);
        if let Some((instance, boot)) = &outcome.ended {
            self.claims.mark_unknown(self.clock, instance, *boot);
        }
        (answer::Answer::Done, outcome.changes)
    }

    fn drain(&mut self, drain: &operator::Drain) -> Outcome {
        let drained = |subject: &str| {
            answer::Answer::Drained(operator::Drained {
                name: drain.name.clone(),
                subject: subject.into(),
                revision: self.revision,
            })
        };
        if let Some((role, changes)) = self.members.drain(&drain.name) {
            return (drained(&role.to_string()), changes);
        }
        if let Some(changes) = self.endpoints.drain(&drain.name) {
            return (drained("endpoint"), changes);
        }
        let reason = format!("nothing is named {}; show lists all names", drain.name);
        (answer::Answer::Refused(reason.into()), Vec::new())
    }

    fn release(&mut self, release: &operator::Release) -> Outcome {
        let fingerprint = match self.quarantines.find(&release.fingerprint) {
            Ok(fingerprint) => fingerprint,
            Err(reason) => return (answer::Answer::Refused(reason), Vec::new()),
        };
        let change = self.quarantines.release(&fingerprint);
        let released = operator::Released {
            fingerprint,
            revision: self.revision,
        };
        let changes = change.into_iter().collect();
        (answer::Answer::Released(released), changes)
    }

    fn claim_lifetimes(&self) -> claim::Lifetimes {
        let current = self.configuration.current();
        let exceptions = current.exceptions.iter();
        let longest = exceptions.filter_map(|exception| exception.booking_deadline);
        claim::Lifetimes {
            deadline: longest.fold(current.defaults.booking_deadline, duration::Span::max),
            retention: current.defaults.claim_retention,
        }
    }

    /// Returns all endpoints with the health by which copies of models are placed. Those of an
    /// evacuated failure domain count as leaving.
    pub fn endpoints_to_place(
        &self,
    ) -> impl Iterator<Item = (&announced::Announcement, view::Health)> {
        let endpoints = self.endpoints.announcements();
        endpoints.map(|(announcement, health)| {
            if self.evacuations.contains(&announcement.domain) {
                return (announcement, view::Health::Leaving);
            }
            (announcement, health)
        })
    }

    /// Whether any instance or endpoint is known in a failure domain.
    #[must_use]
    pub fn has_domain(&self, domain: &id::Domain) -> bool {
        let mut members = self.members.iter();
        let mut endpoints = self.endpoints.announcements();
        members.any(|member| member.domain == *domain)
            || endpoints.any(|(announcement, _)| announcement.domain == *domain)
    }

    /// Returns the part of the state that entries keep.
    #[must_use]
    pub fn view(&self) -> view::State {
        view::State {
            configuration: self.configuration.current().clone(),
            catalogue: self.catalogue.models().to_vec(),
            keys: self.keys.keys().cloned().collect(),
            endpoints: self.endpoints.iter().collect(),
            members: self.members.iter().cloned().collect(),
            quarantines: self
                .quarantines
                .active()
                .chain(self.quarantines.on_probation())
                .collect(),
            workspaces: self.keys.workspaces().cloned().collect(),
            traffic: self.traffic.plan().cloned(),
            staged: self.traffic.staged().map(traffic::stage::Staged::view),
            residencies: self.residencies.iter().cloned().collect(),
            lenders: self.lenders.view().collect(),
            versions: self.endpoints.versions().view().collect(),
            evacuated: self.evacuations.domains().cloned().collect(),
            former_routes: self.traffic.former_routes().to_vec(),
            founded: self.founded,
        }
    }

    /// Returns the state for operators.
    ///
    /// It contains neither hashes of keys nor what services answered to callers.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "revision": self.revision,
            "seen": self.view_revision,
            "binding": self.binding_revision,
            "clock": self.clock,
            "view": self.redacted_view(),
            "configurations": self.configuration.revisions().collect::<Vec<_>>(),
            "claims": self.claims.dump(),
            "trail": self.audit.read(&cranberrygap_wire::audit::Read { from: u64::MAX, limit: 0 }),
        })
    }

    /// Returns the view without hashes of keys.
    #[must_use]
    pub fn redacted_view(&self) -> view::State {
        let mut view = self.view();
        for key in &mut view.keys {
            key.hash = SmolStr::default();
        }
        let planned = view.traffic.iter_mut().map(|plan| &mut plan.workspaces);
        let staged = view.staged.iter_mut().flat_map(|staged| &mut staged.parts);
        let staged = staged.map(|part| &mut part.workspaces);
        for workspace in planned.chain(staged).flatten() {
            workspace.keys.fill(SmolStr::default());
        }
        view
    }

    /// Returns what the fleet has, for the validation of a configuration.
    #[must_use]
    pub fn facts(&self) -> configuration::Facts {
        let runners = self.endpoints.announcements();
        let runners = runners.filter(|(found, _)| found.kind == announced::Kind::Runner);
        let largest: Option<size::Bytes> = runners.map(|(found, _)| found.memory).max();
        let models = self.catalogue.models().iter();
        configuration::Facts {
            largest_memory: largest,
            models: models
                .map(|found| (found.model.clone(), found.size))
                .collect(),
            workspaces: self.keys.workspaces().cloned().collect(),
        }
    }

    /// Returns the defaults in force.
    #[must_use]
    pub const fn defaults(&self) -> &wire::Defaults {
        &self.configuration.current().defaults
    }

    /// Serializes the whole state.
    ///
    /// # Panics
    ///
    /// Never; the state has text keys only.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the state has text keys only")
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    ///
    /// If the bytes are not a snapshot.
    pub fn restore(snapshot: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(snapshot)
    }
}

fn is_accepted(answer: &answer::Answer) -> bool {
    let refused = matches!(
        answer,
        answer::Answer::Refused(_) | answer::Answer::Outdated
    );
    let conflict = matches!(
        answer,
        answer::Answer::Applied(operator::Applied::Conflict { .. })
    );
    !refused && !conflict
}
