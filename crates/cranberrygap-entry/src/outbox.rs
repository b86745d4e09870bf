//! Reports to the leader that are sent until it has accepted them.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use cranberrygap_link::error::Error;
use cranberrygap_model::{duration, id};
use cranberrygap_wire::method;
use parking_lot::Mutex;
use serde::Serialize;
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

/// A report about an endpoint.
pub(crate) trait Report: fmt::Debug + Serialize + Send + Sync {
    /// Method of the leader that takes it.
    const METHOD: &'static str;
    /// First word of log lines about it.
    const AREA: &'static str;

    /// The endpoint that it is about, for the log.
    fn endpoint(&self) -> &id::Endpoint;
}

/// Reports that the leader has not accepted yet, oldest first.
#[derive(Debug)]
pub(crate) struct Outbox<Kind> {
    pending: Mutex<VecDeque<Kind>>,
    added: Notify,
}

impl<Kind> Default for Outbox<Kind> {
    fn default() -> Self {
        Self {
            pending: Mutex::default(),
            added: Notify::new(),
        }
    }
}

impl<Kind: Report> Outbox<Kind> {
    /// Queues a report.
    pub(crate) fn push(&self, report: Kind) {
        let mut pending = self.pending.lock();
        if pending.len() == MAX_PENDING
            && let Some(dropped) = pending.pop_front()
        {
            warn!(
                "{}: dropped the report about {}, {MAX_PENDING} newer ones wait",
                Kind::AREA,
                dropped.endpoint()
            );
        }
        pending.push_back(report);
        drop(pending);
        self.added.notify_one();
    }

    /// Number of reports that wait.
    pub(crate) fn len(&self) -> usize {
        self.pending.lock().len()
    }

    /// Sends reports until the process stops.
    pub(crate) async fn run(&self, core: &core::Core) {
        let mut is_failing = false;
        loop {
            let Some(report) = self.pending.lock().pop_front() else {
                self.added.notified().await;
                continue;
            };
            let result: Result<(), Error> =
                core.leader.call(Kind::METHOD, &report, CALL_TIMEOUT).await;
            let Err(cause) = result else {
                is_failing = false;
                continue;
            };
            let (area, endpoint) = (Kind::AREA, report.endpoint());
            if is_final(&cause) {
                warn!("{area}: dropped the report about {endpoint}: {cause}");
                continue;
            }
            if !is_failing {
                warn!(
                    "{area}: the leader did not accept the report about {endpoint}, it is sent \
                     again until it does: {cause}"
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
