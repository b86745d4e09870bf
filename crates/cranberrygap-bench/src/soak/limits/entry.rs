//! One entry of the run with the requests that it holds.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{holder, lending};
use rand::Rng;
use rand::rngs::SmallRng;

pub(super) struct Entry {
    pub(super) boot: number::Boot,
    pub(super) holder: holder::Holder,
    pub(super) lending: lending::Lender,
    pub(super) cut_until: duration::Instant,
    pub(super) running: Vec<Running>,
    /// Costs of the requests that wait for tokens, by ticket.
    pub(super) waiting: BTreeMap<u64, token::Count>,
}

pub(super) struct Running {
    pub(super) ends: duration::Instant,
    pub(super) reservation: holder::Reservation,
    pub(super) admission: u64,
    pub(super) cost: token::Count,
    pub(super) used: token::Count,
}

/// The name of an entry.
pub(super) fn name(number: usize) -> id::Instance {
    format!("entry-{number}").parse().expect("a valid name")
}

impl Entry {
    pub(super) fn new(number: usize, random: &mut SmallRng) -> Self {
        let name = name(number);
        let boot = number::Boot(random.random());
        Self {
            lending: lending::Lender::new(name.clone(), boot),
            holder: holder::Holder::new(name, boot),
            boot,
            cut_until: duration::Instant::default(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
        }
    }
}
