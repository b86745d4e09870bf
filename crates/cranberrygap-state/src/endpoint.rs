//! Endpoints that announced themselves, and their health.

mod process;
mod registration;
pub mod stale;
mod stored;

use std::collections::BTreeMap;

use cranberrygap_model::{id, number};
use cranberrygap_wire::{endpoint, view};
use serde::{Deserialize, Serialize};

use crate::answer;
use crate::software;

/// Most endpoints that are kept: seven times the planned number.
const MAX_ENDPOINTS: usize = 4_096;

/// Most removed endpoints whose processes are remembered, ten times the number that is replaced on
/// an ordinary day.
const MAX_REMOVED: usize = 4_096;

/// All endpoints, by name.
///
/// What is known of a process outlives its registration: it moves to `removed` with each way out,
/// and back when the process is heard again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "stored::Endpoints")]
pub struct Endpoints {
    #[serde(rename = "endpoints")]
    by_name: BTreeMap<id::Endpoint, registration::Registration>,
    /// Processes of endpoints that were removed.
    removed: BTreeMap<id::Endpoint, process::Record>,
    /// Software versions that may have begun streams which still last.
    versions: software::Versions,
}

/// A process of an endpoint that was removed.
#[derive(Debug, Clone, PartialEq)]
pub struct Removed {
    /// The process, and the latest sequence that is known of it.
    pub seen: view::Seen,
    /// Whether the process may still run and must get nothing new until it ends.
    pub may_drain: bool,
}

/// A change of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub enum Step {
    /// The endpoint announced itself with new content.
    Announced(Box<endpoint::Announcement>),
    /// Nothing was heard from the endpoint for longer than the silence limit.
    Silent(view::Seen),
    /// The endpoint was heard again.
    Heard(view::Seen),
    /// The endpoint was silent for so long that it is removed.
    Forgotten(view::Seen),
    /// All entries know the endpoint's software version; it may serve.
    Admitted(view::Seen),
    /// No endpoint has had a software version for longer than streams last.
    Retired(software::Reference),
    /// The endpoint said that it leaves, without the boot of the process that left.
    ///
    /// Read from logs of earlier versions; [`Self::Left`] takes its place.
    Departed(id::Endpoint),
    /// A process said that it leaves for good.
    Left(view::Draining),
    /// No message of these processes can arrive any more.
    Expired(Vec<view::Seen>),
    /// The process said in a response to an entry that it drains.
    Draining(view::Draining),
}

impl Endpoints {
    /// Applies a change of an endpoint; a stale one changes nothing.
    pub fn apply(
        &mut self,
        revision: number::Revision,
        step: &Step,
    ) -> (answer::Answer, Vec<view::Change>) {
        let change = match step {
            Step::Announced(announcement) => {
                return match self.announce(revision, announcement) {
                    Ok(changes) => (answer::Answer::Done, changes),
                    Err(reason) => (answer::Answer::Refused(reason.into()), Vec::new()),
                };
            }
            Step::Silent(seen) => self.set_health(seen, view::Health::Suspect),
            Step::Heard(seen) => self.set_health(seen, view::Health::Ready),
            Step::Forgotten(seen) => self.remove_if_current(seen),
            Step::Admitted(seen) => self.admit(seen),
            Step::Retired(reference) => self.retire(reference),
            Step::Departed(name) => self.remove(name, WayOut::Left),
            Step::Left(left) => {
                return match self.record_left(left) {
                    Ok(change) => (answer::Answer::Done, change.into_iter().collect()),
                    Err(reason) => (answer::Answer::Refused(reason.into()), Vec::new()),
                };
            }
            Step::Expired(processes) => {
                self.expire(processes);
                None
            }
            Step::Draining(draining) => self.drain_process(draining),
        };
        (answer::Answer::Done, change.into_iter().collect())
    }

