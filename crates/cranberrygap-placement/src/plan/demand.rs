//! Adds copies of models whose demand exceeds their copies.

use crate::plan;
use crate::plan::assign;
use crate::plan::draft;
use crate::plan::eviction;

/// Adds copies of models with demand that their existing copies cannot take.
///
/// Each move costs a load from the store and the cache of what it evicts, so nothing
/// moves while the copies can serve the demand, and a copy goes only to a runner that
/// takes a good part of the overflow.
pub fn add_copies(draft: &mut draft::Draft<'_>) {
    let mut indices: Vec<usize> = (0..draft.models.len())
        .filter(|index| needs_copy(draft, *index))
        .collect();
    let overflow = |index: &usize| draft.models[*index].overflow;
    indices.sort_by(|a, b| overflow(b).total_cmp(&overflow(a)));
    indices.truncate(draft.settings.max_added_copies);
    for index in indices {
        add_copy(draft, index);
    }
}

fn needs_copy(draft: &draft::Draft<'_>, index: usize) -> bool {
    let model = &draft.models[index];
    // A loading copy will bring relief and was counted with it.
    let loading = model.copies.iter().any(|copy| !copy.serves);
    !loading && model.overflow > draft.settings.min_overflow_share * model.demand
}

fn add_copy(draft: &mut draft::Draft<'_>, index: usize) {
    let model = &draft.models[index];
    let footprint = model.footprint;
    let min_spare = model.activation_cost + draft.settings.min_overflow_share * model.overflow;
    let mut targets: Vec<usize> = (0..draft.runners.len())
        .filter(|runner| {
            let candidate = &draft.runners[*runner];
            candidate.usable
                && !draft.has_copy(*runner, index)
                && candidate.spare_capacity() > min_spare
        })
        .collect();
    let spare = |runner: &usize| draft.runners[*runner].spare_capacity();
    targets.sort_by(|a, b| spare(b).total_cmp(&spare(a)));
    let fits = targets
        .iter()
        .copied()
        .find(|runner| draft.runners[*runner].free >= footprint);
    if let Some(runner) = fits {
        draft.add_copy(runner, index, plan::Reason::Demand);
        assign::fill(draft, index, runner);
        return;
    }
    let keep = eviction::Keep::Redundant(draft.settings.copies);
    eviction::make_room(draft, &targets, footprint, keep);
}
