//! Control process: start, dump and planned stop.

use std::path::PathBuf;
use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_link::{credential, server, traffic};
use cranberrygap_model::address;
use cranberrygap_wire::settings;
use serde_json::json;

use crate::confirmation;
use crate::detector;
use crate::evacuation;
use crate::links;
use crate::metric;
use crate::objections;
use crate::operators;
use crate::orders;
use crate::origins;
use crate::peers;
use crate::permission;
use crate::plans;
use crate::proposer;
use crate::public;
use crate::reconciler;
use crate::relay;
use crate::replica;
use crate::replicated;
use crate::residency;
use crate::shares;
use crate::store;
use crate::transport;

/// Secrets of a control process, already read.
#[derive(Debug, Clone)]
pub struct Secrets {
    /// Secrets shared by the fleet's processes.
    ///
    /// The first is presented to others, any is accepted from them.
    pub fleet: Vec<credential::Secret>,
    /// Tokens of operators.
    pub operators: Vec<credential::Secret>,
}

/// Reason why a control process did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The replica could not be started.
    #[error(transparent)]
    Replica(#[from] replica::Error),
    /// A listener could not be opened.
    #[error("{0}\nhelp: is the address of this instance, and free?")]
    Listen(#[from] server::Error),
    /// The client for the weight store could not be set up.
    #[error("cannot set up the client for the weight store: {0}")]
    Store(String),
    /// The client for endpoints could not be set up.
    #[error("cannot set up the client for endpoints: {0}")]
    Endpoints(String),
    /// No fleet secret was given.
    #[error("no fleet secret was given")]
    NoSecret,
}

/// State that the listeners share.
#[derive(Debug)]
pub(crate) struct Shared {
    settings: settings::Control,
    meter: Arc<traffic::Meter>,
    clock: clock::Clock,
    pub(crate) context: Arc<peers::Context>,
    pub(crate) replica: Arc<replica::Replica>,
}

/// A running control process.
#[derive(Debug)]
pub struct Process {
    shared: Arc<Shared>,
    links: Arc<links::Links>,
    peers: server::Handle,
    admin: server::Handle,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Process {
    /// Starts a control process; must be called within tokio.
    ///
    /// # Errors
    ///
    /// When the data folder cannot be used or a listener cannot be opened.
    pub async fn start(settings: settings::Control, secrets: Secrets) -> Result<Self, Error> {
        Self::start_with(
            settings,
            secrets,
            residency::no_runners(),
            metric::Recorder::none(),
        )
        .await
    }

    /// Starts a control process that sends orders through `runners` and its metrics to `metrics`.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub async fn start_with(
        mut settings: settings::Control,
        secrets: Secrets,
        runner_client: Arc<dyn residency::RunnerClient>,
        metrics: metric::Recorder,
    ) -> Result<Self, Error> {
        complete_settings(&mut settings);
        let own = own_peer(&settings);
        let secret = secrets.fleet.first().cloned().ok_or(Error::NoSecret)?;
        let meter = Arc::new(traffic::Meter::new(settings.control.domain.clone()));
        let voters = settings.group.voters.clone();
        let links = links::Links::new(own.clone(), voters, secret, meter);
        let state = Arc::new(replicated::State::new(metrics.clone()));
        let replica = start_replica(&settings, own, &state, &links)?;
        let endpoint_client =
            orders::Http::new().map_err(|cause| Error::Endpoints(cause.to_string()))?;
        let shared = Arc::new(Shared::new(
            settings,
            state,
            replica,
            Arc::clone(&links),
            Arc::new(endpoint_client),
            runner_client,
            metrics,
        ));
        let peers = listen_peers(&shared, secrets.fleet).await?;
        let admin = listen_admin(&shared, secrets.operators).await?;
        let mut tasks = shared.spawn_tasks()?;
        tasks.extend(shared.listen_origins(peers.address()).await);
        spdlog::info!(
            "control: {} serves peers at {} and operators at {}",
            shared.settings.control.instance,
            peers.address(),
            admin.address()
        );
        Ok(Self {
            shared,
            links,
            peers,
            admin,
            tasks,
        })
    }

    /// Returns the address that entries and other control processes connect to.
    #[must_use]
    pub const fn peers_address(&self) -> address::Socket {
        self.peers.address()
    }

    /// Returns the address that operators connect to.
    #[must_use]
    pub const fn admin_address(&self) -> address::Socket {
        self.admin.address()
    }

    /// Returns the interface for adapters of other protocols.
    ///
    /// They serve operators' and endpoints' calls.
    #[must_use]
    pub fn public_api(&self) -> public::Api {
        public::Api::new(Arc::clone(&self.shared.context))
    }

    /// Returns whether this process leads.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.shared.context.proposer.status().leads
    }

    /// Replaces the secrets while the process runs.
    pub fn replace_secrets(&self, secrets: Secrets) {
        if let Some(secret) = secrets.fleet.first() {
            self.links.replace_secret(secret.clone());
        }
        let fleet = credential::Role::Fleet;
        self.peers.replace_secrets(fleet, secrets.fleet);
        let operator = credential::Role::Operator;
        self.admin.replace_secrets(operator, secrets.operators);
    }

    /// Returns the whole state as JSON, without secrets.
    pub async fn dump(&self) -> serde_json::Value {
        self.shared.dump().await
    }

    /// Returns why the replica stopped taking part in the protocol, if it did.
    #[must_use]
    pub fn failure(&self) -> Option<String> {
        self.shared.replica.failure()
    }

    /// Stops as planned.
    ///
    /// Leadership is transferred first, so that no change and no lease has to wait for an election.
    pub async fn stop(self) {
        if self.leads() {
            match self.shared.replica.transfer_leadership().await {
                Ok(()) => spdlog::info!("control: handed leadership over"),
                Err(cause) => spdlog::warn!("control: stops as leader: {cause}"),
            }
        }
        for task in &self.tasks {
            task.abort();
        }
        self.admin.stop();
        self.peers.stop();
        self.shared.replica.stop().await;
        spdlog::info!("control: stopped");
    }
}

