//! Which copies go to make room for others.

use crate::plan;
use crate::plan::draft;

/// What a model that gives up a copy must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keep {
    /// One serving copy, however loaded; for a model that has none at all.
    One,
    /// So many copies over two failure domains that bear the load.
    Spread(usize),
}

/// Unloads copies on the one of `runners` where that costs least, so that
/// `wanted` bytes become free.
///
/// Does nothing where room is being made already: the same want comes again
/// each round until the unload is reported.
pub fn make(draft: &mut draft::Draft<'_>, runners: &[usize], wanted: u64, keep: Keep) -> bool {
    if runners.iter().any(|runner| is_clearing(draft, *runner)) {
        return false;
    }
    let choices = runners.iter().filter_map(|runner| {
        let victims = victims(draft, *runner, wanted, keep)?;
        let cost: f64 = victims
            .iter()
            .map(|number| share(draft, *runner, *number))
            .sum();
        Some((*runner, victims, cost))
    });
    let best = choices.min_by(|a, b| a.2.total_cmp(&b.2).then(a.1.len().cmp(&b.1.len())));
    let Some((runner, victims, _)) = best else {
        return false;
    };
    for number in victims {
        draft.remove(runner, number, plan::Reason::Room);
    }
    true
}

fn is_clearing(draft: &draft::Draft<'_>, runner: usize) -> bool {
    let endpoint = &draft.runners[runner].endpoint;
    let account = draft.ledger.accounts().get(endpoint);
    account.is_some_and(|account| {
        let mut resident = account.resident.keys();
        resident.any(|model| account.unloads(model))
    })
}

fn share(draft: &draft::Draft<'_>, runner: usize, number: usize) -> f64 {
    let mut copies = draft.models[number].copies.iter();
    let copy = copies.find(|copy| copy.runner == runner);
    copy.map_or(0.0, |copy| copy.share)
}

/// The least used copies that together free enough, or none.
fn victims(draft: &draft::Draft<'_>, runner: usize, wanted: u64, keep: Keep) -> Option<Vec<usize>> {
    let mut candidates: Vec<usize> = draft.runners[runner]
        .models
        .iter()
        .copied()
        .filter(|number| can_spare(draft, runner, *number, keep))
        .collect();
    candidates.sort_by(|a, b| {
        let (a, b) = (share(draft, runner, *a), share(draft, runner, *b));
        a.total_cmp(&b)
    });
    let mut free = draft.runners[runner].free;
    let mut victims = Vec::new();
    for number in candidates {
        if free >= wanted {
            break;
        }
        free += draft.models[number].footprint;
        victims.push(number);
    }
    (free >= wanted).then_some(victims)
}

fn can_spare(draft: &draft::Draft<'_>, runner: usize, number: usize, keep: Keep) -> bool {
    let model = &draft.models[number];
    let here = model.copies.iter().find(|copy| copy.runner == runner);
    let Some(here) = here.filter(|copy| copy.serves) else {
        return false;
    };
    let others = model.copies.iter().filter(|copy| copy.runner != runner);
    let rest: Vec<&draft::Copy> = others.filter(|copy| copy.serves).collect();
    match keep {
        Keep::One => !rest.is_empty(),
        Keep::Spread(copies) => {
            rest.len() >= copies && spans_domains(draft, &rest) && bears(draft, &rest, here.share)
        }
    }
}

/// Whether the copies have room for a share; else it would come back at once.
fn bears(draft: &draft::Draft<'_>, copies: &[&draft::Copy], share: f64) -> bool {
    let left = copies
        .iter()
        .map(|copy| draft.runners[copy.runner].left().max(0.0));
    left.sum::<f64>() >= share
}

fn spans_domains(draft: &draft::Draft<'_>, copies: &[&draft::Copy]) -> bool {
    let mut domains = copies.iter().map(|copy| draft.runners[copy.runner].domain);
    let first = domains.next();
    domains.any(|domain| Some(domain) != first)
}
