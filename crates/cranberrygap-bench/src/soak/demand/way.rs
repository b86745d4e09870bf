//! How entries get tokens that they do not hold.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_model::id;
use cranberrygap_wire::share;

use super::day::Day;
use super::leader;
use super::lending;
use super::wire::Wire;

/// Which entry lends the tokens of which workspace.
pub type Lenders = BTreeMap<id::Workspace, id::Instance>;

/// A process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// The control process that leads.
    Leader,
    /// An entry by its number.
    Entry(usize),
}

/// What processes send each other for tokens.
#[derive(Debug, Clone)]
pub enum Message {
    /// An entry asks the leader for tokens; its number comes with it.
    Renewal(usize, share::Renew),
    /// What it gets for its callers.
    Granted(share::Granted),
    /// What it gets to lend to other entries.
    Handed(share::Granted),
    /// An entry asks another one for tokens; its number comes with it.
    Question(usize, share::Renew),
    /// What the entry of this number lends.
    Lent(usize, share::Granted),
    /// Who lends from now on.
    Lenders(Arc<Lenders>),
}

impl Message {
    /// Whether it may be lost on the way.
    #[must_use]
    pub const fn is_datagram(&self) -> bool {
        matches!(self, Self::Question(..) | Self::Lent(..))
    }
}

/// What a message means for the holder of the entry that it came to.
#[derive(Debug)]
pub enum Answer {
    /// The leader's answer.
    Granted(share::Granted),
    /// That of an entry that lends.
    Lent(id::Instance, share::Granted),
    /// Who lends from now on.
    Lenders(Arc<Lenders>),
}

/// How entries get tokens that they do not hold.
///
/// Entries admit from their holder, which says when it asks and what for. A way carries its
/// question to whoever answers and the answer back, over a [`Wire`] that charges each process
/// for what it sends, reads and decides.
pub trait Way {
    /// Before anything else.
    fn start(&mut self, wire: &mut Wire);

    /// An entry asks the leader.
    fn ask(&mut self, wire: &mut Wire, entry: usize, renew: share::Renew);

    /// An entry asks one that lends; an entry's answer to itself is given back.
    fn borrow(
        &mut self,
        wire: &mut Wire,
        entry: usize,
        lender: &id::Instance,
        question: share::Renew,
    ) -> Option<share::Granted>;

    /// A process has read a message. An answer for the entry's holder is given back.
    fn take(&mut self, wire: &mut Wire, at: Place, message: Message) -> Option<Answer>;

    /// A time that was asked for by [`Wire::later`] has come.
    fn wake(&mut self, wire: &mut Wire, at: Place, token: u64);

    /// The leader is gone and hears nothing more.
    fn lose_leader(&mut self);

    /// Another one leads, which knows what the log has.
    fn elect(&mut self, wire: &mut Wire);

    /// Another process runs in an entry's place.
    fn restart(&mut self, wire: &mut Wire, entry: usize);

    /// The entry that lends the tokens of a workspace.
    fn lender(&self, workspace: &id::Workspace) -> Option<usize>;

    /// Calls that were answered, and more that a way counts of itself.
    fn counts(&self) -> serde_json::Value;
}

/// The ways that there are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Kind {
    /// Entries lend to each other what the leader hands them.
    #[default]
    Lending,
    /// The leader lends to all of them.
    Leader,
}

impl Kind {
    /// A way of this kind before a day.
    #[must_use]
    pub fn build(self, day: Day) -> Box<dyn Way> {
        match self {
            Self::Lending => Box::new(lending::Lending::new(day)),
            Self::Leader => Box::new(leader::Leader::new(day)),
        }
    }
}
