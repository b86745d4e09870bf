//! Reports of crashes, sent to the leader until it has accepted them.

use std::collections::VecDeque;
use std::time::Duration;

use cranberrygap_link::error::Error;
use cranberrygap_model::duration;
use cranberrygap_policy::quarantine::suspects;
use cranberrygap_wire::{claim, method};
use parking_lot::Mutex;
use smol_str::SmolStr;
use spdlog::warn;
use tokio::sync::Notify;
use tokio::time;

use crate::core;

/// Longest wait for the leader to accept a report.
const CALL_TIMEOUT: duration::Span = duration::Span::from_secs(1);

/// Time after which a report that was not accepted is sent again. A lost leader has a successor
/// within a second or two.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Most reports that wait; the oldest are dropped first.
const MAX_PENDING: usize = 512;

/// Reports that the leader has not accepted yet, oldest first.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pending: Mutex<VecDeque<claim::Crash>>,
    added: Notify,
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

impl Outbox {
    /// Queues a report.
    pub(super) fn push(&self, report: claim::Crash) {
        let mut pending = self.pending.lock();
        if pending.len() == MAX_PENDING
            && let Some(dropped) = pending.pop_front()
        {
            warn!(
                "quarantine: dropped the report about {}, {MAX_PENDING} newer ones wait",
                dropped.endpoint
            );
        }
        pending.push_back(report);
        drop(pending);
        self.added.notify_one();
    }

    /// Number of reports that wait.
    pub(super) fn len(&self) -> usize {
        self.pending.lock().len()
    }

    /// Sends reports until the process stops.
    pub(super) async fn run(&self, core: &core::Core) {
        let mut is_failing = false;
        loop {
            let Some(report) = self.pending.lock().pop_front() else {
                self.added.notified().await;
                continue;
            };
            let result: Result<(), Error> = core
                .leader
                .call(method::CRASH_REPORT, &report, CALL_TIMEOUT)
                .await;
            let Err(cause) = result else {
                is_failing = false;
                continue;
            };
            if is_final(&cause) {
                warn!(
                    "quarantine: dropped the report about {}: {cause}",
                    report.endpoint
                );
                continue;
            }
            if !is_failing {
                warn!(
                    "quarantine: the leader did not accept the report about {}, it is sent again \
                     until it does: {cause}",
                    report.endpoint
                );
            }
            is_failing = true;
            self.pending.lock().push_front(report);
            time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Whether sending a report again cannot help.
fn is_final(cause: &Error) -> bool {
    match cause {
        Error::TooLarge { .. } | Error::Malformed { .. } => true,
        Error::Refused { code, .. } => !matches!(
            *code,
            method::NOT_LEADER | method::NO_QUORUM | method::UNKNOWN_OUTCOME
        ),
        _ => false,
    }
}
