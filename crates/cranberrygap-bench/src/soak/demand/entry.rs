//! One entry: its holder, who waits at it, and what runs.

use std::collections::BTreeMap;

use cranberrygap_model::{id, number, token};
use cranberrygap_policy::limits::holder;

/// A request that waits for tokens.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    pub workspace: usize,
    pub cost: u64,
    pub since: u64,
    /// Whether one bucket without entries would have served it.
    pub within: bool,
}

/// A request that holds tokens.
#[derive(Debug)]
pub struct Running {
    pub reservation: holder::Reservation,
    pub workspace: usize,
    pub admission: u64,
    pub used: token::Count,
}

/// The name of an entry.
pub fn name(number: usize) -> id::Instance {
    format!("entry-{number}").parse().expect("a plain name")
}

/// One entry.
#[derive(Debug)]
pub struct Entry {
    pub holder: holder::Holder,
    pub waiting: BTreeMap<u64, Waiting>,
    pub running: BTreeMap<u64, Running>,
    /// The renewal that waits for its answer, and when it was asked.
    pub awaited: Option<(number::Sequence, u64)>,
    /// When it looks next at what is due.
    pub looks_at: u64,
    pub boot: number::Boot,
    /// When it goes on; at no time if it is gone.
    pub stands_until: u64,
    /// Datagrams that came while it stood still.
    pub unread: u32,
}

impl Entry {
    pub fn new(number: usize, entries: usize, boot: number::Boot) -> Self {
        let mut holder = holder::Holder::new(name(number), boot);
        holder.set_entry_count(entries);
        Self {
            holder,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            awaited: None,
            looks_at: u64::MAX,
            boot,
            stands_until: 0,
            unread: 0,
        }
    }
}
