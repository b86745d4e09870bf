//! What should change in the fleet's memory.
//!
//! A round plans on a [`board`], a copy of the ledger with numbers for names.
//! Its order is that of what users lose: models without any copy, models with
//! one copy or copies in one failure domain only, adapters, old versions, then
//! more copies where demand presses.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::endpoint;

use crate::catalogue;
use crate::ledger;

pub mod board;
mod demand;
mod repair;
mod retire;
mod room;

/// How placement weighs things.
#[derive(Debug, Clone, Copy, PartialEq, bon::Builder)]
pub struct Settings {
    /// Demand a second that one accelerator serves within the latency targets.
    pub demand_per_accelerator: f64,
    /// Copies that each model has wherever memory allows.
    #[builder(default = 2)]
    pub copies: usize,
    /// Utilisation of a runner above which its models get more copies.
    #[builder(default = 0.7)]
    pub high: f64,
    /// Utilisation by which another runner must be below before a copy goes there.
    #[builder(default = 0.25)]
    pub margin: f64,
    /// Copies that are added for demand in one round at most.
    #[builder(default = 6)]
    pub added_at_once: usize,
}

/// Why a change is wanted; the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Makes room for a more urgent load.
    Room,
    /// The model has no copy.
    Unreachable,
    /// The model has one copy, or copies in one failure domain only.
    Risk,
    /// The adapter's base model is there.
    Adapter,
    /// Demand presses on the model's copies.
    Demand,
    /// A newer version serves in its place.
    Retired,
}

/// One wanted change.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// Where.
    pub endpoint: id::Endpoint,
    /// What.
    pub action: endpoint::Action,
    /// Why.
    pub reason: Reason,
}

/// Plans one round; the most urgent change comes first.
///
/// `demand` is the expected demand a second by model and adapter.
#[must_use]
pub fn plan(
    ledger: &ledger::Ledger,
    catalogue: &catalogue::Catalogue,
    demand: &BTreeMap<id::Model, f64>,
    settings: &Settings,
) -> Vec<Move> {
    let mut board = board::Board::new(ledger, catalogue, demand, settings);
    repair::unreachable(&mut board);
    repair::risk(&mut board);
    repair::adapters(&mut board);
    retire::old_versions(&mut board);
    demand::spread(&mut board);
    let mut moves = board.into_moves();
    moves.sort_by_key(|wish| wish.reason);
    moves
}
