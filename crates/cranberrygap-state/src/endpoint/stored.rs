//! Endpoints as snapshots hold them, also those of earlier versions of the program.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{id, number};
use serde::Deserialize;

use super::{process, registration};
use crate::software;

/// All endpoints of a snapshot.
#[derive(Debug, Deserialize)]
pub(super) struct Endpoints {
    #[serde(rename = "endpoints")]
    by_name: BTreeMap<id::Endpoint, registration::Registration>,
    /// Processes that left, in snapshots from before [`Self::removed`].
    #[serde(default)]
    departed: VecDeque<(id::Endpoint, number::Boot)>,
    #[serde(default)]
    removed: BTreeMap<id::Endpoint, process::Record>,
    #[serde(default)]
    versions: software::Versions,
}

impl From<Endpoints> for super::Endpoints {
    fn from(stored: Endpoints) -> Self {
        let mut endpoints = Self {
            by_name: stored.by_name,
            removed: stored.removed,
            versions: stored.versions,
        };
        for (name, boot) in stored.departed {
            if let Some(registration) = endpoints.by_name.get_mut(&name) {
                process::push_former(&mut registration.former_boots, boot);
                continue;
            }
            let former = endpoints.removed.get(&name);
            let former_boots = former.map(|former| former.boots_before(boot));
            let record = process::Record {
                former_boots: former_boots.unwrap_or_default(),
                ..process::Record::departed(boot)
            };
            endpoints.removed.insert(name, record);
        }
        endpoints
    }
}
