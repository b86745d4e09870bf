//! Assigns each model's demand to its copies; the others stand by.
//!
//! Each step of an engine reads the weights of every model with a request in the batch. A
//! model that is active on all its copies makes all their steps longer, so its demand is
//! gathered on as few runners as can serve it. The other copies are there for failures
//! and bursts.

use std::collections::BTreeMap;

use cranberrygap_model::id;

use crate::plan::draft;

/// Endpoints that should take each model's requests, for the entries.
pub type Preferred = BTreeMap<id::Model, Vec<id::Endpoint>>;

/// Demand per second below which the rest of a model's demand is not worth another
/// runner.
const MIN_SHARE: f64 = 1.0;

/// Assigns all demand, the models with the most demand first. The assignment of
/// `previous` is kept where it still fits, since each change empties caches and shifts
/// loads.
pub fn assign_all(draft: &mut draft::Draft<'_>, previous: &Preferred) {
    let mut indices: Vec<usize> = (0..draft.models.len()).collect();
    let demand = |index: &usize| draft.models[*index].demand;
    indices.sort_by(|a, b| demand(b).total_cmp(&demand(a)).then(a.cmp(b)));
    for index in indices {
        draft.models[index].overflow = draft.models[index].demand;
        let before = previous.get(&draft.models[index].name);
        let order = fill_order(draft, index, before.map(Vec::as_slice).unwrap_or_default());
        for runner in order {
            fill(draft, index, runner);
        }
        ensure_active_copy(draft, index);
    }
}

/// Assigns as much of a model's overflow as fits to its copy on `runner`.
pub fn fill(draft: &mut draft::Draft<'_>, index: usize, runner: usize) {
    let model = &mut draft.models[index];
    let Some(copy) = model.copies.iter_mut().find(|copy| copy.runner == runner) else {
        return;
    };
    let target_runner = &mut draft.runners[runner];
    let activation_cost = if copy.share > 0.0 {
        0.0
    } else {
        model.activation_cost
    };
    let assigned = model
        .overflow
        .min(target_runner.spare_capacity() - activation_cost);
    if assigned < MIN_SHARE && assigned < model.overflow {
        return;
    }
    if assigned <= 0.0 {
        return;
    }
    copy.share += assigned;
    target_runner.load += assigned + activation_cost;
    model.overflow -= assigned;
}

/// Endpoints that serve now and have a share, for each model.
#[must_use]
pub fn preferred(draft: &draft::Draft<'_>) -> Preferred {
    let active = |model: &draft::Model| {
        let copies = model.copies.iter();
        let copies = copies.filter(|copy| copy.serves && copy.share > 0.0);
        let names = copies.map(|copy| draft.runners[copy.runner].endpoint.clone());
        (model.name.clone(), names.collect())
    };
    draft.models.iter().map(active).collect()
}

/// The runners of a model in the order in which they are filled: first those that took
/// its demand before, then those with the most spare capacity; a serving copy goes before
/// a loading one.
fn fill_order(draft: &draft::Draft<'_>, index: usize, before: &[id::Endpoint]) -> Vec<usize> {
    let mut copies = draft.models[index].copies.clone();
    let rank = |copy: &draft::Copy| {
        let endpoint = &draft.runners[copy.runner].endpoint;
        let rank = before.iter().position(|name| name == endpoint);
        rank.unwrap_or(before.len())
    };
    let spare = |copy: &draft::Copy| draft.runners[copy.runner].spare_capacity();
    copies.sort_by(|a, b| {
        let kept = rank(a).cmp(&rank(b));
        let serves = b.serves.cmp(&a.serves);
        kept.then(serves).then(spare(b).total_cmp(&spare(a)))
    });
    copies.iter().map(|copy| copy.runner).collect()
}

/// Ensures that a model without any share still has an active copy: the one with the most
/// spare capacity takes the demand beyond its capacity.
fn ensure_active_copy(draft: &mut draft::Draft<'_>, index: usize) {
    let model = &mut draft.models[index];
    if model.copies.iter().any(|copy| copy.share > 0.0) || model.demand <= 0.0 {
        return;
    }
    let spare = |copy: &&mut draft::Copy| draft.runners[copy.runner].spare_capacity();
    let copies = model.copies.iter_mut();
    let Some(copy) = copies.max_by(|a, b| spare(a).total_cmp(&spare(b))) else {
        return;
    };
    copy.share = model.demand;
    draft.runners[copy.runner].load += model.demand + model.activation_cost;
}
