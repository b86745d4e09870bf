//! Reads log segments and joins them with the snapshot.

use cranberrygap_agreement::{entry, hard, position, snapshot};
use cranberrygap_model::number;
use serde::de::DeserializeOwned;

use crate::{error, files, frame, identity, name, record};

/// One segment as read.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) name: String,
    pub(crate) header: record::Header,
    pub(crate) records: Vec<record::Record>,
    /// Length of what is whole.
    pub(crate) whole: u64,
    /// Length of a torn tail.
    pub(crate) torn: u64,
}

/// All segments; the last one may have a torn tail.
#[derive(Debug, Default)]
pub(crate) struct Segments {
    pub(crate) list: Vec<Segment>,
    /// A last segment whose header never became whole.
    pub(crate) stillborn: Option<String>,
}

/// Reads all segments in `names`.
pub(crate) fn read(
    files: &dyn files::Files,
    names: &[String],
    identity: &identity::Identity,
) -> Result<Segments, error::Error> {
    let mut sequences: Vec<u64> = names
        .iter()
        .filter_map(|n| name::segment_sequence(n))
        .collect();
    sequences.sort_unstable();
    let mut segments = Segments::default();
    for (at, sequence) in sequences.iter().enumerate() {
        let name = name::segment(*sequence);
        let follows = at == 0 || sequences[at - 1] + 1 == *sequence;
        if !follows {
            return Err(error::Error::damaged(
                &name,
                0,
                "the segment before it is missing",
            ));
        }
        let bytes = files.read(&name).map_err(error::Error::io(&name, "read"))?;
        let last = at + 1 == sequences.len();
        let torn = frame::look(&bytes, 0) == frame::Found::Torn;
        if last && torn && frame::find_after(&bytes, 0).is_none() {
            // Term and vote may stand in the header only. It can be torn while
            // an earlier segment holds them, or before there was a vote.
            if at == 0 && identity.formed.is_some() {
                return Err(error::Error::damaged(
                    &name,
                    0,
                    "the header's checksum is wrong",
                ));
            }
            segments.stillborn = Some(name);
            break;
        }
        let segment = parse(name, &bytes, last)?;
        if segment.header.replica != identity.replica {
            return Err(error::Error::damaged(
                &segment.name,
                0,
                "it belongs to another replica",
            ));
        }
        segments.list.push(segment);
    }
    Ok(segments)
}

fn parse(name: String, bytes: &[u8], last: bool) -> Result<Segment, error::Error> {
    let header: record::Header = decode(&name, bytes, 0)?;
    if header.version != record::VERSION {
        return Err(error::Error::damaged(
            &name,
            0,
            "the form is of another version",
        ));
    }
    let mut records = Vec::new();
    let mut offset = next(bytes, 0);
    while offset < bytes.len() {
        let found = frame::look(bytes, offset);
        if !matches!(found, frame::Found::Whole(_)) {
            // A crash leaves the last write half done. Nothing in it was
            // acknowledged, and no later write was begun before it was synced.
            // A whole frame behind it means that synced data was damaged.
            let torn = found == frame::Found::Torn;
            if torn && last && frame::find_after(bytes, offset).is_none() {
                break;
            }
            return Err(error::Error::damaged(
                &name,
                offset,
                "a frame's checksum is wrong",
            ));
        }
        let more: Vec<record::Record> = decode(&name, bytes, offset)?;
        records.extend(more);
        offset = next(bytes, offset);
    }
    Ok(Segment {
        name,
        header,
        records,
        whole: offset as u64,
        torn: (bytes.len() - offset) as u64,
    })
}

fn next(bytes: &[u8], offset: usize) -> usize {
    let payload = frame::decode(bytes, offset).map_or(0, <[u8]>::len);
    offset + frame::HEAD + payload
}

fn decode<T: DeserializeOwned>(name: &str, bytes: &[u8], offset: usize) -> Result<T, error::Error> {
    let payload = frame::decode(bytes, offset)
        .ok_or_else(|| error::Error::damaged(name, offset, "a frame's checksum is wrong"))?;
    postcard::from_bytes(payload)
        .map_err(|_cause| error::Error::damaged(name, offset, "a frame cannot be understood"))
}

/// The log that the segments make up.
#[derive(Debug, Default)]
pub(crate) struct Joined {
    pub(crate) hard: hard::State,
    pub(crate) base: position::Position,
    pub(crate) entries: Vec<entry::Entry>,
    /// Whether the segments' entries were dropped for the snapshot's sake.
    pub(crate) discarded: bool,
}

impl Joined {
    /// Replays all segments and drops what the snapshot contains.
    pub(crate) fn new(
        segments: &Segments,
        snapshot: Option<&snapshot::Snapshot>,
    ) -> Result<Self, error::Error> {
        let mut joined = Self::default();
        for (at, segment) in segments.list.iter().enumerate() {
            joined.begin(segment, at == 0)?;
            for record in &segment.records {
                joined.take(segment, record)?;
            }
        }
        joined.join(segments, snapshot)?;
        Ok(joined)
    }

    fn begin(&mut self, segment: &Segment, first: bool) -> Result<(), error::Error> {
        let header = &segment.header;
        self.hard = header.hard;
        if first || header.reset {
            self.base = header.base;
            self.entries.clear();
            return Ok(());
        }
        if self.last() != header.base {
            let what = "it does not continue the segment before it";
            return Err(error::Error::damaged(&segment.name, 0, what));
        }
        Ok(())
    }

    fn take(&mut self, segment: &Segment, record: &record::Record) -> Result<(), error::Error> {
        let entry = match record {
            record::Record::Hard(hard) => {
                self.hard = *hard;
                return Ok(());
            }
            record::Record::Entry(entry) => entry,
        };
        let index = entry.position.index.0;
        if (1..=self.base.index.0).contains(&index) {
            // It replaced entries of a segment that a snapshot made needless;
            // `join` sees to it that the snapshot reaches this far.
            self.entries.clear();
            self.base = position::Position {
                term: number::Term(0),
                index: number::Index(index - 1),
            };
        }
        if index <= self.base.index.0 || index > self.last().index.0 + 1 {
            let whole = usize::try_from(segment.whole).unwrap_or(usize::MAX);
            let what = format!("entry {index} does not follow {}", self.last().index);
            return Err(error::Error::damaged(&segment.name, whole, &what));
        }
        let keep = usize::try_from(index - self.base.index.0 - 1).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        self.entries.push(entry.clone());
        Ok(())
    }

    pub(crate) fn last(&self) -> position::Position {
        self.entries
            .last()
            .map_or(self.base, |entry| entry.position)
    }

    fn join(
        &mut self,
        segments: &Segments,
        snapshot: Option<&snapshot::Snapshot>,
    ) -> Result<(), error::Error> {
        let end = snapshot.map(|found| found.position).unwrap_or_default();
        if end.index < self.base.index {
            let first = segments.list.first().map(|segment| segment.name.as_str());
            let what = format!("the snapshot up to entry {} is missing", self.base.index);
            let file = first.unwrap_or_default();
            return Err(error::Error::damaged(file, 0, &what));
        }
        let mut known = self.entries.iter().map(|entry| entry.position);
        // A snapshot from the leader was written, but the crash came before the
        // log was begun anew. What the old log holds disagrees or ends earlier.
        let agrees = end == self.base || known.any(|position| position == end);
        if agrees {
            self.entries
                .retain(|entry| entry.position.index > end.index);
        } else {
            self.discarded = !segments.list.is_empty();
            self.entries.clear();
        }
        self.base = end;
        Ok(())
    }
}
