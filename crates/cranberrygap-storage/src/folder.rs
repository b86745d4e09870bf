//! The data folder of one replica, open for writing.

use cranberrygap_agreement::{formation, hard, position, replica, write};
use cranberrygap_model::{id, number};

use crate::{error, files, frame, identity, name, reader, record, recovered, snapshots};

/// Size at which a new segment is started, in bytes. Limits how many log entries
/// a restart reads although a snapshot already contains them.
const SEGMENT_BYTES: u64 = 1 << 20;

/// Largest frame that is written, in bytes; a larger batch is synced in several frames.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// A segment file and the highest entry index in it.
#[derive(Debug, Clone, Copy)]
struct Segment {
    sequence: u64,
    last_index: number::Index,
}

/// A data folder open for writing.
#[derive(Debug)]
pub struct Folder {
    files: Box<dyn files::Files>,
    identity: identity::Identity,
    hard: hard::State,
    last: position::Position,
    segments: Vec<Segment>,
    segment_bytes: u64,
    failed: bool,
}

impl Folder {
    /// Opens a folder and reads its content; an empty folder gets the replica id `new_id`.
    ///
    /// # Errors
    ///
    /// The folder belongs to another instance, is damaged, or cannot be written.
    pub fn open(
        mut files: Box<dyn files::Files>,
        instance: &id::Instance,
        new_id: replica::Id,
    ) -> Result<(Self, recovered::Recovered), error::Error> {
        let names = files.list().map_err(error::Error::io("folder", "list"))?;
        let identity = match read_identity(files.as_ref(), &names)? {
            Some(found) => found,
            None => create_identity(files.as_mut(), &names, instance, new_id)?,
        };
        if identity.instance != *instance {
            return Err(error::Error::Foreign {
                found: identity.instance.to_string(),
                wanted: instance.to_string(),
            });
        }
        remove_temporary(files.as_mut(), &names)?;
        let index = snapshots::latest(&names);
        let snapshot = index.map(|index| snapshots::read(files.as_ref(), index));
        let snapshot = snapshot.transpose()?;
        let segments = reader::read(files.as_ref(), &names, &identity)?;
        let log = reader::Log::new(&segments, snapshot.as_deref())?;
        let truncated_bytes = rewrite_last_segment(files.as_mut(), &segments)?;
        let mut folder = Self {
            files,
            identity: identity.clone(),
            hard: log.hard,
            last: log.last(),
            segments: to_segments(&segments),
            segment_bytes: 0,
            failed: false,
        };
        // Each opening starts a new segment, so that no data is ever appended to a
        // segment whose tail was truncated.
        folder.begin_segment(log.discarded)?;
        let recovered = recovered::Recovered {
            identity,
            hard: log.hard,
            snapshot,
            entries: log.entries,
            truncated_bytes,
        };
        Ok((folder, recovered))
    }

    /// Identity of the replica.
    #[must_use]
    pub fn identity(&self) -> &identity::Identity {
        &self.identity
    }

    /// Whether a write has failed; all later writes are then refused.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Stores the group that this replica belongs to.
    ///
    /// # Errors
    ///
    /// The folder cannot be written.
    pub fn record_group(&mut self, formed: formation::Formed) -> Result<(), error::Error> {
        let mut identity = self.identity.clone();
        identity.formed = Some(formed);
        let written = write_identity(self.files.as_mut(), &identity);
        self.note_failure(written)?;
        self.identity = identity;
        Ok(())
    }

    /// Makes a batch of writes durable, with one sync if it contains no snapshot.
    ///
    /// # Errors
    ///
    /// A write or sync failed. No write of the batch may be acknowledged, and the
    /// folder refuses all later writes: after a failed fsync the operating system
    /// may report success for data that it has discarded.
    pub fn write(&mut self, batch: &[write::Write]) -> Result<(), error::Error> {
        if self.failed {
            return Err(error::Error::Failed);
        }
        let written = self.write_batch(batch);
        self.note_failure(written)
    }

    /// Records a failure, so that `write` refuses all later batches.
    fn note_failure<T>(&mut self, outcome: Result<T, error::Error>) -> Result<T, error::Error> {
        self.failed |= outcome.is_err();
        outcome
    }

    fn write_batch(&mut self, batch: &[write::Write]) -> Result<(), error::Error> {
        let mut pending = Vec::new();
        let mut size = 0;
        for write in batch {
            if let Some(hard) = write.hard {
                self.hard = hard;
                pending.push(record::Record::Hard(hard));
            }
            if let Some(snapshot) = &write.snapshot {
                self.flush_records(&mut pending)?;
                snapshots::write(self.files.as_mut(), snapshot)?;
                if write.reset {
                    self.last = snapshot.position;
                    self.begin_segment(true)?;
                }
                self.remove_covered(snapshot.position.index)?;
            }
            for entry in &write.entries {
                self.last = entry.position;
                size += entry.size();
                pending.push(record::Record::Entry(entry.clone()));
                if size >= MAX_FRAME_BYTES {
                    size = 0;
                    self.flush_records(&mut pending)?;
                }
            }
        }
        self.flush_records(&mut pending)
    }

    /// Writes pending records as one frame and starts a new segment if this one is full.
    fn flush_records(&mut self, pending: &mut Vec<record::Record>) -> Result<(), error::Error> {
        if pending.is_empty() {
            return Ok(());
        }
        let payload = postcard::to_stdvec(pending).expect("records are always encodable");
        pending.clear();
        self.write_frame(&payload)?;
        if self.segment_bytes >= SEGMENT_BYTES {
            self.begin_segment(false)?;
        }
        Ok(())
    }

