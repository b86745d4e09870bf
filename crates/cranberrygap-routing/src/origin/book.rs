//! Origins that an entry remembers.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::duration;

use super::{Key, Origin};

/// Streams that are remembered at most, some 10 MB. An entry of the largest fleet planned for
/// begins or is told of some 20 a second.
const MAX_STREAMS: usize = 1 << 16;

/// Origins by stream, each until its caller cannot come back any more.
///
/// `T` is what tells an origin.
#[derive(Debug)]
pub struct Book<T = Origin> {
    streams: BTreeMap<Key, Kept<T>>,
    by_end: BTreeSet<(duration::Instant, Key)>,
}

#[derive(Debug, Clone)]
struct Kept<T> {
    /// Absent if two origins were told; neither is believed.
    origin: Option<T>,
    until: duration::Instant,
}

/// Result of an insertion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Insertion {
    /// The stream was not known.
    New,
    /// The stream was known with the same origin.
    Known,
    /// The stream was known with another origin. Its caller may not go on any more.
    Conflict,
    /// The stream is new, and another one was forgotten in its place.
    Replaced,
}

impl<T> Default for Book<T> {
    fn default() -> Self {
        Self {
            streams: BTreeMap::new(),
            by_end: BTreeSet::new(),
        }
    }
}

impl<T: Clone + PartialEq> Book<T> {
    /// Remembers the origin of a stream until `until`.
    pub fn insert(
        &mut self,
        now: duration::Instant,
        key: Key,
        origin: &T,
        until: duration::Instant,
    ) -> Insertion {
        self.forget_ended(now);
        if let Some(kept) = self.streams.get_mut(&key) {
            self.by_end.remove(&(kept.until, key));
            kept.until = kept.until.max(until);
            self.by_end.insert((kept.until, key));
            if kept.origin.as_ref() == Some(origin) {
                return Insertion::Known;
            }
            kept.origin = None;
            return Insertion::Conflict;
        }
        let kept = Kept {
            origin: Some(origin.clone()),
            until,
        };
        self.streams.insert(key, kept);
        self.by_end.insert((until, key));
        if self.streams.len() <= MAX_STREAMS {
            return Insertion::New;
        }
        if let Some((_, first)) = self.by_end.pop_first() {
            self.streams.remove(&first);
        }
        Insertion::Replaced
    }

    /// Returns the origin of a stream.
    #[must_use]
    pub fn get(&self, now: duration::Instant, key: Key) -> Option<&T> {
        self.get_with_end(now, key).map(|(origin, _)| origin)
    }

    /// Returns the origin of a stream, and when it is forgotten.
    #[must_use]
    pub fn get_with_end(
        &self,
        now: duration::Instant,
        key: Key,
    ) -> Option<(&T, duration::Instant)> {
        let kept = self.streams.get(&key).filter(|kept| now < kept.until)?;
        Some((kept.origin.as_ref()?, kept.until))
    }

    /// Returns the streams that last, with their origins and ends.
    pub fn iter(
        &self,
        now: duration::Instant,
    ) -> impl Iterator<Item = (Key, &T, duration::Instant)> {
        let lasting = self
            .streams
            .iter()
            .filter(move |(_, kept)| now < kept.until);
        lasting.filter_map(|(key, kept)| Some((*key, kept.origin.as_ref()?, kept.until)))
    }

    /// Number of streams that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn forget_ended(&mut self, now: duration::Instant) {
        while let Some((until, key)) = self.by_end.first().copied() {
            if now < until {
                return;
            }
            self.by_end.pop_first();
            self.streams.remove(&key);
        }
    }
}
