//! Which copies go to make room for others.

use crate::plan;
use crate::plan::board;

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
pub fn make(board: &mut board::Board<'_>, runners: &[usize], wanted: u64, keep: Keep) -> bool {
    if runners.iter().any(|runner| is_clearing(board, *runner)) {
        return false;
    }
    let choices = runners.iter().filter_map(|runner| {
        let victims = victims(board, *runner, wanted, keep)?;
        let cost: f64 = victims
            .iter()
            .map(|number| share(board, *runner, *number))
            .sum();
        Some((*runner, victims, cost))
    });
    let best = choices.min_by(|a, b| a.2.total_cmp(&b.2).then(a.1.len().cmp(&b.1.len())));
    let Some((runner, victims, _)) = best else {
        return false;
    };
    for number in victims {
        board.remove(runner, number, plan::Reason::Room);
    }
    true
}

fn is_clearing(board: &board::Board<'_>, runner: usize) -> bool {
    let endpoint = &board.runners[runner].endpoint;
    let account = board.ledger.accounts().get(endpoint);
    account.is_some_and(|account| {
        let mut resident = account.resident.keys();
        resident.any(|model| account.unloads(model))
    })
}

fn share(board: &board::Board<'_>, runner: usize, number: usize) -> f64 {
    let mut copies = board.models[number].copies.iter();
    let copy = copies.find(|copy| copy.runner == runner);
    copy.map_or(0.0, |copy| copy.share)
}

/// The least used copies that together free enough, or none.
fn victims(board: &board::Board<'_>, runner: usize, wanted: u64, keep: Keep) -> Option<Vec<usize>> {
    let mut candidates: Vec<usize> = board.runners[runner]
        .models
        .iter()
        .copied()
        .filter(|number| can_spare(board, runner, *number, keep))
        .collect();
    candidates.sort_by(|a, b| {
        let (a, b) = (share(board, runner, *a), share(board, runner, *b));
        a.total_cmp(&b)
    });
    let mut free = board.runners[runner].free;
    let mut victims = Vec::new();
    for number in candidates {
        if free >= wanted {
            break;
        }
        free += board.models[number].footprint;
        victims.push(number);
    }
    (free >= wanted).then_some(victims)
}

fn can_spare(board: &board::Board<'_>, runner: usize, number: usize, keep: Keep) -> bool {
    let model = &board.models[number];
    let here = model.copies.iter().find(|copy| copy.runner == runner);
    let Some(here) = here.filter(|copy| copy.serves) else {
        return false;
    };
    let others = model.copies.iter().filter(|copy| copy.runner != runner);
    let rest: Vec<&board::Copy> = others.filter(|copy| copy.serves).collect();
    match keep {
        Keep::One => !rest.is_empty(),
        Keep::Spread(copies) => {
            rest.len() >= copies && spans_domains(board, &rest) && bears(board, &rest, here.share)
        }
    }
}

/// Whether the copies have room for a share; else it would come back at once.
fn bears(board: &board::Board<'_>, copies: &[&board::Copy], share: f64) -> bool {
    let left = copies
        .iter()
        .map(|copy| board.runners[copy.runner].left().max(0.0));
    left.sum::<f64>() >= share
}

fn spans_domains(board: &board::Board<'_>, copies: &[&board::Copy]) -> bool {
    let mut domains = copies.iter().map(|copy| board.runners[copy.runner].domain);
    let first = domains.next();
    domains.any(|domain| Some(domain) != first)
}
