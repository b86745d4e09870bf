//! Copies that must be there whatever the demand.

use cranberrygap_wire::endpoint;

use crate::plan;
use crate::plan::draft;
use crate::plan::room;

/// Loads a first copy of every model that has none, hot ones first.
pub fn unreachable(draft: &mut draft::Draft<'_>) {
    for number in by_demand(draft) {
        if draft.models[number].copies.is_empty() {
            place(draft, number, plan::Reason::Unreachable);
        }
    }
}

/// Loads a further copy of every model that one failure could take, hot ones first.
pub fn risk(draft: &mut draft::Draft<'_>) {
    for number in by_demand(draft) {
        if is_at_risk(draft, number) {
            place(draft, number, plan::Reason::Risk);
        }
    }
}

/// Loads the adapters that are missing beside their base models.
pub fn adapters(draft: &mut draft::Draft<'_>) {
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
                if account.expects(adapter) || size.0 > free {
                    continue;
                }
                free -= size.0;
                let action = endpoint::Action::Load {
                    model: adapter.clone(),
                    size,
                };
                draft.want(endpoint.clone(), action, plan::Reason::Adapter);
            }
        }
    }
}

fn by_demand(draft: &draft::Draft<'_>) -> Vec<usize> {
    let mut numbers: Vec<usize> = (0..draft.models.len()).collect();
    let demand = |number: &usize| draft.models[*number].demand;
    numbers.sort_by(|a, b| demand(b).total_cmp(&demand(a)).then(a.cmp(b)));
    numbers
}

fn is_at_risk(draft: &draft::Draft<'_>, number: usize) -> bool {
    let copies = &draft.models[number].copies;
    if copies.is_empty() {
        return false;
    }
    let domain = |copy: &draft::Copy| draft.runners[copy.runner].domain;
    let first = domain(&copies[0]);
    copies.len() < draft.settings.copies || copies.iter().all(|copy| domain(copy) == first)
}

/// Puts a copy where it helps most: away from the failure domains that have
/// one, then where the load is least. Where no room is left, another model
/// with copies to spare makes room.
fn place(draft: &mut draft::Draft<'_>, number: usize, reason: plan::Reason) {
    let taken: Vec<usize> = draft.models[number]
        .copies
        .iter()
        .map(|copy| draft.runners[copy.runner].domain)
        .collect();
    let footprint = draft.models[number].footprint;
    let candidates = (0..draft.runners.len())
        .filter(|runner| draft.runners[*runner].usable && !draft.has(*runner, number));
    let fits = candidates
        .clone()
        .filter(|runner| draft.runners[*runner].free >= footprint)
        .filter(|runner| {
            reason == plan::Reason::Unreachable || !taken.contains(&draft.runners[*runner].domain)
        });
    let best = fits.min_by(|a, b| {
        let (a, b) = (&draft.runners[*a], &draft.runners[*b]);
        let load = a.utilisation().total_cmp(&b.utilisation());
        load.then(b.free.cmp(&a.free))
    });
    if let Some(runner) = best {
        draft.add(runner, number, reason);
        return;
    }
    let keep = if reason == plan::Reason::Unreachable {
        room::Keep::One
    } else {
        room::Keep::Spread(draft.settings.copies)
    };
    let elsewhere: Vec<usize> = candidates
        .filter(|runner| {
            reason == plan::Reason::Unreachable || !taken.contains(&draft.runners[*runner].domain)
        })
        .collect();
    room::make(draft, &elsewhere, footprint, keep);
}
