//! What can go wrong with an engine, switched by its handle.

use std::time::Duration;

/// What goes wrong with requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// After so many tokens nothing comes any more; the connection stays open.
    Stall {
        /// Tokens sent before.
        after: u64,
    },
    /// The first byte comes so much later.
    Late(Duration),
    /// Another attempt's id and answer come back.
    Crossed,
    /// The connection is dropped after so many tokens.
    Cut {
        /// Tokens sent before.
        after: u64,
    },
    /// Requests are refused before they run.
    Refuse,
    /// Requests fail after they have run.
    Fail {
        /// HTTP status of the response.
        status: u16,
    },
}

/// What goes wrong with orders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OrderFault {
    /// Nothing.
    #[default]
    None,
    /// The order never arrives; its connection is dropped.
    Lost,
    /// The order is carried out, its connection is dropped in place of an answer.
    AnswerLost,
    /// The order takes effect and is answered so much later.
    Late(Duration),
}
