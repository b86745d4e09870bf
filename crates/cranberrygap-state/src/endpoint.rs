//! Endpoints that announced themselves, and their health.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{id, number};
use cranberrygap_wire::{endpoint, view};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::answer;
use crate::software;

/// Most endpoints that are kept: seven times the planned number.
const MAX_ENDPOINTS: usize = 4_096;

/// Most earlier boots that are remembered for each endpoint.
///
/// An announcement of an earlier process may arrive after the next process announced
/// itself; its boot shows that it is stale. An endpoint does not restart more often
/// than this while one late message is on its way.
const MAX_FORMER_BOOTS: usize = 8;

/// Most endpoints that left and are remembered, so that a late heartbeat does not restore one.
///
/// A heartbeat is late by seconds, and far fewer endpoints leave within that time.
const MAX_DEPARTED: usize = 512;

/// All endpoints, by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Endpoints {
    #[serde(rename = "endpoints")]
    by_name: BTreeMap<id::Endpoint, Registration>,
    /// Boots that have left for good, oldest first.
    #[serde(default)]
    departed: VecDeque<(id::Endpoint, number::Boot)>,
    /// Software versions that may have begun streams which still last.
    #[serde(default)]
    versions: software::Versions,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Registration {
    announcement: endpoint::Announcement,
    health: view::Health,
    /// Whether an operator took the endpoint out of service, or the process said to an entry that
    /// it drains; reset by the next boot.
    drained: bool,
    /// Revision that all entries must have before the endpoint may serve.
    #[serde(default)]
    joining: Option<number::Revision>,
    #[serde(rename = "former")]
    former_boots: SmallVec<[number::Boot; 2]>,
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
    /// The endpoint left, or was silent for so long that it is removed.
    Forgotten(view::Seen),
    /// All entries know the endpoint's software version; it may serve.
    Admitted(view::Seen),
    /// No endpoint has had a software version for longer than streams last.
    Retired(software::Reference),
    /// The endpoint said that it leaves, without the boot of the process that left.
    Departed(id::Endpoint),
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
            Step::Departed(name) => self.remove_departed(name),
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
        if self.is_departed(name, announcement.boot) {
            return Ok(Vec::new());
        }
        if let Some(registration) = self.by_name.get(name) {
            if registration.is_stale(announcement) {
                return Ok(Vec::new());
            }
        } else if self.by_name.len() >= MAX_ENDPOINTS {
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
        let previous = self.by_name.get(&name);
        let is_new_boot = previous.is_none_or(|previous| previous.has_other_boot(announcement));
        // Entries that have not heard of the restart would take it for the earlier process.
        let has_left = self.departed.iter().any(|(gone, _)| *gone == name);
        let is_replaced = previous.map_or(has_left, |previous| {
            previous.has_other_software(announcement)
        });
        let joining = (!is_admitted || is_replaced).then_some(revision);
        let registration = self.by_name.entry(name).or_insert_with(|| Registration {
            announcement: announcement.clone(),
            health: view::Health::Joining,
            drained: false,
            joining: None,
            former_boots: SmallVec::new(),
        });
        if is_new_boot || is_replaced {
            registration.joining = joining;
        }
        registration.update(announcement);
        change_of(registration)
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
        let Some(started) = started(announcement) else {
            return Ok(Vec::new());
        };
        let has_address = |registration: &&Registration| {
            registration.announcement.address == announcement.address
                && registration.announcement.endpoint != announcement.endpoint
        };
        let others: Vec<&Registration> = self.by_name.values().filter(has_address).collect();
        if others
            .iter()
            .any(|other| started_or_default(&other.announcement) > started)
        {
            return Err(AddressTaken);
        }
        let names = others
            .iter()
            .map(|other| other.announcement.endpoint.clone());
        let names: Vec<id::Endpoint> = names.collect();
        Ok(names
            .iter()
            .filter_map(|name| self.remove_departed(name))
            .collect())
    }

    /// Lets an endpoint serve, unless another process has taken its place.
    fn admit(&mut self, seen: &view::Seen) -> Option<view::Change> {
        let registration = self.current_registration(seen)?;
        registration.joining.take()?;
        registration.health = registration.own_health();
        let reference = reference(&registration.announcement);
        let change = change_of(registration);
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

    /// Removes an endpoint for good; its process does not return.
    fn remove_departed(&mut self, name: &id::Endpoint) -> Option<view::Change> {
        let registration = self.by_name.remove(name)?;
        self.departed
            .push_back((name.clone(), registration.announcement.boot));
        while self.departed.len() > MAX_DEPARTED {
            self.departed.pop_front();
        }
        let endpoint = name.clone();
        Some(view::Change::EndpointRemoved { endpoint })
    }

    fn is_departed(&self, name: &id::Endpoint, boot: number::Boot) -> bool {
        self.departed
            .iter()
            .any(|(gone, at)| gone == name && *at == boot)
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
        Some(change_of(registration))
    }

    fn remove_if_current(&mut self, seen: &view::Seen) -> Option<view::Change> {
        self.current_registration(seen)?;
        self.by_name.remove(&seen.endpoint);
        let endpoint = seen.endpoint.clone();
        Some(view::Change::EndpointRemoved { endpoint })
    }

    /// Returns the registration, if the message is from its current process.
    fn current_registration(&mut self, seen: &view::Seen) -> Option<&mut Registration> {
        let registration = self.by_name.get_mut(&seen.endpoint)?;
        let is_same_boot = registration.announcement.boot == seen.boot;
        // An older sequence is from before the latest announcement: it was heard since.
        let is_latest = registration.announcement.sequence <= seen.sequence;
        (is_same_boot && is_latest).then_some(registration)
    }

    /// Takes an endpoint out of service until its next boot.
    pub fn drain(&mut self, name: &str) -> Option<Vec<view::Change>> {
        let registration = self.by_name.get_mut(name)?;
        registration.drained = true;
        registration.health = view::Health::Leaving;
        Some(vec![change_of(registration)])
    }

    /// Takes a process out of service; a later one of its name is not meant.
    fn drain_process(&mut self, draining: &view::Draining) -> Option<view::Change> {
        let registration = self.by_name.get_mut(&draining.endpoint)?;
        if !registration.can_drain(draining.boot) {
            return None;
        }
        registration.drained = true;
        registration.health = view::Health::Leaving;
        Some(change_of(registration))
    }

    /// Returns whether the word that a process drains would change anything.
    #[must_use]
    pub fn would_drain(&self, draining: &view::Draining) -> bool {
        let registration = self.by_name.get(&draining.endpoint);
        registration.is_some_and(|registration| registration.can_drain(draining.boot))
    }

    /// Returns whether an endpoint is known.
    #[must_use]
    pub fn contains(&self, name: &id::Endpoint) -> bool {
        self.by_name.contains_key(name)
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
        self.by_name.get(name).map(Registration::to_view)
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
        self.by_name.values().map(Registration::to_view)
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

impl Registration {
    fn is_stale(&self, other: &endpoint::Announcement) -> bool {
        if other.boot == self.announcement.boot {
            // One process has one version: who names another one is another sender.
            let is_foreign = self.announcement.software.is_some() && self.has_other_software(other);
            return is_foreign || other.sequence <= self.announcement.sequence;
        }
        let started_before = started(other) < started(&self.announcement);
        started_before || self.former_boots.contains(&other.boot)
    }

    fn update(&mut self, announcement: &endpoint::Announcement) {
        if announcement.boot != self.announcement.boot {
            self.former_boots.push(self.announcement.boot);
            if self.former_boots.len() > MAX_FORMER_BOOTS {
                self.former_boots.remove(0);
            }
            self.drained = false;
        }
        self.announcement = announcement.clone();
        self.health = self.own_health();
    }

    /// Returns whether this boot is in service.
    fn can_drain(&self, boot: number::Boot) -> bool {
        self.announcement.boot == boot && self.health != view::Health::Leaving
    }

    fn has_other_boot(&self, announcement: &endpoint::Announcement) -> bool {
        self.announcement.boot != announcement.boot
    }

    fn has_other_software(&self, announcement: &endpoint::Announcement) -> bool {
        self.announcement.software != announcement.software
    }

    fn own_health(&self) -> view::Health {
        match self.announcement.phase {
            endpoint::Phase::Ready if self.drained => view::Health::Leaving,
            endpoint::Phase::Ready if self.joining.is_some() => view::Health::Joining,
            endpoint::Phase::Ready => view::Health::Ready,
            endpoint::Phase::Leaving => view::Health::Leaving,
        }
    }

    fn to_view(&self) -> view::Endpoint {
        view::Endpoint {
            announcement: self.announcement.clone(),
            health: self.health,
        }
    }
}

/// Error: an endpoint that started later has the address.
#[derive(Debug)]
struct AddressTaken;

fn started(announcement: &endpoint::Announcement) -> Option<u64> {
    announcement.details.as_ref().map(|details| details.started)
}

fn started_or_default(announcement: &endpoint::Announcement) -> u64 {
    started(announcement).unwrap_or_default()
}

/// Returns the service and software version of an endpoint.
#[must_use]
pub fn reference(announcement: &endpoint::Announcement) -> software::Reference {
    software::Reference {
        service: announcement.service.clone(),
        version: announcement.software.clone(),
    }
}

fn change_of(registration: &Registration) -> view::Change {
    view::Change::EndpointChanged {
        endpoint: registration.to_view(),
    }
}
