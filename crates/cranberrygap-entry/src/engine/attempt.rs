//! One attempt at one engine, from sending the request to its end.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{address, duration};
use cranberrygap_policy::outcome::Evidence;
use cranberrygap_policy::quarantine::suspects;
use cranberrygap_trace::note;
use cranberrygap_wire::{claim, endpoint, method};
use smol_str::SmolStr;
use spdlog::warn;

use crate::core;
use crate::route;

use super::{Request, permission};

/// Longest check whether an endpoint is dead; the endpoint is about a millisecond away.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the leader to accept a crash report.
const CRASH_REPORT_TIMEOUT: duration::Span = duration::Span::from_secs(1);

/// A request that was sent to an engine; dropping it reports its end to the router.
#[derive(Debug)]
pub(crate) struct Attempt {
    core: Arc<core::Core>,
    destination: route::Destination,
    about: note::About,
    sent_at: duration::Instant,
    registration_id: u64,
    fingerprint: SmolStr,
    /// Permission of a suspect request; it ends with the attempt.
    _permission: Option<permission::Permission>,
    failed: bool,
}

/// The boot of the endpoint that the request was sent to.
pub(super) fn incarnation(destination: &route::Destination) -> suspects::Incarnation {
    suspects::Incarnation {
        endpoint: destination.endpoint.clone(),
        boot: destination.boot,
    }
}

/// Registration of a request as running on an endpoint.
#[derive(Debug)]
pub(super) struct Registration {
    pub(super) id: u64,
    pub(super) permission: Option<permission::Permission>,
}

impl Attempt {
    /// Records that `request` is sent to `destination` now.
    pub(super) fn new(
        core: &Arc<core::Core>,
        destination: route::Destination,
        request: &Request,
        number: u32,
        registration: Registration,
    ) -> Self {
        let about = request.about.at(&destination.endpoint);
        core.trace.note(
            &about,
            "sent",
            format_args!(
                "sent to {}, the best endpoint by load",
                destination.endpoint
            ),
            &[("attempt", &number), ("address", &destination.address)],
        );
        Self {
            core: Arc::clone(core),
            about,
            sent_at: core.now(),
            destination,
            registration_id: registration.id,
            _permission: registration.permission,
            fingerprint: request.fingerprint.clone(),
            failed: false,
        }
    }

    /// Address at which the engine listens.
    pub(super) fn address(&self) -> address::Socket {
        self.destination.address
    }

    /// Records that the whole response has arrived. A suspect is cleared by it, and the
    /// leader is told.
    pub(crate) fn record_complete(&mut self) {
        let incarnation = incarnation(&self.destination);
        let fingerprint = self.fingerprint.clone();
        let cleared =
            self.core
                .suspects
                .lock()
                .finish_request(&incarnation, self.registration_id, true);
        if cleared {
            let message = claim::Crash {
                cleared: vec![fingerprint],
                ..self.crash_message(incarnation)
            };
            let core = Arc::clone(&self.core);
            tokio::spawn(async move { report_crash(&core, &message).await });
        }
    }

    /// Records that the engine broke the request; true when the engine is dead.
    ///
    /// Every request that ran on a dead engine becomes suspect, including other requests
    /// of this entry that are about to notice the failure themselves.
    pub(crate) async fn record_failure(&mut self, evidence: Evidence) -> bool {
        self.failed = true;
        let may_be_crash = matches!(
            evidence,
            Evidence::ConnectFailed | Evidence::ConnectionBroke | Evidence::CutAnswer
        );
        if !may_be_crash {
            return false;
        }
        let incarnation = incarnation(&self.destination);
        if evidence == Evidence::ConnectFailed {
            // The request never reached the engine, so it cannot have crashed it.
            self.core
                .suspects
                .lock()
                .finish_request(&incarnation, self.registration_id, false);
        }
        if !self.core.suspects.lock().is_dead(&incarnation) && !self.is_dead().await {
            return false;
        }
        let crash = self
            .core
            .suspects
            .lock()
            .record_death(self.core.now(), &incarnation);
        if let Some(crash) = crash {
            warn!(
                "quarantine: {} died while it ran {} requests of this entry",
                crash.incarnation.endpoint,
                crash.fingerprints.len()
            );
            let message = claim::Crash {
                fingerprints: crash.fingerprints,
                probed: crash.probed,
                ..self.crash_message(crash.incarnation)
            };
            report_crash(&self.core, &message).await;
        }
        evidence != Evidence::ConnectFailed
    }

    /// Whether the engine refuses connections or has a new boot.
    async fn is_dead(&self) -> bool {
        let connecting = tokio::net::TcpStream::connect(self.destination.address.0);
        match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
            Ok(Err(cause)) => return cause.kind() == std::io::ErrorKind::ConnectionRefused,
            Err(_elapsed) => return false,
            Ok(Ok(_connection)) => {}
        }
        let url = format!("http://{}/report?since=0", self.destination.address);
        let call = self
            .core
            .upstream
            .unpooled()
            .get(url)
            .timeout(PROBE_TIMEOUT)
            .send();
        let Ok(response) = call.await else {
            return false;
        };
        let Ok(body) = response.bytes().await else {
            return false;
        };
        let report = serde_json::from_slice::<endpoint::Report>(&body);
        report.is_ok_and(|report| report.boot != self.destination.boot)
    }

    fn crash_message(&self, incarnation: suspects::Incarnation) -> claim::Crash {
        claim::Crash {
            endpoint: incarnation.endpoint,
            boot: incarnation.boot,
            instance: self.core.instance().clone(),
            fingerprints: Vec::new(),
            cleared: Vec::new(),
            probed: None,
        }
    }
}

async fn report_crash(core: &core::Core, message: &claim::Crash) {
    let leader = &core.leader;
    let result: Result<(), cranberrygap_link::error::Error> = leader
        .call(method::CRASH_REPORT, message, CRASH_REPORT_TIMEOUT)
        .await;
    if let Err(cause) = result {
        warn!("quarantine: reporting to the leader failed: {cause}");
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let elapsed = self.core.now().since(self.sent_at);
        let (code, sentence) = if self.failed {
            (
                "broken",
                "the endpoint failed, or its response was incomplete",
            )
        } else {
            ("ended", "the attempt ended")
        };
        let facts: [(&'static str, &dyn std::fmt::Display); 1] = [("took", &elapsed)];
        self.core.trace.note(&self.about, code, sentence, &facts);
        let incarnation = incarnation(&self.destination);
        self.core
            .suspects
            .lock()
            .finish_request(&incarnation, self.registration_id, false);
        self.core
            .router
            .record_ended(self.core.now(), &self.destination, self.failed);
    }
}
