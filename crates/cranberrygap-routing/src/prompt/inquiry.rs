//! Whose homes are asked for their load before a choice.
//!
//! The home of an endpoint lies in the endpoint's failure domain, so a question about an endpoint
//! elsewhere crosses a border, as its answer does. An endpoint elsewhere has a penalty. It is
//! therefore asked about only once the near ones have answered, and only if it could still be
//! chosen: if its cost without the load of other entries does not exceed the cost of the best near
//! one. Any other could not be chosen, whatever its home would answer, so the choice is the same.

use cranberrygap_model::id;

/// An endpoint that may be chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subject {
    /// Name of the endpoint.
    pub endpoint: id::Endpoint,
    /// Cost as known now; the least one is chosen.
    pub cost: u64,
    /// Cost if no other entry had a request there.
    pub least_cost: u64,
    /// Whether it is in the failure domain of the entry that chooses.
    pub same_domain: bool,
}

/// The first questions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct First {
    /// Endpoints whose homes are asked.
    pub asked: Vec<id::Endpoint>,
    /// Whether [`second`] may add others once these have answered.
    pub defers: bool,
}

/// Returns the endpoints to ask about first: the near ones among the `most` that cost least, or all
/// of these if none is near.
#[must_use]
pub fn first(subjects: &[Subject], most: usize) -> First {
    let cheapest = cheapest(subjects, most);
    let count = cheapest.len();
    let has_near = cheapest.iter().any(|subject| subject.same_domain);
    let asked = cheapest
        .into_iter()
        .filter(|subject| subject.same_domain || !has_near);
    let asked: Vec<id::Endpoint> = asked.map(|subject| subject.endpoint.clone()).collect();
    let defers = asked.len() < count;
    First { asked, defers }
}

/// Returns the endpoints to ask about once those of `first` have answered: the others among the
/// `most` that cost least, if they could be chosen before the best near one.
#[must_use]
pub fn second(subjects: &[Subject], most: usize, first: &First) -> Vec<id::Endpoint> {
    let near = subjects.iter().filter(|subject| subject.same_domain);
    let best_near = near.map(|subject| subject.cost).min();
    let cheapest = cheapest(subjects, most).into_iter();
    let asked = cheapest.filter(|subject| {
        let may_win = best_near.is_none_or(|best| subject.least_cost <= best);
        may_win && !first.asked.contains(&subject.endpoint)
    });
    asked.map(|subject| subject.endpoint.clone()).collect()
}

fn cheapest(subjects: &[Subject], most: usize) -> Vec<&Subject> {
    let mut sorted: Vec<&Subject> = subjects.iter().collect();
    sorted.sort_by_key(|subject| subject.cost);
    sorted.truncate(most);
    sorted
}
