//! What became of a request for a vote, for people.

use std::fmt;

use cranberrygap_model::number;

use crate::{position, replica};

/// Whether a vote or only the word that one would be given was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Would you vote for me? It binds nobody.
    Pre,
    /// The vote itself.
    Real,
}

/// Why a vote was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// The voter heard from a leader within the shortest election timeout, or has
    /// just started and may have.
    Loyal,
    /// The candidate stands in a term that is over.
    OldTerm(number::Term),
    /// The voter gave its vote in this term, or knows this term's leader.
    Given(Option<replica::Id>),
    /// The voter's log is ahead of the candidate's.
    Behind {
        /// End of the voter's log.
        own: position::Position,
        /// End of the candidate's.
        theirs: position::Position,
    },
}

/// One step of an election at one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// This replica asked all other voters.
    Asked(Kind, number::Term),
    /// This replica granted it.
    Granted(Kind, replica::Id, number::Term),
    /// This replica refused it.
    Refused(Kind, replica::Id, number::Term, Reason),
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pre => "pre-vote",
            Self::Real => "vote",
        })
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Loyal => f.write_str("it may follow a leader still"),
            Self::OldTerm(own) => write!(f, "it is in term {own} already"),
            Self::Given(Some(to)) => write!(f, "it votes for {to} or follows it"),
            Self::Given(None) => f.write_str("it knows the leader of this term"),
            Self::Behind { own, theirs } => write!(
                f,
                "its log ends at {} of term {}, the candidate's at {} of term {}",
                own.index, own.term, theirs.index, theirs.term
            ),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Asked(kind, term) => write!(f, "asks for a {kind} in term {term}"),
            Self::Granted(kind, to, term) => write!(f, "grants {to} a {kind} in term {term}"),
            Self::Refused(kind, to, term, reason) => {
                write!(f, "refuses {to} a {kind} in term {term}: {reason}")
            }
        }
    }
}
