//! Permissions for suspects to run, one per endpoint at a time.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number};
use serde::Serialize;
use smol_str::SmolStr;

/// Time for which a permission holds without a renewal, counted by the entry from its request.
///
/// The entry renews it for a suspect that runs longer.
pub const LEASE_DURATION: duration::Span = duration::Span::from_secs(5);

/// Time beyond the lease for which the leader keeps an endpoint reserved for one suspect.
const LEASE_MARGIN: duration::Span = duration::Span::from_millis(100);

/// Table of the suspect that runs on each endpoint.
///
/// Two suspects of two entries may be retried on one endpoint. When it dies, nothing tells
/// which of them crashed it: an innocent request may be condemned, or the culprit go on to
/// the next endpoint. With one suspect per endpoint, a crash identifies the culprit.
#[derive(Debug, Default)]
pub struct Table {
    permissions: BTreeMap<id::Endpoint, Permission>,
    /// Time before which nothing is granted, as a predecessor's permissions may still hold.
    grants_from: duration::Instant,
}

/// Permission for one suspect to run on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Permission {
    /// Fingerprint of the request.
    pub fingerprint: SmolStr,
    /// Instance of the entry that sends the request.
    pub instance: id::Instance,
    /// Boot of that entry.
    pub boot: number::Boot,
    /// End of the permission on the leader's clock.
    pub until: duration::Instant,
}

impl Table {
    /// Creates the table of a new leader.
    ///
    /// It grants nothing until its predecessor's permissions have ended.
    #[must_use]
    pub fn new(now: duration::Instant) -> Self {
        Self {
            permissions: BTreeMap::new(),
            grants_from: now.after(LEASE_DURATION).after(LEASE_MARGIN),
        }
    }

    /// Grants or renews a permission.
    ///
    /// Returns false while another suspect has the endpoint or this suspect runs elsewhere.
    pub fn try_grant(
        &mut self,
        now: duration::Instant,
        endpoint: &id::Endpoint,
        wanted: &Permission,
    ) -> bool {
        self.permissions
            .retain(|_, permission| now < permission.until);
        if now < self.grants_from {
            return false;
        }
        let is_same = |permission: &Permission| {
            (
                &permission.fingerprint,
                &permission.instance,
                permission.boot,
            ) == (&wanted.fingerprint, &wanted.instance, wanted.boot)
        };
        let is_taken = self
            .permissions
            .get(endpoint)
            .is_some_and(|permission| !is_same(permission));
        let runs_elsewhere = self.permissions.iter().any(|(other, permission)| {
            other != endpoint && permission.fingerprint == wanted.fingerprint
        });
        if is_taken || runs_elsewhere {
            return false;
        }
        let until = now.after(LEASE_DURATION).after(LEASE_MARGIN);
        let permission = Permission {
            until,
            ..wanted.clone()
        };
        self.permissions.insert(endpoint.clone(), permission);
        true
    }

    /// Ends a permission early, once the suspect has finished.
    pub fn release(&mut self, endpoint: &id::Endpoint, wanted: &Permission) {
        let is_same = self.permissions.get(endpoint).is_some_and(|permission| {
            permission.fingerprint == wanted.fingerprint && permission.boot == wanted.boot
        });
        if is_same {
            self.permissions.remove(endpoint);
        }
    }

    /// Returns all permissions, for a dump.
    #[must_use]
    pub fn dump(&self) -> BTreeMap<id::Endpoint, Permission> {
        self.permissions.clone()
    }
}
