//! Quarantine of requests that crash endpoints, for all requests that are sent to endpoints.
//!
//! Each request that is sent to an endpoint is a [`Run`]. When its connection breaks, the entry
//! checks whether the endpoint is dead, and tells the leader which requests ran there. The view
//! tells which requests are refused or run only alone.

mod evidence;
mod permission;
mod report;
mod run;

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_model::{address, duration, id, number, subject};
use cranberrygap_policy::quarantine::suspects;
use cranberrygap_wire::{claim, view as wire_view};
use parking_lot::Mutex;
use smol_str::SmolStr;
use spdlog::{info, warn};

use crate::core;
use crate::outbox;
use crate::view;

pub(crate) use run::{Denial, Run};
pub(crate) use suspects::{Isolation, Subjects};

/// One boot of an endpoint and where it listens.
#[derive(Debug, Clone)]
pub(crate) struct Place {
    pub endpoint: id::Endpoint,
    pub boot: number::Boot,
    pub address: address::Socket,
}

/// What a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It runs like any other.
    Free,
    /// It runs as the single suspect on its endpoint, with the leader's permission.
    Probation,
    /// It is refused for this time.
    Refused(duration::Span),
    /// A part of its prompt is refused.
    PartRefused,
}

/// Requests in progress by endpoint, and requests suspected to crash endpoints.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    tracker: Mutex<suspects::Tracker>,
    checks: evidence::Checks,
    outbox: outbox::Outbox<claim::Crash>,
    /// The restricted requests of the view that was applied last.
    known: Mutex<Arc<BTreeMap<SmolStr, wire_view::Quarantine>>>,
}

impl Place {
    pub(crate) fn incarnation(&self) -> suspects::Incarnation {
        suspects::Incarnation {
            endpoint: self.endpoint.clone(),
            boot: self.boot,
        }
    }
}

impl Quarantine {
    /// What a request may do, by the view and by the crashes that this entry has seen.
    pub(crate) fn stage(
        &self,
        now: duration::Instant,
        view: &view::Snapshot,
        subjects: &[SmolStr],
        isolation: Isolation,
    ) -> Stage {
        let tracker = self.tracker.lock();
        let mut stage = Stage::Free;
        for subject in subjects {
            match view.quarantine(subject).map_or(Stage::Free, to_stage) {
                Stage::PartRefused => return Stage::PartRefused,
                Stage::Refused(left) => return Stage::Refused(left),
                Stage::Probation => stage = Stage::Probation,
                Stage::Free if tracker.needs_permission(now, subject, isolation) => {
                    stage = Stage::Probation;
                }
                Stage::Free => {}
            }
        }
        stage
    }

    /// The last subject of a request that runs only alone; it stands for the request where a
    /// permission is asked for.
    fn suspect<'subjects>(
        &self,
        now: duration::Instant,
        view: &view::Snapshot,
        subjects: &'subjects [SmolStr],
        isolation: Isolation,
    ) -> Option<&'subjects SmolStr> {
        let mut subjects = subjects.iter().rev();
        subjects.find(|subject| {
            let alone = std::slice::from_ref(*subject);
            self.stage(now, view, alone, isolation) == Stage::Probation
        })
    }

    /// Number of suspects of this entry, for a dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "suspects": self.tracker.lock().suspect_count(),
            "unreported": self.outbox.len(),
        })
    }
}

fn to_stage(quarantine: &wire_view::Quarantine) -> Stage {
    let left = quarantine.until.saturating_sub(clock::unix_millis());
    let is_part = subject::is_part(&quarantine.fingerprint);
    match quarantine.probation {
        // The end of its time is a trial.
        None | Some(false) if is_part && left == 0 => Stage::Probation,
        None | Some(false) if is_part => Stage::PartRefused,
        _ if left == 0 => Stage::Free,
        Some(true) => Stage::Probation,
        None | Some(false) => Stage::Refused(duration::Span::from_millis(left)),
    }
}

