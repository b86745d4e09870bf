//! Reconciles the membership without an operator, one change at a time.
//!
//! The leader compares the members and their liveness with the replicas that ask
//! to join, and returns the next change to make. Each call decides anew and
//! returns at most one change, so that the result of the last one is known.

use cranberrygap_model::{duration, number};

use crate::{change, formation, members, progress, replica};

/// Silence and log state of one member, as the leader knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// Time since the member last answered; time since the election if it never did.
    pub silence: duration::Span,
    /// Whether the member holds nearly the whole log.
    pub caught_up: bool,
}

impl Contact {
    /// Derives them from a member's replication progress.
    ///
    /// The member was first seen at `first_seen`. It counts as caught up if it lacks at most
    /// `lag` entries of the log that ends at `last`.
    #[must_use]
    pub fn new(
        now: duration::Instant,
        first_seen: duration::Instant,
        progress: Option<&progress::Progress>,
        last: number::Index,
        lag: u64,
    ) -> Self {
        let answered = progress.and_then(|found| found.acknowledged);
        let last_answer = answered.map_or(first_seen, |answered| answered.max(first_seen));
        let caught_up = progress.is_some_and(|found| {
            let is_replicating = matches!(found.mode, progress::Mode::Replicate { .. });
            is_replicating && found.matched.0 + lag >= last.0
        });
        Self {
            silence: now.since(last_answer),
            caught_up,
        }
    }
}

/// A replica that asks to join and is not a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Newcomer {
    /// Hello that the replica sent.
    pub hello: formation::Hello,
    /// Time since its last hello.
    pub silence: duration::Span,
}

/// Target size of the group and the silence after which replicas are given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Number of voters that the group should have.
    pub voters: usize,
    /// Silence after which a voter is replaced by a learner that has caught up.
    ///
    /// Longer than an election, so that a voter that lost one is not replaced;
    /// shorter than the time in which a replacement must survive a further loss.
    pub replace_voter_after: duration::Span,
    /// Silence after which a learner that never caught up is removed.
    pub remove_learner_after: duration::Span,
    /// Time since its last hello after which a newcomer counts as gone.
    pub newcomer_timeout: duration::Span,
}

impl Policy {
    /// Creates the policy for a group that tolerates the loss of this many data folders at once.
    ///
    /// Acknowledged changes are on a majority of the voters. If two of three voters lost
    /// their folders, nobody could be elected again: the remaining voter is no majority, and
    /// the other two must not vote under their old ids. One more voter than twice the
    /// losses always leaves a majority.
    #[must_use]
    pub fn tolerating(losses: u32) -> Self {
        let losses = usize::try_from(losses).unwrap_or(usize::MAX);
        Self {
            voters: losses.saturating_mul(2).saturating_add(1),
            ..Self::default()
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            voters: 3,
            replace_voter_after: duration::Span::from_millis(1_600),
            remove_learner_after: duration::Span::from_secs(10),
            newcomer_timeout: duration::Span::from_millis(2_500),
        }
    }
}

/// Returns the next membership change, if one is due.
///
/// `contact` returns the silence and log state of every member but `own`, which is the leader.
#[must_use]
pub fn next_change(
    policy: &Policy,
    own: replica::Id,
    members: &members::Members,
    contact: impl Fn(replica::Id) -> Contact,
    newcomers: &[Newcomer],
) -> Option<change::Change> {
    let mut recent = newcomers
        .iter()
        .filter(|found| found.silence <= policy.newcomer_timeout);
    // A replica's id is stored in its data folder. A different id with the same name
    // and address proves that the old folder is lost: the old id never answers again,
    // and as a voter it only makes the quorum harder to reach.
    let lost_member = recent.clone().find_map(|found| {
        let predecessor = members.0.iter().find(|(id, member)| {
            **id != own && **id != found.hello.id && member.peer == found.hello.peer
        });
        predecessor.map(|(id, _)| *id)
    });
    if let Some(lost) = lost_member {
        return Some(change::Change::Remove(lost));
    }
    if let Some(change) = promote_or_replace(policy, own, members, &contact) {
        return Some(change);
    }
    if let Some(gone) = silent_learner(policy, own, members, &contact) {
        return Some(change::Change::Remove(gone));
    }
    let unknown = recent.find(|found| !members.0.contains_key(&found.hello.id))?;
    Some(change::Change::AddLearner {
        id: unknown.hello.id,
        peer: unknown.hello.peer.clone(),
    })
}

/// Promotes a learner that has caught up, or removes the most silent voter to make room for it.
fn promote_or_replace(
    policy: &Policy,
    own: replica::Id,
    members: &members::Members,
    contact: &impl Fn(replica::Id) -> Contact,
) -> Option<change::Change> {
    let learners = members.0.iter().filter(|(_, member)| !member.voter);
    let mut ready = learners.filter(|(id, _)| {
        let contact = contact(**id);
        contact.caught_up && contact.silence < policy.replace_voter_after
    });
    let (learner, _) = ready.next()?;
    if members.voters().count() < policy.voters {
        return Some(change::Change::Promote(*learner));
    }
    let others = members.voters().filter(|id| *id != own);
    let silent_voters = others.filter(|id| contact(*id).silence > policy.replace_voter_after);
    let longest = silent_voters.max_by_key(|id| contact(*id).silence);
    longest.map(change::Change::Remove)
}

fn silent_learner(
    policy: &Policy,
    own: replica::Id,
    members: &members::Members,
    contact: &impl Fn(replica::Id) -> Contact,
) -> Option<replica::Id> {
    let learners = members.0.iter().filter(|(_, member)| !member.voter);
    let mut silent_learners =
        learners.filter(|(id, _)| contact(**id).silence > policy.remove_learner_after);
    silent_learners
        .find(|(id, _)| **id != own)
        .map(|(id, _)| *id)
}
