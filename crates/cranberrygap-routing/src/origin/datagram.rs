//! Datagrams between entries and control processes about where streams began.

use std::collections::BTreeMap;

use cranberrygap_model::duration;
use serde::{Deserialize, Serialize};

use super::{Digest, Key, Record};

/// Largest datagram, which is carried without fragmentation, in bytes.
pub const MAX_BYTES: usize = 1_400;

/// Streams in one datagram; no more would fit.
const MAX_STREAMS: usize = 100;

/// Unit of the time for which a record matters. It is rounded up.
const TICK: duration::Span = duration::Span::from_millis(100);

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Streams that an entry forwards, which began at one origin.
    Told {
        /// What began them.
        origin: Digest,
        /// Their [short keys](Key::short), and the ticks for which each matters.
        streams: Vec<(Key, u16)>,
    },
    /// Asks for the origin of a stream.
    Question {
        /// Number that the answer repeats.
        number: u32,
        /// Short key of the stream.
        key: Key,
    },
    /// Answer to a question.
    Answer {
        /// Number of the question.
        number: u32,
        /// Origin of the stream; absent if it is not known.
        origin: Option<Digest>,
    },
}

impl Datagram {
    /// Returns datagrams that tell all records.
    #[must_use]
    pub fn tell(records: &[Record]) -> Vec<Self> {
        let mut by_origin: BTreeMap<Digest, Vec<(Key, u16)>> = BTreeMap::new();
        for record in records {
            let streams = by_origin.entry(Digest::of(&record.origin)).or_default();
            streams.push((record.key.short(), to_ticks(record.time_left)));
        }
        let mut datagrams = Vec::new();
        for (origin, streams) in by_origin {
            datagrams.extend(streams.chunks(MAX_STREAMS).map(|streams| Self::Told {
                origin,
                streams: streams.to_vec(),
            }));
        }
        datagrams
    }
}

/// Returns a time in ticks.
#[must_use]
pub fn to_ticks(time: duration::Span) -> u16 {
    u16::try_from(time.0.div_ceil(TICK.0)).unwrap_or(u16::MAX)
}

/// Returns the time of so many ticks.
#[must_use]
pub fn to_time(ticks: u16) -> duration::Span {
    duration::Span(u64::from(ticks) * TICK.0)
}
