//! Leave for suspects to run, one on each endpoint at a time.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number};
use serde::Serialize;
use smol_str::SmolStr;

/// Time that a leave holds without being renewed, counted by the entry from
/// asking. A suspect that runs longer renews.
pub const LEASE_DURATION: duration::Span = duration::Span::from_secs(5);

/// Time beyond the lease for which the leader keeps an endpoint to one suspect.
const MARGIN: duration::Span = duration::Span::from_millis(100);

/// Who runs as a suspect on each endpoint.
///
/// Two suspects of two entries may be retried on one endpoint. When it dies,
/// nothing tells which of them did it; an innocent may be condemned or a culprit
/// go on to the next endpoint. With one suspect on each endpoint a second crash
/// has one name.
#[derive(Debug, Default)]
pub struct Table {
    held: BTreeMap<id::Endpoint, Permission>,
    /// Nothing is granted before; a predecessor's leaves may still hold.
    opens: duration::Instant,
}

/// One suspect's right to run on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Permission {
    /// The request.
    pub fingerprint: SmolStr,
    /// The entry that sends it.
    pub instance: id::Instance,
    /// Boot of the entry.
    pub boot: number::Boot,
    /// End of the leave on the leader's clock.
    pub until: duration::Instant,
}

impl Table {
    /// The table of a new leader; leaves of its predecessor run out first.
    #[must_use]
    pub fn new(now: duration::Instant) -> Self {
        Self {
            held: BTreeMap::new(),
            opens: now.after(LEASE_DURATION).after(MARGIN),
        }
    }

    /// Gives or renews a leave; false while another suspect has the endpoint or
    /// this suspect runs elsewhere.
    pub fn try_grant(
        &mut self,
        now: duration::Instant,
        endpoint: &id::Endpoint,
        wanted: &Permission,
    ) -> bool {
        self.held.retain(|_, leave| now < leave.until);
        if now < self.opens {
            return false;
        }
        let same = |leave: &Permission| {
            (&leave.fingerprint, &leave.instance, leave.boot)
                == (&wanted.fingerprint, &wanted.instance, wanted.boot)
        };
        let taken = self.held.get(endpoint).is_some_and(|leave| !same(leave));
        let elsewhere = self
            .held
            .iter()
            .any(|(other, leave)| other != endpoint && leave.fingerprint == wanted.fingerprint);
        if taken || elsewhere {
            return false;
        }
        let until = now.after(LEASE_DURATION).after(MARGIN);
        let leave = Permission {
            until,
            ..wanted.clone()
        };
        self.held.insert(endpoint.clone(), leave);
        true
    }

    /// Ends a leave early, when the suspect has ended.
    pub fn release(&mut self, endpoint: &id::Endpoint, wanted: &Permission) {
        let same = self.held.get(endpoint).is_some_and(|leave| {
            leave.fingerprint == wanted.fingerprint && leave.boot == wanted.boot
        });
        if same {
            self.held.remove(endpoint);
        }
    }

    /// All leaves, for a dump.
    #[must_use]
    pub fn dump(&self) -> BTreeMap<id::Endpoint, Permission> {
        self.held.clone()
    }
}
