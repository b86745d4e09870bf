//! Unloads old versions once the new one serves.

use cranberrygap_model::id;

use crate::plan;
use crate::plan::draft;

/// Unloads old versions whose successors have all the copies that they need.
///
/// If an old version were unloaded too early, callers of the public name would meet a gap
/// or a single copy that takes all requests. So the newer version must serve from as many
/// endpoints as the old one, or from as many as every model has.
pub fn unload_old_versions(draft: &mut draft::Draft<'_>) {
    let ledger = draft.ledger;
    let catalogue = draft.catalogue;
    for weights in catalogue.iter() {
        let old = &weights.model;
        let Some(newer) = catalogue.successor(old) else {
            continue;
        };
        let needed = ledger.serving_copies(old).min(draft.settings.copies).max(1);
        if ledger.serving_copies(newer) < needed {
            continue;
        }
        let holders = ledger.accounts().iter();
        let holders = holders.filter(|(_, account)| account.serves(old));
        let endpoints: Vec<id::Endpoint> = holders.map(|(name, _)| name.clone()).collect();
        for endpoint in endpoints {
            draft.unload_with_adapters(&endpoint, old, plan::Reason::Retired);
        }
    }
}
