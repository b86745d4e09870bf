//! Endpoints as they announced themselves, and their health.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{id, number};
use cranberrygap_wire::{endpoint, view};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::answer;

/// Endpoints that are taken; seven times the planned number.
const MOST_ENDPOINTS: usize = 4_096;

/// Earlier boots that are remembered for each endpoint. An announcement of an
/// earlier process may arrive after the next process announced itself; by its
/// boot it is known to be old. More restarts than this within the life of one
/// late message do not happen.
const FORMER_BOOTS: usize = 8;

/// Endpoints that left and are remembered, so that a late heartbeat of one does not
/// bring it back. A heartbeat is late by seconds, and far fewer leave within those.
const MOST_DEPARTED: usize = 512;

/// All endpoints.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Endpoints {
    endpoints: BTreeMap<id::Endpoint, Known>,
    /// Boots that are gone for good, oldest first.
    #[serde(default)]
    departed: VecDeque<(id::Endpoint, number::Boot)>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Known {
    announcement: endpoint::Announcement,
    health: view::Health,
    /// An operator took it out of service; ends with the next boot.
    drained: bool,
    former: SmallVec<[number::Boot; 2]>,
}

/// News of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub enum Step {
    /// It announced itself with new content.
    Announced(Box<endpoint::Announcement>),
    /// Nothing was heard of it for longer than the silence limit.
    Silent(view::Seen),
    /// It was heard again.
    Heard(view::Seen),
    /// It left, or was silent for so long that it is forgotten.
    Forgotten(view::Seen),
    /// It said that it leaves, without telling which process of that name it is.
    Departed(id::Endpoint),
}

impl Endpoints {
    /// Takes news of an endpoint; old news changes nothing.
    pub fn apply(&mut self, step: &Step) -> (answer::Answer, Vec<view::Change>) {
        let change = match step {
            Step::Announced(announcement) => {
                return match self.announce(announcement) {
                    Ok(changes) => (answer::Answer::Done, changes),
                    Err(reason) => (answer::Answer::Refused(reason.into()), Vec::new()),
                };
            }
            Step::Silent(seen) => self.turn(seen, view::Health::Suspect),
            Step::Heard(seen) => self.turn(seen, view::Health::Ready),
            Step::Forgotten(seen) => self.forget(seen),
            Step::Departed(name) => self.depart(name),
        };
        (answer::Answer::Done, change.into_iter().collect())
    }

