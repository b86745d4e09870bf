//! The file operations that storage uses.

use std::fmt;
use std::io;

/// File operations in one folder; file names contain no path.
///
/// Tests implement this trait to simulate disk faults.
pub trait Files: Send + fmt::Debug {
    /// Names of all files in the folder.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Content of a file.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file; creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// The error of the operating system; part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes the content of a file durable (fsync).
    ///
    /// # Errors
    ///
    /// The error of the operating system; the content may be lost.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names in the folder durable.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Renames a file; replaces an existing file of the new name.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}
