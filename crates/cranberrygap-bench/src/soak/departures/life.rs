//! One process of an endpoint, as it is and as the system should know it.

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::{endpoint, view};

/// A process that runs or has run.
#[derive(Debug)]
pub struct Life {
    /// Name and address, which later processes may have too.
    pub name: id::Endpoint,
    /// Port of the address.
    pub port: u16,
    /// Start, which is its boot.
    pub boot: number::Boot,
    /// Sequence of the last message that was sent.
    pub sequence: u64,
    /// Whether it says that it drains.
    pub drains: bool,
    /// Until when a partition holds its messages up.
    pub held_until: duration::Instant,
    /// Since when all messages arrive.
    pub heard_since: duration::Instant,
    /// When it ends; the end of time until that is drawn.
    pub ends_at: duration::Instant,
    /// Whether the system has acknowledged that it gets nothing new.
    pub acknowledged: bool,
    /// Latest sequence that reached the system.
    pub delivered: u64,
    /// Sequence with which its silence was committed.
    pub silent_after: Option<u64>,
}

impl Life {
    /// Creates a process that starts now.
    #[must_use]
    pub fn new(now: duration::Instant, name: id::Endpoint, port: u16) -> Self {
        Self {
            name,
            port,
            boot: number::Boot(now.0),
            sequence: 0,
            drains: false,
            held_until: now,
            heard_since: now,
            ends_at: duration::Instant(u64::MAX),
            acknowledged: false,
            delivered: 0,
            silent_after: None,
        }
    }

    /// Whether the process still runs.
    #[must_use]
    pub fn is_running(&self, now: duration::Instant) -> bool {
        now < self.ends_at
    }

    /// Returns the next announcement.
    ///
    /// # Panics
    ///
    /// Never; the fields have the forms that announcements have.
    #[must_use]
    pub fn announce(&mut self) -> endpoint::Announcement {
        self.sequence += 1;
        let phase = if self.drains { "leaving" } else { "ready" };
        let announcement = serde_json::json!({
            "endpoint": self.name, "boot": self.boot, "sequence": self.sequence,
            "address": format!("127.0.0.1:{}", self.port), "domain": "oslo-1", "kind": "service",
            "phase": phase, "memory": "0B", "checks_fence": false, "resident": [],
            "service": "app", "software": "v1",
            "details": {
                "started": self.boot.0, "slots": 1, "cached": [], "stored": [], "cold": false,
            },
        });
        serde_json::from_value(announcement).expect("an announcement")
    }

    /// Names the process.
    #[must_use]
    pub fn process(&self) -> view::Draining {
        view::Draining {
            endpoint: self.name.clone(),
            boot: self.boot,
        }
    }
}
