//! How entries get tokens that they do not hold.

use cranberrygap_wire::share;

use super::wire::Wire;

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
    /// An entry asks for tokens; its number comes with it.
    Renewal(usize, share::Renew),
    /// What it gets.
    Granted(share::Granted),
}

/// How entries get tokens that they do not hold.
///
/// Entries admit from their holder, which says when it asks and what for. A way carries its
/// question to whoever answers and the answer back, over a [`Wire`] that charges each process
/// for what it sends, reads and decides.
pub trait Way {
    /// An entry asks.
    fn ask(&mut self, wire: &mut Wire, entry: usize, renew: share::Renew);

    /// A process has read a message. An answer for the entry's holder is given back.
    fn take(&mut self, wire: &mut Wire, at: Place, message: Message) -> Option<share::Granted>;

    /// A time that was asked for by [`Wire::later`] has come.
    fn wake(&mut self, wire: &mut Wire, at: Place, token: u64);

    /// Calls that were answered, and more that a way counts of itself.
    fn counts(&self) -> serde_json::Value;
}
