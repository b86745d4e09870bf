//! View changes, encoded once for all subscribers.

use cranberrygap_wire::view;
use serde::{Serialize, Serializer};
use serde_json::value::RawValue;

/// View change with its JSON, which is encoded once for all subscribers.
///
/// A plan has tens of kilobytes.
#[derive(Debug, Clone)]
pub struct Change {
    change: view::Change,
    json: Box<RawValue>,
}

impl Change {
    /// Encodes `change`.
    ///
    /// # Panics
    ///
    /// Never; changes have text keys only.
    #[must_use]
    pub fn new(change: view::Change) -> Self {
        let json = serde_json::value::to_raw_value(&change);
        let json = json.expect("changes have text keys only");
        Self { change, json }
    }

    /// Returns the change itself.
    #[must_use]
    pub const fn change(&self) -> &view::Change {
        &self.change
    }

    /// Returns the length of its JSON, in bytes.
    #[must_use]
    pub fn json_bytes(&self) -> usize {
        self.json.get().len()
    }
}

impl Serialize for Change {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.json.serialize(serializer)
    }
}
