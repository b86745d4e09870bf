//! Draws endpoints for probes.

use std::collections::BTreeMap;

use cranberrygap_model::{address, id};
use rand::seq::SliceRandom as _;

use super::{Endpoints, State};

impl Endpoints {
    /// Addresses of up to `count` endpoints that announce themselves, drawn evenly from the
    /// services. Those of `known` come last.
    pub(crate) fn sample(&self, count: usize, known: &[id::Endpoint]) -> Vec<address::Socket> {
        let inner = self.inner.lock();
        let mut states: Vec<&State> = inner.states.values().filter(|state| state.ready).collect();
        states.shuffle(&mut rand::rng());
        let mut drawn_of_service = BTreeMap::new();
        let mut ranked = Vec::new();
        for state in states {
            let services = inner.by_service.iter();
            let mut services = services.filter(|(_, names)| names.contains(&state.endpoint));
            let service = services.next().map(|(service, _)| service);
            let drawn: &mut usize = drawn_of_service.entry(service).or_default();
            let is_known = known.contains(&state.endpoint);
            ranked.push((is_known, *drawn, state.address));
            *drawn += usize::from(!is_known);
        }
        ranked.sort_by_key(|(is_known, drawn, _)| (*is_known, *drawn));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, _, address)| address).collect()
    }
}
