//! Short names of origins, in datagrams to control processes.

use cranberrygap_wire::view;
use serde::{Deserialize, Serialize};

use super::Origin;
use crate::prompt::prefix_cache;

/// Hash of an origin. An entry knows all origins that streams may have, and finds the one that is
/// meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(u32);

impl Digest {
    /// Returns the digest of an origin.
    #[must_use]
    pub fn of(origin: &Origin) -> Self {
        let mut bytes = origin.service.as_str().as_bytes().to_vec();
        if let Some(software) = &origin.software {
            bytes.push(0);
            bytes.extend(software.as_str().as_bytes());
        }
        let hash = prefix_cache::hash(&bytes);
        let folded = (hash ^ (hash >> u32::BITS)) & u64::from(u32::MAX);
        Self(u32::try_from(folded).unwrap_or_default())
    }

    /// Returns the origin that is meant; nothing if no version of a view has this digest, or two.
    #[must_use]
    pub fn resolve(self, versions: &[view::Versions]) -> Option<Origin> {
        let mut origins = versions.iter().flat_map(|known| {
            let service = known.service.iter();
            service.flat_map(|service| {
                let named = known.named.iter().cloned().map(Some);
                let unnamed = known.unnamed.then_some(None);
                named.chain(unnamed).map(|software| Origin {
                    service: service.clone(),
                    software,
                })
            })
        });
        let found = origins.find(|origin| Self::of(origin) == self)?;
        let is_ambiguous = origins.any(|origin| Self::of(&origin) == self);
        (!is_ambiguous).then_some(found)
    }
}
