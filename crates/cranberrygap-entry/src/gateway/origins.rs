//! Origins of streams: kept here, told to other entries and a control process, and asked of them.

mod controls;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{address, duration, id, software};
use cranberrygap_routing::origin;
use cranberrygap_wire::{traffic, view as wire_view};
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};
use tokio::time;

use crate::core;
use crate::metric;
use crate::view::{self, traffic as table};

use super::failure::{self, Failure};
use super::{Gateway, gossip, request, request_log};

/// Time after which entries that did not answer are asked once more; a datagram may be lost.
const REPEAT_AFTER: Duration = Duration::from_millis(40);

/// Longest wait for the entries that are asked together. Callers that come back have lost time
/// already, and what is not known by then is refused.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Retry delay of callers whose stream is unknown. They may begin anew at once; the delay keeps
/// many of them from coming back together.
const UNKNOWN_RETRY_AFTER: duration::Span = duration::Span::from_millis(200);

/// What is sent to another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outgoing {
    /// The origin of a stream, for another entry or a control process.
    Record(origin::Record),
    /// Asks for the origin of a stream.
    Question { number: u32, key: origin::Key },
}

/// Origins of streams that this entry knows, and questions that wait for other entries.
#[derive(Debug)]
pub(crate) struct Origins {
    gossip_port: Option<u16>,
    keeper: Mutex<origin::Keeper>,
    controls: Mutex<controls::Controls>,
    applied: Mutex<Applied>,
    waiting: Mutex<Waiting>,
    added: Notify,
}

/// Parts of the last view that matter here, shared with it.
#[derive(Debug, Default)]
struct Applied {
    members: Arc<BTreeMap<id::Instance, wire_view::Member>>,
    versions: Arc<Vec<wire_view::Versions>>,
    former_routes: Arc<Vec<wire_view::FormerRoute>>,
    plan: Option<Arc<table::Table>>,
}

#[derive(Debug, Default)]
struct Waiting {
    last_number: u32,
    unsent: Vec<(address::Socket, Outgoing)>,
    answers: BTreeMap<u32, mpsc::UnboundedSender<Answer>>,
}

/// What another entry or a control process answered.
type Answer = (address::Socket, Option<origin::Origin>);

impl Origins {
    /// Creates the origins of the entry `own`, without any.
    ///
    /// `gossip_port` is the port at which all entries tell and ask each other; without one
    /// there is no other entry to ask.
    pub(crate) fn new(own: id::Instance, gossip_port: Option<u16>) -> Self {
        Self {
            gossip_port,
            controls: Mutex::new(controls::Controls::new(own.clone())),
            keeper: Mutex::new(origin::Keeper::new(own)),
            applied: Mutex::default(),
            waiting: Mutex::default(),
            added: Notify::new(),
        }
    }

    /// Applies the entries and software versions of a new view.
    pub(crate) fn apply_view(&self, now: duration::Instant, view: &view::Snapshot) {
        let Some(port) = self.gossip_port else {
            return;
        };
        let mut applied = self.applied.lock();
        let has_same_plan = match (view.traffic(), &applied.plan) {
            (Some(plan), Some(applied)) => Arc::ptr_eq(plan, applied),
            (plan, applied) => plan.is_none() && applied.is_none(),
        };
        // Most revisions change something else.
        if Arc::ptr_eq(view.members(), &applied.members)
            && Arc::ptr_eq(view.versions(), &applied.versions)
            && Arc::ptr_eq(view.former_routes(), &applied.former_routes)
            && has_same_plan
        {
            return;
        }
        applied.members = Arc::clone(view.members());
        applied.versions = Arc::clone(view.versions());
        applied.former_routes = Arc::clone(view.former_routes());
        applied.plan = view.traffic().cloned();
        let plan = view.traffic().map(|table| table.plan());
        let contested = origin::contested(view.versions(), view.former_routes(), plan);
        let entries = gossip::entries(view, port);
        let mut keeper = self.keeper.lock();
        let records = keeper.apply_view(now, entries, contested);
        let mut controls = self.controls.lock();
        // A process that was not told before knows none of the streams.
        let is_new = controls.apply_view(view) || !records.is_empty();
        let control = controls.home().filter(|_| is_new);
        drop(controls);
        let contested = control.map(|control| {
            let records = keeper.contested_records(now).into_iter();
            records.map(move |record| (control, record))
        });
        drop(keeper);
        let records = records.into_iter().chain(contested.into_iter().flatten());
        self.send(records.map(|(home, record)| (home, Outgoing::Record(record))));
    }

