//! A disk that forgets what was not synced.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use cranberrygap_storage::files;
use parking_lot::Mutex;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Content of a file, apart from its name.
#[derive(Debug, Clone, Default)]
struct Inode {
    bytes: Vec<u8>,
    synced: usize,
    /// After a failed sync the system takes the pages for clean: a later sync
    /// succeeds without writing them.
    poisoned: bool,
}

/// A change of the folder that is not synced yet.
#[derive(Debug, Clone)]
enum Change {
    Link {
        name: String,
        inode: u64,
    },
    Unlink {
        name: String,
    },
    Rename {
        from: String,
        to: String,
        inode: u64,
    },
}

#[derive(Debug, Default)]
struct State {
    inodes: BTreeMap<u64, Inode>,
    names: BTreeMap<String, u64>,
    synced_names: BTreeMap<String, u64>,
    changes: Vec<Change>,
    next: u64,
    operations_left: Option<u32>,
}

/// A disk; clones share its content.
#[derive(Debug, Clone, Default)]
pub struct Disk(Arc<Mutex<State>>);

impl Disk {
    /// Lets all operations fail after so many more.
    pub fn fail_after(&self, operations: u32) {
        self.0.lock().operations_left = Some(operations);
    }

    /// Lets operations succeed again, as after a restart of the process only.
    pub fn recover(&self) {
        self.0.lock().operations_left = None;
    }

    /// Takes power away: what was not synced is lost, or torn, or there.
    pub fn crash(&self, rng: &mut ChaCha8Rng) {
        let mut state = self.0.lock();
        state.operations_left = None;
        let mut names = std::mem::take(&mut state.synced_names);
        for change in std::mem::take(&mut state.changes) {
            if rng.random_bool(0.5) {
                change.apply(&mut names);
            }
        }
        state.names.clone_from(&names);
        state.synced_names = names;
        for inode in state.inodes.values_mut() {
            inode.tear(rng);
        }
        let State { inodes, names, .. } = &mut *state;
        inodes.retain(|inode, _| names.values().any(|named| named == inode));
    }
}

impl Change {
    fn apply(self, names: &mut BTreeMap<String, u64>) {
        match self {
            Self::Link { name, inode } => {
                names.insert(name, inode);
            }
            Self::Unlink { name } => {
                names.remove(&name);
            }
            Self::Rename { from, to, inode } => {
                names.remove(&from);
                names.insert(to, inode);
            }
        }
    }
}

impl Inode {
    fn tear(&mut self, rng: &mut ChaCha8Rng) {
        let loose = self.bytes.len() - self.synced;
        let kept = self.synced + rng.random_range(0..=loose);
        self.bytes.truncate(kept);
        // Blocks may reach the disk out of order; earlier ones then read as zeros.
        if kept > self.synced && rng.random_bool(0.3) {
            let end = rng.random_range(self.synced..kept);
            self.bytes[self.synced..end].fill(0);
        }
        self.synced = self.bytes.len();
        self.poisoned = false;
    }
}

impl State {
    fn operate(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            Some(0) => Err(io::Error::other("the disk is full")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn inode(&mut self, name: &str) -> io::Result<&mut Inode> {
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        let inode = self.names.get(name).ok_or_else(missing)?;
        self.inodes.get_mut(inode).ok_or_else(missing)
    }
}

impl files::Files for Disk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.lock().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut state = self.0.lock();
        state.inode(name).map(|inode| inode.bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.lock();
        state.operate()?;
        if !state.names.contains_key(name) {
            let inode = state.next;
            state.next += 1;
            state.inodes.insert(inode, Inode::default());
            state.names.insert(name.to_owned(), inode);
            let name = name.to_owned();
            state.changes.push(Change::Link { name, inode });
        }
        state.inode(name)?.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.lock();
        let operated = state.operate();
        let inode = state.inode(name)?;
        inode.poisoned |= operated.is_err();
        if !inode.poisoned {
            inode.synced = inode.bytes.len();
        }
        operated
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.0.lock();
        state.operate()?;
        state.changes.clear();
        state.synced_names = state.names.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.lock();
        state.operate()?;
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        let inode = state.names.remove(from).ok_or_else(missing)?;
        state.names.insert(to.to_owned(), inode);
        let (from, to) = (from.to_owned(), to.to_owned());
        state.changes.push(Change::Rename { from, to, inode });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.lock();
        state.operate()?;
        state.names.remove(name);
        let name = name.to_owned();
        state.changes.push(Change::Unlink { name });
        Ok(())
    }
}
