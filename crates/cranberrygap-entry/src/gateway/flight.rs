//! One request under way to one endpoint, as the endpoints counts it.

use std::sync::Arc;

use cranberrygap_routing::prompt::memory;

use crate::core;

use super::endpoints;

/// Counted as sent while it lives; what is not read and ended by then is when it
/// is dropped, whatever the reason.
#[derive(Debug)]
pub(crate) struct Flight {
    core: Arc<core::Core>,
    place: endpoints::Place,
    rank: usize,
    fresh: u32,
    read: bool,
}

impl Flight {
    /// Counts a request with `fresh` prompt tokens to read.
    pub(crate) fn new(
        core: &Arc<core::Core>,
        place: &endpoints::Place,
        rank: usize,
        fresh: u64,
        chain: Option<&memory::Chain>,
    ) -> Self {
        let fresh = u32::try_from(fresh).unwrap_or(u32::MAX);
        core.endpoints.sent(core.now(), place, rank, fresh, chain);
        Self {
            core: Arc::clone(core),
            place: place.clone(),
            rank,
            fresh,
            read: false,
        }
    }

    /// The prompt was read: the first part of the answer came.
    pub(crate) fn read(&mut self) {
        if !self.read {
            self.read = true;
            self.core.endpoints.read(&self.place, self.rank, self.fresh);
        }
    }

    /// Tells how the endpoint answered.
    pub(crate) fn judge(&self, good: bool) {
        self.core
            .endpoints
            .judged(self.core.now(), &self.place, good);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.read();
        self.core.endpoints.ended(&self.place);
    }
}
