//! Start, reload, dump and planned stop of an entry process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cadence::StatsdClient;
use cranberrygap_link::clock;
use cranberrygap_link::traffic::Kind;
use cranberrygap_link::{credential, server as link_server};
use cranberrygap_model::{address, duration, number};
use cranberrygap_wire::settings;
use parking_lot::Mutex;
use spdlog::info;
use tokio::net::UdpSocket;
use tokio::time;

use crate::admin;
use crate::admission;
use crate::announce;
use crate::caller::services;
use crate::control;
use crate::core;
use crate::dial;
use crate::discovery;
use crate::gateway::{self, dialect, pool};
use crate::load;
use crate::outbox;
use crate::quarantine;
use crate::queue;
use crate::reach;
use crate::resends;
use crate::route;
use crate::server;
use crate::startup;
use crate::trace;
use crate::traffic;
use crate::upstream;
use crate::view;

/// Limit of caller connections without a setting; equals the schema's default.
const DEFAULT_CONNECTIONS: u32 = 4096;

/// Limit of endpoint connections; each endpoint keeps one.
const ENDPOINT_CONNECTIONS: usize = 4096;

/// Values of the secrets that an entry uses.
#[derive(Debug, Clone)]
pub struct Secrets {
    /// Secret shared by the processes of the fleet.
    pub fleet: credential::Secret,
    /// Tokens of operators. Without any, only a signal to the process gives a dump.
    pub operators: Vec<credential::Secret>,
    /// Token that endpoints present with their announcements.
    pub endpoint: Option<String>,
}