    /// Records that events of a stream are forwarded here. Its homes are told.
    pub(crate) fn record(
        &self,
        now: duration::Instant,
        record: &origin::Record,
    ) -> origin::Insertion {
        let mut keeper = self.keeper.lock();
        let (insertion, homes) = keeper.record(now, record);
        let is_told =
            insertion != origin::Insertion::Known && keeper.is_contested(&record.origin.service);
        drop(keeper);
        let control = self.controls.lock().home().filter(|_| is_told);
        let told = homes.into_iter().chain(control);
        self.send(told.map(|home| (home, Outgoing::Record(record.clone()))));
        insertion
    }

    /// Records what another entry tells. One that the view does not know is ignored.
    pub(crate) fn apply_records(
        &self,
        now: duration::Instant,
        from: SocketAddr,
        records: &[origin::Record],
    ) -> Vec<origin::Insertion> {
        let mut keeper = self.keeper.lock();
        if !keeper.is_entry(from) {
            return Vec::new();
        }
        let insertions = records
            .iter()
            .map(|record| keeper.apply_record(now, record));
        insertions.collect()
    }

    /// Returns the origin of a stream, if this entry knows it.
    pub(crate) fn find(&self, now: duration::Instant, key: origin::Key) -> Option<origin::Origin> {
        self.keeper.lock().find(now, key).cloned()
    }

    /// Whether an address belongs to an entry of the view.
    pub(crate) fn is_entry(&self, address: SocketAddr) -> bool {
        self.keeper.lock().is_entry(address)
    }

    /// Returns what another entry asks for, if this one has a record of it.
    pub(crate) fn answer(
        &self,
        now: duration::Instant,
        key: origin::Key,
    ) -> Option<origin::Record> {
        self.keeper.lock().answer(now, key)
    }

    /// Asks the homes of a stream for its origin.
    pub(crate) async fn ask_homes(&self, key: origin::Key) -> Option<origin::Origin> {
        let homes = self.keeper.lock().other_homes(key).to_vec();
        self.ask_each(key, homes).await
    }

    /// Asks all control processes for the origin of a stream.
    pub(crate) async fn ask_controls(&self, key: origin::Key) -> Option<origin::Origin> {
        let controls = self.controls.lock().all().to_vec();
        self.ask_each(key, controls).await
    }

    /// Whether a control process of the view has an address.
    pub(crate) fn is_control(&self, address: SocketAddr) -> bool {
        self.controls
            .lock()
            .all()
            .contains(&address::Socket(address))
    }

    /// Asks all entries beside the homes of a stream for its origin.
    pub(crate) async fn ask_others(&self, key: origin::Key) -> Option<origin::Origin> {
        let others: Vec<address::Socket> = {
            let keeper = self.keeper.lock();
            let homes = keeper.other_homes(key);
            let others = keeper.other_entries();
            others.filter(|other| !homes.contains(other)).collect()
        };
        self.ask_each(key, others).await
    }

    /// Asks some entries together. Returns the first origin, or nothing once all have answered
    /// or the time is over.
    async fn ask_each(
        &self,
        key: origin::Key,
        mut silent: Vec<address::Socket>,
    ) -> Option<origin::Origin> {
        if silent.is_empty() {
            return None;
        }
        let (answered, mut answers) = mpsc::unbounded_channel();
        let number = {
            let mut waiting = self.waiting.lock();
            waiting.answers.retain(|_, answered| !answered.is_closed());
            waiting.last_number = waiting.last_number.wrapping_add(1);
            let number = waiting.last_number;
            waiting.answers.insert(number, answered);
            number
        };
        let begun = time::Instant::now();
        for until in [REPEAT_AFTER, ANSWER_TIMEOUT] {
            let question = Outgoing::Question { number, key };
            let asked = silent.iter().map(|entry| (*entry, question.clone()));
            self.send(asked);
            while let Ok(Some((from, origin))) =
                time::timeout_at(begun + until, answers.recv()).await
            {
                if origin.is_some() {
                    return origin;
                }
                silent.retain(|entry| *entry != from);
                if silent.is_empty() {
                    return None;
                }
            }
        }
        None
    }

