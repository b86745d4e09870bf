//! The leader's permission for a suspect to run on an endpoint.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::duration;
use cranberrygap_policy::quarantine::{permission, suspects};
use cranberrygap_wire::{claim, method};
use smol_str::SmolStr;

use crate::core;

/// Longest wait for the leader's answer.
const CALL_TIMEOUT: duration::Span = duration::Span::from_secs(1);

/// Time between two renewals; several fit into one lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// A permission that is held while a suspect runs; it is renewed until it is dropped.
#[derive(Debug)]
pub(crate) struct Permission {
    core: Arc<core::Core>,
    incarnation: suspects::Incarnation,
    fingerprint: SmolStr,
    renewal_task: tokio::task::JoinHandle<()>,
    /// Whether the permission is given back when this is dropped.
    is_returned: bool,
}

impl Permission {
    /// Asks the leader for a permission. `None` while another suspect has the endpoint, or
    /// when no leader answers.
    pub(super) async fn acquire(
        core: &Arc<core::Core>,
        incarnation: &suspects::Incarnation,
        fingerprint: &SmolStr,
    ) -> Option<Self> {
        if !renew(core, incarnation, fingerprint).await {
            return None;
        }
        let renewal_task = tokio::spawn({
            let (core, incarnation, fingerprint) =
                (Arc::clone(core), incarnation.clone(), fingerprint.clone());
            async move {
                loop {
                    tokio::time::sleep(RENEWAL_INTERVAL).await;
                    renew(&core, &incarnation, &fingerprint).await;
                }
            }
        });
        Some(Self {
            core: Arc::clone(core),
            incarnation: incarnation.clone(),
            fingerprint: fingerprint.clone(),
            renewal_task,
            is_returned: true,
        })
    }

    /// Ends the renewals without giving the permission back.
    pub(super) fn keep_until_lease_end(mut self) {
        self.is_returned = false;
    }
}

impl Drop for Permission {
    fn drop(&mut self) {
        self.renewal_task.abort();
        if !self.is_returned {
            return;
        }
        self.core
            .quarantine
            .tracker
            .lock()
            .release_permission(&self.incarnation, &self.fingerprint);
        let core = Arc::clone(&self.core);
        let message = permission_request(&core, &self.incarnation, &self.fingerprint, true);
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { call_leader(&core, &message).await });
        }
    }
}

/// Asks the leader once; the lease runs from the time of sending.
async fn renew(
    core: &core::Core,
    incarnation: &suspects::Incarnation,
    fingerprint: &SmolStr,
) -> bool {
    let sent_at = core.now();
    let is_granted = call_leader(
        core,
        &permission_request(core, incarnation, fingerprint, false),
    )
    .await;
    if is_granted {
        let until = sent_at.after(permission::LEASE_DURATION);
        core.quarantine
            .tracker
            .lock()
            .hold_permission(incarnation, fingerprint, until);
    }
    is_granted
}

async fn call_leader(core: &core::Core, message: &claim::Leave) -> bool {
    let leader = &core.leader;
    let result: Result<bool, cranberrygap_link::error::Error> = leader
        .call(method::SUSPECT_LEAVE, message, CALL_TIMEOUT)
        .await;
    result.unwrap_or(false)
}

fn permission_request(
    core: &core::Core,
    incarnation: &suspects::Incarnation,
    fingerprint: &SmolStr,
    ends: bool,
) -> claim::Leave {
    claim::Leave {
        endpoint: incarnation.endpoint.clone(),
        fingerprint: fingerprint.clone(),
        instance: core.instance().clone(),
        boot: core.boot,
        ends,
    }
}