/// Error at the start of an entry.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener could not be opened.
    #[error(
        "cannot listen on {address}: {cause}\nhelp: is the address of this instance, and free?"
    )]
    Listen {
        /// Address of the listener.
        address: address::Socket,
        /// Cause of the failure.
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
    /// Fails when a listener cannot be opened or the HTTP client cannot be set up.
    pub async fn start(
        settings: settings::Entry,
        secrets: Secrets,
        metrics: Arc<StatsdClient>,
    ) -> Result<Self, Error> {
        Self::start_with_dialect(settings, secrets, metrics, None).await
    }

    /// Starts an entry that serves the routes of the traffic plan in the given dialect.
    ///
    /// # Errors
    ///
    /// Fails when a listener cannot be opened or the HTTP client cannot be set up.
    pub async fn start_with_dialect(
        settings: settings::Entry,
        secrets: Secrets,
        metrics: Arc<StatsdClient>,
        dialect: Option<Arc<dyn dialect::Dialect>>,
    ) -> Result<Self, Error> {
        let dialer: Arc<dyn dial::Dial> = match settings.listen.outgoing {
            Some(address) => Arc::new(dial::TcpFrom(address.0.ip())),
            None => Arc::new(dial::Tcp),
        };
        Self::start_with_dialer(settings, secrets, metrics, dialect, dialer).await
    }

    /// Starts an entry that opens connections to the endpoints of the traffic plan by `dialer`.
    ///
    /// # Errors
    ///
    /// Fails when a listener cannot be opened or the HTTP client cannot be set up.
    pub async fn start_with_dialer(
        mut settings: settings::Entry,
        secrets: Secrets,
        metrics: Arc<StatsdClient>,
        dialect: Option<Arc<dyn dialect::Dialect>>,
        dialer: Arc<dyn dial::Dial>,
    ) -> Result<Self, Error> {
        apply_control_port(&mut settings.control);
        let fleet = Arc::new(credential::Holder::new(secrets.fleet.clone()));
        let boot = number::Boot(rand::random::<u64>() >> BOOT_SHIFT);
        let clock = clock::Clock::start();
        let instance = settings.entry.instance.clone();
        let shares = Arc::new(admission::Shares::new(clock, instance, boot));
        let exchange = listen_lending(&settings).await?;
        let lending = exchange.as_ref().map(|(_, address)| *address);
        let mut core = build_core(settings, &fleet, metrics, boot, clock, &shares, lending)?;
        core.dialer = dialer;
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
            tokio::spawn(quarantine::run_reports(Arc::clone(&core))),
            tokio::spawn(report_drains(Arc::clone(&core))),
            tokio::spawn(traffic::report(Arc::clone(&core))),
            tokio::spawn(Arc::clone(&core).watch_stalls()),
            tokio::spawn(services::sweep_connections(Arc::clone(&core))),
        ];
        if gateway.is_none() {
            // The load of a traffic plan's endpoints is estimated from the requests sent.
            tasks.push(tokio::spawn(load::Poller::new(Arc::clone(&core)).run()));
        }
        if gateway.is_some() {
            tasks.push(tokio::spawn(startup::watch(Arc::clone(&core))));
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

    /// Address at which callers connect.
    #[must_use]
    pub fn callers(&self) -> address::Socket {
        self.callers.address
    }

    /// Address at which endpoints announce themselves.
    #[must_use]
    pub fn endpoints_address(&self) -> address::Socket {
        self.endpoints.address
    }

    /// Address at which callers of the traffic plan's routes connect, if they can.
    #[must_use]
    pub fn gateway_address(&self) -> Option<address::Socket> {
        self.gateway.as_ref().map(|gateway| gateway.address)
    }

    /// Access to the entry for other listeners of the same process.
    #[must_use]
    pub fn discovery(&self) -> discovery::Discovery {
        discovery::Discovery::new(Arc::clone(&self.core))
    }

    /// Applies the settings that can change while the entry runs: the control processes.
    pub fn reload(&self, settings: &settings::Entry) {
        let mut control = settings.control.clone();
        apply_control_port(&mut control);
        self.core.peers.set_configured(control.peers);
    }

    /// Whether the entry has a view with a valid lease.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.core.view.current(self.core.now()).is_some()
    }

    /// Replaces the secrets while the entry runs.
    pub fn replace_secrets(&self, secrets: &Secrets) {
        self.fleet.replace(secrets.fleet.clone());
        if let Some(admin) = &self.admin {
            let operators = secrets.operators.clone();
            admin.replace_secrets(credential::Role::Operator, operators);
        }
    }

    /// The entry's state as JSON, without secrets.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        dump(&self.core)
    }

    /// Stops gracefully: leaves the address list, waits until callers no longer hold an
    /// answer that names this entry, then finishes the requests in progress.
    pub async fn stop(self) {
        let stop_started = time::Instant::now();
        self.core.draining.store(true, Ordering::Release);
        info!("entry: drains");
        let last_heartbeat = tokio::spawn({
            let core = Arc::clone(&self.core);
            async move { control::Heartbeat::new(core).send().await }
        });
        match &self.gateway {
            Some(gateway) => self.drain_gateway(gateway, stop_started).await,
            None => self.wait_for_callers().await,
        }
        last_heartbeat.abort();
        self.callers.stop().await;
        self.endpoints.stop().await;
        for task in &self.tasks {
            task.abort();
        }
        let closing = self.shares.return_all(&self.core);
        // Tokens that are not returned count as spent, which only matters for a short time.
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

    /// Keeps serving while most callers hold an answer that names this entry, then accepts
    /// no new requests and finishes those in progress.
    ///
    /// A stream may last as long as the whole stop, so one accepted late would be cut off
    /// at its end. A caller that cannot connect goes to another entry at once. The few
    /// callers that hold answers for longer are therefore not waited for.
    async fn drain_gateway(&self, gateway: &gateway::Listener, stop_started: time::Instant) {
        let lifetime = self.discovery().lifetime().to_std();
        let longest = self.core.stop_within().to_std();
        let longest = longest.saturating_sub(CLEANUP_TIMEOUT + DRAIN_POLL_INTERVAL);
        let serving = (lifetime + CLEANUP_TIMEOUT).min(longest / 2);
        time::sleep_until(stop_started + serving).await;
        self.core.closing.send_replace(true);
        gateway.finish(stop_started + longest).await;
    }
}

/// Tells the leader which processes of endpoints drain, until this one stops.
async fn report_drains(core: Arc<core::Core>) {
    core.drains.run(&core).await;
}

/// Replaces the ports of the control processes' addresses by the group's own port, when
/// the settings give one because the addresses are the public ones.
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
    let (Some(address), Some(dialect)) = (core.settings.listen.gateway, dialect) else {
        return Ok(None);
    };
    let gateway = gateway::Gateway::new(Arc::clone(core), dialect);
    let listening = gateway::Listener::start(&gateway, address);
    listening
        .map(Some)
        .map_err(|cause| cannot_listen(address, &cause))
}

async fn listen_gossip(core: &Arc<core::Core>) -> Result<Option<gateway::Gossip>, Error> {
    let Some(address) = core.settings.listen.gossip else {
        return Ok(None);
    };
    let gossip = gateway::Gossip::new(Arc::clone(core), address).await;
    gossip
        .map(Some)
        .map_err(|cause| cannot_listen(address, &cause))
}

