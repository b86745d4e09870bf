//! What our policy is woken for.

use cranberrygap_placement::{journal, ledger};
use cranberrygap_wire::endpoint;

/// One thing that takes time outside the decisions.
#[derive(Debug, Clone)]
pub enum Wake {
    /// The leader plans.
    Round,
    /// A proposed record is committed.
    Committed(journal::Record),
    /// An order reaches its endpoint.
    Order(endpoint::Order),
    /// An endpoint's answer reaches the leader.
    Verdict(endpoint::Verdict),
    /// The leader asks a runner for its report.
    Ask(usize),
    /// A runner's report reaches the leader.
    Answer(ledger::Ticket, endpoint::Report),
    /// An entry asks a runner for its report.
    EntryAsk {
        /// The entry.
        entry: usize,
        /// The runner.
        runner: usize,
    },
    /// A runner's report reaches an entry.
    EntryAnswer {
        /// The entry.
        entry: usize,
        /// The report.
        report: endpoint::Report,
    },
    /// The entries' view of a runner is renewed.
    View(usize),
}