/// Applies a new view: boots that show that earlier ones are dead, and restricted requests.
pub(crate) fn apply_view(core: &core::Core, view: &view::Snapshot) {
    let now = core.now();
    let crashes = {
        let mut tracker = core.quarantine.tracker.lock();
        let busy: Vec<id::Endpoint> = tracker.busy_endpoints().cloned().collect();
        let announced = busy.iter().filter_map(|name| view.endpoints().get(name));
        let crashes = announced.flat_map(|endpoint| {
            let incarnation = suspects::Incarnation {
                endpoint: endpoint.announcement.endpoint.clone(),
                boot: endpoint.announcement.boot,
            };
            tracker.record_boot(now, &incarnation)
        });
        crashes.collect::<Vec<suspects::Crash>>()
    };
    for crash in crashes {
        report_crash(core, crash);
    }
    apply_restrictions(core, view.quarantines());
}

/// Logs what is restricted anew, and speaks for requests that were completed here.
fn apply_restrictions(core: &core::Core, told: &Arc<BTreeMap<SmolStr, wire_view::Quarantine>>) {
    let known = std::mem::replace(&mut *core.quarantine.known.lock(), Arc::clone(told));
    if Arc::ptr_eq(&known, told) {
        return;
    }
    for (fingerprint, quarantine) in told.iter() {
        if known.get(fingerprint) == Some(quarantine) {
            continue;
        }
        match to_stage(quarantine) {
            Stage::Free => continue,
            Stage::Probation => info!(
                "quarantine: {fingerprint} runs only alone until {}: endpoints crashed under it",
                quarantine.until
            ),
            Stage::Refused(_) | Stage::PartRefused => warn!(
                "quarantine: {fingerprint} is refused until {}: it crashed endpoints",
                quarantine.until
            ),
        }
        let now = core.now();
        let completed_at = core
            .quarantine
            .tracker
            .lock()
            .take_completion(now, fingerprint);
        if let Some(completed_at) = completed_at {
            info!(
                "quarantine: {fingerprint} was completed at {} and crashes no endpoint",
                completed_at.endpoint
            );
            report::clear(core, completed_at, vec![fingerprint.clone()]);
        }
    }
    for fingerprint in known.keys().filter(|known| !told.contains_key(*known)) {
        core.quarantine.tracker.lock().clear_suspicion(fingerprint);
        info!("quarantine: {fingerprint} is no longer restricted");
    }
}

/// Records that an endpoint was alive after `since`: what ended with its connection before was
/// complete.
pub(crate) fn record_alive(
    core: &core::Core,
    incarnation: &suspects::Incarnation,
    since: duration::Instant,
) {
    let cleared = {
        let mut tracker = core.quarantine.tracker.lock();
        tracker.confirm(core.now(), incarnation, since)
    };
    report::clear(core, incarnation.clone(), cleared.into_vec());
}

/// Logs the death of an endpoint and reports the requests that ran there to the leader.
fn report_crash(core: &core::Core, crash: suspects::Crash) {
    let incarnation = crash.incarnation;
    warn!(
        "quarantine: {} died while it ran {} requests and prompt parts of this entry that were not \
         completed elsewhere: {}",
        incarnation.endpoint,
        crash.fingerprints.len(),
        list_parts(&crash.fingerprints)
    );
    if crash.fingerprints.is_empty() {
        return;
    }
    core.quarantine.outbox.push(claim::Crash {
        endpoint: incarnation.endpoint,
        boot: incarnation.boot,
        instance: core.instance().clone(),
        fingerprints: crash.fingerprints,
        cleared: Vec::new(),
        probed: crash.probed,
    });
}

/// The first parts among subjects, for a log line.
fn list_parts(subjects: &[SmolStr]) -> String {
    const MOST: usize = 8;
    let parts = subjects.iter().filter(|subject| subject::is_part(subject));
    let parts: Vec<&str> = parts.take(MOST).map(SmolStr::as_str).collect();
    parts.join(" ")
}

/// Sends what the leader has to know, until the process stops.
pub(crate) async fn run_reports(core: Arc<core::Core>) {
    core.quarantine.outbox.run(&core).await;
}
