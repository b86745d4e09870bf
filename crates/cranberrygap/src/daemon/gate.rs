//! Bound on the calls of one kind that a listener has in progress.
//!
//! Callers of these calls open a new connection whenever an answer is late. A process that takes
//! more of them than it can answer in time spends all its processor time on calls whose callers
//! have left, and each of those comes back with one more connection.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Answer to a connection beyond the bound. Its retry time lets calls in progress end.
pub const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\n\
    Content-Length: 0\r\nConnection: close\r\n\r\n";

/// Bound on the calls that begin with a prefix, over all connections of a listener.
#[derive(Debug, Clone)]
pub struct Gate {
    prefix: &'static [u8],
    slots: Arc<Semaphore>,
}

/// A counted call; it counts until this is dropped.
#[derive(Debug)]
pub struct Pass {
    _permit: OwnedSemaphorePermit,
}

/// What a gate decides about a new connection.
#[derive(Debug)]
pub enum Decision {
    /// More bytes are needed to tell the kind of its first call.
    Undecided,
    /// Its first call is of another kind, and not bounded.
    Unbounded,
    /// Its first call is within the bound.
    Admitted(Pass),
    /// Its first call is beyond the bound.
    Refused,
}

impl Gate {
    /// Creates a bound of `capacity` calls whose heads start with `prefix`: method, space and
    /// start of the path.
    #[must_use]
    pub fn new(prefix: &'static str, capacity: usize) -> Self {
        Self {
            prefix: prefix.as_bytes(),
            slots: Arc::new(Semaphore::new(capacity)),
        }
    }

    /// Returns the number of bytes of a head that [`Self::decide`] needs at most.
    #[must_use]
    pub const fn prefix_length(&self) -> usize {
        self.prefix.len()
    }

    /// Decides about a new connection by the first bytes of its first call.
    #[must_use]
    pub fn decide(&self, head: &[u8]) -> Decision {
        let common = head.len().min(self.prefix.len());
        if head[..common] != self.prefix[..common] {
            return Decision::Unbounded;
        }
        if common < self.prefix.len() {
            return Decision::Undecided;
        }
        match self.try_pass() {
            Some(pass) => Decision::Admitted(pass),
            None => Decision::Refused,
        }
    }

    /// Counts a later call of an admitted connection, which is served in any case.
    #[must_use]
    pub fn count(&self, method: &str, path: &str) -> Option<Pass> {
        let rest = self.prefix.strip_prefix(method.as_bytes());
        let start = rest.and_then(|rest| rest.strip_prefix(b" "))?;
        if !path.as_bytes().starts_with(start) {
            return None;
        }
        self.try_pass()
    }

    fn try_pass(&self) -> Option<Pass> {
        let permit = Arc::clone(&self.slots).try_acquire_owned().ok()?;
        Some(Pass { _permit: permit })
    }
}
