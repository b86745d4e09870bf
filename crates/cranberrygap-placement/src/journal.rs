//! Replicated record of the orders that may still take effect.

use std::collections::BTreeMap;

use cranberrygap_model::{id, number};
use cranberrygap_wire::endpoint;
use serde::{Deserialize, Serialize};

/// Why an order can no longer take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// A report newer than the order shows its result.
    Reported,
    /// The endpoint refused it for good.
    Refused,
    /// The process that could have executed it is gone; another boot answers.
    Rebooted,
}

/// One entry of the replicated log about orders.
///
/// [`Record::Opened`] comes first in each leader's term; once it is committed, the leader
/// knows all orders of its predecessors.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// A leader starts to issue orders under this fence.
    Opened {
        /// Fencing number of the leader, higher than all before.
        fence: number::Fence,
    },
    /// An order is about to be sent; logged before its first byte is sent.
    Intended {
        /// The order, unchanged whenever it is sent again.
        order: endpoint::Order,
    },
    /// It is proven that an order can no longer take effect.
    Ended {
        /// Id of the order.
        order: id::Order,
        /// Endpoint of the order.
        endpoint: id::Endpoint,
        /// The boot that gave the evidence.
        boot: number::Boot,
        /// Residency number of the evidence; reports below it are outdated.
        residency: number::Sequence,
        /// The evidence.
        evidence: Evidence,
    },
}

/// The newest evidence about an endpoint in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// The boot that gave the evidence.
    pub boot: number::Boot,
    /// Residency number of the evidence.
    pub residency: number::Sequence,
}

/// All orders whose end is not proven; changed by [`Record`]s alone.
///
/// A new leader may not have seen what its predecessor sent, and an endpoint would run
/// out of memory when a forgotten load arrives. So each order is recorded here, in every
/// replica, before it is sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Journal {
    /// Highest fence that was opened.
    #[serde(default)]
    pub fence: number::Fence,
    /// Orders that may still take effect.
    pub open: BTreeMap<id::Order, endpoint::Order>,
    /// Newest evidence for each endpoint.
    pub floors: BTreeMap<id::Endpoint, Floor>,
}

impl Journal {
    /// Applies one committed record; returns whether it was accepted.
    ///
    /// The intent of a deposed leader may be committed after its successor opened the
    /// journal. The successor has counted without it, so it is not accepted and never
    /// sent.
    pub fn apply(&mut self, record: &Record) -> bool {
        match record {
            Record::Opened { fence } => self.fence = self.fence.max(*fence),
            Record::Intended { order } if order.fence < self.fence => return false,
            Record::Intended { order } => {
                self.open.insert(order.order.clone(), order.clone());
            }
            Record::Ended {
                order,
                endpoint,
                boot,
                residency,
                evidence,
            } => {
                self.open.remove(order);
                if *evidence != Evidence::Refused {
                    self.raise_floor(endpoint, *boot, *residency);
                }
            }
        }
        true
    }

    fn raise_floor(
        &mut self,
        endpoint: &id::Endpoint,
        boot: number::Boot,
        residency: number::Sequence,
    ) {
        let known = self.floors.get(endpoint);
        let same = known.filter(|floor| floor.boot == boot);
        let residency = same.map_or(residency, |floor| floor.residency.max(residency));
        self.floors
            .insert(endpoint.clone(), Floor { boot, residency });
    }
}
