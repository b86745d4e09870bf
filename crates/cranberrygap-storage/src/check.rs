//! Checks a data folder and reports its content and faults.

use std::fmt;
use std::path::Path;

use cranberrygap_agreement::{hard, position, snapshot};

use crate::{disk, error, files, folder, identity, name, reader, snapshots};

/// Content and faults of a folder.
#[derive(Debug)]
pub struct Report {
    /// Identity of the replica, if the folder has one.
    pub identity: Option<identity::Identity>,
    /// Names and sizes of all files, in bytes.
    pub files: Vec<(String, u64)>,
    /// Term and vote.
    pub hard: hard::State,
    /// Position of the last entry in the latest snapshot.
    pub snapshot: position::Position,
    /// Position of the last entry in the log.
    pub last: position::Position,
    /// Number of log entries after the snapshot.
    pub entries: usize,
    /// Length of the torn tail, in bytes; it was never acknowledged and is truncated
    /// at the next start.
    pub torn_bytes: u64,
    /// Errors that prevent a replica from starting with this folder.
    pub faults: Vec<error::Error>,
}

/// Checks a folder in the file system without changing or locking it.
#[must_use]
pub fn folder(path: &Path) -> Report {
    read(&disk::Disk::read_only(path))
}

/// Checks a folder through its file operations.
#[must_use]
pub fn read(files: &dyn files::Files) -> Report {
    let mut report = Report {
        identity: None,
        files: Vec::new(),
        hard: hard::State::default(),
        snapshot: position::Position::default(),
        last: position::Position::default(),
        entries: 0,
        torn_bytes: 0,
        faults: Vec::new(),
    };
    if let Err(fault) = report.fill(files) {
        report.faults.push(fault);
    }
    report
}

impl Report {
    fn fill(&mut self, files: &dyn files::Files) -> Result<(), error::Error> {
        let names = files.list().map_err(error::Error::io("folder", "list"))?;
        for name in &names {
            match files.read(name) {
                Ok(bytes) => self.files.push((name.clone(), bytes.len() as u64)),
                Err(cause) => self.faults.push(error::Error::io(name, "read")(cause)),
            }
        }
        self.identity = folder::read_identity(files, &names)?;
        let Some(identity) = self.identity.clone() else {
            let data_file = names.iter().find(|name| name::is_data(name));
            let fault =
                data_file.map(|name| error::Error::damaged(name, 0, name::IDENTITY_MISSING));
            return fault.map_or(Ok(()), Err);
        };
        let snapshot = self.read_snapshots(files, &names);
        let segments = reader::read(files, &names, &identity)?;
        let torn = segments.list.iter().map(|segment| segment.torn_bytes);
        self.torn_bytes = torn.sum();
        let log = reader::Log::new(&segments, snapshot.as_ref())?;
        self.hard = log.hard;
        self.last = log.last();
        self.entries = log.entries.len();
        Ok(())
    }

    fn read_snapshots(
        &mut self,
        files: &dyn files::Files,
        names: &[String],
    ) -> Option<snapshot::Snapshot> {
        let mut latest = None;
        for index in names.iter().filter_map(|name| name::snapshot_index(name)) {
            match snapshots::read(files, index) {
                Ok(found) => latest = Some((*found).clone()),
                Err(fault) => self.faults.push(fault),
            }
        }
        self.snapshot = latest
            .as_ref()
            .map(|found| found.position)
            .unwrap_or_default();
        latest
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.identity {
            Some(identity) => {
                writeln!(f, "replica {} of {}", identity.replica, identity.instance)?;
                match &identity.formed {
                    Some(formed) => writeln!(f, "group {}", formed.group)?,
                    None => writeln!(f, "no group yet")?,
                }
            }
            None => writeln!(f, "no replica")?,
        }
        for (name, size) in &self.files {
            writeln!(f, "  {name}: {size} bytes")?;
        }
        writeln!(f, "term {}", self.hard.term)?;
        writeln!(f, "snapshot up to entry {}", self.snapshot.index)?;
        let last = self.last.index;
        writeln!(
            f,
            "log up to entry {last}, {} after the snapshot",
            self.entries
        )?;
        if self.torn_bytes > 0 {
            writeln!(
                f,
                "a torn tail of {} bytes, cut at the next start",
                self.torn_bytes
            )?;
        }
        for fault in &self.faults {
            writeln!(f, "wrong: {fault}")?;
        }
        if self.faults.is_empty() {
            writeln!(f, "nothing is wrong")?;
        }
        Ok(())
    }
}
