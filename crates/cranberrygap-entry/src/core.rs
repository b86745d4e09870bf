//! What all parts of an entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cadence::{Counted as _, StatsdClient, Timed as _};
use cranberrygap_link::clock;
use cranberrygap_model::{address, duration, id, number};
use cranberrygap_policy::quarantine::suspects;
use cranberrygap_policy::retry;
use cranberrygap_wire::settings;
use parking_lot::Mutex;
use tokio::sync::watch as watch_channel;

use crate::admission;
use crate::announce;
use crate::control;
use crate::gateway;
use crate::queue;
use crate::refusal::Refusal;
use crate::route;
use crate::trace;
use crate::upstream;
use crate::view;

/// The shared parts of one entry process.
#[derive(Debug)]
pub struct Core {
    pub(crate) settings: settings::Entry,
    pub(crate) boot: number::Boot,
    pub(crate) clock: clock::Clock,
    pub(crate) view: view::Holder,
    pub(crate) peers: Arc<control::Peers>,
    pub(crate) leader: control::Session,
    pub(crate) limiter: Arc<dyn admission::Limiter>,
    /// Where other entries borrow tokens from this one.
    pub(crate) lending_address: Option<address::Socket>,
    pub(crate) router: Arc<dyn route::Router>,
    /// Endpoints of the traffic plan's services.
    pub(crate) endpoints: gateway::Endpoints,
    pub(crate) upstream: upstream::Clients,
    /// Requests that wait for a place at the engines.
    pub(crate) queues: Arc<queue::Queues>,
    /// Retries that may still be made.
    pub(crate) retry_budget: Mutex<retry::Budget>,
    /// What runs on which endpoint, and who is suspected to crash them.
    pub(crate) suspects: Mutex<suspects::Tracker>,
    pub(crate) announcements: announce::Inbox,
    pub(crate) demand: control::Demand,
    pub(crate) metrics: Arc<StatsdClient>,
    pub(crate) trace: trace::Trace,
    pub(crate) draining: AtomicBool,
    /// True once a planned stop takes nothing new.
    pub(crate) closing: watch_channel::Sender<bool>,
}

impl Core {
    /// The view that requests are served from.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoLease`] when the lease is out, with entries to ask instead.
    pub(crate) fn serving_view(&self) -> Result<Arc<view::Snapshot>, Refusal> {
        let current = self.view.current(self.clock.now());
        current.ok_or_else(|| Refusal::NoLease {
            addresses: self.other_entries(),
        })
    }

    /// Callers' addresses of the other entries, as far as this one knows.
    pub(crate) fn other_entries(&self) -> Vec<address::Socket> {
        let latest = self.view.latest();
        latest
            .map(|view| view.other_entry_addresses(self.instance()))
            .unwrap_or_default()
    }

    /// This entry's name.
    pub(crate) fn instance(&self) -> &id::Instance {
        &self.settings.entry.instance
    }

    /// The address that callers are told.
    pub(crate) fn advertised_address(&self) -> address::Socket {
        self.settings
            .listen
            .advertise
            .unwrap_or(self.settings.listen.callers)
    }

    /// Longest time of a planned stop.
    pub(crate) fn stop_within(&self) -> duration::Span {
        const WITHOUT_A_SETTING: duration::Span = duration::Span::from_secs(20);
        let limits = self.settings.limits.as_ref();
        limits.map_or(WITHOUT_A_SETTING, |limits| limits.stop_within)
    }

    /// Counts something by one tag. A metric that cannot be sent is lost; requests do
    /// not wait for metrics.
    pub(crate) fn count(&self, name: &'static str, tag: &str) {
        self.metrics
            .count_with_tags(name, 1)
            .with_tag_value(tag)
            .send();
    }

    /// Notes a length of time.
    pub(crate) fn record_time(&self, name: &'static str, span: duration::Span) {
        let _lost = self.metrics.time(name, span.to_std());
    }

    /// Comes when a planned stop takes nothing new.
    ///
    /// What has not been sent to an endpoint by then is refused. It may wait for tokens or
    /// an engine for longer than the process has, and would end with a closed connection:
    /// its caller would not know whether it ran.
    pub(crate) async fn wait_for_closing(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as this.
        let _never_closed = closing.wait_for(|closing| *closing).await;
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// The time now.
    pub(crate) fn now(&self) -> duration::Instant {
        self.clock.now()
    }

    /// Refuses a request that crashed endpoints, until its time is over.
    ///
    /// # Errors
    ///
    /// [`Refusal::Quarantined`] with the time that is left.
    pub(crate) fn check_quarantine(
        view: &view::Snapshot,
        fingerprint: &str,
    ) -> Result<(), Refusal> {
        let until = view.quarantine(fingerprint).map_or(0, |found| found.until);
        let left = until.saturating_sub(clock::unix_millis());
        if left == 0 {
            return Ok(());
        }
        Err(Refusal::Quarantined {
            retry_after: duration::Span::from_millis(left),
        })
    }
}
