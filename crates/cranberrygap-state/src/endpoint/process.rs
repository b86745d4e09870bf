//! What is known of the processes that ran under the name of an endpoint.

use cranberrygap_model::{number, software};
use cranberrygap_wire::endpoint;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::stale;

/// Most earlier boots that are remembered for each name.
///
/// An announcement of an earlier process may arrive after the next process announced
/// itself; its boot shows that it is stale. An endpoint does not restart more often
/// than this while one late message is on its way.
const MAX_FORMER_BOOTS: usize = 8;

/// Boots of the processes before the latest one, oldest first.
pub(super) type FormerBoots = SmallVec<[number::Boot; 2]>;

/// The latest process of a name, and the boots before it.
///
/// It outlives the endpoint's registration: a message of the process may arrive after that is
/// removed, and the process itself may still run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Record {
    pub(super) boot: number::Boot,
    /// Latest sequence that is known of the process.
    pub(super) sequence: number::Sequence,
    /// Start of the process in Unix milliseconds, if it tells it.
    #[serde(default)]
    pub(super) started: Option<u64>,
    #[serde(default)]
    pub(super) software: Option<software::Version>,
    /// Whether the process gets nothing new until it ends.
    pub(super) drained: bool,
    /// Whether the process said that it leaves for good.
    pub(super) left: bool,
    pub(super) former_boots: FormerBoots,
}

impl Record {
    /// Creates the record of a process that left, of which nothing else is known.
    pub(super) fn departed(boot: number::Boot) -> Self {
        Self {
            boot,
            sequence: number::Sequence(0),
            started: None,
            software: None,
            drained: true,
            left: true,
            former_boots: FormerBoots::new(),
        }
    }

    /// Returns what speaks against an announcement, if anything.
    pub(super) fn objection(
        &self,
        announcement: &endpoint::Announcement,
    ) -> Option<stale::Objection> {
        let reason = if announcement.boot == self.boot {
            self.objection_to_own(announcement)
        } else {
            let started_before = started(announcement) < self.started;
            let is_earlier = started_before || self.former_boots.contains(&announcement.boot);
            is_earlier.then_some(stale::Reason::EarlierProcess)
        };
        reason.map(|reason| stale::Objection {
            reason,
            boot: self.boot,
            sequence: self.sequence,
        })
    }

    fn objection_to_own(&self, announcement: &endpoint::Announcement) -> Option<stale::Reason> {
        // One process has one version: who names another one is another sender.
        let is_foreign = self.software.is_some() && self.software != announcement.software;
        let is_ready = announcement.phase == endpoint::Phase::Ready;
        if self.left {
            Some(stale::Reason::Left)
        } else if is_foreign {
            Some(stale::Reason::OtherSoftware)
        } else if announcement.sequence <= self.sequence {
            Some(stale::Reason::Sequence)
        } else {
            (self.drained && is_ready).then_some(stale::Reason::Drained)
        }
    }

    /// Returns the boots before `boot`, which is this process's or that of a later one.
    pub(super) fn boots_before(&self, boot: number::Boot) -> FormerBoots {
        let mut former = self.former_boots.clone();
        if boot != self.boot {
            push_former(&mut former, self.boot);
        }
        former
    }
}

/// Adds the boot of a process that has ended.
pub(super) fn push_former(former: &mut FormerBoots, boot: number::Boot) {
    if former.contains(&boot) {
        return;
    }
    former.push(boot);
    if former.len() > MAX_FORMER_BOOTS {
        former.remove(0);
    }
}

/// Returns when the process that announces itself started, in Unix milliseconds, if it tells it.
pub(super) fn started(announcement: &endpoint::Announcement) -> Option<u64> {
    announcement.details.as_ref().map(|details| details.started)
}
