//! File operations on a folder of the file system.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::{error, files, name};

/// A folder in the file system, locked for this process if opened for writing.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    open: BTreeMap<String, fs::File>,
    _lock: Option<fs::File>,
}

impl Disk {
    /// Creates the folder if it does not exist, and locks it.
    ///
    /// Two processes on one folder would both append to the log, which could damage
    /// records or give a vote twice. The operating system releases the lock when the
    /// process ends, even after a crash.
    ///
    /// # Errors
    ///
    /// The folder cannot be created or locked, or another process holds the lock.
    pub fn lock(folder: &Path) -> Result<Self, error::Error> {
        let shown = folder.display().to_string();
        let wrap = |action| error::Error::io(&shown, action);
        fs::create_dir_all(folder).map_err(wrap("create the folder"))?;
        let lock = fs::File::create(folder.join(name::LOCK)).map_err(wrap("create the lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => {
                return Err(error::Error::Locked { folder: shown });
            }
            Err(fs::TryLockError::Error(cause)) => return Err(wrap("lock the folder")(cause)),
        }
        Ok(Self {
            folder: folder.to_owned(),
            open: BTreeMap::new(),
            _lock: Some(lock),
        })
    }

    /// Opens a folder for reading only, without a lock.
    #[must_use]
    pub fn read_only(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
            open: BTreeMap::new(),
            _lock: None,
        }
    }

    /// Open handle of a file in append mode; creates the file if it does not exist.
    fn file(&mut self, name: &str) -> io::Result<&mut fs::File> {
        if !self.open.contains_key(name) {
            let mut options = fs::OpenOptions::new();
            let file = options
                .create(true)
                .append(true)
                .open(self.folder.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        self.open.get_mut(name).ok_or_else(missing)
    }
}

impl files::Files for Disk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        fs::File::open(&self.folder)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.folder.join(name))
    }
}
