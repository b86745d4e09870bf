//! Reads log segments and combines them with the snapshot.

use cranberrygap_agreement::{entry, hard, position, snapshot};
use cranberrygap_model::number;
use serde::de::DeserializeOwned;

use crate::{error, files, frame, identity, name, record};

/// Content of one segment.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) name: String,
    pub(crate) header: record::Header,
    pub(crate) records: Vec<record::Record>,
    /// Length of the intact part, in bytes.
    pub(crate) intact_bytes: u64,
    /// Length of the torn tail, in bytes.
    pub(crate) torn_bytes: u64,
}

/// Segments in order; the last one may have a torn tail.
#[derive(Debug, Default)]
pub(crate) struct Segments {
    pub(crate) list: Vec<Segment>,
    /// File name of a last segment whose header is torn.
    pub(crate) without_header: Option<String>,
}

/// Reads and checks all segments in `names`.
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
        let torn = frame::inspect(&bytes, 0) == frame::Status::Torn;
        if last && torn && frame::find_intact_after(&bytes, 0).is_none() {
            // The term and vote may be stored in the header only. A torn header is
            // safe if an earlier segment has them, or if no group was formed yet.
            if at == 0 && identity.formed.is_some() {
                return Err(error::Error::damaged(
                    &name,
                    0,
                    "the header's checksum is wrong",
                ));
            }
            segments.without_header = Some(name);
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
            "the format version is not supported",
        ));
    }
    let mut records = Vec::new();
    let mut offset = next_offset(bytes, 0);
    while offset < bytes.len() {
        let status = frame::inspect(bytes, offset);
        if !matches!(status, frame::Status::Intact(_)) {
            // A crash can leave the last write incomplete. Its content was never
            // acknowledged, and each write is synced before the next one starts.
            // An intact frame after it means that synced data was damaged.
            let torn = status == frame::Status::Torn;
            if torn && last && frame::find_intact_after(bytes, offset).is_none() {
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
        offset = next_offset(bytes, offset);
    }
    Ok(Segment {
        name,
        header,
        records,
        intact_bytes: offset as u64,
        torn_bytes: (bytes.len() - offset) as u64,
    })
}

/// Offset after the frame at `offset`.
fn next_offset(bytes: &[u8], offset: usize) -> usize {
    let payload = frame::decode(bytes, offset).map_or(0, <[u8]>::len);
    offset + frame::HEADER_BYTES + payload
}

fn decode<T: DeserializeOwned>(name: &str, bytes: &[u8], offset: usize) -> Result<T, error::Error> {
    let payload = frame::decode(bytes, offset)
        .ok_or_else(|| error::Error::damaged(name, offset, "a frame's checksum is wrong"))?;
    postcard::from_bytes(payload)
        .map_err(|_cause| error::Error::damaged(name, offset, "a frame cannot be decoded"))
}

/// The log that results from replaying the segments.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) hard: hard::State,
    pub(crate) base: position::Position,
    pub(crate) entries: Vec<entry::Entry>,
    /// Whether the entries of the segments were dropped because of the snapshot.
    pub(crate) discarded: bool,
}

impl Log {
    /// Replays all segments and drops the entries that the snapshot contains.
    pub(crate) fn new(
        segments: &Segments,
        snapshot: Option<&snapshot::Snapshot>,
    ) -> Result<Self, error::Error> {
        let mut log = Self::default();
        for (at, segment) in segments.list.iter().enumerate() {
            log.begin_segment(segment, at == 0)?;
            for record in &segment.records {
                log.apply(segment, record)?;
            }
        }
        log.apply_snapshot(segments, snapshot)?;
        Ok(log)
    }

    /// Applies a segment header and checks that the segment continues the log.
    fn begin_segment(&mut self, segment: &Segment, first: bool) -> Result<(), error::Error> {
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

    /// Applies a record; an entry replaces all entries from its index on.
    fn apply(&mut self, segment: &Segment, record: &record::Record) -> Result<(), error::Error> {
        let entry = match record {
            record::Record::Hard(hard) => {
                self.hard = *hard;
                return Ok(());
            }
            record::Record::Entry(entry) => entry,
        };
        let index = entry.position.index.0;
        if (1..=self.base.index.0).contains(&index) {
            // The entry replaced entries of a segment that was removed after a
            // snapshot; `apply_snapshot` checks that the snapshot covers the gap.
            self.entries.clear();
            self.base = position::Position {
                term: number::Term(0),
                index: number::Index(index - 1),
            };
        }
        if index <= self.base.index.0 || index > self.last().index.0 + 1 {
            let offset = usize::try_from(segment.intact_bytes).unwrap_or(usize::MAX);
            let what = format!("entry {index} does not follow {}", self.last().index);
            return Err(error::Error::damaged(&segment.name, offset, &what));
        }
        let retained = usize::try_from(index - self.base.index.0 - 1).unwrap_or(usize::MAX);
        self.entries.truncate(retained);
        self.entries.push(entry.clone());
        Ok(())
    }

    pub(crate) fn last(&self) -> position::Position {
        self.entries
            .last()
            .map_or(self.base, |entry| entry.position)
    }

    /// Drops the entries that the snapshot contains, or all if they conflict with it.
    fn apply_snapshot(
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
        let mut positions = self.entries.iter().map(|entry| entry.position);
        // If the log does not contain the snapshot's position, a crash occurred after
        // a snapshot from the leader was written and before the log was restarted. The
        // old log then conflicts with the snapshot or ends before it.
        let agrees = end == self.base || positions.any(|position| position == end);
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
