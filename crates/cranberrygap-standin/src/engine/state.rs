//! What the handlers of one engine share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cranberrygap_model::{duration, id, number, size, software};
use cranberrygap_wire::endpoint;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::engine::{Counts, Settings, batch, cache, fault, memory, orders};
use crate::{announcer, record};

/// State of one engine; it lives through restarts.
#[derive(Debug)]
pub struct State {
    /// Its settings.
    pub settings: Settings,
    /// Drawn anew at each start.
    pub boot: Mutex<number::Boot>,
    sequence: AtomicU64,
    /// Where it stands in its life.
    pub phase: Mutex<endpoint::Phase>,
    /// What goes wrong with requests.
    pub fault: Mutex<fault::Fault>,
    /// What goes wrong with orders.
    pub order_fault: Mutex<fault::OrderFault>,
    /// Places for requests.
    pub batch: batch::Batch,
    /// Prefix cache.
    pub cache: Mutex<cache::Cache>,
    /// Models in memory.
    pub memory: Mutex<memory::Memory>,
    /// Orders taken.
    pub orders: Mutex<orders::Orders>,
    /// What has happened to requests.
    pub counts: Mutex<Counts>,
    /// Requests seen.
    pub record: record::Record,
    /// Version of the software that runs.
    pub software: Mutex<Option<software::Version>>,
    /// Told when the engine has to crash.
    pub crash: Notify,
    /// Attempt and prompt of the last request, for crossed answers.
    pub last: Mutex<Option<Last>>,
    report: Mutex<Option<(Instant, endpoint::Report)>>,
    /// Held while an order is taken, so that a resend waits for the first.
    taking: Mutex<()>,
}

/// The request before the one at hand.
#[derive(Debug, Clone)]
pub struct Last {
    /// Its attempt id.
    pub attempt: String,
    /// Its prompt.
    pub prompt: String,
}

impl State {
    /// The state at the first start.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            boot: Mutex::new(draw_boot()),
            sequence: AtomicU64::new(0),
            phase: Mutex::new(endpoint::Phase::Ready),
            fault: Mutex::default(),
            order_fault: Mutex::default(),
            batch: batch::Batch::new(settings.slots),
            cache: Mutex::new(cache::Cache::new(settings.cache, settings.lost_event_every)),
            memory: Mutex::new(memory::Memory::new(weights(&settings), &settings.preloaded)),
            orders: Mutex::default(),
            counts: Mutex::default(),
            record: record::Record::default(),
            software: Mutex::new(settings.software.clone()),
            crash: Notify::new(),
            last: Mutex::default(),
            report: Mutex::default(),
            taking: Mutex::default(),
            settings,
        }
    }

    /// What a new process starts with; counts and logs stay for tests to read.
    pub fn restart(&self) {
        let settings = &self.settings;
        self.memory.lock().restart(&settings.preloaded);
        *self.boot.lock() = draw_boot();
        *self.cache.lock() = cache::Cache::new(settings.cache, settings.lost_event_every);
        *self.report.lock() = None;
        let mut orders = self.orders.lock();
        orders.fence = None;
        orders.done = None;
    }

    /// Load and cache events after a number, as old as the settings allow.
    #[must_use]
    pub fn report(&self, since: u64) -> endpoint::Report {
        let mut kept = self.report.lock();
        let fresh = kept
            .take()
            .filter(|(taken, _)| taken.elapsed() < self.settings.report_lag);
        let (taken, mut report) = fresh.unwrap_or_else(|| (Instant::now(), self.figures()));
        *kept = Some((taken, report.clone()));
        report.age = span(taken.elapsed());
        let newest = report.sequence.0;
        report.events = self.cache.lock().since(since);
        report.events.retain(|event| sequence(event) <= newest);
        report
    }

    fn figures(&self) -> endpoint::Report {
        let cache = self.cache.lock();
        let memory = self.memory.lock();
        endpoint::Report {
            age: duration::Span(0),
            boot: *self.boot.lock(),
            cache_size: cache.size(),
            cache_used: cache.used(),
            endpoint: self.settings.endpoint.clone(),
            events: Vec::new(),
            phase: Some(*self.phase.lock()),
            residency: memory.residency,
            resident: memory.listing(),
            running: count(self.batch.running()),
            sequence: cache.sequence(),
            waiting: count(self.batch.waiting()),
        }
    }

    /// Starts what an order asks for and returns the answer to it.
    pub fn take(self: &Arc<Self>, order: endpoint::Order) -> endpoint::Verdict {
        let _taking = self.taking.lock();
        if let Some(before) = self.orders.lock().answered(&order) {
            return before;
        }
        let id = order.order.clone();
        let verdict = if let Some(code) = self.refusal(&order) {
            let code = code.into();
            endpoint::Verdict::Refused { code, order: id }
        } else {
            self.carry_out(&order);
            endpoint::Verdict::Accepted { order: id }
        };
        self.orders.lock().note(order, verdict.clone());
        verdict
    }

    fn refusal(&self, order: &endpoint::Order) -> Option<&'static str> {
        if order.boot != *self.boot.lock() {
            return Some("wrong_boot");
        }
        let newest = self.orders.lock().fence;
        if self.settings.checks_fence && Some(order.fence) < newest {
            return Some("stale_fence");
        }
        let leaving = *self.phase.lock() == endpoint::Phase::Leaving;
        let mut memory = self.memory.lock();
        match &order.action {
            endpoint::Action::Load { .. } if leaving => Some("leaving"),
            endpoint::Action::Load { model, .. } if memory.knows(model) => None,
            endpoint::Action::Load { model, size } => {
                let fits = memory.reserve(&order.order, model, *size);
                (!fits).then_some("no_memory")
            }
            endpoint::Action::Unload { model } => {
                (!memory.resident.contains_key(model)).then_some("unknown_model")
            }
            endpoint::Action::Role { .. } => None,
        }
    }

    fn carry_out(self: &Arc<Self>, order: &endpoint::Order) {
        match &order.action {
            endpoint::Action::Load { model, .. } => {
                tokio::spawn(load(Arc::clone(self), order.clone(), model.clone()));
            }
            endpoint::Action::Unload { model } => {
                self.memory.lock().unload(model);
                self.orders.lock().done = Some(order.order.clone());
            }
            endpoint::Action::Role { role } => {
                self.memory.lock().set_role(*role);
                self.orders.lock().done = Some(order.order.clone());
            }
        }
    }
}