impl Shared {
    fn new(
        settings: settings::Control,
        state: Arc<replicated::State>,
        replica: Arc<replica::Replica>,
        links: Arc<links::Links>,
        endpoint_client: Arc<dyn orders::EndpointClient>,
        runner_client: Arc<dyn residency::RunnerClient>,
        metrics: metric::Recorder,
    ) -> Self {
        let clock = clock::Clock::start();
        let log: Arc<dyn crate::log::Log> = Arc::clone(&replica) as _;
        let proposer = proposer::Proposer::new(log);
        let detector =
            detector::Detector::new(Arc::clone(&state), proposer.clone(), clock, metrics.clone());
        let detector = Arc::new(detector);
        let confirmations = confirmation::Handler::new(
            Arc::clone(&state),
            proposer.clone(),
            Arc::clone(&detector),
            metrics.clone(),
        );
        let shares =
            shares::Coordinator::new(Arc::clone(&state), proposer.clone(), clock, metrics.clone());
        let permissions =
            permission::Permissions::new(proposer.clone(), Arc::clone(&detector), clock);
        let orders =
            orders::Coordinator::new(Arc::clone(&state), proposer.clone(), endpoint_client, clock);
        let instance = settings.control.instance.clone();
        let residency = residency::Coordinator::new(
            Arc::clone(&state),
            proposer.clone(),
            runner_client,
            instance,
            clock,
            metrics.clone(),
        );
        let meter = Arc::clone(links.meter());
        let relay = Arc::new(relay::Relay::new(proposer.clone(), links));
        let own_domain = std::iter::once(&settings.control.domain);
        let evacuations = evacuation::Handler::new(
            Arc::clone(&state),
            proposer.clone(),
            settings.group.domains.iter().chain(own_domain),
        );
        let plans = plans::Publisher::new(Arc::clone(&state), proposer.clone());
        let objections = objections::Recorder::new(Arc::clone(&state), metrics.clone());
        let context = peers::Context {
            state,
            objections,
            proposer,
            relay,
            detector,
            confirmation_handler: confirmations,
            evacuation_handler: evacuations,
            plans: Arc::new(plans),
            shares: Arc::new(shares),
            permissions,
            orders: Arc::new(orders),
            residency: Arc::new(residency),
            metrics,
            redirects: parking_lot::Mutex::default(),
            slow_answer_log: peers::slow_answer_log(),
        };
        Self {
            settings,
            meter,
            clock,
            context: Arc::new(context),
            replica,
        }
    }

    /// Listens for origins of streams, at the address of the peers. Without that, streams are lost to
    /// their callers only if all entries die while several versions serve.
    async fn listen_origins(&self, wanted: address::Socket) -> Option<tokio::task::JoinHandle<()>> {
        let origins = origins::Origins::new(
            Arc::clone(&self.context.state),
            self.clock,
            Arc::clone(&self.meter),
            self.context.metrics.clone(),
        );
        let listening = Arc::new(origins).listen(wanted).await;
        listening
            .inspect_err(|cause| {
                spdlog::warn!("origins: {wanted} cannot be used for datagrams: {cause}");
            })
            .ok()
    }

