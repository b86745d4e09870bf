//! More copies where demand presses.

use crate::plan;
use crate::plan::assign;
use crate::plan::board;
use crate::plan::room;

/// Adds copies of models whose demand found no place on those that they have.
///
/// Each move costs a load from the store and the cache of what it pushes out,
/// so nothing moves while the copies bear the demand, and only to a runner that
/// takes a good part of what is left over.
pub fn spread(board: &mut board::Board<'_>) {
    let mut numbers: Vec<usize> = (0..board.models.len())
        .filter(|number| presses(board, *number))
        .collect();
    let overflow = |number: &usize| board.models[*number].overflow;
    numbers.sort_by(|a, b| overflow(b).total_cmp(&overflow(a)));
    numbers.truncate(board.settings.added_at_once);
    for number in numbers {
        add(board, number);
    }
}

fn presses(board: &board::Board<'_>, number: usize) -> bool {
    let model = &board.models[number];
    // A copy that is being loaded will bring relief, and was counted with it.
    let loading = model.copies.iter().any(|copy| !copy.serves);
    !loading && model.overflow > board.settings.margin * model.demand
}

fn add(board: &mut board::Board<'_>, number: usize) {
    let model = &board.models[number];
    let footprint = model.footprint;
    let least = model.weight + board.settings.margin * model.overflow;
    let mut targets: Vec<usize> = (0..board.runners.len())
        .filter(|runner| {
            let state = &board.runners[*runner];
            state.usable && !board.has(*runner, number) && state.left() > least
        })
        .collect();
    let left = |runner: &usize| board.runners[*runner].left();
    targets.sort_by(|a, b| left(b).total_cmp(&left(a)));
    let fits = targets
        .iter()
        .copied()
        .find(|runner| board.runners[*runner].free >= footprint);
    if let Some(runner) = fits {
        board.add(runner, number, plan::Reason::Demand);
        assign::fill(board, number, runner);
        return;
    }
    let keep = room::Keep::Spread(board.settings.copies);
    room::make(board, &targets, footprint, keep);
}