    fn announce(
        &mut self,
        revision: number::Revision,
        announcement: &endpoint::Announcement,
    ) -> Result<Vec<view::Change>, &'static str> {
        let name = &announcement.endpoint;
        let objection = self.objection(announcement);
        if objection.is_some_and(|objection| objection.is_stale()) {
            return Ok(Vec::new());
        }
        if !self.by_name.contains_key(name) && self.by_name.len() >= MAX_ENDPOINTS {
            return Err("there are too many endpoints");
        }
        let Ok(mut changes) = self.release_address(announcement) else {
            return Ok(Vec::new());
        };
        let reference = reference(announcement);
        changes.extend(self.versions.add(&reference));
        changes.push(self.register(revision, announcement, &reference));
        Ok(changes)
    }

    fn register(
        &mut self,
        revision: number::Revision,
        announcement: &endpoint::Announcement,
        reference: &software::Reference,
    ) -> view::Change {
        let name = announcement.endpoint.clone();
        let is_admitted = self.versions.is_admitted(reference);
        let record = self.removed.remove(&name);
        let previous = self.by_name.get(&name);
        let is_new_boot = previous.is_none_or(|previous| previous.has_other_boot(announcement));
        // Entries that have not heard of the restart would take it for the earlier process.
        let has_restarted = record
            .as_ref()
            .is_some_and(|record| record.boot != announcement.boot);
        let is_replaced = previous.map_or(has_restarted, |previous| {
            previous.has_other_software(announcement)
        });
        let joining = (!is_admitted || is_replaced).then_some(revision);
        let registration = self
            .by_name
            .entry(name)
            .or_insert_with(|| registration::Registration::new(announcement, record.as_ref()));
        if is_new_boot || is_replaced {
            registration.joining = joining;
        }
        registration.update(announcement);
        registration.to_change()
    }

    /// Removes the endpoints that had the address before; fails if a later one has it.
    ///
    /// An address may be reused, and a heartbeat may arrive so late that its sender is gone
    /// and another endpoint has its address. Requests sent there would reach a process that
    /// serves something else. Of two endpoints that claim one address, the one that started
    /// later has it.
    fn release_address(
        &mut self,
        announcement: &endpoint::Announcement,
    ) -> Result<Vec<view::Change>, AddressTaken> {
        let Some(started) = process::started(announcement) else {
            return Ok(Vec::new());
        };
        let has_address = |registration: &&registration::Registration| {
            registration.announcement.address == announcement.address
                && registration.announcement.endpoint != announcement.endpoint
        };
        let others: Vec<&registration::Registration> =
            self.by_name.values().filter(has_address).collect();
        if others
            .iter()
            .any(|other| process::started(&other.announcement).unwrap_or_default() > started)
        {
            return Err(AddressTaken);
        }
        let names = others
            .iter()
            .map(|other| other.announcement.endpoint.clone());
        let names: Vec<id::Endpoint> = names.collect();
        Ok(names
            .iter()
            .filter_map(|name| self.remove(name, WayOut::Left))
            .collect())
    }

    /// Lets an endpoint serve, unless another process has taken its place.
    fn admit(&mut self, seen: &view::Seen) -> Option<view::Change> {
        let registration = self.current_registration(seen)?;
        registration.joining.take()?;
        registration.health = registration.own_health();
        let reference = reference(&registration.announcement);
        let change = registration.to_change();
        self.versions.admit(&reference);
        Some(change)
    }

    /// Removes a software version that no endpoint has.
    fn retire(&mut self, retired: &software::Reference) -> Option<view::Change> {
        if self.has_version(retired) {
            return None;
        }
        self.versions.remove(retired)
    }

    /// Removes an endpoint and keeps what is known of its process.
    ///
    /// While too many are kept, the endpoint stays, out of service if it has left: without the
    /// record a late message would register the process anew.
    fn remove(&mut self, name: &id::Endpoint, way_out: WayOut) -> Option<view::Change> {
        if !self.can_remove() {
            let registration = self.by_name.get_mut(name)?;
            if way_out == WayOut::Silent {
                return None;
            }
            registration.drain();
            return Some(registration.to_change());
        }
        let mut process = self.by_name.remove(name)?.process();
        process.left = way_out == WayOut::Left;
        self.removed.insert(name.clone(), process);
        let endpoint = name.clone();
        Some(view::Change::EndpointRemoved { endpoint })
    }

    /// Records that a process leaves for good, also if it never announced itself or a later one
    /// has: its messages may arrive after this.
    fn record_left(&mut self, left: &view::Draining) -> Result<Option<view::Change>, &'static str> {
        let name = &left.endpoint;
        if let Some(registration) = self.by_name.get_mut(name) {
            if registration.announcement.boot == left.boot {
                return Ok(self.remove(name, WayOut::Left));
            }
            process::push_former(&mut registration.former_boots, left.boot);
            return Ok(None);
        }
        if let Some(record) = self.removed.get_mut(name) {
            if record.boot == left.boot {
                record.left = true;
            } else {
                process::push_former(&mut record.former_boots, left.boot);
            }
            return Ok(None);
        }
        if !self.can_remove() {
            return Err("too many endpoints were removed");
        }
        let record = process::Record::departed(left.boot);
        self.removed.insert(name.clone(), record);
        Ok(None)
    }

    /// Drops the records of processes that were not heard since.
    fn expire(&mut self, processes: &[view::Seen]) {
        for seen in processes {
            let record = self.removed.get(&seen.endpoint);
            let is_same = record
                .is_some_and(|record| record.boot == seen.boot && record.sequence <= seen.sequence);
            if is_same {
                self.removed.remove(&seen.endpoint);
            }
        }
    }

    /// Returns whether an endpoint that is removed can be remembered.
    #[must_use]
    pub fn can_remove(&self) -> bool {
        self.removed.len() < MAX_REMOVED
    }

    /// Returns the processes of endpoints that were removed.
    pub fn removed(&self) -> impl Iterator<Item = Removed> + '_ {
        self.removed.iter().map(|(name, record)| Removed {
            seen: view::Seen {
                endpoint: name.clone(),
                boot: record.boot,
                sequence: record.sequence,
            },
            may_drain: record.drained && !record.left,
        })
    }

    /// Returns what speaks against an announcement, if anything.
    #[must_use]
    pub fn objection(&self, announcement: &endpoint::Announcement) -> Option<stale::Objection> {
        let name = &announcement.endpoint;
        if let Some(registration) = self.by_name.get(name) {
            return registration.process().objection(announcement);
        }
        self.removed.get(name)?.objection(announcement)
    }

    /// Returns whether the word that a process leaves would change anything.
    #[must_use]
    pub fn would_leave(&self, left: &view::Draining) -> bool {
        if let Some(registration) = self.by_name.get(&left.endpoint) {
            return !registration.former_boots.contains(&left.boot);
        }
        let record = self.removed.get(&left.endpoint);
        record.is_none_or(|record| {
            let is_known = record.boot == left.boot && record.left;
            !is_known && !record.former_boots.contains(&left.boot)
        })
    }

    fn set_health(&mut self, seen: &view::Seen, health: view::Health) -> Option<view::Change> {
        let registration = self.current_registration(seen)?;
        let in_service = matches!(
            registration.health,
            view::Health::Ready | view::Health::Suspect
        );
        if !in_service || registration.health == health {
            return None;
        }
        registration.health = health;
        // A heartbeat from before is no sign of life, also to a leader that has not heard it yet.
        registration.announcement.sequence = seen.sequence;
        Some(registration.to_change())
    }

    fn remove_if_current(&mut self, seen: &view::Seen) -> Option<view::Change> {
        let registration = self.current_registration(seen)?;
        registration.announcement.sequence = seen.sequence;
        self.remove(&seen.endpoint, WayOut::Silent)
    }

    /// Returns the registration, if the message is from its current process.
    fn current_registration(
        &mut self,
        seen: &view::Seen,
    ) -> Option<&mut registration::Registration> {
        let registration = self.by_name.get_mut(&seen.endpoint)?;
        let is_same_boot = registration.announcement.boot == seen.boot;
        // An older sequence is from before the latest announcement: it was heard since.
        let is_latest = registration.announcement.sequence <= seen.sequence;
        (is_same_boot && is_latest).then_some(registration)
    }

    /// Takes an endpoint out of service until its next boot.
    pub fn drain(&mut self, name: &str) -> Option<Vec<view::Change>> {
        let registration = self.by_name.get_mut(name)?;
        registration.drain();
        Some(vec![registration.to_change()])
    }

    /// Takes a process out of service; a later one of its name is not meant.
    fn drain_process(&mut self, draining: &view::Draining) -> Option<view::Change> {
        if let Some(record) = self.removed.get_mut(&draining.endpoint) {
            record.drained |= record.boot == draining.boot;
            return None;
        }
        let registration = self.by_name.get_mut(&draining.endpoint)?;
        if !registration.can_drain(draining.boot) {
            return None;
        }
        registration.drain();
        Some(registration.to_change())
    }

    /// Returns whether the word that a process drains would change anything.
    #[must_use]
    pub fn would_drain(&self, draining: &view::Draining) -> bool {
        if let Some(record) = self.removed.get(&draining.endpoint) {
            return record.boot == draining.boot && !record.drained;
        }
        self.is_current(&draining.endpoint, draining.boot)
    }

    /// Returns whether an endpoint is known.
    #[must_use]
    pub fn contains(&self, name: &id::Endpoint) -> bool {
        self.by_name.contains_key(name)
    }

    /// Returns whether a process is the current one of its endpoint, and has not been drained.
    #[must_use]
    pub fn is_current(&self, name: &id::Endpoint, boot: number::Boot) -> bool {
        let registration = self.by_name.get(name);
        registration.is_some_and(|registration| registration.can_drain(boot))
    }

    /// Returns whether an announcement tells anything besides a heartbeat.
    #[must_use]
    pub fn would_change(&self, announcement: &endpoint::Announcement) -> bool {
        let Some(registration) = self.by_name.get(&announcement.endpoint) else {
            return true;
        };
        let mut current = registration.announcement.clone();
        current.sequence = announcement.sequence;
        current != *announcement
    }

    /// Returns one endpoint.
    #[must_use]
    pub fn get(&self, name: &id::Endpoint) -> Option<view::Endpoint> {
        self.by_name
            .get(name)
            .map(registration::Registration::to_view)
    }

    /// Returns the software versions that may have begun streams which still last.
    #[must_use]
    pub const fn versions(&self) -> &software::Versions {
        &self.versions
    }

    /// Returns whether any endpoint has a software version.
    #[must_use]
    pub fn has_version(&self, asked: &software::Reference) -> bool {
        self.announcements().any(|(announcement, _)| {
            announcement.service == asked.service && announcement.software == asked.version
        })
    }

    /// Returns the endpoints that wait until all entries have a revision.
    pub fn joining(&self) -> impl Iterator<Item = (&endpoint::Announcement, number::Revision)> {
        self.by_name.values().filter_map(|registration| {
            let revision = registration.joining?;
            Some((&registration.announcement, revision))
        })
    }

    /// Returns all endpoints by name.
    pub fn iter(&self) -> impl Iterator<Item = view::Endpoint> + '_ {
        self.by_name
            .values()
            .map(registration::Registration::to_view)
    }

    /// Returns whether another process of this endpoint ran before the present one.
    #[must_use]
    pub fn has_restarted(&self, endpoint: &id::Endpoint) -> bool {
        let registration = self.by_name.get(endpoint);
        registration.is_some_and(|registration| !registration.former_boots.is_empty())
    }

    /// Returns announcements with health, without copying.
    pub fn announcements(&self) -> impl Iterator<Item = (&endpoint::Announcement, view::Health)> {
        self.by_name
            .values()
            .map(|registration| (&registration.announcement, registration.health))
    }
}

/// How an endpoint is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WayOut {
    /// Nothing was heard of its process, which may still run.
    Silent,
    /// Its process left for good.
    Left,
}

/// Error: an endpoint that started later has the address.
#[derive(Debug)]
struct AddressTaken;

/// Returns the service and software version of an endpoint.
#[must_use]
pub fn reference(announcement: &endpoint::Announcement) -> software::Reference {
    software::Reference {
        service: announcement.service.clone(),
        version: announcement.software.clone(),
    }
}
