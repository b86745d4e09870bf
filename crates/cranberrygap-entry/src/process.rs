//! A whole entry: start, dump, planned stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cadence::StatsdClient;
use cranberrygap_link::clock;
use cranberrygap_link::{credential, server as link_server};
use cranberrygap_model::{address, duration, number};
use cranberrygap_policy::retry;
use cranberrygap_wire::settings;
use parking_lot::Mutex;
use spdlog::info;
use tokio::net::UdpSocket;
use tokio::time;

use crate::admin;
use crate::admission;
use crate::announce;
use crate::control;
use crate::core;
use crate::desk;
use crate::gateway::{self, dialect};
use crate::load;
use crate::queue;
use crate::route;
use crate::server;
use crate::trace;
use crate::upstream;
use crate::view;

/// Connections without a setting; the schema's default is the same.
const DEFAULT_CONNECTIONS: u32 = 4096;

/// Connections of endpoints; each keeps one.
const ENDPOINT_CONNECTIONS: usize = 4096;

/// Secrets that an entry needs, already read.
#[derive(Debug, Clone)]
pub struct Secrets {
    /// Shared by the system's processes.
    pub fleet: credential::Secret,
    /// Tokens of operators; without one only this process's signals give a dump.
    pub operators: Vec<credential::Secret>,
    /// Token that endpoints show when they announce themselves.
    pub endpoint: Option<String>,
}

/// Why an entry did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener could not be opened.
    #[error(
        "cannot listen on {address}: {cause}\nhelp: is the address of this instance, and free?"
    )]
    Listen {
        /// The address.
        address: address::Socket,
        /// Why.
        cause: String,
    },
    /// The HTTP client could not be set up.
    #[error("cannot set up the HTTP client: {0}")]
    Client(#[from] reqwest::Error),
}

/// A running entry.
pub struct Process {
    core: Arc<core::Core>,
    callers: server::Listener,
    endpoints: server::Listener,
    admin: Option<link_server::Handle>,
    gateway: Option<gateway::Listener>,
    fleet: Arc<credential::Holder>,
    shares: Arc<admission::Shares>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl std::fmt::Debug for Process {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Process")
            .field("callers", &self.callers.address)
            .finish_non_exhaustive()
    }
}

impl Process {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// When a listener cannot be opened.
    pub async fn start(
        settings: settings::Entry,
        secrets: Secrets,
        metrics: Arc<StatsdClient>,
    ) -> Result<Self, Error> {
        Self::start_with_dialect(settings, secrets, metrics, None).await
    }

    /// Starts an entry that serves the routes of the traffic plan in this form.
    ///
    /// # Errors
    ///
    /// When a listener cannot be opened.
    pub async fn start_with_dialect(
        mut settings: settings::Entry,
        secrets: Secrets,
        metrics: Arc<StatsdClient>,
        dialect: Option<Arc<dyn dialect::Dialect>>,
    ) -> Result<Self, Error> {
        apply_control_port(&mut settings.control);
        let fleet = Arc::new(credential::Holder::new(secrets.fleet.clone()));
        let boot = number::Boot(rand::random::<u64>() >> BOOT_SHIFT);
        let clock = clock::Clock::start();
        let instance = settings.entry.instance.clone();
        let shares = Arc::new(admission::Shares::new(clock, instance, boot));
        let exchange = listen_lending(&settings).await?;
        let lending = exchange.as_ref().map(|(_, address)| *address);
        let core = build_core(settings, &fleet, metrics, boot, clock, &shares, lending)?;
        let core = Arc::new(core);
        let endpoints = listen_endpoints(&core, &secrets)?;
        let callers = listen_callers(&core)?;
        let admin = listen_admin(&core, &secrets).await?;
        let gateway = listen_gateway(&core, dialect)?;
        let gossip = listen_gossip(&core).await?;
        let subscription = control::Subscription::new(Arc::clone(&core), Arc::clone(&fleet));
        let mut tasks = vec![
            tokio::spawn(subscription.run()),
            tokio::spawn(control::Heartbeat::new(Arc::clone(&core)).run()),
            tokio::spawn(Arc::clone(&shares).run(Arc::clone(&core))),
        ];
        if gateway.is_none() {
            // Endpoints of a traffic plan are known by what is sent to them.
            tasks.push(tokio::spawn(load::Poller::new(Arc::clone(&core)).run()));
        }
        tasks.extend(gossip.map(|gossip| tokio::spawn(gossip.run())));
        if let Some((socket, _)) = exchange {
            let exchange = admission::Exchange::new(Arc::clone(&shares), socket);
            tasks.push(tokio::spawn(exchange.run(Arc::clone(&core))));
            tasks.push(tokio::spawn(
                Arc::clone(&shares).run_lending(Arc::clone(&core)),
            ));
        }
        info!(
            "entry: {} serves callers at {}",
            core.instance(),
            callers.address
        );
        Ok(Self {
            core,
            callers,
            endpoints,
            admin,
            gateway,
            fleet,
            shares,
            tasks,
        })
    }

