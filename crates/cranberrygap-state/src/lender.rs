//! Which entry lends the tokens of which workspace.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::view;
use serde::{Deserialize, Serialize};

/// The entries that lend, as the leader chose them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Lenders {
    chosen: BTreeMap<id::Workspace, id::Instance>,
}

/// Choices that the leader made together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// One for each workspace whose lender changes.
    pub lenders: Vec<view::Lender>,
}

impl Lenders {
    /// Takes choices; gives what entries learn.
    pub fn apply(&mut self, step: &Step) -> Vec<view::Change> {
        let mut changes = Vec::new();
        for lender in &step.lenders {
            let known = match &lender.instance {
                Some(instance) => self
                    .chosen
                    .insert(lender.workspace.clone(), instance.clone()),
                None => self.chosen.remove(&lender.workspace),
            };
            if known != lender.instance {
                let lender = lender.clone();
                changes.push(view::Change::Lent { lender });
            }
        }
        changes
    }

    /// Who lends the tokens of a workspace.
    #[must_use]
    pub fn get(&self, workspace: &id::Workspace) -> Option<&id::Instance> {
        self.chosen.get(workspace)
    }

    /// All choices by workspace.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Workspace, &id::Instance)> {
        self.chosen.iter()
    }

    /// What entries are told of the choices.
    pub fn view(&self) -> impl Iterator<Item = view::Lender> {
        self.chosen
            .iter()
            .map(|(workspace, instance)| view::Lender {
                workspace: workspace.clone(),
                instance: Some(instance.clone()),
            })
    }
}
