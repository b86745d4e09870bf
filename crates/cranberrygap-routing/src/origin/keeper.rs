//! What one entry knows of the origins of streams.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cranberrygap_model::{address, duration, id};
use smallvec::SmallVec;

use super::{Book, Entry, HOMES, Insertion, Key, Origin, Record, homes};

/// Keeps the origins of streams, and knows which entries to tell and to ask.
#[derive(Debug, Default)]
pub struct Keeper {
    book: Book,
    /// This entry.
    own: Option<id::Instance>,
    /// Entries that keep origins, this one among them.
    entries: Vec<Entry>,
    /// Services of which no view alone proves what began a stream.
    contested: BTreeSet<id::Service>,
}

impl Keeper {
    /// Creates a keeper of the entry `own`.
    #[must_use]
    pub fn new(own: id::Instance) -> Self {
        Self {
            own: Some(own),
            ..Self::default()
        }
    }

    /// Applies the entries of a new view, and the services that are [contested](super::contested).
    /// Returns what has to be told to whom: the streams of services that are contested from now on.
    pub fn apply_view(
        &mut self,
        now: duration::Instant,
        entries: Vec<Entry>,
        contested: BTreeSet<id::Service>,
    ) -> Vec<(address::Socket, Record)> {
        self.entries = entries;
        let previous = std::mem::replace(&mut self.contested, contested);
        let streams = self.book.iter(now).filter(|(_, origin, _)| {
            self.contested.contains(&origin.service) && !previous.contains(&origin.service)
        });
        let records = streams.flat_map(|(key, origin, until)| {
            let record = Record {
                key,
                origin: origin.clone(),
                time_left: until.since(now),
            };
            self.other_homes(key)
                .into_iter()
                .map(move |home| (home, record.clone()))
        });
        records.collect()
    }

    /// Records that this entry forwards events of a stream that began at `origin`. Returns the
    /// homes that have to be told, none while the service is not contested.
    pub fn record(
        &mut self,
        now: duration::Instant,
        record: &Record,
    ) -> (Insertion, SmallVec<[address::Socket; HOMES]>) {
        let insertion = self.apply_record(now, record);
        if !self.is_contested(&record.origin.service) {
            return (insertion, SmallVec::new());
        }
        (insertion, self.other_homes(record.key))
    }

    /// Returns whether no view alone proves what began a stream of a service.
    #[must_use]
    pub fn is_contested(&self, service: &id::Service) -> bool {
        self.contested.contains(service)
    }

    /// Returns the streams of contested services that this entry knows.
    #[must_use]
    pub fn contested_records(&self, now: duration::Instant) -> Vec<Record> {
        let streams = self.book.iter(now);
        let contested = streams.filter(|(_, origin, _)| self.is_contested(&origin.service));
        let records = contested.map(|(key, origin, until)| Record {
            key,
            origin: origin.clone(),
            time_left: until.since(now),
        });
        records.collect()
    }

    /// Records what another entry tells.
    pub fn apply_record(&mut self, now: duration::Instant, record: &Record) -> Insertion {
        let until = now.after(record.time_left);
        self.book.insert(now, record.key, &record.origin, until)
    }

    /// Returns the origin of a stream, if this entry has a record of it.
    #[must_use]
    pub fn find(&self, now: duration::Instant, key: Key) -> Option<&Origin> {
        self.book.get(now, key)
    }

    /// Returns the origin of a stream that this entry has a record of, and how long it lasts.
    #[must_use]
    pub fn answer(&self, now: duration::Instant, key: Key) -> Option<Record> {
        let (origin, until) = self.book.get_with_end(now, key)?;
        Some(Record {
            key,
            origin: origin.clone(),
            time_left: until.since(now),
        })
    }

    /// Returns the homes of a stream beside this entry, which are asked first.
    #[must_use]
    pub fn other_homes(&self, key: Key) -> SmallVec<[address::Socket; HOMES]> {
        let homes = homes(key, &self.entries).into_iter();
        let others = homes.filter(|home| Some(&home.instance) != self.own.as_ref());
        others.map(|home| home.address).collect()
    }

    /// Returns whether an address belongs to an entry of the view.
    #[must_use]
    pub fn is_entry(&self, address: SocketAddr) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.address.0 == address)
    }

    /// Returns all entries beside this one.
    pub fn other_entries(&self) -> impl Iterator<Item = address::Socket> + '_ {
        let entries = self.entries.iter();
        let others = entries.filter(|entry| Some(&entry.instance) != self.own.as_ref());
        others.map(|entry| entry.address)
    }

    /// Number of streams whose origin is remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.book.len()
    }

    /// Whether no origin is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.book.is_empty()
    }
}
