//! A booking service whose draws may run only once; it counts how often each ran.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cranberrygap_model::{address, duration, id, number, size};
use cranberrygap_wire::endpoint;
use parking_lot::Mutex;
use salvo::conn::ConnCtrl;
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Request, Response, Router, handler};
use serde_json::json;
use smol_str::SmolStr;

use crate::{announcer, listener, record};

/// Largest body that is read.
const LARGEST_BODY: usize = 1 << 20;
/// Time between looks at whether the last request has ended.
const STOP_POLL: Duration = Duration::from_millis(5);

/// What the service is called and where it announces itself.
#[derive(Debug, Clone, bon::Builder)]
pub struct Settings {
    /// Name of the endpoint.
    pub endpoint: id::Endpoint,
    /// Name of the service that it serves.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
    /// Where it listens.
    pub address: address::Socket,
    /// Entries' listeners for announcements; none: it does not announce itself.
    #[builder(default)]
    pub announce_to: Vec<address::Socket>,
    /// Token shown when announcing.
    pub token: Option<String>,
    /// Time between announcements until an entry says otherwise.
    #[builder(default = duration::Span::from_secs(1))]
    pub heartbeat: duration::Span,
}

/// What goes wrong with bookings from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The booking runs, then its connection is dropped in place of an answer.
    AnswerLost,
    /// The booking runs, then its answer comes so much later.
    Delay(Duration),
    /// Bookings are refused before they run.
    Refuse,
}

/// One booking as its caller named it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Booking {
    /// The `Idempotency-Key` header, empty when there was none.
    pub key: SmolStr,
    /// The body.
    pub body: String,
}

#[derive(Debug)]
struct Core {
    settings: Settings,
    boot: number::Boot,
    sequence: AtomicU64,
    running: AtomicU64,
    phase: Mutex<endpoint::Phase>,
    fault: Mutex<Fault>,
    runs: Mutex<BTreeMap<Booking, u64>>,
    lookups: AtomicU64,
    record: record::Record,
}

/// A running booking service.
#[derive(Debug)]
pub struct Handle {
    core: Arc<Core>,
    listener: listener::Listener,
    announcer: announcer::Announcer,
}

impl Handle {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let core = Arc::new(Core {
            boot: number::Boot(u64::from(rand::random::<u32>())),
            sequence: AtomicU64::new(0),
            running: AtomicU64::new(0),
            phase: Mutex::new(endpoint::Phase::Ready),
            fault: Mutex::default(),
            runs: Mutex::default(),
            lookups: AtomicU64::new(0),
            record: record::Record::default(),
            settings,
        });
        let router = Router::new()
            .push(Router::with_path("draws").post(Draw(Arc::clone(&core))))
            .push(Router::with_path("lookup/{id}").get(Lookup(Arc::clone(&core))))
            .push(Router::with_path("report").get(Report(Arc::clone(&core))));
        let listener = listener::Listener::bind(core.settings.address, router)?;
        let source: Arc<dyn announcer::Source> = Arc::<Core>::clone(&core);
        let announcer = announcer::Announcer::start(
            source,
            core.settings.announce_to.clone(),
            core.settings.token.clone(),
            core.settings.heartbeat,
        );
        Ok(Self {
            core,
            listener,
            announcer,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> address::Socket {
        self.listener.address()
    }

    /// What goes wrong from now on.
    pub fn set_fault(&self, fault: Fault) {
        *self.core.fault.lock() = fault;
    }

    /// How often each booking ran.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<Booking, u64> {
        self.core.runs.lock().clone()
    }

    /// Number of lookups that were answered.
    #[must_use]
    pub fn lookups(&self) -> u64 {
        self.core.lookups.load(Ordering::Relaxed)
    }

    /// Requests that it saw.
    #[must_use]
    pub fn record(&self) -> &record::Record {
        &self.core.record
    }

    /// Says that it leaves, finishes what runs and ends.
    pub async fn stop(self) {
        *self.core.phase.lock() = endpoint::Phase::Leaving;
        self.announcer.announced().await;
        while self.core.running.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(STOP_POLL).await;
        }
        self.listener.abort().await;
    }

    /// Ends at once and drops all connections.
    pub async fn crash(self) {
        self.listener.abort().await;
    }
}

impl announcer::Source for Core {
    fn announcement(&self) -> endpoint::Announcement {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        endpoint::Announcement {
            details: None,
            accelerators: 0,
            address: self.settings.address,
            boot: self.boot,
            checks_fence: false,
            domain: self.settings.domain.clone(),
            endpoint: self.settings.endpoint.clone(),
            fence: None,
            kind: endpoint::Kind::Service,
            memory: size::Bytes(0),
            order: None,
            phase: *self.phase.lock(),
            residency: number::Sequence(0),
            resident: Vec::new(),
            role: None,
            sequence: number::Sequence(sequence),
            service: Some(self.settings.service.clone()),
            software: None,
        }
    }
}

/// Counts a request for as long as it runs.
struct Running<'a>(&'a AtomicU64);

impl<'a> Running<'a> {
    fn begin(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Draw(Arc<Core>);

#[handler]
impl Draw {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        let _running = Running::begin(&self.0.running);
        let body = match req.payload_with_max_size(LARGEST_BODY).await {
            Ok(body) => body.clone(),
            Err(_too_large) => {
                res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
                return;
            }
        };
        self.0.record.keep(req, &body);
        echo_attempt(req, res);
        let fault = *self.0.fault.lock();
        if fault == Fault::Refuse {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            res.render(Json(
                json!({"code": "busy", "outcome": "not_run", "message": "try later"}),
            ));
            return;
        }
        let runs = self.0.run(req, &body);
        match fault {
            Fault::AnswerLost => conn.abort(),
            Fault::Delay(time) => tokio::time::sleep(time).await,
            Fault::None | Fault::Refuse => {}
        }
        res.render(Json(json!({"booked": true, "runs": runs})));
    }
}

impl Core {
    fn run(&self, request: &Request, body: &[u8]) -> u64 {
        let booking = Booking {
            key: request.header("idempotency-key").unwrap_or_default(),
            body: String::from_utf8_lossy(body).into_owned(),
        };
        let mut runs = self.runs.lock();
        let count = runs.entry(booking).or_default();
        *count += 1;
        *count
    }
}

struct Lookup(Arc<Core>);

#[handler]
impl Lookup {
    fn handle(&self, req: &mut Request, res: &mut Response) {
        let _running = Running::begin(&self.0.running);
        self.0.record.keep(req, b"");
        echo_attempt(req, res);
        self.0.lookups.fetch_add(1, Ordering::Relaxed);
        let id: String = req.param("id").unwrap_or_default();
        res.render(Json(json!({"id": id, "found": true})));
    }
}

struct Report(Arc<Core>);

#[handler]
impl Report {
    fn handle(&self, res: &mut Response) {
        let running = self.0.running.load(Ordering::Relaxed);
        res.render(Json(endpoint::Report {
            age: duration::Span(0),
            boot: self.0.boot,
            cache_size: size::Bytes(0),
            cache_used: size::Bytes(0),
            endpoint: self.0.settings.endpoint.clone(),
            events: Vec::new(),
            phase: Some(*self.0.phase.lock()),
            residency: number::Sequence(0),
            resident: Vec::new(),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            sequence: number::Sequence(self.0.sequence.load(Ordering::Relaxed)),
            waiting: 0,
        }));
    }
}

fn echo_attempt(request: &Request, response: &mut Response) {
    if let Some(attempt) = request.headers().get("x-attempt-id") {
        response
            .headers_mut()
            .insert("x-attempt-id", attempt.clone());
    }
}
