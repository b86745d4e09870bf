//! In-memory disk with fault injection, and fixtures for writes.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use cranberrygap_agreement::{entry, formation, hard, members, position, replica, snapshot, write};
use cranberrygap_model::{id, number};
use cranberrygap_storage::{error, files, folder, recovered};

pub const OWN: replica::Id = replica::Id(0xa1);

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    synced: BTreeMap<String, Vec<u8>>,
    full: bool,
    sync_fails: bool,
}

/// In-memory disk with injectable faults; clones share its content.
#[derive(Debug, Clone, Default)]
pub struct Disk(Arc<Mutex<State>>);

impl Disk {
    pub fn fill_up(&self, full: bool) {
        self.0.lock().unwrap().full = full;
    }

    pub fn fail_sync(&self, fails: bool) {
        self.0.lock().unwrap().sync_fails = fails;
    }

    /// Discards all data that was not synced, as a power loss does.
    pub fn lose_power(&self) {
        let mut state = self.0.lock().unwrap();
        state.files = state.synced.clone();
        state.full = false;
        state.sync_fails = false;
    }

    pub fn change(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.0.lock().unwrap();
        change(state.files.get_mut(name).unwrap());
    }

    pub fn length(&self, name: &str) -> usize {
        self.0.lock().unwrap().files[name].len()
    }

    pub fn delete(&self, name: &str) {
        self.0.lock().unwrap().files.remove(name);
    }

    pub fn names(&self, start: &str) -> Vec<String> {
        let state = self.0.lock().unwrap();
        let names = state.files.keys().filter(|name| name.starts_with(start));
        names.cloned().collect()
    }
}

impl files::Files for Disk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names(""))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.0.lock().unwrap();
        let found = state.files.get(name).cloned();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state
            .files
            .entry(name.to_owned())
            .or_default()
            .extend(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.sync_fails {
            return Err(io::Error::other("the device failed"));
        }
        let content = state.files.get(name).cloned().unwrap_or_default();
        state.synced.insert(name.to_owned(), content);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        let State { files, synced, .. } = &mut *state;
        for content in [files, synced] {
            if let Some(bytes) = content.remove(from) {
                content.insert(to.to_owned(), bytes);
            }
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        state.files.remove(name);
        state.synced.remove(name);
        Ok(())
    }
}

pub fn instance() -> id::Instance {
    "control-1".parse().unwrap()
}

pub fn open(disk: &Disk) -> Result<(folder::Folder, recovered::Recovered), error::Error> {
    folder::Folder::open(Box::new(disk.clone()), &instance(), OWN)
}

pub fn formed() -> formation::Formed {
    formation::Formed {
        group: replica::Group(7),
        founders: members::Members::default(),
    }
}

pub fn position(term: u64, index: u64) -> position::Position {
    position::Position {
        term: number::Term(term),
        index: number::Index(index),
    }
}

pub fn entries(term: u64, indices: std::ops::RangeInclusive<u64>) -> Vec<entry::Entry> {
    let entry = |index| entry::Entry {
        position: position(term, index),
        payload: entry::Payload::Data(Bytes::from(format!("{{\"change\":{index}}}"))),
    };
    indices.map(entry).collect()
}

pub fn append(term: u64, indices: std::ops::RangeInclusive<u64>) -> write::Write {
    write::Write {
        hard: Some(hard::State {
            term: number::Term(term),
            vote: None,
        }),
        entries: entries(term, indices),
        ..write::Write::default()
    }
}

pub fn snapshot(term: u64, index: u64, reset: bool) -> write::Write {
    let snapshot = snapshot::Snapshot {
        position: position(term, index),
        members: members::Members::default(),
        data: Bytes::from(vec![b'x'; 1_000]),
    };
    write::Write {
        snapshot: Some(Arc::new(snapshot)),
        reset,
        ..write::Write::default()
    }
}

/// Term and index of each recovered entry.
pub fn positions(recovered: &recovered::Recovered) -> Vec<(u64, u64)> {
    let entries = recovered.entries.iter();
    entries
        .map(|entry| (entry.position.term.0, entry.position.index.0))
        .collect()
}
