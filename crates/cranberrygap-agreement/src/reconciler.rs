//! Keeps the membership in shape without an operator, one change at a time.
//!
//! The leader looks at who belongs to the group, who answers and who presents
//! itself, and says what to change next. It never takes more than one step; the
//! next look decides anew from what has become of it.

use cranberrygap_model::{duration, number};

use crate::{change, formation, members, progress, replica};

/// What the leader knows of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// Time since it last answered; time since the election if it never did.
    pub silence: duration::Span,
    /// Whether it holds nearly the whole log.
    pub caught_up: bool,
}

impl Contact {
    /// What `progress` tells of a member that was first seen at `seen`; `lag` entries may be
    /// missing of the log that ends at `last`.
    #[must_use]
    pub fn new(
        now: duration::Instant,
        seen: duration::Instant,
        progress: Option<&progress::Progress>,
        last: number::Index,
        lag: u64,
    ) -> Self {
        let answered = progress.and_then(|found| found.acknowledged);
        let heard = answered.map_or(seen, |answered| answered.max(seen));
        let caught_up = progress.is_some_and(|found| {
            let flows = matches!(found.mode, progress::Mode::Replicate { .. });
            flows && found.matched.0 + lag >= last.0
        });
        Self {
            silence: now.since(heard),
            caught_up,
        }
    }
}

/// A replica that presented itself and is not a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Newcomer {
    /// What it said.
    pub hello: formation::Hello,
    /// Time since it last said so.
    pub silence: duration::Span,
}

/// When a silent replica is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Voters that the group shall have.
    pub voters: usize,
    /// Silence after which a voter makes way for a learner that stands ready.
    ///
    /// Longer than an election, so that a voter that lost one is not meant;
    /// shorter than the time in which a replacement must bear a further loss.
    pub replace: duration::Span,
    /// Silence after which a learner that never came up is dropped.
    pub drop_learner: duration::Span,
    /// Silence after which somebody who presented itself is taken as gone again.
    pub newcomer: duration::Span,
}

impl Policy {
    /// For a group that bears the loss of so many folders at once.
    ///
    /// What is acknowledged is on a majority of the voters. With three voters and two
    /// folders lost nobody would lead again: the one voter that is left is no majority, and
    /// the two that come back empty rightly do not vote as who they were. One more than
    /// twice the losses always leaves a majority.
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
            replace: duration::Span::from_millis(1_600),
            drop_learner: duration::Span::from_secs(10),
            newcomer: duration::Span::from_millis(2_500),
        }
    }
}

/// The next change, if one is due.
///
/// `contact` tells of every member but `own`, which is the leader.
#[must_use]
pub fn next_change(
    patience: &Policy,
    own: replica::Id,
    members: &members::Members,
    contact: impl Fn(replica::Id) -> Contact,
    newcomers: &[Newcomer],
) -> Option<change::Change> {
    let mut present = newcomers
        .iter()
        .filter(|found| found.silence <= patience.newcomer);
    // A replica's id lives in its data folder. Another id under the same name and
    // address proves that the folder of the first is lost: it never answers again,
    // and counted on as a voter it would only make the quorum harder to reach.
    let replaced = present.clone().find_map(|found| {
        let same = members.0.iter().find(|(id, member)| {
            **id != own && **id != found.hello.id && member.peer == found.hello.peer
        });
        same.map(|(id, _)| *id)
    });
    if let Some(lost) = replaced {
        return Some(change::Change::Remove(lost));
    }
    if let Some(change) = promote(patience, own, members, &contact) {
        return Some(change);
    }
    if let Some(gone) = silent_learner(patience, own, members, &contact) {
        return Some(change::Change::Remove(gone));
    }
    let unknown = present.find(|found| !members.0.contains_key(&found.hello.id))?;
    Some(change::Change::AddLearner {
        id: unknown.hello.id,
        peer: unknown.hello.peer.clone(),
    })
}

/// Lets a learner vote that is ready, or makes room for it.
fn promote(
    patience: &Policy,
    own: replica::Id,
    members: &members::Members,
    contact: &impl Fn(replica::Id) -> Contact,
) -> Option<change::Change> {
    let learners = members.0.iter().filter(|(_, member)| !member.voter);
    let mut ready = learners.filter(|(id, _)| {
        let contact = contact(**id);
        contact.caught_up && contact.silence < patience.replace
    });
    let (learner, _) = ready.next()?;
    if members.voters().count() < patience.voters {
        return Some(change::Change::Promote(*learner));
    }
    let others = members.voters().filter(|id| *id != own);
    let silent = others.filter(|id| contact(*id).silence > patience.replace);
    let longest = silent.max_by_key(|id| contact(*id).silence);
    longest.map(change::Change::Remove)
}

fn silent_learner(
    patience: &Policy,
    own: replica::Id,
    members: &members::Members,
    contact: &impl Fn(replica::Id) -> Contact,
) -> Option<replica::Id> {
    let learners = members.0.iter().filter(|(_, member)| !member.voter);
    let mut silent = learners.filter(|(id, _)| contact(**id).silence > patience.drop_learner);
    silent.find(|(id, _)| **id != own).map(|(id, _)| *id)
}