    fn spawn_tasks(&self) -> Result<Vec<tokio::task::JoinHandle<()>>, Error> {
        let detector = &self.context.detector;
        let mut tasks = vec![
            tokio::spawn(Arc::clone(detector).run()),
            tokio::spawn(Arc::clone(&self.context.shares).run()),
            tokio::spawn(Arc::clone(&self.context.relay).run()),
            tokio::spawn(Arc::clone(&self.context.plans).run()),
            tokio::spawn(
                self.context
                    .metrics
                    .clone()
                    .log_summaries(Arc::clone(&self.meter)),
            ),
        ];
        // Runners are moved either by the traffic plan, which arrives at the public listener, or by
        // the store's list.
        if self.settings.listen.public.is_some() {
            tasks.push(tokio::spawn(Arc::clone(&self.context.residency).run()));
        } else {
            tasks.push(tokio::spawn(Arc::clone(&self.context.orders).run()));
        }
        if self.settings.group.tend {
            let reconciler = reconciler::Reconciler::new(
                Arc::clone(&self.context.state),
                self.context.proposer.clone(),
                Arc::clone(&self.replica),
                self.settings.control.domain.clone(),
                self.settings.group.losses,
            );
            tasks.push(tokio::spawn(reconciler.run()));
        }
        let address = self.settings.store.as_ref().and_then(|store| store.address);
        if let Some(address) = address {
            let failed = |cause: store::Error| Error::Store(cause.to_string());
            let store = store::Store::new(address).map_err(failed)?;
            tasks.push(tokio::spawn(Arc::clone(detector).poll_store(store)));
        }
        Ok(tasks)
    }

    /// Returns the whole state as JSON, without secrets.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        let status = self.context.proposer.status();
        let leadership = self
            .context
            .detector
            .with_leadership(|now, leadership| leadership.dump(now));
        json!({
            "process": "cranberrygap-control",
            "instance": self.settings.control.instance,
            "domain": self.settings.control.domain,
            "now": self.clock.now(),
            "leads": status.leads,
            "leader": status.leader,
            "term": status.term,
            "failure": self.replica.failure(),
            "traffic": self.meter.dump(),
            "leadership": leadership,
            "orders": self.context.orders.dump(),
            "residency": self.context.residency.dump().await,
            "shares": self.context.shares.dump().await,
            "fleet": self.context.state.read(cranberrygap_state::fleet::Fleet::dump),
            "replica": self.replica.dump().await,
        })
    }
}

/// Completes the settings of the group.
///
/// Sets the group's port in the voters' addresses: where only public addresses of control processes
/// are configured, the port between them is the same everywhere.
///
/// A process that is not in the fleet's first start joins instead of founding. If its folder is
/// empty, it has lost its disk or is new. If it were a founder, three of them could found a second
/// group beside one that holds accepted changes.
fn complete_settings(settings: &mut settings::Control) {
    let port = u16::try_from(settings.listen.port).unwrap_or_default();
    if port != 0 {
        for voter in &mut settings.group.voters {
            voter.address.0.set_port(port);
        }
    }
    if !settings.group.first {
        settings.group.join = true;
    }
}

/// Returns this process as others reach it.
///
/// That is its address in the list of voters, which may differ from the address it listens on, or
/// else the latter.
fn own_peer(settings: &settings::Control) -> address::Peer {
    let instance = &settings.control.instance;
    let voters = &settings.group.voters;
    let listed = voters.iter().find(|voter| voter.instance == *instance);
    listed.cloned().unwrap_or_else(|| address::Peer {
        instance: instance.clone(),
        address: settings.listen.peers,
    })
}

fn start_replica(
    settings: &settings::Control,
    own: address::Peer,
    state: &Arc<replicated::State>,
    links: &Arc<links::Links>,
) -> Result<Arc<replica::Replica>, Error> {
    let replica_settings = replica::Settings::builder()
        .own(own)
        .voters(settings.group.voters.clone())
        .founds(!settings.group.join)
        .folder(PathBuf::from(settings.group.data.as_str()))
        .build();
    let state_machine: Arc<dyn crate::state_machine::StateMachine> = Arc::clone(state) as _;
    let transport: Arc<dyn transport::Transport> = Arc::clone(links) as _;
    Ok(replica::Replica::start(
        replica_settings,
        state_machine,
        transport,
    )?)
}

async fn listen_peers(
    shared: &Arc<Shared>,
    secrets: Vec<credential::Secret>,
) -> Result<server::Handle, server::Error> {
    let metrics = shared.context.metrics.clone();
    let builder = server::Builder::new()
        .secrets(credential::Role::Fleet, secrets)
        .meter(move |method, spent| metrics.record_call(method, spent))
        .traffic(Arc::clone(&shared.meter));
    let builder = links::register(builder, &shared.replica);
    let builder = peers::register(builder, &shared.context);
    builder.start(shared.settings.listen.peers).await
}

async fn listen_admin(
    shared: &Arc<Shared>,
    secrets: Vec<credential::Secret>,
) -> Result<server::Handle, server::Error> {
    let builder = server::Builder::new().secrets(credential::Role::Operator, secrets);
    let builder = operators::register(builder, shared);
    builder.start(shared.settings.listen.admin).await
}
