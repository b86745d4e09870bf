//! Lenders: the entries that lend the workspaces' tokens.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::view;
use serde::{Deserialize, Serialize};

/// The lender of each workspace, as the leader chose it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Lenders {
    #[serde(rename = "chosen")]
    by_workspace: BTreeMap<id::Workspace, id::Instance>,
}

/// Lenders that the leader chose together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// One for each workspace whose lender changes.
    pub lenders: Vec<view::Lender>,
}

impl Lenders {
    /// Applies new lenders; returns the changes of the view.
    pub fn apply(&mut self, step: &Step) -> Vec<view::Change> {
        let mut changes = Vec::new();
        for lender in &step.lenders {
            let previous = match &lender.instance {
                Some(instance) => self
                    .by_workspace
                    .insert(lender.workspace.clone(), instance.clone()),
                None => self.by_workspace.remove(&lender.workspace),
            };
            if previous != lender.instance {
                let lender = lender.clone();
                changes.push(view::Change::Lent { lender });
            }
        }
        changes
    }

    /// Returns the entry that lends the tokens of a workspace.
    #[must_use]
    pub fn get(&self, workspace: &id::Workspace) -> Option<&id::Instance> {
        self.by_workspace.get(workspace)
    }

    /// Returns all lenders by workspace.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Workspace, &id::Instance)> {
        self.by_workspace.iter()
    }

    /// Returns the lenders as entries see them.
    pub fn view(&self) -> impl Iterator<Item = view::Lender> {
        self.by_workspace
            .iter()
            .map(|(workspace, instance)| view::Lender {
                workspace: workspace.clone(),
                instance: Some(instance.clone()),
            })
    }
}
