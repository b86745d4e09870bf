//! Counters of a process's traffic.

use std::array;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};

use cranberrygap_model::id;
use parking_lot::Mutex;

use super::{Direction, Kind, Place, Total};

const COUNTERS: usize = Kind::ALL.len() * Direction::ALL.len() * Place::ALL.len();

/// Counts the bytes that a process sends and receives.
#[derive(Debug)]
pub struct Meter {
    domain: id::Domain,
    counters: [Counter; COUNTERS],
    /// Bytes that [`Self::take_changes`] has returned, by counter.
    taken: Mutex<[u64; COUNTERS]>,
}

#[derive(Debug, Default)]
struct Counter {
    bytes: AtomicU64,
    messages: AtomicU64,
}

impl Meter {
    /// A meter of a process in `domain` that has counted nothing.
    #[must_use]
    pub fn new(domain: id::Domain) -> Self {
        Self {
            domain,
            counters: array::from_fn(|_| Counter::default()),
            taken: Mutex::new([0; COUNTERS]),
        }
    }

    /// Failure domain of this process.
    #[must_use]
    pub const fn domain(&self) -> &id::Domain {
        &self.domain
    }

    /// Place of a peer in `domain`; a peer that does not say is at an unknown one.
    #[must_use]
    pub fn place_of(&self, domain: Option<&id::Domain>) -> Place {
        Place::new(&self.domain, domain)
    }

    /// Counts one message.
    pub fn record(&self, kind: Kind, direction: Direction, place: Place, bytes: usize) {
        let counter = &self.counters[index(kind, direction, place)];
        counter.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        counter.messages.fetch_add(1, Ordering::Relaxed);
    }

    /// What was counted since the start, without empty counters.
    #[must_use]
    pub fn totals(&self) -> Vec<Total> {
        let totals = all().map(|(kind, direction, place)| {
            let counter = &self.counters[index(kind, direction, place)];
            Total {
                kind,
                direction,
                place,
                bytes: counter.bytes.load(Ordering::Relaxed),
                messages: counter.messages.load(Ordering::Relaxed),
            }
        });
        totals.filter(|total| total.messages > 0).collect()
    }

    /// What was counted since the last call of this method, for metrics that are sums.
    pub fn take_changes(&self) -> Vec<Total> {
        let mut taken = self.taken.lock();
        let mut changes = self.totals();
        for total in &mut changes {
            let before = &mut taken[index(total.kind, total.direction, total.place)];
            let now = total.bytes;
            total.bytes = now.saturating_sub(*before);
            *before = now;
        }
        changes.retain(|change| change.bytes > 0);
        changes
    }

    /// What was counted since the start, as JSON for a dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let totals = self.totals();
        let rows = totals.iter().map(|total| {
            serde_json::json!({
                "kind": total.kind.name(),
                "direction": total.direction.name(),
                "place": total.place.name(),
                "bytes": total.bytes,
                "messages": total.messages,
            })
        });
        rows.collect()
    }

    /// What was counted since the start between this process and other failure domains, the
    /// largest first, for a log line.
    #[must_use]
    pub fn summary(&self) -> String {
        let mut crossing = self.totals();
        crossing.retain(|total| total.place == Place::OtherDomain);
        crossing.sort_by_key(|total| std::cmp::Reverse(total.bytes));
        let mut line = String::new();
        for total in &crossing {
            let separator = if line.is_empty() { "" } else { ", " };
            let (kind, direction) = (total.kind.name(), total.direction.name());
            // Writing to a string does not fail.
            let _infallible = write!(line, "{separator}{kind} {direction} {}", total.bytes);
        }
        line
    }
}

fn all() -> impl Iterator<Item = (Kind, Direction, Place)> {
    let kinds = Kind::ALL.into_iter();
    let kinds = kinds.flat_map(|kind| Direction::ALL.map(|direction| (kind, direction)));
    kinds.flat_map(|(kind, direction)| Place::ALL.map(|place| (kind, direction, place)))
}

const fn index(kind: Kind, direction: Direction, place: Place) -> usize {
    (kind.index() * Direction::ALL.len() + direction.index()) * Place::ALL.len() + place.index()
}
