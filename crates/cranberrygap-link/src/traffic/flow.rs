//! Traffic of one connection.

use std::sync::Arc;

use super::{Direction, Kind, Meter, Place};

/// Counts what one connection carries; all of it goes to the same place.
#[derive(Debug, Clone)]
pub struct Flow {
    meter: Arc<Meter>,
    place: Place,
}

impl Flow {
    /// A connection to a peer at `place`.
    #[must_use]
    pub const fn new(meter: Arc<Meter>, place: Place) -> Self {
        Self { meter, place }
    }

    /// Counts bytes that were sent.
    pub fn record_sent(&self, kind: Kind, bytes: usize) {
        self.meter.record(kind, Direction::Sent, self.place, bytes);
    }

    /// Counts bytes that were received.
    pub fn record_received(&self, kind: Kind, bytes: usize) {
        self.meter
            .record(kind, Direction::Received, self.place, bytes);
    }
}
