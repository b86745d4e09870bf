//! Why an entry did not take a request.

/// Why another entry did not take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// It could not be asked, or broke off.
    Failed,
    /// It reaches no endpoint either.
    Cut,
}
