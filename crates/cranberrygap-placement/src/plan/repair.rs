//! Loads copies that are required whatever the demand.

use cranberrygap_wire::endpoint;

use crate::plan;
use crate::plan::draft;
use crate::plan::eviction;

/// Loads a first copy of every model that has none, models with the most demand first.
pub fn load_unreachable(draft: &mut draft::Draft<'_>) {
    for index in by_demand(draft) {
        if draft.models[index].copies.is_empty() {
            place_copy(draft, index, plan::Reason::Unreachable);
        }
    }
}

/// Loads another copy of every model that one failure could make unreachable. Models with
/// the most demand go first.
pub fn load_at_risk(draft: &mut draft::Draft<'_>) {
    for index in by_demand(draft) {
        if is_at_risk(draft, index) {
            place_copy(draft, index, plan::Reason::Risk);
        }
    }
}

/// Loads the adapters that are missing beside their base models.
pub fn load_adapters(draft: &mut draft::Draft<'_>) {
    let ledger = draft.ledger;
    let catalogue = draft.catalogue;
    for (endpoint, account) in ledger.accounts() {
        if !account.is_usable() {
            continue;
        }
        let mut free = account.free().0;
        for base in account.resident.keys().filter(|base| account.serves(base)) {
            for adapter in catalogue.adapters(base) {
                let size = catalogue.size(adapter);
                if account.will_serve(adapter) || size.0 > free {
                    continue;
                }
                free -= size.0;
                let action = endpoint::Action::Load {
                    model: adapter.clone(),
                    size,
                };
                draft.add_move(endpoint.clone(), action, plan::Reason::Adapter);
            }
        }
    }
}

fn by_demand(draft: &draft::Draft<'_>) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..draft.models.len()).collect();
    let demand = |index: &usize| draft.models[*index].demand;
    indices.sort_by(|a, b| demand(b).total_cmp(&demand(a)).then(a.cmp(b)));
    indices
}

fn is_at_risk(draft: &draft::Draft<'_>, index: usize) -> bool {
    let copies = &draft.models[index].copies;
    if copies.is_empty() {
        return false;
    }
    let domain = |copy: &draft::Copy| draft.runners[copy.runner].domain;
    let first = domain(&copies[0]);
    copies.len() < draft.settings.copies || copies.iter().all(|copy| domain(copy) == first)
}

/// Places a copy where it helps most: away from the failure domains that have one, then
/// where the load is lowest. If no runner has the memory, copies of another model with
/// copies to spare are evicted.
fn place_copy(draft: &mut draft::Draft<'_>, index: usize, reason: plan::Reason) {
    let used_domains: Vec<usize> = draft.models[index]
        .copies
        .iter()
        .map(|copy| draft.runners[copy.runner].domain)
        .collect();
    let footprint = draft.models[index].footprint;
    let candidates = (0..draft.runners.len())
        .filter(|runner| draft.runners[*runner].usable && !draft.has_copy(*runner, index));
    let fits = candidates
        .clone()
        .filter(|runner| draft.runners[*runner].free >= footprint)
        .filter(|runner| {
            reason == plan::Reason::Unreachable
                || !used_domains.contains(&draft.runners[*runner].domain)
        });
    let best = fits.min_by(|a, b| {
        let (a, b) = (&draft.runners[*a], &draft.runners[*b]);
        let load = a.utilisation().total_cmp(&b.utilisation());
        load.then(b.free.cmp(&a.free))
    });
    if let Some(runner) = best {
        draft.add_copy(runner, index, reason);
        return;
    }
    let keep = if reason == plan::Reason::Unreachable {
        eviction::Keep::One
    } else {
        eviction::Keep::Redundant(draft.settings.copies)
    };
    let elsewhere: Vec<usize> = candidates
        .filter(|runner| {
            reason == plan::Reason::Unreachable
                || !used_domains.contains(&draft.runners[*runner].domain)
        })
        .collect();
    eviction::make_room(draft, &elsewhere, footprint, keep);
}
