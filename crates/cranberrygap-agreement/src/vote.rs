//! Vote requests and their outcomes, as events for the log that operators read.

use std::fmt;

use cranberrygap_model::number;

use crate::{position, replica};

/// Round of an election that a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Asks whether a vote would be granted; binds nobody.
    PreVote,
    /// Asks for a vote, which binds the voter for the term.
    Vote,
}

/// Reason why a vote was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// The voter heard from a leader within the shortest election timeout, or has
    /// just started and may have.
    RecentLeader,
    /// The candidate's term is older than the voter's.
    StaleTerm(number::Term),
    /// The voter has voted in this term, or knows this term's leader.
    AlreadyVoted(Option<replica::Id>),
    /// The voter's log is ahead of the candidate's.
    LogBehind {
        /// End of the voter's log.
        own: position::Position,
        /// End of the candidate's log.
        candidate: position::Position,
    },
}

/// One step of an election at one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// This replica requested votes from all other voters.
    Requested(Kind, number::Term),
    /// This replica granted a vote.
    Granted(Kind, replica::Id, number::Term),
    /// This replica refused a vote.
    Refused(Kind, replica::Id, number::Term, Reason),
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::PreVote => "pre-vote",
            Self::Vote => "vote",
        })
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RecentLeader => f.write_str("it may still follow a leader"),
            Self::StaleTerm(own) => write!(f, "it is already in term {own}"),
            Self::AlreadyVoted(Some(to)) => write!(f, "it already voted for {to} or follows it"),
            Self::AlreadyVoted(None) => f.write_str("it already knows the leader of this term"),
            Self::LogBehind { own, candidate } => write!(
                f,
                "its log ends at {} of term {}, the candidate's at {} of term {}",
                own.index, own.term, candidate.index, candidate.term
            ),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Requested(kind, term) => write!(f, "asks for a {kind} in term {term}"),
            Self::Granted(kind, to, term) => write!(f, "grants {to} a {kind} in term {term}"),
            Self::Refused(kind, to, term, reason) => {
                write!(f, "refuses {to} a {kind} in term {term}: {reason}")
            }
        }
    }
}
