//! The data folder of one replica, open for writing.

use cranberrygap_agreement::{formation, hard, position, replica, write};
use cranberrygap_model::{id, number};

use crate::{error, files, frame, identity, name, reader, record, recovered, snapshots};

/// Size from which a new segment is begun, in bytes. Bounds how much of the log
/// a restart reads that a snapshot already covers.
const SEGMENT_SIZE: u64 = 1 << 20;

/// Largest frame that is written, in bytes; a larger batch takes several syncs.
const FRAME_SIZE: usize = 8 << 20;

/// A segment and the last index that it contributed.
#[derive(Debug, Clone, Copy)]
struct Kept {
    sequence: u64,
    last: number::Index,
}

/// An open data folder.
#[derive(Debug)]
pub struct Folder {
    files: Box<dyn files::Files>,
    identity: identity::Identity,
    hard: hard::State,
    last: position::Position,
    kept: Vec<Kept>,
    size: u64,
    failed: bool,
}

impl Folder {
    /// Opens a folder; an empty one gets an identity with the id `drawn`.
    ///
    /// # Errors
    ///
    /// The folder belongs to another instance, is damaged, or cannot be written.
    pub fn open(
        mut files: Box<dyn files::Files>,
        instance: &id::Instance,
        drawn: replica::Id,
    ) -> Result<(Self, recovered::Recovered), error::Error> {
        let names = files.list().map_err(error::Error::io("folder", "list"))?;
        let identity = match read_identity(files.as_ref(), &names)? {
            Some(found) => found,
            None => create_identity(files.as_mut(), &names, instance, drawn)?,
        };
        if identity.instance != *instance {
            return Err(error::Error::Foreign {
                found: identity.instance.to_string(),
                wanted: instance.to_string(),
            });
        }
        remove_unfinished(files.as_mut(), &names)?;
        let index = snapshots::latest(&names);
        let snapshot = index.map(|index| snapshots::read(files.as_ref(), index));
        let snapshot = snapshot.transpose()?;
        let segments = reader::read(files.as_ref(), &names, &identity)?;
        let joined = reader::Joined::new(&segments, snapshot.as_deref())?;
        let cut = renew_tail(files.as_mut(), &segments)?;
        let mut folder = Self {
            files,
            identity: identity.clone(),
            hard: joined.hard,
            last: joined.last(),
            kept: kept(&segments),
            size: 0,
            failed: false,
        };
        // Each opening begins a segment, so that a cut tail stays the last thing
        // that was ever written to its file.
        folder.begin_segment(joined.discarded)?;
        let recovered = recovered::Recovered {
            identity,
            hard: joined.hard,
            snapshot,
            entries: joined.entries,
            truncated_bytes: cut,
        };
        Ok((folder, recovered))
    }

    /// Identity of the replica.
    #[must_use]
    pub fn identity(&self) -> &identity::Identity {
        &self.identity
    }

    /// Whether a write failed, so that nothing is taken any more.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Records the group that this replica belongs to.
    ///
    /// # Errors
    ///
    /// The folder cannot be written.
    pub fn record_group(&mut self, formed: formation::Formed) -> Result<(), error::Error> {
        let mut identity = self.identity.clone();
        identity.formed = Some(formed);
        let written = write_identity(self.files.as_mut(), &identity);
        self.settle(written)?;
        self.identity = identity;
        Ok(())
    }

    /// Makes a batch of writes durable, with one sync if it holds no snapshot.
    ///
    /// # Errors
    ///
    /// A write or sync failed. Nothing of the batch may be acknowledged, and
    /// the folder takes nothing more: after a failed sync the operating system
    /// may report success for data that it has dropped.
    pub fn write(&mut self, batch: &[write::Write]) -> Result<(), error::Error> {
        if self.failed {
            return Err(error::Error::Failed);
        }
        let written = self.write_batch(batch);
        self.settle(written)
    }

