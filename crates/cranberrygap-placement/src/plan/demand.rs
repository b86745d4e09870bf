//! More copies where demand presses.

use crate::plan;
use crate::plan::board;
use crate::plan::room;

/// Adds copies of models on overloaded runners to lightly loaded ones.
///
/// Each move costs a load from the store and the cache of what it pushes out,
/// so nothing moves below [`plan::Settings::high`], and only to a runner that
/// is better by [`plan::Settings::margin`].
pub fn spread(board: &mut board::Board<'_>) {
    let mut skipped: Vec<usize> = Vec::new();
    for _added in 0..board.settings.added_at_once {
        board.divide_all();
        let Some(hot) = hottest(board, &skipped) else {
            return;
        };
        if !relieve(board, hot) {
            skipped.push(hot);
        }
    }
}

fn hottest(board: &board::Board<'_>, skipped: &[usize]) -> Option<usize> {
    let runners = 0..board.runners.len();
    let busy = runners.filter(|runner| {
        let state = &board.runners[*runner];
        state.usable && state.utilisation() > board.settings.high && !skipped.contains(runner)
    });
    busy.max_by(|a, b| {
        let (a, b) = (&board.runners[*a], &board.runners[*b]);
        a.utilisation().total_cmp(&b.utilisation())
    })
}

/// Adds a copy of one of the runner's models elsewhere, the heaviest that can.
fn relieve(board: &mut board::Board<'_>, hot: usize) -> bool {
    let mut numbers = board.runners[hot].models.clone();
    let share = |number: &usize| {
        let mut copies = board.models[*number].copies.iter();
        copies
            .find(|copy| copy.runner == hot)
            .map_or(0.0, |copy| copy.share)
    };
    numbers.sort_by(|a, b| share(b).total_cmp(&share(a)));
    let worth: Vec<usize> = numbers
        .into_iter()
        .filter(|number| share(number) > 0.0)
        .collect();
    worth
        .into_iter()
        .any(|number| copy_elsewhere(board, hot, number))
}

fn copy_elsewhere(board: &mut board::Board<'_>, hot: usize, number: usize) -> bool {
    let limit = board.runners[hot].utilisation() - board.settings.margin;
    let footprint = board.models[number].footprint;
    // A copy that is being loaded already will bring the relief.
    let loading = board.models[number].copies.iter();
    if loading.filter(|copy| !copy.serves).count() >= 2 {
        return false;
    }
    let mut targets: Vec<usize> = (0..board.runners.len())
        .filter(|runner| {
            let state = &board.runners[*runner];
            state.usable && state.utilisation() < limit && !board.has(*runner, number)
        })
        .collect();
    let utilisation = |runner: &usize| board.runners[*runner].utilisation();
    targets.sort_by(|a, b| utilisation(a).total_cmp(&utilisation(b)));
    let fits = targets
        .iter()
        .copied()
        .find(|runner| board.runners[*runner].free >= footprint);
    if let Some(runner) = fits {
        board.add(runner, number, plan::Reason::Demand);
        return true;
    }
    room::make(board, &targets, footprint, board.settings.copies)
}
