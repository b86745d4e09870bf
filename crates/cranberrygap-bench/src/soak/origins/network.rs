//! Messages on their way.

use std::collections::BTreeMap;

use cranberrygap_model::duration;

/// Items by the time at which they arrive, those of one time in the order of sending.
#[derive(Debug)]
pub struct Queue<Item> {
    items: BTreeMap<(duration::Instant, u64), Item>,
    sent: u64,
}

impl<Item> Default for Queue<Item> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            sent: 0,
        }
    }
}

impl<Item> Queue<Item> {
    /// Adds an item that arrives at `at`.
    pub fn put(&mut self, at: duration::Instant, item: Item) {
        self.sent += 1;
        self.items.insert((at, self.sent), item);
    }

    /// The next item that has arrived by `now`.
    pub fn take(&mut self, now: duration::Instant) -> Option<Item> {
        let first = self.items.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}
