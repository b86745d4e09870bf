//! The charge for one body on its way through the entry.

use std::sync::Arc;

use cranberrygap_policy::memory;

use super::Readers;

/// Bytes of a body that are always granted. Nearly all bodies are smaller, and must not fail
/// because callers do not read.
const FREE_BYTES: usize = 32 << 10;

/// Smallest part of a larger body that is charged at once.
const PART_BYTES: usize = 32 << 10;

/// Bytes that are charged for a body. Dropping it releases them.
#[derive(Debug)]
pub(in super::super) struct Charge {
    readers: Arc<Readers>,
    holder: memory::Holder,
    charged: usize,
}

impl Charge {
    /// A charge for a body of which nothing has arrived.
    pub(in super::super) fn new(readers: &Arc<Readers>) -> Self {
        Self {
            readers: Arc::clone(readers),
            holder: readers.open_transit(),
            charged: 0,
        }
    }

    /// Charges a body that has grown to `length` bytes. False if there is no memory for it.
    pub(in super::super) fn grow(&mut self, length: usize) -> bool {
        if length <= self.charged {
            return true;
        }
        let (part, need) = if length <= FREE_BYTES {
            (length - self.charged, memory::Need::Required)
        } else {
            let missing = length - self.charged;
            (
                missing.next_multiple_of(PART_BYTES),
                memory::Need::Deferrable,
            )
        };
        if !self.readers.charge(self.holder, part, need) {
            return false;
        }
        self.charged += part;
        true
    }

    /// Releases the bytes of a body that is not kept.
    pub(in super::super) fn clear(&mut self) {
        let charged = std::mem::take(&mut self.charged);
        self.readers.release(self.holder, charged);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.readers.close(self.holder);
    }
}