/// Opens the socket for loan requests of other entries, if the settings name one.
async fn listen_lending(
    settings: &settings::Entry,
) -> Result<Option<(UdpSocket, address::Socket)>, Error> {
    let Some(address) = settings.listen.lending else {
        return Ok(None);
    };
    let opened = async {
        let socket = UdpSocket::bind(address.0).await?;
        let local_address = socket.local_addr()?;
        Ok::<_, std::io::Error>((socket, address::Socket(local_address)))
    };
    let opened = opened.await;
    opened
        .map(Some)
        .map_err(|cause| cannot_listen(address, &cause))
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
    let traffic = Arc::new(traffic::Traffic::new(
        settings.entry.domain.clone(),
        settings.listen.gossip.map(|address| address.0.port()),
    ));
    Ok(core::Core {
        endpoints: gateway::Endpoints::new(
            settings.entry.instance.clone(),
            settings.entry.domain.clone(),
            settings.listen.gossip.map(|address| address.0.port()),
        ),
        origins: gateway::Origins::new(
            settings.entry.instance.clone(),
            settings.listen.gossip.map(|address| address.0.port()),
        ),
        peers: Arc::clone(&peers),
        boot,
        clock,
        stalls: Mutex::default(),
        view: view::Holder::default(),
        leader: control::Session::new(peers, Arc::clone(fleet), Arc::clone(traffic.meter())),
        limiter: Arc::clone(shares) as _,
        lending_address: lending,
        router: Arc::new(route::least_loaded::Router::new(rand::random())),
        dialer: Arc::new(dial::Tcp),
        service_connections: pool::Pool::new(
            Arc::new(dial::Tcp),
            Arc::clone(&traffic),
            Kind::Endpoints,
        ),
        reach: reach::Reach::default(),
        startup: startup::Startup::default(),
        resends: resends::Resends::default(),
        upstream: upstream::Clients::new()?,
        queues: Arc::new(queue::Queues::new(clock)),
        quarantine: quarantine::Quarantine::default(),
        drains: outbox::Outbox::default(),
        announcements: announce::Inbox::default(),
        demand: control::Demand::default(),
        trace: trace::Trace::new(Arc::clone(&metrics)),
        traffic,
        metrics,
        draining: AtomicBool::new(false),
        closing: tokio::sync::watch::Sender::new(false),
        settings,
    })
}

/// Time after which no other entry still names a draining one: an entry whose view is
/// older than its lease answers no caller.
const STALE_VIEW_TIME: duration::Span = duration::Span::from_secs(2);

/// Time limit for the cleanup after all requests have ended.
const CLEANUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between checks whether callers have disconnected.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Bits that a random boot is shifted by, so that it stays below 2^53 and every JSON
/// parser reads it exactly.
const BOOT_SHIFT: u32 = 11;

fn listen_callers(core: &Arc<core::Core>) -> Result<server::Listener, Error> {
    let address = core.settings.listen.callers;
    let limits = core.settings.limits.as_ref();
    let connections = limits.map_or(DEFAULT_CONNECTIONS, |limits| limits.connections);
    let router = server::callers_router(core);
    let listening = server::Listener::start(address, router, connections as usize);
    listening.map_err(|cause| cannot_listen(address, &cause))
}

fn listen_endpoints(core: &Arc<core::Core>, secrets: &Secrets) -> Result<server::Listener, Error> {
    let address = core.settings.listen.endpoints;
    let router = server::endpoints_router(core, secrets.endpoint.clone());
    let listening = server::Listener::start(address, router, ENDPOINT_CONNECTIONS);
    listening.map_err(|cause| cannot_listen(address, &cause))
}

async fn listen_admin(
    core: &Arc<core::Core>,
    secrets: &Secrets,
) -> Result<Option<link_server::Handle>, Error> {
    if secrets.operators.is_empty() {
        return Ok(None);
    }
    let address = core.settings.listen.admin;
    let started = admin::start(core, address, secrets.operators.clone()).await;
    started
        .map(Some)
        .map_err(|cause| cannot_listen(address, &cause))
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
        "endpoints": core.endpoints.dump(core.now()),
        "origins": core.origins.dump(),
        "quarantine": core.quarantine.dump(),
        "reach": core.reach.dump(core.now()),
        "startup": core.startup.dump(),
        "resends": core.resends.dump(core.now()),
        "traffic": core.traffic.dump(),
    })
}
