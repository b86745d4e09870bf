//! Orders that an engine took, each carried out once.

use cranberrygap_model::{id, number};
use cranberrygap_wire::endpoint;

/// One order with the answer that it got.
#[derive(Debug, Clone, PartialEq)]
pub struct Taken {
    /// The order as it came.
    pub order: endpoint::Order,
    /// The answer.
    pub verdict: endpoint::Verdict,
}

/// The order log of one engine; it lives through restarts, for tests to read.
#[derive(Debug, Default)]
pub struct Orders {
    taken: Vec<Taken>,
    /// Highest fencing number seen.
    pub fence: Option<number::Fence>,
    /// Last order that was carried out or whose load failed.
    pub done: Option<id::Order>,
}

impl Orders {
    /// All orders, oldest first.
    #[must_use]
    pub fn taken(&self) -> &[Taken] {
        &self.taken
    }

    /// The answer that an order got before in this boot.
    #[must_use]
    pub fn answered(&self, order: &endpoint::Order) -> Option<endpoint::Verdict> {
        let same =
            |taken: &&Taken| taken.order.order == order.order && taken.order.boot == order.boot;
        self.taken
            .iter()
            .find(same)
            .map(|taken| taken.verdict.clone())
    }

    /// Notes an order and its answer.
    pub fn note(&mut self, order: endpoint::Order, verdict: endpoint::Verdict) {
        self.fence = self.fence.max(Some(order.fence));
        self.taken.push(Taken { order, verdict });
    }
}
