//! Which copies of each model take its demand, and which only stand by.
//!
//! Each step of an engine reads the weights of every model with a request in
//! the batch. A model that is active on all its copies makes all their steps
//! longer, so its demand is gathered on as few runners as can bear it. The
//! other copies are there for failures and bursts.

use std::collections::BTreeMap;

use cranberrygap_model::id;

use crate::plan::draft;

/// Endpoints that should take each model's requests, for the entries.
pub type Preferred = BTreeMap<id::Model, Vec<id::Endpoint>>;

/// Demand below which a model's rest is not worth a further runner.
const LEAST_SHARE: f64 = 1.0;

/// Assigns all demand, the heaviest models first; `previous` is kept to where
/// it still fits, since each change empties caches and swings loads.
pub fn all(draft: &mut draft::Draft<'_>, previous: &Preferred) {
    let mut numbers: Vec<usize> = (0..draft.models.len()).collect();
    let demand = |number: &usize| draft.models[*number].demand;
    numbers.sort_by(|a, b| demand(b).total_cmp(&demand(a)).then(a.cmp(b)));
    for number in numbers {
        draft.models[number].overflow = draft.models[number].demand;
        let before = previous.get(&draft.models[number].name);
        let order = order(draft, number, before.map(Vec::as_slice).unwrap_or_default());
        for runner in order {
            fill(draft, number, runner);
        }
        activate_one(draft, number);
    }
}

/// Assigns what it can of a model's overflow to its copy on `runner`.
pub fn fill(draft: &mut draft::Draft<'_>, number: usize, runner: usize) {
    let model = &mut draft.models[number];
    let Some(copy) = model.copies.iter_mut().find(|copy| copy.runner == runner) else {
        return;
    };
    let target = &mut draft.runners[runner];
    let weight = if copy.share > 0.0 { 0.0 } else { model.weight };
    let part = model.overflow.min(target.left() - weight);
    if part < LEAST_SHARE && part < model.overflow {
        return;
    }
    if part <= 0.0 {
        return;
    }
    copy.share += part;
    target.load += part + weight;
    model.overflow -= part;
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

/// The model's runners: first those that took its demand before, then those
/// with most left; a copy that serves goes before one that is being loaded.
fn order(draft: &draft::Draft<'_>, number: usize, before: &[id::Endpoint]) -> Vec<usize> {
    let mut copies = draft.models[number].copies.clone();
    let place = |copy: &draft::Copy| {
        let endpoint = &draft.runners[copy.runner].endpoint;
        let place = before.iter().position(|name| name == endpoint);
        place.unwrap_or(before.len())
    };
    let left = |copy: &draft::Copy| draft.runners[copy.runner].left();
    copies.sort_by(|a, b| {
        let kept = place(a).cmp(&place(b));
        let serves = b.serves.cmp(&a.serves);
        kept.then(serves).then(left(b).total_cmp(&left(a)))
    });
    copies.iter().map(|copy| copy.runner).collect()
}

/// A model that found no place at all still needs an endpoint: the one with
/// most left takes its demand beyond the capacity.
fn activate_one(draft: &mut draft::Draft<'_>, number: usize) {
    let model = &mut draft.models[number];
    if model.copies.iter().any(|copy| copy.share > 0.0) || model.demand <= 0.0 {
        return;
    }
    let left = |copy: &&mut draft::Copy| draft.runners[copy.runner].left();
    let copies = model.copies.iter_mut();
    let Some(copy) = copies.max_by(|a, b| left(a).total_cmp(&left(b))) else {
        return;
    };
    copy.share = model.demand;
    draft.runners[copy.runner].load += model.demand + model.weight;
}