    fn write_frame(&mut self, payload: &[u8]) -> Result<(), error::Error> {
        let bytes = frame::encode(payload);
        let last = self.last.index;
        let current = self.segments.last_mut().expect("a segment is always open");
        // The segment may contain replaced entries with a higher index.
        current.last_index = current.last_index.max(last);
        let name = name::segment(current.sequence);
        let wrap = |action| error::Error::io(&name, action);
        self.files.append(&name, &bytes).map_err(wrap("write"))?;
        self.files.sync(&name).map_err(wrap("sync"))?;
        self.segment_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Starts a new segment with a header; `reset` drops the entries of earlier segments.
    fn begin_segment(&mut self, reset: bool) -> Result<(), error::Error> {
        let sequence = self
            .segments
            .last()
            .map_or(1, |segment| segment.sequence + 1);
        let last_index = self.last.index;
        self.segments.push(Segment {
            sequence,
            last_index,
        });
        self.segment_bytes = 0;
        let header = record::Header {
            version: record::VERSION,
            replica: self.identity.replica,
            sequence,
            base: self.last,
            reset,
            hard: self.hard,
        };
        let payload = postcard::to_stdvec(&header).expect("a header is always encodable");
        self.write_frame(&payload)?;
        let wrap = error::Error::io("folder", "sync");
        self.files.sync_folder().map_err(wrap)
    }

    /// Removes the snapshots and segments that the snapshot at `index` covers.
    fn remove_covered(&mut self, index: number::Index) -> Result<(), error::Error> {
        let names = self.files.list();
        let names = names.map_err(error::Error::io("folder", "list"))?;
        let older = |name: &&String| name::snapshot_index(name).is_some_and(|at| at < index);
        for name in names.iter().filter(older) {
            let wrap = error::Error::io(name, "remove");
            self.files.remove(name).map_err(wrap)?;
        }
        while self.segments.len() > 1 && self.segments[0].last_index <= index {
            let name = name::segment(self.segments[0].sequence);
            let wrap = error::Error::io(&name, "remove");
            self.files.remove(&name).map_err(wrap)?;
            self.segments.remove(0);
            // Each removal is synced before the next, because a crash could otherwise
            // leave a gap between segments, which is reported as a missing segment.
            let wrap = error::Error::io("folder", "sync");
            self.files.sync_folder().map_err(wrap)?;
        }
        Ok(())
    }
}

fn to_segments(segments: &reader::Segments) -> Vec<Segment> {
    let list = segments.list.iter().map(|segment| {
        let entries = segment.records.iter().filter_map(|record| match record {
            record::Record::Entry(entry) => Some(entry.position.index),
            record::Record::Hard(_) => None,
        });
        Segment {
            sequence: segment.header.sequence,
            last_index: entries.max().unwrap_or(segment.header.base.index),
        }
    });
    list.collect()
}

/// Reads the identity, if the folder has one.
pub(crate) fn read_identity(
    files: &dyn files::Files,
    names: &[String],
) -> Result<Option<identity::Identity>, error::Error> {
    let name = name::IDENTITY;
    if !names.iter().any(|found| found == name) {
        return Ok(None);
    }
    let bytes = files.read(name).map_err(error::Error::io(name, "read"))?;
    let payload = frame::decode(&bytes, 0)
        .ok_or_else(|| error::Error::damaged(name, 0, "the checksum is wrong"))?;
    postcard::from_bytes(payload)
        .map(Some)
        .map_err(|_cause| error::Error::damaged(name, 0, "the identity cannot be decoded"))
}

fn create_identity(
    files: &mut dyn files::Files,
    names: &[String],
    instance: &id::Instance,
    new_id: replica::Id,
) -> Result<identity::Identity, error::Error> {
    // The identity is the first file written. If data exists without it, it was
    // removed; with a new identity the replica would forget its votes.
    if let Some(found) = names.iter().find(|name| name::is_data(name)) {
        return Err(error::Error::damaged(found, 0, name::IDENTITY_MISSING));
    }
    let identity = identity::Identity {
        replica: new_id,
        instance: instance.clone(),
        formed: None,
    };
    write_identity(files, &identity)?;
    Ok(identity)
}

fn write_identity(
    files: &mut dyn files::Files,
    identity: &identity::Identity,
) -> Result<(), error::Error> {
    let payload = postcard::to_stdvec(identity).expect("an identity is always encodable");
    snapshots::replace_file(files, name::IDENTITY, &frame::encode(&payload))
}

fn remove_temporary(files: &mut dyn files::Files, names: &[String]) -> Result<(), error::Error> {
    for name in names
        .iter()
        .filter(|name| name.ends_with(name::TEMPORARY_SUFFIX))
    {
        let current_names = files.list().map_err(error::Error::io(name, "list"))?;
        if current_names.contains(name) {
            files
                .remove(name)
                .map_err(error::Error::io(name, "remove"))?;
        }
    }
    Ok(())
}

/// Rewrites and syncs the last segment without its torn tail; returns the tail's length.
///
/// A process that was killed between a write and its sync, or whose sync failed,
/// leaves data in the page cache that can be read but is not durable. If the
/// replica acknowledged this data, the next power loss would lose it.
fn rewrite_last_segment(
    files: &mut dyn files::Files,
    segments: &reader::Segments,
) -> Result<u64, error::Error> {
    if let Some(name) = &segments.without_header {
        let wrap = error::Error::io(name, "remove");
        files.remove(name).map_err(wrap)?;
    }
    let Some(segment) = segments.list.last() else {
        return Ok(0);
    };
    let name = &segment.name;
    let bytes = files.read(name).map_err(error::Error::io(name, "read"))?;
    let intact_length = usize::try_from(segment.intact_bytes).unwrap_or(usize::MAX);
    let intact = bytes.get(..intact_length).unwrap_or(&bytes);
    snapshots::replace_file(files, name, intact)?;
    Ok(segment.torn_bytes)
}
