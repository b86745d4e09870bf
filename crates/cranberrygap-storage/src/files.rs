//! The few file operations that storage needs.

use std::fmt;
use std::io;

/// File operations in one folder; names have no path in them.
///
/// Tests put a faulty disk behind it.
pub trait Files: Send + fmt::Debug {
    /// Names of all files in the folder.
    ///
    /// # Errors
    ///
    /// What the operating system says.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A whole file.
    ///
    /// # Errors
    ///
    /// What the operating system says.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file; creates it if there is none.
    ///
    /// # Errors
    ///
    /// What the operating system says; a part may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content durable.
    ///
    /// # Errors
    ///
    /// What the operating system says; the content may be lost.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes names and removals in the folder durable.
    ///
    /// # Errors
    ///
    /// What the operating system says.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Renames a file over another.
    ///
    /// # Errors
    ///
    /// What the operating system says.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// What the operating system says.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}
