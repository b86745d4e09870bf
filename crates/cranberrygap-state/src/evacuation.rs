//! Evacuated failure domains: their endpoints get no requests.

use std::collections::BTreeMap;

use cranberrygap_model::{id, number};
use cranberrygap_wire::{operator, view};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::answer;

/// Failure domains that are evacuated, with the revision of each order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Evacuations {
    active: BTreeMap<id::Domain, number::Revision>,
}

/// An order to evacuate a failure domain, or its withdrawal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Failure domain whose endpoints are concerned.
    pub domain: id::Domain,
    /// Whether the domain is evacuated from now on, or its endpoints get requests again.
    pub active: bool,
    /// Operator who asks; `None` for a call that names none.
    pub author: Option<operator::Author>,
}

impl Step {
    /// Returns the order in a few words for the history.
    #[must_use]
    pub fn summary(&self) -> SmolStr {
        if self.active {
            format_smolstr!("evacuate {}", self.domain)
        } else {
            format_smolstr!("return {}", self.domain)
        }
    }
}

impl Evacuations {
    /// Applies an order. One that already holds changes nothing and is accepted, since an order
    /// may be sent again after a lost answer.
    pub fn apply(
        &mut self,
        revision: number::Revision,
        step: &Step,
    ) -> (answer::Answer, Vec<view::Change>) {
        let domain = step.domain.clone();
        let changed = step.active != self.active.contains_key(&domain);
        let change = if step.active {
            self.active.entry(domain.clone()).or_insert(revision);
            view::Change::Evacuated {
                domain: domain.clone(),
            }
        } else {
            self.active.remove(&domain);
            view::Change::Returned {
                domain: domain.clone(),
            }
        };
        let answer = answer::Answer::Evacuation(operator::Evacuation {
            domain,
            active: step.active,
            changed,
            revision,
        });
        (answer, changed.then_some(change).into_iter().collect())
    }

    /// Whether the endpoints of a failure domain get no requests.
    #[must_use]
    pub fn contains(&self, domain: &id::Domain) -> bool {
        self.active.contains_key(domain)
    }

    /// Returns the evacuated failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &id::Domain> {
        self.active.keys()
    }
}
