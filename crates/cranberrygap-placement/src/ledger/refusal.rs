//! Reasons why an order is not issued.

/// The guarantee that an order would break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The endpoint is not a known runner.
    #[error("the endpoint is not a known runner")]
    UnknownEndpoint,
    /// The endpoint is not ready, or this leader has no report of it yet.
    #[error("the endpoint is not ready or has not reported to this leader")]
    NotConfirmed,
    /// The order names another boot than the one that reported.
    #[error("the endpoint has restarted")]
    WrongBoot,
    /// Another order about the same model may still take effect there.
    #[error("another order about this model is open on the endpoint")]
    Conflict,
    /// The requested state already holds.
    #[error("the endpoint already is as the order wants it")]
    Needless,
    /// Memory would be overcommitted if every open order took effect.
    #[error("the endpoint's memory does not suffice")]
    NoMemory,
    /// No other copy is proven to serve.
    #[error("no other copy of the model is confirmed")]
    LastCopy,
}