    /// Where callers connect.
    #[must_use]
    pub fn callers(&self) -> address::Socket {
        self.callers.address
    }

    /// Where endpoints announce themselves.
    #[must_use]
    pub fn endpoints_address(&self) -> address::Socket {
        self.endpoints.address
    }

    /// Where callers of the traffic plan's routes connect, if they may.
    #[must_use]
    pub fn gateway_address(&self) -> Option<address::Socket> {
        self.gateway.as_ref().map(|gateway| gateway.address)
    }

    /// Parts of the entry for other listeners of the same process.
    #[must_use]
    pub fn desk(&self) -> desk::Desk {
        desk::Desk::new(Arc::clone(&self.core))
    }

    /// Takes over changed settings, as far as they can change while it runs.
    pub fn reload(&self, settings: &settings::Entry) {
        let mut control = settings.control.clone();
        apply_control_port(&mut control);
        self.core.peers.set_configured(control.peers);
    }

    /// Whether the entry has a view and a lease to serve from it.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.core.view.current(self.core.now()).is_some()
    }

    /// Changes the secrets while the entry runs.
    pub fn replace_secrets(&self, secrets: &Secrets) {
        self.fleet.replace(secrets.fleet.clone());
        if let Some(admin) = &self.admin {
            let operators = secrets.operators.clone();
            admin.replace_secrets(credential::Role::Operator, operators);
        }
    }

    /// The whole state as JSON, without secrets.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        dump(&self.core)
    }

    /// Stops without cutting a request: leaves the address list, waits until no
    /// caller holds an answer that names this entry, then finishes what runs.
    pub async fn stop(self) {
        let begun = time::Instant::now();
        self.core.draining.store(true, Ordering::Release);
        info!("entry: drains");
        let last_beat = tokio::spawn({
            let core = Arc::clone(&self.core);
            async move { control::Heartbeat::new(core).send().await }
        });
        match &self.gateway {
            Some(gateway) => self.drain_gateway(gateway, begun).await,
            None => self.wait_for_callers().await,
        }
        last_beat.abort();
        self.callers.stop().await;
        self.endpoints.stop().await;
        for task in &self.tasks {
            task.abort();
        }
        let closing = self.shares.return_all(&self.core);
        // Tokens that are not handed back count as spent, which harms nobody long.
        drop(time::timeout(CLEANUP_TIMEOUT, closing).await);
        drop(self.admin);
        info!("entry: stopped");
    }

    async fn wait_for_callers(&self) {
        let lifetime = self
            .core
            .view
            .latest()
            .map(|view| view.defaults().address_lifetime);
        time::sleep(lifetime.unwrap_or_default().to_std()).await;
        time::sleep(STALE_VIEW_TIME.to_std()).await;
    }

    /// Serves on while most callers still hold an answer that names this entry, then
    /// takes nothing new and finishes what runs.
    ///
    /// A stream may last as long as the whole stop. Taken late, it would be cut at
    /// the stop's end; its caller does better to go to another entry at once, which
    /// it does when this one takes no more connections. So the few callers that keep
    /// answers for longer are not waited for.
    async fn drain_gateway(&self, gateway: &gateway::Listener, begun: time::Instant) {
        let lifetime = self.desk().lifetime().to_std();
        let longest = self.core.stop_within().to_std();
        let longest = longest.saturating_sub(CLEANUP_TIMEOUT + DRAIN_MARGIN);
        let serving = (lifetime + CLEANUP_TIMEOUT).min(longest / 2);
        time::sleep_until(begun + serving).await;
        self.core.closing.send_replace(true);
        gateway.finish(begun + longest).await;
    }
}

/// Puts the group's own port into the addresses of the control processes, where
/// only their public ones are told.
fn apply_control_port(control: &mut settings::EntryControl) {
    let port = u16::try_from(control.port).unwrap_or_default();
    if port != 0 {
        for peer in &mut control.peers {
            peer.address.0.set_port(port);
        }
    }
}

fn listen_gateway(
    core: &Arc<core::Core>,
    dialect: Option<Arc<dyn dialect::Dialect>>,
) -> Result<Option<gateway::Listener>, Error> {
    let (Some(wanted), Some(dialect)) = (core.settings.listen.gateway, dialect) else {
        return Ok(None);
    };
    let gateway = gateway::Gateway::new(Arc::clone(core), dialect);
    let listening = gateway::Listener::start(&gateway, wanted);
    listening
        .map(Some)
        .map_err(|cause| cannot_listen(wanted, &cause))
}

