//! Plans that wait while another one is committed.

use cranberrygap_link::server;
use cranberrygap_state::traffic::change;
use cranberrygap_wire::traffic;
use smol_str::SmolStr;
use tokio::sync::oneshot;

/// What became of a plan.
pub(super) type Outcome = Result<(), server::Fault>;

/// A plan with the text that it was read from.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) plan: traffic::Plan,
    pub(super) source: SmolStr,
}

/// A caller that waits for a plan of its version or a higher one.
#[derive(Debug)]
struct Waiter {
    version: u64,
    reply: oneshot::Sender<Outcome>,
}

/// Plans that wait to be committed, and their callers.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Version of the plan that is being committed.
    committing: Option<u64>,
    /// Plan with the highest version among those that wait.
    next: Option<Request>,
    waiters: Vec<Waiter>,
}

impl Request {
    pub(super) fn version(&self) -> change::Version<'_> {
        change::Version {
            plan: &self.plan,
            source: &self.source,
        }
    }
}

impl Queue {
    /// Adds a plan, and returns what tells its outcome.
    pub(super) fn add(&mut self, request: Request) -> oneshot::Receiver<Outcome> {
        let version = request.plan.version;
        let (reply, outcome) = oneshot::channel();
        self.waiters.push(Waiter { version, reply });
        let next = self.next.as_ref().map(|next| next.plan.version);
        if self.committing.max(next) < Some(version) {
            self.next = Some(request);
        }
        outcome
    }

    /// Returns the next plan to commit.
    pub(super) fn take(&mut self) -> Option<Request> {
        let request = self.next.take()?;
        self.committing = Some(request.plan.version);
        Some(request)
    }

    /// Answers the callers whose plans have this version or were replaced by it.
    pub(super) fn finish(&mut self, version: u64, outcome: &Outcome) {
        self.committing = None;
        let answered = self
            .waiters
            .extract_if(.., |waiter| waiter.version <= version);
        for waiter in answered {
            // Fails if the caller no longer waits.
            drop(waiter.reply.send(outcome.clone()));
        }
    }
}