    fn announce(
        &mut self,
        announcement: &endpoint::Announcement,
    ) -> Result<Vec<view::Change>, &'static str> {
        let name = &announcement.endpoint;
        if self.is_departed(name, announcement.boot) {
            return Ok(Vec::new());
        }
        if let Some(known) = self.endpoints.get(name) {
            if known.is_old(announcement) {
                return Ok(Vec::new());
            }
        } else if self.endpoints.len() >= MOST_ENDPOINTS {
            return Err("there are too many endpoints");
        }
        let Ok(mut changes) = self.clear_address(announcement) else {
            return Ok(Vec::new());
        };
        changes.push(self.keep(announcement));
        Ok(changes)
    }

    fn keep(&mut self, announcement: &endpoint::Announcement) -> view::Change {
        let name = announcement.endpoint.clone();
        let known = self.endpoints.entry(name).or_insert_with(|| Known {
            announcement: announcement.clone(),
            health: health(announcement, false),
            drained: false,
            former: SmallVec::new(),
        });
        known.renew(announcement);
        changed(known)
    }

    /// Takes out who was at the address before; fails if a later one is there.
    ///
    /// An address may be used again, and a heartbeat may come so late that its
    /// sender is gone and another endpoint is at its address. Sent there, requests
    /// would reach a process that serves something else. Of two that claim one
    /// address the one that started later is there.
    fn clear_address(
        &mut self,
        announcement: &endpoint::Announcement,
    ) -> Result<Vec<view::Change>, Later> {
        let Some(started) = started(announcement) else {
            return Ok(Vec::new());
        };
        let claims = |known: &&Known| {
            known.announcement.address == announcement.address
                && known.announcement.endpoint != announcement.endpoint
        };
        let others: Vec<&Known> = self.endpoints.values().filter(claims).collect();
        if others
            .iter()
            .any(|other| started_of(&other.announcement) > started)
        {
            return Err(Later);
        }
        let names = others
            .iter()
            .map(|other| other.announcement.endpoint.clone());
        let names: Vec<id::Endpoint> = names.collect();
        Ok(names.iter().filter_map(|name| self.depart(name)).collect())
    }

    /// Takes an endpoint out for good; its process does not come back.
    fn depart(&mut self, name: &id::Endpoint) -> Option<view::Change> {
        let known = self.endpoints.remove(name)?;
        self.departed
            .push_back((name.clone(), known.announcement.boot));
        while self.departed.len() > MOST_DEPARTED {
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

    fn turn(&mut self, seen: &view::Seen, health: view::Health) -> Option<view::Change> {
        let known = self.current(seen)?;
        let usable = matches!(known.health, view::Health::Ready | view::Health::Suspect);
        if !usable || known.health == health {
            return None;
        }
        known.health = health;
        Some(changed(known))
    }

    fn forget(&mut self, seen: &view::Seen) -> Option<view::Change> {
        self.current(seen)?;
        self.endpoints.remove(&seen.endpoint);
        let endpoint = seen.endpoint.clone();
        Some(view::Change::EndpointRemoved { endpoint })
    }

    /// The endpoint, if the news is of its current process.
    fn current(&mut self, seen: &view::Seen) -> Option<&mut Known> {
        let known = self.endpoints.get_mut(&seen.endpoint)?;
        let same = known.announcement.boot == seen.boot;
        // News from before the latest announcement: it was heard since.
        let fresh = known.announcement.sequence <= seen.sequence;
        (same && fresh).then_some(known)
    }

    /// Takes an endpoint out of service until its next boot.
    pub fn drain(&mut self, name: &str) -> Option<Vec<view::Change>> {
        let known = self.endpoints.get_mut(name)?;
        known.drained = true;
        known.health = view::Health::Leaving;
        Some(vec![changed(known)])
    }

    /// Whether an endpoint is known.
    #[must_use]
    pub fn contains(&self, name: &id::Endpoint) -> bool {
        self.endpoints.contains_key(name)
    }

    /// One endpoint.
    #[must_use]
    pub fn get(&self, name: &id::Endpoint) -> Option<view::Endpoint> {
        self.endpoints.get(name).map(Known::shown)
    }

    /// All endpoints by name.
    pub fn iter(&self) -> impl Iterator<Item = view::Endpoint> + '_ {
        self.endpoints.values().map(Known::shown)
    }

    /// Announcements with health, without copying.
    pub fn announcements(&self) -> impl Iterator<Item = (&endpoint::Announcement, view::Health)> {
        self.endpoints
            .values()
            .map(|known| (&known.announcement, known.health))
    }
}

impl Known {
    fn is_old(&self, news: &endpoint::Announcement) -> bool {
        if news.boot == self.announcement.boot {
            return news.sequence <= self.announcement.sequence;
        }
        let began_before = started(news) < started(&self.announcement);
        began_before || self.former.contains(&news.boot)
    }

    fn renew(&mut self, announcement: &endpoint::Announcement) {
        if announcement.boot != self.announcement.boot {
            self.former.push(self.announcement.boot);
            if self.former.len() > FORMER_BOOTS {
                self.former.remove(0);
            }
            self.drained = false;
        }
        self.announcement = announcement.clone();
        self.health = health(announcement, self.drained);
    }

    fn shown(&self) -> view::Endpoint {
        view::Endpoint {
            announcement: self.announcement.clone(),
            health: self.health,
        }
    }
}

/// A later endpoint holds the address.
#[derive(Debug)]
struct Later;

fn started(announcement: &endpoint::Announcement) -> Option<u64> {
    announcement.details.as_ref().map(|details| details.started)
}

fn started_of(announcement: &endpoint::Announcement) -> u64 {
    started(announcement).unwrap_or_default()
}

const fn health(announcement: &endpoint::Announcement, drained: bool) -> view::Health {
    match announcement.phase {
        endpoint::Phase::Ready if !drained => view::Health::Ready,
        _ => view::Health::Leaving,
    }
}

fn changed(known: &Known) -> view::Change {
    view::Change::EndpointChanged {
        endpoint: known.shown(),
    }
}
