//! Reports of crashes to the leader.

use cranberrygap_model::id;
use cranberrygap_policy::quarantine::suspects;
use cranberrygap_wire::{claim, method};
use smol_str::SmolStr;

use crate::core;
use crate::outbox;

impl outbox::Report for claim::Crash {
    const METHOD: &'static str = method::CRASH_REPORT;
    const AREA: &'static str = "quarantine";

    fn endpoint(&self) -> &id::Endpoint {
        &self.endpoint
    }
}

/// Reports that subjects got a complete response at an endpoint.
pub(super) fn clear(
    core: &core::Core,
    completed_at: suspects::Incarnation,
    subjects: Vec<SmolStr>,
) {
    if subjects.is_empty() {
        return;
    }
    core.quarantine.outbox.push(claim::Crash {
        endpoint: completed_at.endpoint,
        boot: completed_at.boot,
        instance: core.instance().clone(),
        fingerprints: Vec::new(),
        cleared: subjects,
        probed: None,
    });
}