impl announcer::Source for State {
    fn announcement(&self) -> endpoint::Announcement {
        let orders = self.orders.lock();
        let memory = self.memory.lock();
        endpoint::Announcement {
            details: None,
            accelerators: self.settings.accelerators,
            address: self.settings.address,
            boot: *self.boot.lock(),
            checks_fence: self.settings.checks_fence,
            domain: self.settings.domain.clone(),
            endpoint: self.settings.endpoint.clone(),
            fence: orders.fence,
            kind: endpoint::Kind::Runner,
            memory: self.settings.memory,
            order: orders.done.clone(),
            phase: *self.phase.lock(),
            residency: memory.residency,
            resident: memory.listing(),
            role: Some(memory.role),
            sequence: number::Sequence(self.sequence.fetch_add(1, Ordering::Relaxed) + 1),
            service: None,
            software: self.settings.software.clone(),
        }
    }
}

async fn load(state: Arc<State>, order: endpoint::Order, model: id::Model) {
    let success = fetch(&state.settings, &model).await;
    if *state.boot.lock() != order.boot {
        return;
    }
    state.memory.lock().loaded(&model, success);
    state.orders.lock().done = Some(order.order);
}

async fn fetch(settings: &Settings, model: &id::Model) -> bool {
    let Some(store) = settings.store else {
        tokio::time::sleep(settings.load_time).await;
        return true;
    };
    let answer = reqwest::get(format!("http://{store}/weights/{model}")).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// Memory for weights: all but the prefix cache's part.
fn weights(settings: &Settings) -> size::Bytes {
    size::Bytes(settings.memory.0.saturating_sub(settings.cache.0))
}

fn draw_boot() -> number::Boot {
    number::Boot(u64::from(rand::random::<u32>()))
}

fn sequence(event: &endpoint::CacheEvent) -> u64 {
    match event {
        endpoint::CacheEvent::Stored { sequence, .. }
        | endpoint::CacheEvent::Removed { sequence, .. }
        | endpoint::CacheEvent::Cleared { sequence } => sequence.0,
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn span(time: Duration) -> duration::Span {
    duration::Span(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}
