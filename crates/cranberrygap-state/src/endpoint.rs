//! Endpoints as they announced themselves, and their health.

use std::collections::BTreeMap;

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

/// All endpoints.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Endpoints {
    endpoints: BTreeMap<id::Endpoint, Known>,
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
    Announced(endpoint::Announcement),
    /// Nothing was heard of it for longer than the silence limit.
    Silent(view::Seen),
    /// It was heard again.
    Heard(view::Seen),
    /// It left, or was silent for so long that it is forgotten.
    Forgotten(view::Seen),
}

impl Endpoints {
    /// Takes news of an endpoint; old news changes nothing.
    pub fn apply(&mut self, step: &Step) -> (answer::Answer, Vec<view::Change>) {
        let change = match step {
            Step::Announced(announcement) => match self.announce(announcement) {
                Ok(change) => change,
                Err(reason) => return (answer::Answer::Refused(reason.into()), Vec::new()),
            },
            Step::Silent(seen) => self.turn(seen, view::Health::Suspect),
            Step::Heard(seen) => self.turn(seen, view::Health::Ready),
            Step::Forgotten(seen) => self.forget(seen),
        };
        (answer::Answer::Done, change.into_iter().collect())
    }

    fn announce(
        &mut self,
        announcement: &endpoint::Announcement,
    ) -> Result<Option<view::Change>, &'static str> {
        let name = &announcement.endpoint;
        let Some(known) = self.endpoints.get_mut(name) else {
            if self.endpoints.len() >= MOST_ENDPOINTS {
                return Err("there are too many endpoints");
            }
            let known = Known {
                announcement: announcement.clone(),
                health: health(announcement, false),
                drained: false,
                former: SmallVec::new(),
            };
            let change = changed(&known);
            self.endpoints.insert(name.clone(), known);
            return Ok(Some(change));
        };
        if known.is_old(announcement.boot, announcement.sequence) {
            return Ok(None);
        }
        known.renew(announcement);
        Ok(Some(changed(known)))
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
    fn is_old(&self, boot: number::Boot, sequence: number::Sequence) -> bool {
        if boot == self.announcement.boot {
            return sequence <= self.announcement.sequence;
        }
        self.former.contains(&boot)
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
