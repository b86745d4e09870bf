//! State shared by all parts of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cadence::{Counted as _, StatsdClient, Timed as _};
use cranberrygap_link::clock;
use cranberrygap_model::{address, duration, id, number};
use cranberrygap_policy::stall;
use cranberrygap_wire::{settings, view as wire_view};
use parking_lot::{Mutex, MutexGuard};
use smol_str::SmolStr;
use tokio::sync::watch as watch_channel;

use crate::admission;
use crate::announce;
use crate::control;
use crate::dial;
use crate::gateway::{self, pool};
use crate::outbox;
use crate::quarantine;
use crate::queue;
use crate::reach;
use crate::refusal::Refusal;
use crate::resends;
use crate::route;
use crate::startup;
use crate::trace;
use crate::traffic;
use crate::upstream;
use crate::view;

/// Shared state of one entry process.
#[derive(Debug)]
pub struct Core {
    pub(crate) settings: settings::Entry,
    pub(crate) boot: number::Boot,
    pub(crate) clock: clock::Clock,
    /// Knows when this process stood still.
    pub(crate) stalls: Mutex<stall::Detector>,
    pub(crate) view: view::Holder,
    pub(crate) peers: Arc<control::Peers>,
    pub(crate) leader: control::Session,
    pub(crate) limiter: Arc<dyn admission::Limiter>,
    /// Address for loan requests of other entries, if this entry lends.
    pub(crate) lending_address: Option<address::Socket>,
    pub(crate) router: Arc<dyn route::Router>,
    /// Endpoints of the traffic plan's services.
    pub(crate) endpoints: gateway::Endpoints,
    /// Origins of the streams of the traffic plan's routes.
    pub(crate) origins: gateway::Origins,
    /// Opens connections to the endpoints of the traffic plan's services.
    pub(crate) dialer: Arc<dyn dial::Dial>,
    /// Idle connections to the endpoints of plain services.
    pub(crate) service_connections: pool::Pool,
    pub(crate) reach: reach::Reach,
    pub(crate) startup: startup::Startup,
    /// Budget of requests that are sent to endpoints once more.
    pub(crate) resends: resends::Resends,
    pub(crate) upstream: upstream::Clients,
    /// Requests that wait for a slot at the engines.
    pub(crate) queues: Arc<queue::Queues>,
    /// Requests in progress by endpoint, and requests suspected to crash endpoints.
    pub(crate) quarantine: quarantine::Quarantine,
    /// Processes of endpoints that drain, for the leader.
    pub(crate) drains: outbox::Outbox<wire_view::Draining>,
    pub(crate) announcements: announce::Inbox,
    pub(crate) demand: control::Demand,
    pub(crate) metrics: Arc<StatsdClient>,
    pub(crate) trace: trace::Trace,
    /// Bytes by kind, and where the peers are.
    pub(crate) traffic: Arc<traffic::Traffic>,
    pub(crate) draining: AtomicBool,
    /// True once a planned stop accepts no new requests.
    pub(crate) closing: watch_channel::Sender<bool>,
}

impl Core {
    /// The view that requests are served from.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoLease`] with the other entries' addresses when the view must
    /// not be used.
    pub(crate) fn serving_view(&self) -> Result<Arc<view::Snapshot>, Refusal> {
        let current = self.view.current(self.clock.now());
        current.ok_or_else(|| Refusal::NoLease {
            addresses: self.other_entries(),
        })
    }

    /// Addresses at which the other entries of the latest view accept callers.
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

    /// Address that is published to callers.
    pub(crate) fn advertised_address(&self) -> address::Socket {
        self.settings
            .listen
            .advertise
            .unwrap_or(self.settings.listen.callers)
    }

    /// Time limit of a planned stop.
    pub(crate) fn stop_within(&self) -> duration::Span {
        const DEFAULT: duration::Span = duration::Span::from_secs(20);
        let limits = self.settings.limits.as_ref();
        limits.map_or(DEFAULT, |limits| limits.stop_within)
    }

    /// Increments a counter with one tag. A metric that cannot be sent is dropped, so that
    /// requests do not wait for metrics.
    pub(crate) fn count(&self, name: &'static str, tag: &str) {
        self.metrics
            .count_with_tags(name, 1)
            .with_tag_value(tag)
            .send();
    }

    /// Records a duration metric. One that cannot be sent is dropped.
    pub(crate) fn record_time(&self, name: &'static str, span: duration::Span) {
        let _lost = self.metrics.time(name, span.to_std());
    }

    /// Waits until a planned stop accepts no new requests.
    ///
    /// Requests that have not been sent to an endpoint by then are refused. They may wait
    /// for tokens or an engine for longer than the process runs, and a closed connection
    /// would leave their callers not knowing whether they ran.
    pub(crate) async fn wait_for_closing(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as `self`, so the channel never closes.
        let _never_closed = closing.wait_for(|closing| *closing).await;
    }

    /// Time at which a request that is read now has arrived, counted from the begin of a stall
    /// that has just ended.
    pub(crate) fn arrival_time(&self) -> duration::Instant {
        let now = self.now();
        self.stalls(now).arrival(now)
    }

    /// Whether something that was decided at `decided_at` under a lease may have been done after
    /// the lease had ended, since this process stood still in between.
    pub(crate) fn may_have_outlasted(
        &self,
        decided_at: duration::Instant,
        lease_end: duration::Instant,
    ) -> bool {
        let stalls = self.stalls(self.now());
        stalls.may_have_delayed(decided_at, lease_end)
    }

    /// The stalls so far, with one that has just ended.
    fn stalls(&self, now: duration::Instant) -> MutexGuard<'_, stall::Detector> {
        let mut stalls = self.stalls.lock();
        if let Some(span) = stalls.tick(now) {
            spdlog::info!("entry: stood still for {}ms", span.0 / 1_000);
        }
        stalls
    }

    /// Watches for times in which this process stands still, until it stops.
    pub(crate) async fn watch_stalls(self: Arc<Self>) {
        loop {
            drop(self.stalls(self.now()));
            tokio::time::sleep(stall::TICK.to_std()).await;
        }
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Current time of the process's clock.
    pub(crate) fn now(&self) -> duration::Instant {
        self.clock.now()
    }

    /// Refuses a request that is quarantined because it crashed endpoints.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Quarantined`] with the remaining time.
    pub(crate) fn check_quarantine(
        &self,
        view: &view::Snapshot,
        fingerprint: &SmolStr,
    ) -> Result<(), Refusal> {
        let isolation = quarantine::Isolation::AfterFirstCrash;
        let stage = self.quarantine.stage(
            self.now(),
            view,
            std::slice::from_ref(fingerprint),
            isolation,
        );
        match stage {
            quarantine::Stage::Refused(retry_after) => Err(Refusal::Quarantined { retry_after }),
            // The parts of prompts are not named at the API.
            quarantine::Stage::Free
            | quarantine::Stage::Probation
            | quarantine::Stage::PartRefused => Ok(()),
        }
    }
}
