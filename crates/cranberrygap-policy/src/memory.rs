//! Memory that a process holds for its callers: what is granted, and which holder is cut.
//!
//! A caller that stops reading makes the process hold what it has not read. All holders share one
//! account. While it is full, the holder whose caller has read nothing for the longest time is cut.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, size};
use smallvec::SmallVec;

/// Shortest time without a read after which a holder is cut. Callers allow pauses of some hundred
/// milliseconds between events, so one that reads nothing for longer does not just wait its turn.
pub const MIN_UNREAD_TIME: duration::Span = duration::Span::from_secs(1);

/// Identifies a holder. Numbers are not used twice within an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder(u64);

/// What a holder holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// Bytes that a caller has not read yet. The holder can be cut.
    Unread,
    /// A body on its way through the process, which ends by itself. The holder is not cut.
    Transit,
}

/// How much a charge matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The bytes are held already or cannot wait. They are charged even beyond the limit.
    Required,
    /// The bytes can be read later.
    Deferrable,
}

/// A holder that is cut. All its bytes count as released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut {
    /// The holder.
    pub holder: Holder,
    /// Bytes that it held.
    pub held: size::Bytes,
    /// Time for which its caller has read nothing.
    pub unread: duration::Span,
}

/// What a charge results in.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the bytes are charged to the holder.
    pub is_granted: bool,
    /// Holders to cut, which may include the one that asked.
    pub cuts: SmallVec<[Cut; 1]>,
}

/// The account that all holders share.
#[derive(Debug)]
pub struct Account {
    limit: u64,
    held: u64,
    next_holder: u64,
    holders: BTreeMap<Holder, Holding>,
    /// Holders that can be cut and hold something, by the time since which nothing was read.
    unread: BTreeSet<(duration::Instant, Holder)>,
}

/// What one holder has.
#[derive(Debug)]
struct Holding {
    content: Content,
    bytes: u64,
    /// Time of the last read, or of the first charge after it held nothing.
    unread_since: duration::Instant,
}

impl Account {
    /// An account that grants up to `limit`.
    #[must_use]
    pub const fn new(limit: size::Bytes) -> Self {
        Self {
            limit: limit.0,
            held: 0,
            next_holder: 0,
            holders: BTreeMap::new(),
            unread: BTreeSet::new(),
        }
    }

    /// Bytes that all holders have.
    #[must_use]
    pub const fn held(&self) -> size::Bytes {
        size::Bytes(self.held)
    }

    /// Adds a holder, which has nothing yet.
    pub fn open(&mut self, content: Content) -> Holder {
        let holder = Holder(self.next_holder);
        self.next_holder += 1;
        let holding = Holding {
            content,
            bytes: 0,
            unread_since: duration::Instant::default(),
        };
        self.holders.insert(holder, holding);
        holder
    }

    /// Charges bytes to a holder. If they do not fit, others are cut that have not been read for
    /// [`MIN_UNREAD_TIME`].
    pub fn charge(
        &mut self,
        now: duration::Instant,
        holder: Holder,
        bytes: size::Bytes,
        need: Need,
    ) -> Verdict {
        let cuts = self.make_room(now, bytes.0);
        let fits = self.held.saturating_add(bytes.0) <= self.limit;
        let is_admitted = fits || need == Need::Required;
        let is_granted = is_admitted && self.add(now, holder, bytes.0);
        Verdict { is_granted, cuts }
    }

    /// Releases bytes that a holder gives up without a read.
    pub fn release(&mut self, holder: Holder, bytes: size::Bytes) {
        self.update(holder, |holding| {
            holding.bytes = holding.bytes.saturating_sub(bytes.0);
        });
    }

    /// Records that the caller has read bytes, which are released.
    pub fn record_read(&mut self, now: duration::Instant, holder: Holder, bytes: size::Bytes) {
        self.update(holder, |holding| {
            holding.bytes = holding.bytes.saturating_sub(bytes.0);
            holding.unread_since = now;
        });
    }

    /// Removes a holder with all that it has.
    pub fn close(&mut self, holder: Holder) {
        let Some(holding) = self.holders.remove(&holder) else {
            return;
        };
        self.unread.remove(&(holding.unread_since, holder));
        self.held = self.held.saturating_sub(holding.bytes);
    }

    fn make_room(&mut self, now: duration::Instant, bytes: u64) -> SmallVec<[Cut; 1]> {
        let mut cuts = SmallVec::new();
        while self.held.saturating_add(bytes) > self.limit {
            let Some(&(unread_since, holder)) = self.unread.first() else {
                break;
            };
            let unread = now.since(unread_since);
            if unread < MIN_UNREAD_TIME {
                break;
            }
            let holding = self.holders.get(&holder);
            let held = size::Bytes(holding.map_or(0, |holding| holding.bytes));
            self.close(holder);
            cuts.push(Cut {
                holder,
                held,
                unread,
            });
        }
        cuts
    }

    /// Adds bytes to a holder; false if it was cut.
    fn add(&mut self, now: duration::Instant, holder: Holder, bytes: u64) -> bool {
        self.update(holder, |holding| {
            if holding.bytes == 0 {
                holding.unread_since = now;
            }
            holding.bytes = holding.bytes.saturating_add(bytes);
        })
    }

    /// Changes what a holder has; false if there is no such holder.
    fn update(&mut self, holder: Holder, change: impl FnOnce(&mut Holding)) -> bool {
        let Some(holding) = self.holders.get_mut(&holder) else {
            return false;
        };
        let (bytes, unread_since) = (holding.bytes, holding.unread_since);
        change(holding);
        self.held = self.held.saturating_sub(bytes);
        self.held = self.held.saturating_add(holding.bytes);
        if holding.content == Content::Transit {
            return true;
        }
        let is_listed = bytes > 0;
        let is_held = holding.bytes > 0;
        let is_moved = holding.unread_since != unread_since;
        if is_listed && (!is_held || is_moved) {
            self.unread.remove(&(unread_since, holder));
        }
        if is_held && (!is_listed || is_moved) {
            self.unread.insert((holding.unread_since, holder));
        }
        true
    }
}
