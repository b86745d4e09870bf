//! The leader's leave for a suspect to run on an endpoint.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::duration;
use cranberrygap_policy::quarantine::{permission, suspects};
use cranberrygap_wire::{claim, method};
use smol_str::SmolStr;

use crate::core;

/// Longest wait for the leader's answer.
const ANSWER: duration::Span = duration::Span::from_secs(1);

/// Time between two renewals; several fit into one lease.
const RENEWAL: Duration = Duration::from_secs(1);

/// Held while a suspect runs; renewed until it is dropped.
#[derive(Debug)]
pub(crate) struct Leave {
    core: Arc<core::Core>,
    place: suspects::Incarnation,
    fingerprint: SmolStr,
    renewing: tokio::task::JoinHandle<()>,
}

impl Leave {
    /// Asks the leader; `None` while another suspect has the endpoint, or when
    /// no leader answers.
    pub(super) async fn ask(
        core: &Arc<core::Core>,
        place: &suspects::Incarnation,
        fingerprint: &SmolStr,
    ) -> Option<Self> {
        if !renew(core, place, fingerprint).await {
            return None;
        }
        let renewing = tokio::spawn({
            let (core, place, fingerprint) = (Arc::clone(core), place.clone(), fingerprint.clone());
            async move {
                loop {
                    tokio::time::sleep(RENEWAL).await;
                    renew(&core, &place, &fingerprint).await;
                }
            }
        });
        Some(Self {
            core: Arc::clone(core),
            place: place.clone(),
            fingerprint: fingerprint.clone(),
            renewing,
        })
    }
}

impl Drop for Leave {
    fn drop(&mut self) {
        self.renewing.abort();
        self.core
            .watch
            .lock()
            .release_permission(&self.place, &self.fingerprint);
        let core = Arc::clone(&self.core);
        let message = message(&core, &self.place, &self.fingerprint, true);
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { call(&core, &message).await });
        }
    }
}

/// Asks once; the lease runs from the sending.
async fn renew(core: &core::Core, place: &suspects::Incarnation, fingerprint: &SmolStr) -> bool {
    let sent = core.now();
    let granted = call(core, &message(core, place, fingerprint, false)).await;
    if granted {
        let until = sent.after(permission::LEASE_DURATION);
        core.watch.lock().hold_permission(place, fingerprint, until);
    }
    granted
}

async fn call(core: &core::Core, message: &claim::Leave) -> bool {
    let leader = &core.leader;
    let answer: Result<bool, cranberrygap_link::error::Error> =
        leader.call(method::SUSPECT_LEAVE, message, ANSWER).await;
    answer.unwrap_or(false)
}

fn message(
    core: &core::Core,
    place: &suspects::Incarnation,
    fingerprint: &SmolStr,
    ends: bool,
) -> claim::Leave {
    claim::Leave {
        endpoint: place.endpoint.clone(),
        fingerprint: fingerprint.clone(),
        instance: core.instance().clone(),
        boot: core.boot,
        ends,
    }
}
