//! More copies where demand presses.

use crate::plan;
use crate::plan::assign;
use crate::plan::draft;
use crate::plan::room;

/// Adds copies of models whose demand found no place on those that they have.
///
/// Each move costs a load from the store and the cache of what it pushes out,
/// so nothing moves while the copies bear the demand, and only to a runner that
/// takes a good part of what is left over.
pub fn spread(draft: &mut draft::Draft<'_>) {
    let mut numbers: Vec<usize> = (0..draft.models.len())
        .filter(|number| presses(draft, *number))
        .collect();
    let overflow = |number: &usize| draft.models[*number].overflow;
    numbers.sort_by(|a, b| overflow(b).total_cmp(&overflow(a)));
    numbers.truncate(draft.settings.max_added_copies);
    for number in numbers {
        add(draft, number);
    }
}

fn presses(draft: &draft::Draft<'_>, number: usize) -> bool {
    let model = &draft.models[number];
    // A copy that is being loaded will bring relief, and was counted with it.
    let loading = model.copies.iter().any(|copy| !copy.serves);
    !loading && model.overflow > draft.settings.min_overflow_share * model.demand
}

fn add(draft: &mut draft::Draft<'_>, number: usize) {
    let model = &draft.models[number];
    let footprint = model.footprint;
    let least = model.weight + draft.settings.min_overflow_share * model.overflow;
    let mut targets: Vec<usize> = (0..draft.runners.len())
        .filter(|runner| {
            let state = &draft.runners[*runner];
            state.usable && !draft.has(*runner, number) && state.left() > least
        })
        .collect();
    let left = |runner: &usize| draft.runners[*runner].left();
    targets.sort_by(|a, b| left(b).total_cmp(&left(a)));
    let fits = targets
        .iter()
        .copied()
        .find(|runner| draft.runners[*runner].free >= footprint);
    if let Some(runner) = fits {
        draft.add(runner, number, plan::Reason::Demand);
        assign::fill(draft, number, runner);
        return;
    }
    let keep = room::Keep::Spread(draft.settings.copies);
    room::make(draft, &targets, footprint, keep);
}
