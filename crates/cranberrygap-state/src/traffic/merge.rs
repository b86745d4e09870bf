//! Parts of a plan: differences of two lists, and lists with parts replaced and removed.
//!
//! All of these look names up in a hash table, so that their time grows with the lists and not with
//! the product of their lengths.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

/// Returns the parts of `to` that `from` lacks or has otherwise.
pub(super) fn changed<P, N>(from: &[P], to: &[P], name: impl Fn(&P) -> N) -> Vec<P>
where
    P: Clone + PartialEq,
    N: Eq + Hash,
{
    let known: HashMap<N, &P> = from.iter().map(|part| (name(part), part)).collect();
    let is_changed = |part: &&P| known.get(&name(part)) != Some(part);
    to.iter().filter(is_changed).cloned().collect()
}

/// Returns the names of the parts of `from` that `to` lacks.
pub(super) fn removed<P, N>(from: &[P], to: &[P], name: impl Fn(&P) -> N) -> Vec<N>
where
    N: Eq + Hash,
{
    let kept: HashSet<N> = to.iter().map(&name).collect();
    let names = from.iter().map(name);
    names.filter(|name| !kept.contains(name)).collect()
}

/// Removes the parts that are named in `removed` or replaced by one of `changed`, and adds those.
pub(super) fn replace<P, N>(
    parts: &mut Vec<P>,
    changed: Vec<P>,
    removed: Vec<N>,
    name: impl Fn(&P) -> N,
) where
    N: Eq + Hash,
{
    let mut gone: HashSet<N> = removed.into_iter().collect();
    gone.extend(changed.iter().map(&name));
    if !gone.is_empty() {
        parts.retain(|part| !gone.contains(&name(part)));
    }
    parts.extend(changed);
}
