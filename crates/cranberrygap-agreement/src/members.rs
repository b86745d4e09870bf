//! The membership of a group.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use serde::{Deserialize, Serialize};

use crate::{member, replica};

/// Voters and learners by id.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Members(pub BTreeMap<replica::Id, member::Member>);

impl Members {
    /// Returns the ids of the voters in order.
    pub fn voters(&self) -> impl Iterator<Item = replica::Id> + '_ {
        self.0
            .iter()
            .filter(|(_, member)| member.voter)
            .map(|(id, _)| *id)
    }

    /// Returns whether `id` is a voter.
    #[must_use]
    pub fn is_voter(&self, id: replica::Id) -> bool {
        self.0.get(&id).is_some_and(|member| member.voter)
    }

    /// Returns the number of voters that make a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the largest value that at least a quorum of voters has reached.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(replica::Id) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied()
    }

    /// Returns the voter, or the learner, that runs on an instance.
    #[must_use]
    pub fn find(&self, instance: &id::Instance, voter: bool) -> Option<replica::Id> {
        self.0
            .iter()
            .find(|(_, member)| member.voter == voter && member.peer.instance == *instance)
            .map(|(id, _)| *id)
    }
}