    /// Applies the answer of a control process, which knows origins by their digests.
    pub(crate) fn apply_control_answer(
        &self,
        from: SocketAddr,
        number: u32,
        origin: Option<origin::Digest>,
    ) {
        let versions = Arc::clone(&self.applied.lock().versions);
        let origin = origin.and_then(|origin| origin.resolve(&versions));
        self.apply_answer(from, number, origin);
    }

    /// Applies the answer of another entry.
    pub(crate) fn apply_answer(
        &self,
        from: SocketAddr,
        number: u32,
        origin: Option<origin::Origin>,
    ) {
        if let Some(answered) = self.waiting.lock().answers.get(&number) {
            // Fails if the request that asked has ended.
            let _ended = answered.send((address::Socket(from), origin));
        }
    }

    /// Waits for what has to be sent.
    pub(crate) async fn next_outgoing(&self) -> Vec<(address::Socket, Outgoing)> {
        loop {
            let unsent = std::mem::take(&mut self.waiting.lock().unsent);
            if !unsent.is_empty() {
                return unsent;
            }
            self.added.notified().await;
        }
    }

    /// Number of streams whose origin is known, for operators.
    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::json!({ "streams": self.keeper.lock().len() })
    }

    fn send(&self, messages: impl Iterator<Item = (address::Socket, Outgoing)>) {
        let mut waiting = self.waiting.lock();
        let before = waiting.unsent.len();
        waiting.unsent.extend(messages);
        if waiting.unsent.len() > before {
            self.added.notify_one();
        }
    }
}

/// Returns the origin of a stream that its caller resumes; absent for other requests.
///
/// # Errors
///
/// When no entry knows where the stream began, and several versions or services may have begun it.
pub(super) async fn find(
    gateway: &Gateway,
    request: &request::Request,
    resolution: &request::Resolution,
    log: &mut request_log::Log,
) -> Result<Option<origin::Origin>, Failure> {
    if !request.metadata.is_resumption() {
        return Ok(None);
    }
    let core = &gateway.core;
    let place = (request.host.as_str(), request.target.path());
    let view = request::serving_view(gateway)?;
    let former = Arc::clone(view.former_routes());
    let is_resumable = resolution.route.kind == traffic::Kind::Resumable;
    if !is_resumable && !origin::has_moved(&former, place.0, place.1) {
        return Ok(None);
    }
    let proved = origin::prove(view.versions(), &former, &resolution.route, place);
    drop(view);
    let found = search(core, request.stream_key(resolution), proved).await;
    let now = core.now();
    let first = request.metadata.first_attempt.as_deref().unwrap_or("-");
    let Some((origin, proof)) = found else {
        let step = format_args!("nobody knows which version began the stream of {first}");
        log.add_step(now, step);
        core.count(metric::GATEWAY_STREAMS, "unknown");
        let retry_after = failure::add_jitter(UNKNOWN_RETRY_AFTER);
        return Err(Failure::UnknownOrigin { retry_after });
    };
    let software = software::name(origin.software.as_ref());
    let step = format_args!("the stream of {first} began at version {software}: {proof}");
    log.add_step(now, step);
    core.count(metric::STREAM_ORIGINS, proof);
    Ok(Some(origin))
}

/// Returns the origin of a stream, and how it is known.
///
/// Homes are asked before the view is believed: it may be older than the plan by which another
/// entry began the stream.
async fn search(
    core: &core::Core,
    key: Option<origin::Key>,
    proved: Option<origin::Origin>,
) -> Option<(origin::Origin, &'static str)> {
    let Some(key) = key else {
        return proved.map(|origin| (origin, "sole_version"));
    };
    let origins = &core.origins;
    if let Some(origin) = origins.find(core.now(), key) {
        return Some((origin, "known_here"));
    }
    core.count(metric::STREAM_ORIGINS, "asked");
    if let Some(origin) = origins.ask_homes(key).await {
        return Some((origin, "known_elsewhere"));
    }
    if let Some(origin) = proved {
        return Some((origin, "sole_version"));
    }
    if let Some(origin) = origins.ask_controls(key).await {
        return Some((origin, "known_to_control"));
    }
    let origin = origins.ask_others(key).await?;
    Some((origin, "known_elsewhere"))
}
