//! One attempt at one engine, from sending the request to its end.

use std::sync::Arc;

use cranberrygap_model::{address, duration};
use cranberrygap_policy::outcome::Evidence;
use cranberrygap_trace::note;

use crate::core;
use crate::quarantine;
use crate::route;

use super::Request;

/// A request that was sent to an engine; dropping it reports its end to the router.
#[derive(Debug)]
pub(crate) struct Attempt {
    core: Arc<core::Core>,
    destination: route::Destination,
    about: note::About,
    sent_at: duration::Instant,
    /// The request as the quarantine sees it.
    run: quarantine::Run,
    failed: bool,
}

impl Attempt {
    /// Records that `request` is sent to `destination` now.
    pub(super) fn new(
        core: &Arc<core::Core>,
        destination: route::Destination,
        request: &Request,
        number: u32,
        run: quarantine::Run,
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
            run,
            failed: false,
        }
    }

    /// Address at which the engine listens.
    pub(super) fn address(&self) -> address::Socket {
        self.destination.address
    }

    /// What the attempt is about, in notes.
    pub(super) fn about(&self) -> &note::About {
        &self.about
    }

    /// Records that the whole response has arrived.
    pub(crate) fn record_complete(&mut self) {
        self.run.record_complete();
    }

    /// Records that the engine broke the request; true when the engine is dead.
    ///
    /// The engine's other requests become suspect as well, including those of this entry that
    /// are about to notice the failure themselves.
    pub(crate) async fn record_failure(&mut self, evidence: Evidence) -> bool {
        self.failed = true;
        match evidence {
            Evidence::ConnectionBroke | Evidence::CutAnswer => {
                self.run.record_break_and_check().await
            }
            _ => false,
        }
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
        self.core
            .router
            .record_ended(self.core.now(), &self.destination, self.failed);
    }
}
