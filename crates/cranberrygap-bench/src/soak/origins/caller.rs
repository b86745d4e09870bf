//! Streams, and the callers that come back to them.

use cranberrygap_model::{duration, software};
use cranberrygap_routing::origin;

/// A stream whose caller has at least one event of it.
#[derive(Debug, Clone)]
pub struct Stream {
    pub key: origin::Key,
    /// Version of the process that wrote the first event.
    pub version: Option<software::Version>,
    /// Entry and engine over which it comes, and the boots of both.
    pub entry: (usize, u64),
    pub engine: (usize, u64),
    /// When it ends by itself, and when its caller gives up.
    pub ends_at: duration::Instant,
    pub gives_up_at: duration::Instant,
    /// How often its caller has come back.
    pub returns: u32,
}

/// A caller that comes back to an entry.
#[derive(Debug, Clone)]
pub struct Return {
    pub stream: Stream,
    /// What the entry has learned of the stream; absent until it has.
    pub found: Option<Found>,
}

/// The entry at which a caller is, and the origin that the entry goes by.
#[derive(Debug, Clone)]
pub struct Found {
    pub entry: (usize, u64),
    pub origin: origin::Origin,
}

/// What came of the callers of one kind at entries that nothing has been done to.
#[derive(Debug, Clone, Copy, Default)]
pub struct Share {
    pub asked: u64,
    pub served: u64,
}

impl Share {
    pub fn count(&mut self, is_served: bool) {
        self.asked += 1;
        self.served += u64::from(is_served);
    }

    pub fn value(self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}
