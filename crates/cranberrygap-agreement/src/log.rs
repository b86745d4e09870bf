//! The log in memory: entries after a base position, and the memberships in them.

use cranberrygap_model::number;

use crate::{entry, members, position};

/// Entries after a base position.
#[derive(Debug, Clone)]
pub struct Log {
    base: position::Position,
    entries: Vec<entry::Entry>,
    memberships: Vec<(number::Index, members::Members)>,
}

impl Log {
    /// Creates an empty log after `base`, where `members` is in force.
    #[must_use]
    pub fn new(base: position::Position, members: members::Members) -> Self {
        Self {
            base,
            entries: Vec::new(),
            memberships: vec![(base.index, members)],
        }
    }

    /// Returns the position before the first entry.
    #[must_use]
    pub fn base(&self) -> position::Position {
        self.base
    }

    /// Returns the position of the last entry, or the base if there is none.
    #[must_use]
    pub fn last(&self) -> position::Position {
        self.entries
            .last()
            .map_or(self.base, |entry| entry.position)
    }

    /// Returns the position at `index`, if it is known.
    #[must_use]
    pub fn position(&self, index: number::Index) -> Option<position::Position> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.get(index).map(|entry| entry.position)
    }

    /// Returns the entry at `index`.
    #[must_use]
    pub fn get(&self, index: number::Index) -> Option<&entry::Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `first` to `last`, both included.
    #[must_use]
    pub fn slice(&self, first: number::Index, last: number::Index) -> &[entry::Entry] {
        let offset = |index: u64| {
            let wide = index.saturating_sub(self.base.index.0 + 1);
            usize::try_from(wide).unwrap_or(usize::MAX)
        };
        let end = offset(last.0 + 1).min(self.entries.len());
        let start = offset(first.0).min(end);
        &self.entries[start..end]
    }

    /// Returns the latest membership, committed or not.
    #[must_use]
    pub fn members(&self) -> &members::Members {
        &self.latest().1
    }

    /// Returns the index of the latest membership.
    #[must_use]
    pub fn members_index(&self) -> number::Index {
        self.latest().0
    }

    /// Returns the membership in force at `index`.
    #[must_use]
    pub fn members_at(&self, index: number::Index) -> &members::Members {
        let found = self.memberships.iter().rfind(|(at, _)| *at <= index);
        &found.unwrap_or(&self.memberships[0]).1
    }

    /// Appends an entry at the end.
    ///
    /// # Panics
    ///
    /// If the entry does not follow the last one.
    pub fn append(&mut self, entry: entry::Entry) {
        let index = entry.position.index;
        assert_eq!(index, self.last().index.next(), "the log has no gaps");
        if let entry::Payload::Members(members) = &entry.payload {
            self.memberships.push((index, members.clone()));
        }
        self.entries.push(entry);
    }

    /// Removes all entries from `first` on.
    pub fn truncate(&mut self, first: number::Index) {
        let keep = first.0.saturating_sub(self.base.index.0 + 1);
        let keep = usize::try_from(keep).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        let base = self.base.index;
        self.memberships
            .retain(|(at, _)| *at < first || *at <= base);
    }

    /// Removes all entries up to `index` and makes it the base.
    pub fn compact(&mut self, index: number::Index) {
        let Some(base) = self.position(index) else {
            return;
        };
        let members = self.members_at(index).clone();
        let drop = index.0 - self.base.index.0;
        let drop = usize::try_from(drop).unwrap_or(usize::MAX);
        self.entries.drain(..drop.min(self.entries.len()));
        self.base = base;
        self.memberships.retain(|(at, _)| *at > index);
        self.memberships.insert(0, (index, members));
    }

    fn latest(&self) -> &(number::Index, members::Members) {
        let last = self.memberships.len() - 1;
        &self.memberships[last]
    }
}