    fn settle<T>(&mut self, outcome: Result<T, error::Error>) -> Result<T, error::Error> {
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
                self.write_records(&mut pending)?;
                snapshots::write(self.files.as_mut(), snapshot)?;
                if write.reset {
                    self.last = snapshot.position;
                    self.begin_segment(true)?;
                }
                self.drop_before(snapshot.position.index)?;
            }
            for entry in &write.entries {
                self.last = entry.position;
                size += entry.size();
                pending.push(record::Record::Entry(entry.clone()));
                if size >= FRAME_SIZE {
                    size = 0;
                    self.write_records(&mut pending)?;
                }
            }
        }
        self.write_records(&mut pending)
    }

    fn write_records(&mut self, pending: &mut Vec<record::Record>) -> Result<(), error::Error> {
        if pending.is_empty() {
            return Ok(());
        }
        let payload = postcard::to_stdvec(pending).expect("records are always encodable");
        pending.clear();
        self.write_frame(&payload)?;
        if self.size >= SEGMENT_SIZE {
            self.begin_segment(false)?;
        }
        Ok(())
    }

    fn write_frame(&mut self, payload: &[u8]) -> Result<(), error::Error> {
        let bytes = frame::encode(payload);
        let last = self.last.index;
        let current = self.kept.last_mut().expect("a segment is always open");
        // An entry that is replaced later may have had a higher index.
        current.last = current.last.max(last);
        let name = name::segment(current.sequence);
        let wrap = |action| error::Error::io(&name, action);
        self.files.append(&name, &bytes).map_err(wrap("write"))?;
        self.files.sync(&name).map_err(wrap("sync"))?;
        self.size += bytes.len() as u64;
        Ok(())
    }

    fn begin_segment(&mut self, reset: bool) -> Result<(), error::Error> {
        let sequence = self.kept.last().map_or(1, |kept| kept.sequence + 1);
        let last = self.last.index;
        self.kept.push(Kept { sequence, last });
        self.size = 0;
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

    /// Removes snapshots and segments that the snapshot at `index` replaces.
    fn drop_before(&mut self, index: number::Index) -> Result<(), error::Error> {
        let names = self.files.list();
        let names = names.map_err(error::Error::io("folder", "list"))?;
        let older = |name: &&String| name::snapshot_index(name).is_some_and(|at| at < index);
        for name in names.iter().filter(older) {
            let wrap = error::Error::io(name, "remove");
            self.files.remove(name).map_err(wrap)?;
        }
        while self.kept.len() > 1 && self.kept[0].last <= index {
            let name = name::segment(self.kept[0].sequence);
            let wrap = error::Error::io(&name, "remove");
            self.files.remove(&name).map_err(wrap)?;
            self.kept.remove(0);
            // One after the other, lest a crash leave a gap between segments,
            // which would look like a lost one.
            let wrap = error::Error::io("folder", "sync");
            self.files.sync_folder().map_err(wrap)?;
        }
        Ok(())
    }
}

fn kept(segments: &reader::Segments) -> Vec<Kept> {
    let list = segments.list.iter().map(|segment| {
        let entries = segment.records.iter().filter_map(|record| match record {
            record::Record::Entry(entry) => Some(entry.position.index),
            record::Record::Hard(_) => None,
        });
        Kept {
            sequence: segment.header.sequence,
            last: entries.max().unwrap_or(segment.header.base.index),
        }
    });
    list.collect()
}

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
        .map_err(|_cause| error::Error::damaged(name, 0, "it cannot be understood"))
}

fn create_identity(
    files: &mut dyn files::Files,
    names: &[String],
    instance: &id::Instance,
    drawn: replica::Id,
) -> Result<identity::Identity, error::Error> {
    // The identity is written before anything else. Data without it means that
    // it was removed, and with a new one the replica would forget its votes.
    if let Some(found) = names.iter().find(|name| name::is_data(name)) {
        return Err(error::Error::damaged(found, 0, name::NO_IDENTITY));
    }
    let identity = identity::Identity {
        replica: drawn,
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
    snapshots::replace(files, name::IDENTITY, &frame::encode(&payload))
}

fn remove_unfinished(files: &mut dyn files::Files, names: &[String]) -> Result<(), error::Error> {
    for name in names.iter().filter(|name| name.ends_with(name::UNFINISHED)) {
        let known = files.list().map_err(error::Error::io(name, "list"))?;
        if known.contains(name) {
            files
                .remove(name)
                .map_err(error::Error::io(name, "remove"))?;
        }
    }
    Ok(())
}

/// Writes the last segment anew, without a torn tail.
///
/// A process that was killed between a write and its sync, or whose sync
/// failed, leaves data that can be read but is not on the disk. Taken for
/// durable and acknowledged, it would be gone after the next loss of power.
fn renew_tail(
    files: &mut dyn files::Files,
    segments: &reader::Segments,
) -> Result<u64, error::Error> {
    if let Some(name) = &segments.stillborn {
        let wrap = error::Error::io(name, "remove");
        files.remove(name).map_err(wrap)?;
    }
    let Some(segment) = segments.list.last() else {
        return Ok(0);
    };
    let name = &segment.name;
    let bytes = files.read(name).map_err(error::Error::io(name, "read"))?;
    let whole = usize::try_from(segment.whole).unwrap_or(usize::MAX);
    let whole = bytes.get(..whole).unwrap_or(&bytes);
    snapshots::replace(files, name, whole)?;
    Ok(segment.torn)
}
