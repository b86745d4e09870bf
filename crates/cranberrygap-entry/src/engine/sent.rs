//! One dispatch to one engine, from sending to its end.

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

use super::{Request, leave};

/// Longest look at whether an endpoint is dead; it is about a millisecond away.
const LOOK: Duration = Duration::from_millis(500);

/// Longest wait for the leader to take a crash report.
const REPORT: duration::Span = duration::Span::from_secs(1);

/// A request that was sent to an engine; tells the router when it ends.
#[derive(Debug)]
pub(crate) struct Attempt {
    core: Arc<core::Core>,
    choice: route::Destination,
    about: note::About,
    at: duration::Instant,
    running: u64,
    fingerprint: SmolStr,
    /// Ends with the request, when that is suspect.
    _leave: Option<leave::Leave>,
    failed: bool,
}

/// The life of the endpoint that a choice was made for.
pub(super) fn place(choice: &route::Destination) -> suspects::Incarnation {
    suspects::Incarnation {
        endpoint: choice.endpoint.clone(),
        boot: choice.boot,
    }
}

/// The note that a request runs on an endpoint.
#[derive(Debug)]
pub(super) struct Started {
    pub(super) running: u64,
    pub(super) leave: Option<leave::Leave>,
}

impl Attempt {
    /// Notes that `call` goes to `choice` now.
    pub(super) fn new(
        core: &Arc<core::Core>,
        choice: route::Destination,
        call: &Request,
        attempt: u32,
        started: Started,
    ) -> Self {
        let about = call.about.at(&choice.endpoint);
        core.trace.note(
            &about,
            "sent",
            format_args!("sent to {}, the best endpoint by load", choice.endpoint),
            &[("attempt", &attempt), ("address", &choice.address)],
        );
        Self {
            core: Arc::clone(core),
            about,
            at: core.now(),
            choice,
            running: started.running,
            _leave: started.leave,
            fingerprint: call.fingerprint.clone(),
            failed: false,
        }
    }

    /// Where the engine listens.
    pub(super) fn address(&self) -> address::Socket {
        self.choice.address
    }

    /// The whole answer has arrived; a suspect is innocent then, and the leader is
    /// told.
    pub(crate) fn record_complete(&mut self) {
        let place = place(&self.choice);
        let fingerprint = self.fingerprint.clone();
        let cleared = self
            .core
            .watch
            .lock()
            .finish_request(&place, self.running, true);
        if cleared {
            let message = claim::Crash {
                cleared: vec![fingerprint],
                ..self.message(place)
            };
            let core = Arc::clone(&self.core);
            tokio::spawn(async move { report(&core, &message).await });
        }
    }

    /// The engine broke the request; true when it is dead.
    ///
    /// All that ran on a dead engine becomes suspect, also what other requests of
    /// this entry are about to find out themselves.
    pub(crate) async fn record_failure(&mut self, evidence: Evidence) -> bool {
        self.failed = true;
        let is_sign = matches!(
            evidence,
            Evidence::ConnectFailed | Evidence::ConnectionBroke | Evidence::CutAnswer
        );
        if !is_sign {
            return false;
        }
        let place = place(&self.choice);
        if evidence == Evidence::ConnectFailed {
            // It cannot have harmed an engine that it never reached.
            self.core
                .watch
                .lock()
                .finish_request(&place, self.running, false);
        }
        if !self.core.watch.lock().is_dead(&place) && !self.is_dead().await {
            return false;
        }
        let crash = self.core.watch.lock().record_death(self.core.now(), &place);
        if let Some(crash) = crash {
            warn!(
                "quarantine: {} died with {} requests of this entry",
                crash.incarnation.endpoint,
                crash.fingerprints.len()
            );
            let message = claim::Crash {
                fingerprints: crash.fingerprints,
                probed: crash.probed,
                ..self.message(crash.incarnation)
            };
            report(&self.core, &message).await;
        }
        evidence != Evidence::ConnectFailed
    }

    /// Whether the engine refuses connections or has another boot by now.
    async fn is_dead(&self) -> bool {
        let connecting = tokio::net::TcpStream::connect(self.choice.address.0);
        match tokio::time::timeout(LOOK, connecting).await {
            Ok(Err(cause)) => return cause.kind() == std::io::ErrorKind::ConnectionRefused,
            Err(_elapsed) => return false,
            Ok(Ok(_connection)) => {}
        }
        let url = format!("http://{}/report?since=0", self.choice.address);
        let asking = self.core.upstream.fresh().get(url).timeout(LOOK).send();
        let Ok(answer) = asking.await else {
            return false;
        };
        let Ok(body) = answer.bytes().await else {
            return false;
        };
        let report = serde_json::from_slice::<endpoint::Report>(&body);
        report.is_ok_and(|report| report.boot != self.choice.boot)
    }

    fn message(&self, place: suspects::Incarnation) -> claim::Crash {
        claim::Crash {
            endpoint: place.endpoint,
            boot: place.boot,
            instance: self.core.instance().clone(),
            fingerprints: Vec::new(),
            cleared: Vec::new(),
            probed: None,
        }
    }
}

async fn report(core: &core::Core, message: &claim::Crash) {
    let leader = &core.leader;
    let told: Result<(), cranberrygap_link::error::Error> =
        leader.call(method::CRASH_REPORT, message, REPORT).await;
    if let Err(cause) = told {
        warn!("quarantine: the leader was not told: {cause}");
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let time = self.core.now().since(self.at);
        let (code, sentence) = if self.failed {
            ("broken", "the endpoint failed, or its answer was not whole")
        } else {
            ("ended", "the endpoint's part ended")
        };
        let facts: [(&'static str, &dyn std::fmt::Display); 1] = [("took", &time)];
        self.core.trace.note(&self.about, code, sentence, &facts);
        let place = place(&self.choice);
        self.core
            .watch
            .lock()
            .finish_request(&place, self.running, false);
        self.core
            .router
            .record_ended(self.core.now(), &self.choice, self.failed);
    }
}
