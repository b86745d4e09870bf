//! `cranberrygap key`: callers' keys.

use clap::Subcommand;

use super::Ask;

pub mod issue;
pub mod list;
pub mod withdraw;

/// What to do with keys.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Issue a key for a workspace; its secret is shown once.
    Issue(issue::Arguments),
    /// Withdraw a key, and wait until it works nowhere.
    Withdraw(withdraw::Arguments),
    /// List the keys that work.
    List(list::Arguments),
}

impl Command {
    pub(super) fn chosen(&self) -> &dyn Ask {
        match self {
            Self::Issue(wanted) => wanted,
            Self::Withdraw(wanted) => wanted,
            Self::List(wanted) => wanted,
        }
    }
}