async fn listen_gossip(core: &Arc<core::Core>) -> Result<Option<gateway::Gossip>, Error> {
    let Some(wanted) = core.settings.listen.gossip else {
        return Ok(None);
    };
    let gossip = gateway::Gossip::new(Arc::clone(core), wanted).await;
    gossip
        .map(Some)
        .map_err(|cause| cannot_listen(wanted, &cause))
}

/// Opens the socket at which other entries borrow, where the settings name one.
async fn listen_lending(
    settings: &settings::Entry,
) -> Result<Option<(UdpSocket, address::Socket)>, Error> {
    let Some(wanted) = settings.listen.lending else {
        return Ok(None);
    };
    let opened = async {
        let socket = UdpSocket::bind(wanted.0).await?;
        let address = socket.local_addr()?;
        Ok::<_, std::io::Error>((socket, address::Socket(address)))
    };
    let opened = opened.await;
    opened
        .map(Some)
        .map_err(|cause| cannot_listen(wanted, &cause))
}

fn build_core(
    settings: settings::Entry,
    fleet: &Arc<credential::Holder>,
    metrics: Arc<StatsdClient>,
    boot: number::Boot,
    clock: clock::Clock,
    shares: &Arc<admission::Shares>,
    lending: Option<address::Socket>,
) -> Result<core::Core, Error> {
    let peers = Arc::new(control::Peers::new(settings.control.peers.clone()));
    Ok(core::Core {
        endpoints: gateway::Endpoints::new(settings.entry.domain.clone()),
        peers: Arc::clone(&peers),
        boot,
        clock,
        view: view::Holder::default(),
        leader: control::Session::new(peers, Arc::clone(fleet)),
        limiter: Arc::clone(shares) as _,
        lending_address: lending,
        router: Arc::new(route::least_loaded::Router::new(rand::random())),
        upstream: upstream::Clients::new()?,
        queues: Arc::new(queue::Queues::new(clock)),
        retry_budget: Mutex::new(retry::Budget::new(INITIAL_RETRY_SHARE)),
        suspects: Mutex::default(),
        announcements: announce::Inbox::default(),
        demand: control::Demand::default(),
        trace: trace::Trace::new(Arc::clone(&metrics)),
        metrics,
        draining: AtomicBool::new(false),
        closing: tokio::sync::watch::Sender::new(false),
        settings,
    })
}

/// Share of retries until the configuration is known; it is the default there.
const INITIAL_RETRY_SHARE: f64 = 0.1;

/// Time after which no entry still names one that drains: an entry whose view is
/// older than its lease answers nobody.
const STALE_VIEW_TIME: duration::Span = duration::Span::from_secs(2);

/// Time for what is left to do once all requests have ended.
const CLEANUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks whether callers are gone.
const DRAIN_MARGIN: Duration = Duration::from_millis(100);
/// Boots stay below 2^53, so that every JSON reader keeps them exactly.
const BOOT_SHIFT: u32 = 11;

fn listen_callers(core: &Arc<core::Core>) -> Result<server::Listener, Error> {
    let wanted = core.settings.listen.callers;
    let limits = core.settings.limits.as_ref();
    let connections = limits.map_or(DEFAULT_CONNECTIONS, |limits| limits.connections);
    let router = server::callers_router(core);
    let listening = server::Listener::start(wanted, router, connections as usize);
    listening.map_err(|cause| cannot_listen(wanted, &cause))
}

fn listen_endpoints(core: &Arc<core::Core>, secrets: &Secrets) -> Result<server::Listener, Error> {
    let wanted = core.settings.listen.endpoints;
    let router = server::endpoints_router(core, secrets.endpoint.clone());
    let listening = server::Listener::start(wanted, router, ENDPOINT_CONNECTIONS);
    listening.map_err(|cause| cannot_listen(wanted, &cause))
}

async fn listen_admin(
    core: &Arc<core::Core>,
    secrets: &Secrets,
) -> Result<Option<link_server::Handle>, Error> {
    if secrets.operators.is_empty() {
        return Ok(None);
    }
    let wanted = core.settings.listen.admin;
    let started = admin::start(core, wanted, secrets.operators.clone()).await;
    started
        .map(Some)
        .map_err(|cause| cannot_listen(wanted, &cause))
}

fn cannot_listen(address: address::Socket, cause: &dyn std::fmt::Display) -> Error {
    Error::Listen {
        address,
        cause: cause.to_string(),
    }
}

pub(crate) fn dump(core: &core::Core) -> serde_json::Value {
    let view = core.view.latest().map(|view| view.dump());
    serde_json::json!({
        "process": "cranberrygap-entry",
        "instance": core.instance(),
        "boot": core.boot,
        "now": core.now(),
        "lease_end": core.view.lease_end(),
        "draining": core.is_draining(),
        "decisions": core.trace.len(),
        "view": view,
        "limits": core.limiter.dump(),
        "routing": core.router.dump(),
        "queues": core.queues.dump(),
        "endpoints": core.endpoints.dump(),
    })
}
