//! Notices that a settings file has changed.

use std::fs;
use std::path::{Path, PathBuf};

/// A file and what it held when it was last looked at.
#[derive(Debug)]
pub struct Watch {
    path: PathBuf,
    content: Option<Vec<u8>>,
}

impl Watch {
    /// Watches the file at `path`, as it is now.
    #[must_use]
    pub fn new(path: &Path) -> Self {
        let content = fs::read(path).ok();
        let path = path.to_owned();
        Self { path, content }
    }

    /// Whether it holds something else than at the last look. A file that cannot be
    /// read, such as one that is being replaced, has not changed yet.
    ///
    /// The content is compared, not the time of the change: whoever writes the file
    /// may set any time, and a jump of the clock may hide one.
    pub fn has_changed(&mut self) -> bool {
        let Ok(content) = fs::read(&self.path) else {
            return false;
        };
        let changed = self.content.as_ref() != Some(&content);
        self.content = Some(content);
        changed
    }
}
