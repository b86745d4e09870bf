//! A request at an endpoint, from sending it to its end.

use std::sync::Arc;

use cranberrygap_model::duration;
use cranberrygap_policy::quarantine::suspects;
use smol_str::SmolStr;

use crate::core;

use super::{Place, Stage, evidence, permission, report};

/// A request that is about to be sent or was sent; dropping it ends it without a response.
#[derive(Debug)]
pub(crate) struct Run {
    core: Arc<core::Core>,
    place: Place,
    subjects: suspects::Subjects,
    number: u64,
    /// Permission of a suspect; it ends with the run.
    permission: Option<permission::Permission>,
    has_ended: bool,
}

/// Why a request may not be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denial {
    /// This boot of the endpoint is dead.
    Dead,
    /// The request runs only alone, and another suspect has the endpoint, or the leader did not
    /// answer.
    NotAlone,
    /// The request is refused for this time.
    Refused(duration::Span),
    /// A part of its prompt is refused.
    PartRefused,
}

impl Run {
    /// Registers a request at an endpoint. Only a suspect on probation waits for the leader.
    ///
    /// # Errors
    ///
    /// [`Denial`] when the request must not be sent there now.
    pub(crate) async fn begin(
        core: &Arc<core::Core>,
        place: Place,
        subjects: &[SmolStr],
        isolation: suspects::Isolation,
    ) -> Result<Self, Denial> {
        let now = core.now();
        let view = core.view.latest();
        let stage = view.as_ref().map_or(Stage::Free, |view| {
            core.quarantine.stage(now, view, subjects, isolation)
        });
        match stage {
            Stage::Refused(left) => return Err(Denial::Refused(left)),
            Stage::PartRefused => return Err(Denial::PartRefused),
            Stage::Free | Stage::Probation => {}
        }
        let view = view.filter(|_| stage == Stage::Probation);
        let suspect = view.and_then(|view| {
            let suspect = core.quarantine.suspect(now, &view, subjects, isolation);
            suspect.cloned()
        });
        let incarnation = place.incarnation();
        let started = {
            let mut tracker = core.quarantine.tracker.lock();
            tracker.start_request(now, &incarnation, subjects, isolation)
        };
        let number = started.map_err(|denial| match denial {
            suspects::Denial::Dead => Denial::Dead,
            suspects::Denial::OtherSuspect => Denial::NotAlone,
        })?;
        let mut run = Self {
            core: Arc::clone(core),
            place,
            subjects: subjects.iter().cloned().collect(),
            number,
            permission: None,
            has_ended: false,
        };
        if let Some(suspect) = suspect {
            let permission = permission::Permission::acquire(core, &incarnation, &suspect).await;
            run.permission = Some(permission.ok_or(Denial::NotAlone)?);
        }
        Ok(run)
    }

    /// Records that the complete response arrived. Suspects are cleared by it, and the leader is
    /// told.
    pub(crate) fn record_complete(&mut self) {
        let cleared = self.end(suspects::Ending::Complete);
        let view = self.core.view.latest();
        let subjects = self.subjects.iter();
        let restricted = subjects.filter(|subject| {
            let view = view.as_ref();
            view.is_some_and(|view| view.quarantine(subject).is_some())
        });
        let restricted = restricted.filter(|subject| !cleared.contains(*subject));
        let spoken_for = cleared.iter().chain(restricted).cloned().collect();
        report::clear(&self.core, self.place.incarnation(), spoken_for);
    }

    /// Records that the response ended with its connection, as it does if the endpoint has died.
    /// It counts as complete once the endpoint is known to be alive after it, and a suspect keeps
    /// its permission until then.
    pub(crate) fn record_unconfirmed_end(&mut self) {
        self.end(suspects::Ending::Unconfirmed);
        let (core, place, number) = (Arc::clone(&self.core), self.place.clone(), self.number);
        let permission = self.permission.take();
        tokio::spawn(async move {
            let is_alive = evidence::confirm(&core, &place, number).await;
            if let Some(permission) = permission
                && !is_alive
            {
                permission.keep_until_lease_end();
            }
        });
    }

    /// Records that the connection broke, and checks in the background whether the endpoint is
    /// dead.
    pub(crate) fn record_break(&mut self) {
        self.end_broken();
        evidence::check(&self.core, &self.place);
    }

    /// Records that the connection broke; returns whether the endpoint is dead.
    pub(crate) async fn record_break_and_check(&mut self) -> bool {
        self.end_broken();
        evidence::check_and_wait(&self.core, &self.place).await
    }

    /// Keeps a suspect's permission until its lease ends. By then every entry knows whether the
    /// suspect crashed the endpoint; sooner, it could run once more.
    fn end_broken(&mut self) {
        self.end(suspects::Ending::Broken);
        if let Some(permission) = self.permission.take() {
            permission.keep_until_lease_end();
        }
    }

    fn end(&mut self, ending: suspects::Ending) -> suspects::Subjects {
        if self.has_ended {
            return suspects::Subjects::new();
        }
        self.has_ended = true;
        let mut tracker = self.core.quarantine.tracker.lock();
        let now = self.core.now();
        tracker.finish_request(now, &self.place.incarnation(), self.number, ending)
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.end(suspects::Ending::Incomplete);
    }
}
