//! A whole control process: start, dump, planned stop.

use std::path::PathBuf;
use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_link::{credential, server};
use cranberrygap_model::address;
use cranberrygap_wire::settings;
use serde_json::json;

use crate::confirmation;
use crate::detector;
use crate::links;
use crate::metric;
use crate::operators;
use crate::orders;
use crate::peers;
use crate::permission;
use crate::proposer;
use crate::public;
use crate::replica;
use crate::replicated;
use crate::residency;
use crate::shares;
use crate::steward;
use crate::store;
use crate::transport;

/// Secrets that a control process needs, already read.
#[derive(Debug, Clone)]
pub struct Secrets {
    /// Shared by the system's processes; the first is shown to others, any is
    /// taken from them.
    pub fleet: Vec<credential::Secret>,
    /// Tokens of operators.
    pub operators: Vec<credential::Secret>,
}

/// Why a control process did not start.
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
    /// There is no fleet secret.
    #[error("no fleet secret was given")]
    NoSecret,
}

/// What the listeners share.
#[derive(Debug)]
pub(crate) struct Parts {
    settings: settings::Control,
    clock: clock::Clock,
    pub(crate) desk: Arc<peers::Desk>,
    pub(crate) replica: Arc<replica::Replica>,
}

/// A running control process.
#[derive(Debug)]
pub struct Process {
    parts: Arc<Parts>,
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

    /// Starts a control process that orders models through `runners` and counts to `metrics`.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub async fn start_with(
        mut settings: settings::Control,
        secrets: Secrets,
        runners: Arc<dyn residency::RunnerClient>,
        metrics: metric::Recorder,
    ) -> Result<Self, Error> {
        settle(&mut settings);
        let own = own(&settings);
        let shown = secrets.fleet.first().cloned().ok_or(Error::NoSecret)?;
        let links = links::Links::new(own.clone(), settings.group.voters.clone(), shown);
        let state = Arc::new(replicated::State::new(metrics.clone()));
        let replica = start_replica(&settings, own, &state, &links)?;
        let platform = orders::Http::new().map_err(|cause| Error::Endpoints(cause.to_string()))?;
        let parts = Arc::new(Parts::new(
            settings,
            state,
            replica,
            Arc::new(platform),
            runners,
            metrics,
        ));
        let peers = listen_peers(&parts, secrets.fleet).await?;
        let admin = listen_admin(&parts, secrets.operators).await?;
        let tasks = parts.spawn_tasks()?;
        spdlog::info!(
            "control: {} serves peers at {} and operators at {}",
            parts.settings.control.instance,
            peers.address(),
            admin.address()
        );
        Ok(Self {
            parts,
            links,
            peers,
            admin,
            tasks,
        })
    }

    /// Where entries and other control processes connect.
    #[must_use]
    pub const fn peers_address(&self) -> address::Socket {
        self.peers.address()
    }

    /// Where operators connect.
    #[must_use]
    pub const fn admin_address(&self) -> address::Socket {
        self.admin.address()
    }

    /// What a translator of operators' and endpoints' calls works with.
    #[must_use]
    pub fn public_api(&self) -> public::Api {
        public::Api::new(Arc::clone(&self.parts.desk))
    }

    /// Whether this process leads.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.parts.desk.proposer.status().leads
    }

    /// Changes the secrets while the process runs.
    pub fn replace_secrets(&self, secrets: Secrets) {
        if let Some(shown) = secrets.fleet.first() {
            self.links.replace_secret(shown.clone());
        }
        let fleet = credential::Role::Fleet;
        self.peers.replace_secrets(fleet, secrets.fleet);
        let operator = credential::Role::Operator;
        self.admin.replace_secrets(operator, secrets.operators);
    }

    /// The whole state as JSON, without secrets.
    pub async fn dump(&self) -> serde_json::Value {
        self.parts.dump().await
    }

    /// Why the replica stopped taking part, if it did.
    #[must_use]
    pub fn failure(&self) -> Option<String> {
        self.parts.replica.failure()
    }

    /// Stops as planned: hands leadership over first, so that no change and no
    /// lease waits for an election.
    pub async fn stop(self) {
        if self.leads() {
            match self.parts.replica.transfer().await {
                Ok(()) => spdlog::info!("control: handed leadership over"),
                Err(cause) => spdlog::warn!("control: stops as leader: {cause}"),
            }
        }
        for task in &self.tasks {
            task.abort();
        }
        self.admin.stop();
        self.peers.stop();
        self.parts.replica.stop().await;
        spdlog::info!("control: stopped");
    }
}

