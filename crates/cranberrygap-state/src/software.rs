//! Software versions that serve beside each other.

use cranberrygap_model::{id, software};
use cranberrygap_wire::view;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Software versions by service.
///
/// A version stays until the streams that its endpoints began are over, which may be long after
/// the last of them has left.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Versions {
    services: Vec<Service>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Service {
    /// Absent for runners without a service.
    name: Option<id::Service>,
    versions: SmallVec<[Known; 2]>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Known {
    /// Absent for endpoints that name no version.
    version: Option<software::Version>,
    /// Whether all entries know of the version.
    admitted: bool,
}

/// One version of one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Reference {
    /// Service of the endpoints; absent for runners without one.
    pub service: Option<id::Service>,
    /// Version; absent for endpoints that name none.
    pub version: Option<software::Version>,
}

impl Versions {
    /// Adds a version; returns the change of the view if it is new.
    ///
    /// The first version of a service is admitted at once, since no stream can have begun at
    /// another one.
    pub(crate) fn add(&mut self, added: &Reference) -> Option<view::Change> {
        let service = self.service_mut(added.service.as_ref());
        if service.find(added.version.as_ref()).is_some() {
            return None;
        }
        let admitted = service.versions.is_empty();
        service.versions.push(Known {
            version: added.version.clone(),
            admitted,
        });
        Some(service.to_change())
    }

    /// Records that all entries know of a version.
    pub(crate) fn admit(&mut self, admitted: &Reference) {
        let service = self.service_mut(admitted.service.as_ref());
        let mut versions = service.versions.iter_mut();
        if let Some(known) = versions.find(|known| known.version == admitted.version) {
            known.admitted = true;
        }
    }

    /// Removes a version; returns the change of the view if it was there.
    pub(crate) fn remove(&mut self, removed: &Reference) -> Option<view::Change> {
        let service = self.service_mut(removed.service.as_ref());
        service.find(removed.version.as_ref())?;
        service
            .versions
            .retain(|known| known.version != removed.version);
        Some(service.to_change())
    }

    /// Returns whether all entries know of a version.
    #[must_use]
    pub fn is_admitted(&self, asked: &Reference) -> bool {
        let mut services = self.services.iter();
        let service = services.find(|service| service.name == asked.service);
        let known = service.and_then(|service| service.find(asked.version.as_ref()));
        known.is_some_and(|known| known.admitted)
    }

    /// Returns all versions of the services that have several.
    pub fn contested(&self) -> impl Iterator<Item = Reference> + '_ {
        let services = self.services.iter();
        let contested = services.filter(|service| service.versions.len() > 1);
        contested.flat_map(|service| {
            service.versions.iter().map(|known| Reference {
                service: service.name.clone(),
                version: known.version.clone(),
            })
        })
    }

    /// Returns the versions as entries see them.
    pub fn view(&self) -> impl Iterator<Item = view::Versions> + '_ {
        self.services.iter().map(Service::to_view)
    }

    fn service_mut(&mut self, name: Option<&id::Service>) -> &mut Service {
        let place = self
            .services
            .iter()
            .position(|service| service.name.as_ref() == name);
        let place = place.unwrap_or_else(|| {
            self.services.push(Service {
                name: name.cloned(),
                versions: SmallVec::new(),
            });
            self.services.len() - 1
        });
        &mut self.services[place]
    }
}

impl Service {
    fn find(&self, version: Option<&software::Version>) -> Option<&Known> {
        let mut versions = self.versions.iter();
        versions.find(|known| known.version.as_ref() == version)
    }

    fn to_view(&self) -> view::Versions {
        let versions = self.versions.iter();
        view::Versions {
            service: self.name.clone(),
            named: versions.filter_map(|known| known.version.clone()).collect(),
            unnamed: self.find(None).is_some(),
        }
    }

    fn to_change(&self) -> view::Change {
        view::Change::Versioned {
            versions: self.to_view(),
        }
    }
}
