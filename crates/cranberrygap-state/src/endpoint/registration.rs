//! One endpoint as entries see it.

use cranberrygap_model::number;
use cranberrygap_wire::{endpoint, view};
use serde::{Deserialize, Serialize};

use super::process;

/// An endpoint that announced itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Registration {
    pub(super) announcement: endpoint::Announcement,
    pub(super) health: view::Health,
    /// Whether the process drains: it said so, or an operator took it out of service. It holds
    /// until the next boot.
    pub(super) drained: bool,
    /// Revision that all entries must have before the endpoint may serve.
    #[serde(default)]
    pub(super) joining: Option<number::Revision>,
    #[serde(rename = "former")]
    pub(super) former_boots: process::FormerBoots,
}

impl Registration {
    /// Creates the registration of an endpoint, of which `record` was known.
    pub(super) fn new(
        announcement: &endpoint::Announcement,
        record: Option<&process::Record>,
    ) -> Self {
        let is_drained =
            |record: &process::Record| record.boot == announcement.boot && record.drained;
        Self {
            announcement: announcement.clone(),
            health: view::Health::Joining,
            drained: record.is_some_and(is_drained),
            joining: None,
            former_boots: record.map_or_else(process::FormerBoots::new, |record| {
                record.boots_before(announcement.boot)
            }),
        }
    }

    /// Returns what is known of the process.
    pub(super) fn process(&self) -> process::Record {
        process::Record {
            boot: self.announcement.boot,
            sequence: self.announcement.sequence,
            started: process::started(&self.announcement),
            software: self.announcement.software.clone(),
            drained: self.drained,
            left: false,
            former_boots: self.former_boots.clone(),
        }
    }

    /// Takes the latest announcement.
    ///
    /// A process that said that it drains ends soon, so its word holds, whatever it says later.
    pub(super) fn update(&mut self, announcement: &endpoint::Announcement) {
        if announcement.boot != self.announcement.boot {
            process::push_former(&mut self.former_boots, self.announcement.boot);
            self.drained = false;
        }
        self.drained |= announcement.phase == endpoint::Phase::Leaving;
        self.announcement = announcement.clone();
        self.health = self.own_health();
    }

    /// Takes the process out of service for good.
    pub(super) fn drain(&mut self) {
        self.drained = true;
        self.health = view::Health::Leaving;
    }

    /// Returns whether this boot is in service.
    pub(super) fn can_drain(&self, boot: number::Boot) -> bool {
        self.announcement.boot == boot && self.health != view::Health::Leaving
    }

    pub(super) fn has_other_boot(&self, announcement: &endpoint::Announcement) -> bool {
        self.announcement.boot != announcement.boot
    }

    pub(super) fn has_other_software(&self, announcement: &endpoint::Announcement) -> bool {
        self.announcement.software != announcement.software
    }

    pub(super) fn own_health(&self) -> view::Health {
        match self.announcement.phase {
            endpoint::Phase::Ready if self.drained => view::Health::Leaving,
            endpoint::Phase::Ready if self.joining.is_some() => view::Health::Joining,
            endpoint::Phase::Ready => view::Health::Ready,
            endpoint::Phase::Leaving => view::Health::Leaving,
        }
    }

    pub(super) fn to_view(&self) -> view::Endpoint {
        view::Endpoint {
            announcement: self.announcement.clone(),
            health: self.health,
        }
    }

    pub(super) fn to_change(&self) -> view::Change {
        view::Change::EndpointChanged {
            endpoint: self.to_view(),
        }
    }
}