impl Parts {
    fn new(
        settings: settings::Control,
        state: Arc<replicated::State>,
        replica: Arc<replica::Replica>,
        platform: Arc<dyn orders::Platform>,
        runners: Arc<dyn residency::RunnerClient>,
        metrics: metric::Recorder,
    ) -> Self {
        let clock = clock::Clock::start();
        let log: Arc<dyn crate::log::Log> = Arc::clone(&replica) as _;
        let proposer = proposer::Proposer::new(log);
        let detector =
            detector::Detector::new(Arc::clone(&state), proposer.clone(), clock, metrics.clone());
        let detector = Arc::new(detector);
        let confirmations = confirmation::Confirmations::new(
            Arc::clone(&state),
            proposer.clone(),
            Arc::clone(&detector),
            metrics.clone(),
        );
        let shares =
            shares::Shares::new(Arc::clone(&state), proposer.clone(), clock, metrics.clone());
        let permissions = permission::Permissions::new(proposer.clone(), clock);
        let orders = orders::Orders::new(Arc::clone(&state), proposer.clone(), platform, clock);
        let holder = settings.control.instance.clone();
        let residency = residency::Residency::new(
            Arc::clone(&state),
            proposer.clone(),
            runners,
            holder,
            clock,
            metrics.clone(),
        );
        let desk = peers::Desk {
            state,
            proposer,
            detector,
            confirmations,
            shares: Arc::new(shares),
            permissions,
            orders: Arc::new(orders),
            residency: Arc::new(residency),
            metrics,
            followers: parking_lot::Mutex::default(),
            late: peers::late(),
        };
        Self {
            settings,
            clock,
            desk: Arc::new(desk),
            replica,
        }
    }

    fn spawn_tasks(&self) -> Result<Vec<tokio::task::JoinHandle<()>>, Error> {
        let detector = &self.desk.detector;
        let mut tasks = vec![
            tokio::spawn(Arc::clone(detector).watch()),
            tokio::spawn(Arc::clone(&self.desk.shares).watch()),
            tokio::spawn(self.desk.metrics.clone().watch()),
        ];
        // Runners are moved either by the traffic plan or by the store's list; the
        // public listener brings the former.
        if self.settings.listen.public.is_some() {
            tasks.push(tokio::spawn(Arc::clone(&self.desk.residency).watch()));
        } else {
            tasks.push(tokio::spawn(Arc::clone(&self.desk.orders).watch()));
        }
        if self.settings.group.tend {
            let steward = steward::Steward::new(
                Arc::clone(&self.desk.state),
                self.desk.proposer.clone(),
                Arc::clone(&self.replica),
                self.settings.control.domain.clone(),
                self.settings.group.losses,
            );
            tasks.push(tokio::spawn(steward.watch()));
        }
        let address = self.settings.store.as_ref().and_then(|store| store.address);
        if let Some(address) = address {
            let failed = |cause: store::Error| Error::Store(cause.to_string());
            let store = store::Store::new(address).map_err(failed)?;
            tasks.push(tokio::spawn(Arc::clone(detector).follow_store(store)));
        }
        Ok(tasks)
    }

    /// The whole state as JSON, without secrets.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        let status = self.desk.proposer.status();
        let leadership = self
            .desk
            .detector
            .with_office(|now, leadership| leadership.dump(now));
        json!({
            "process": "cranberrygap-control",
            "instance": self.settings.control.instance,
            "domain": self.settings.control.domain,
            "now": self.clock.now(),
            "leads": status.leads,
            "leader": status.leader,
            "term": status.term,
            "failure": self.replica.failure(),
            "leadership": leadership,
            "orders": self.desk.orders.dump(),
            "residency": self.desk.residency.dump().await,
            "shares": self.desk.shares.dump().await,
            "fleet": self.desk.state.read(cranberrygap_state::fleet::Fleet::dump),
            "replica": self.replica.dump().await,
        })
    }
}

/// Puts the group's own port into the addresses of its members, and leaves out of
/// the founders who must not found.
///
/// Where only the public addresses of control processes are told, the port between
/// them is the same everywhere. A process that starts with an empty folder after
/// the fleet's first start has lost its disk, or is new: were it a founder, three
/// such could found a second group beside one that holds what was accepted.
fn settle(settings: &mut settings::Control) {
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

/// This process as the others reach it: by the address in the list of voters,
/// which may differ from where it listens, or else by where it listens.
fn own(settings: &settings::Control) -> address::Peer {
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
    let wanted = replica::Settings::builder()
        .own(own)
        .voters(settings.group.voters.clone())
        .founds(!settings.group.join)
        .folder(PathBuf::from(settings.group.data.as_str()))
        .build();
    let machine: Arc<dyn crate::state_machine::StateMachine> = Arc::clone(state) as _;
    let transport: Arc<dyn transport::Transport> = Arc::clone(links) as _;
    Ok(replica::Replica::start(wanted, machine, transport)?)
}

async fn listen_peers(
    parts: &Arc<Parts>,
    secrets: Vec<credential::Secret>,
) -> Result<server::Handle, server::Error> {
    let metrics = parts.desk.metrics.clone();
    let builder = server::Builder::new()
        .secrets(credential::Role::Fleet, secrets)
        .meter(move |method, spent| metrics.call(method, spent));
    let builder = links::receive(builder, &parts.replica);
    let builder = peers::offer(builder, &parts.desk);
    builder.start(parts.settings.listen.peers).await
}

async fn listen_admin(
    parts: &Arc<Parts>,
    secrets: Vec<credential::Secret>,
) -> Result<server::Handle, server::Error> {
    let builder = server::Builder::new().secrets(credential::Role::Operator, secrets);
    let builder = operators::offer(builder, parts);
    builder.start(parts.settings.listen.admin).await
}
