//! Chooses the copies to evict for others.

use crate::plan;
use crate::plan::draft;

/// What a model must keep when a copy of it is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keep {
    /// One serving copy, whatever its load; for the load of a model that has no copy.
    One,
    /// This number of copies over two failure domains that can take the load.
    Redundant(usize),
}

/// Unloads copies at one runner, so that `wanted` bytes become free.
///
/// The one of `runners` is chosen where that costs least. Does nothing while one of the
/// runners is unloading already: the same request comes again each round until the unload
/// is reported.
pub fn make_room(draft: &mut draft::Draft<'_>, runners: &[usize], needed: u64, keep: Keep) -> bool {
    if runners.iter().any(|runner| is_unloading(draft, *runner)) {
        return false;
    }
    let choices = runners.iter().filter_map(|runner| {
        let evicted = evictions(draft, *runner, needed, keep)?;
        let cost: f64 = evicted
            .iter()
            .map(|index| share(draft, *runner, *index))
            .sum();
        Some((*runner, evicted, cost))
    });
    let best = choices.min_by(|a, b| a.2.total_cmp(&b.2).then(a.1.len().cmp(&b.1.len())));
    let Some((runner, evicted, _)) = best else {
        return false;
    };
    for index in evicted {
        draft.remove_copy(runner, index, plan::Reason::Eviction);
    }
    true
}

fn is_unloading(draft: &draft::Draft<'_>, runner: usize) -> bool {
    let endpoint = &draft.runners[runner].endpoint;
    let account = draft.ledger.accounts().get(endpoint);
    account.is_some_and(|account| {
        let mut resident = account.resident.keys();
        resident.any(|model| account.has_open_unload(model))
    })
}

fn share(draft: &draft::Draft<'_>, runner: usize, index: usize) -> f64 {
    let mut copies = draft.models[index].copies.iter();
    let copy = copies.find(|copy| copy.runner == runner);
    copy.map_or(0.0, |copy| copy.share)
}

/// The least used copies that together free enough, or none.
fn evictions(
    draft: &draft::Draft<'_>,
    runner: usize,
    needed: u64,
    keep: Keep,
) -> Option<Vec<usize>> {
    let mut candidates: Vec<usize> = draft.runners[runner]
        .models
        .iter()
        .copied()
        .filter(|index| can_spare(draft, runner, *index, keep))
        .collect();
    candidates.sort_by(|a, b| {
        let (a, b) = (share(draft, runner, *a), share(draft, runner, *b));
        a.total_cmp(&b)
    });
    let mut free = draft.runners[runner].free;
    let mut evicted = Vec::new();
    for index in candidates {
        if free >= needed {
            break;
        }
        free += draft.models[index].footprint;
        evicted.push(index);
    }
    (free >= needed).then_some(evicted)
}

fn can_spare(draft: &draft::Draft<'_>, runner: usize, index: usize, keep: Keep) -> bool {
    let model = &draft.models[index];
    let here = model.copies.iter().find(|copy| copy.runner == runner);
    let Some(here) = here.filter(|copy| copy.serves) else {
        return false;
    };
    let others = model.copies.iter().filter(|copy| copy.runner != runner);
    let remaining: Vec<&draft::Copy> = others.filter(|copy| copy.serves).collect();
    match keep {
        Keep::One => !remaining.is_empty(),
        Keep::Redundant(copies) => {
            remaining.len() >= copies
                && spans_domains(draft, &remaining)
                && can_absorb(draft, &remaining, here.share)
        }
    }
}

/// Whether the copies have spare capacity for a share; otherwise the evicted copy would
/// be loaded again at once.
fn can_absorb(draft: &draft::Draft<'_>, copies: &[&draft::Copy], share: f64) -> bool {
    let unused = copies
        .iter()
        .map(|copy| draft.runners[copy.runner].spare_capacity().max(0.0));
    unused.sum::<f64>() >= share
}

fn spans_domains(draft: &draft::Draft<'_>, copies: &[&draft::Copy]) -> bool {
    let mut domains = copies.iter().map(|copy| draft.runners[copy.runner].domain);
    let first = domains.next();
    domains.any(|domain| Some(domain) != first)
}
