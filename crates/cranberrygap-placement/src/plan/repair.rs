//! Copies that must be there whatever the demand.

use cranberrygap_wire::endpoint;

use crate::plan;
use crate::plan::board;
use crate::plan::room;

/// Loads a first copy of every model that has none, hot ones first.
pub fn unreachable(board: &mut board::Board<'_>) {
    for number in by_demand(board) {
        if board.models[number].copies.is_empty() {
            place(board, number, plan::Reason::Unreachable);
        }
    }
}

/// Loads a further copy of every model that one failure could take, hot ones first.
pub fn risk(board: &mut board::Board<'_>) {
    for number in by_demand(board) {
        if is_at_risk(board, number) {
            place(board, number, plan::Reason::Risk);
        }
    }
}

/// Loads the adapters that are missing beside their base models.
pub fn adapters(board: &mut board::Board<'_>) {
    let ledger = board.ledger;
    let catalogue = board.catalogue;
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
                board.want(endpoint.clone(), action, plan::Reason::Adapter);
            }
        }
    }
}

fn by_demand(board: &board::Board<'_>) -> Vec<usize> {
    let mut numbers: Vec<usize> = (0..board.models.len()).collect();
    let demand = |number: &usize| board.models[*number].demand;
    numbers.sort_by(|a, b| demand(b).total_cmp(&demand(a)).then(a.cmp(b)));
    numbers
}

fn is_at_risk(board: &board::Board<'_>, number: usize) -> bool {
    let copies = &board.models[number].copies;
    if copies.is_empty() {
        return false;
    }
    let domain = |copy: &board::Copy| board.runners[copy.runner].domain;
    let first = domain(&copies[0]);
    copies.len() < board.settings.copies || copies.iter().all(|copy| domain(copy) == first)
}

/// Puts a copy where it helps most: away from the failure domains that have
/// one, then where the load is least. Where no room is left, another model
/// with copies to spare makes room.
fn place(board: &mut board::Board<'_>, number: usize, reason: plan::Reason) {
    let taken: Vec<usize> = board.models[number]
        .copies
        .iter()
        .map(|copy| board.runners[copy.runner].domain)
        .collect();
    let footprint = board.models[number].footprint;
    let candidates = (0..board.runners.len())
        .filter(|runner| board.runners[*runner].usable && !board.has(*runner, number));
    let fits = candidates
        .clone()
        .filter(|runner| board.runners[*runner].free >= footprint)
        .filter(|runner| {
            reason == plan::Reason::Unreachable || !taken.contains(&board.runners[*runner].domain)
        });
    let best = fits.min_by(|a, b| {
        let (a, b) = (&board.runners[*a], &board.runners[*b]);
        let load = a.utilisation().total_cmp(&b.utilisation());
        load.then(b.free.cmp(&a.free))
    });
    if let Some(runner) = best {
        board.add(runner, number, reason);
        return;
    }
    let keep = if reason == plan::Reason::Unreachable {
        room::Keep::One
    } else {
        room::Keep::Spread(board.settings.copies)
    };
    let elsewhere: Vec<usize> = candidates
        .filter(|runner| {
            reason == plan::Reason::Unreachable || !taken.contains(&board.runners[*runner].domain)
        })
        .collect();
    room::make(board, &elsewhere, footprint, keep);
}
