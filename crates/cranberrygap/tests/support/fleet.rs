//! Controls, entries, endpoints and a store that belong together.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::net::UdpSocket;
use std::os::unix::fs::PermissionsExt as _;
use std::path::Path;
use std::time::Duration;

use cranberrygap_link::{client, credential};
use cranberrygap_model::{address, duration, number, size};
use cranberrygap_standin::{booking, engine, loopback, proxy, store};
use cranberrygap_state::key;
use cranberrygap_wire::{endpoint, method, operator};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::support::{process, wait};

/// Secret that the processes share.
pub const FLEET_SECRET: &str = "fleet-secret-of-the-tests";
/// Token of operators.
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";
/// Token of endpoints.
pub const ENDPOINT_TOKEN: &str = "endpoint-token-of-the-tests";
/// Longest wait for one answer of a control process.
const ANSWER: duration::Span = duration::Span::from_secs(10);

/// What a fleet is made of.
#[derive(Debug, Clone, bon::Builder)]
pub struct Shape {
    /// Control processes.
    #[builder(default = 3)]
    pub controls: usize,
    /// Entry processes.
    #[builder(default = 3)]
    pub entries: usize,
    /// Model engines, spread over three failure domains.
    #[builder(default = 2)]
    pub engines: usize,
    /// Booking services.
    #[builder(default = 1)]
    pub services: usize,
    /// Software versions of the engines, in their order; further ones name none.
    #[builder(default)]
    pub versions: Vec<&'static str>,
    /// Models that each engine holds from its start.
    #[builder(default = vec!["frames-7b", "codes-3b"])]
    pub models: Vec<&'static str>,
    /// Engines that hold the models from their start; the others are empty.
    #[builder(default = usize::MAX)]
    pub preloaded: usize,
    /// Whether a proxy stands before each connection to a control process.
    #[builder(default)]
    pub proxied: bool,
    /// Where all processes send metrics.
    pub statsd: Option<address::Socket>,
    /// Text in a prompt that crashes engines.
    pub crash_marker: Option<String>,
}

/// Addresses of one control process.
#[derive(Debug, Clone, Copy)]
pub struct Control {
    /// For entries and other control processes.
    pub peers: address::Socket,
    /// For operators.
    pub admin: address::Socket,
}

/// Addresses of one entry.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// For callers.
    pub callers: address::Socket,
    /// For endpoints.
    pub endpoints: address::Socket,
    /// For operators.
    pub admin: address::Socket,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Where all connect.
    pub controls: Vec<Control>,
    /// Where all connect.
    pub entries: Vec<Entry>,
    /// `control-1` to `control-N` and `entry-1` to `entry-N`.
    pub processes: BTreeMap<String, process::Process>,
    /// Model engines.
    pub engines: Vec<engine::Handle>,
    /// Booking services.
    pub services: Vec<booking::Handle>,
    /// The weight store.
    pub store: store::Store,
    /// Proxies by who connects and to whom, when the shape wants them.
    pub proxies: BTreeMap<(String, String), proxy::Proxy>,
    folder: tempfile::TempDir,
}

impl Fleet {
    /// Starts a fleet; returns when a leader answers and all entries serve.
    pub async fn start(shape: Shape) -> Self {
        let folder = tempfile::tempdir().unwrap();
        write_secrets(folder.path());
        let controls: Vec<Control> = (0..shape.controls)
            .map(|_| Control {
                peers: loopback::unique(),
                admin: loopback::unique(),
            })
            .collect();
        let entries: Vec<Entry> = (0..shape.entries)
            .map(|_| Entry {
                callers: loopback::unique(),
                endpoints: loopback::unique(),
                admin: loopback::unique(),
            })
            .collect();
        let store = start_store(&shape);
        let mut fleet = Self {
            engines: Vec::new(),
            services: Vec::new(),
            processes: BTreeMap::new(),
            proxies: BTreeMap::new(),
            controls,
            entries,
            store,
            folder,
        };
        if shape.proxied {
            fleet.start_proxies().await;
        }
        fleet.start_processes(&shape);
        fleet.start_endpoints(&shape);
        fleet.serving().await;
        fleet
    }

    /// The folder with settings, logs and data.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// A process by its name.
    pub fn process(&mut self, name: &str) -> &mut process::Process {
        self.processes.get_mut(name).unwrap()
    }

    /// Calls a method on one process's admin listener as an operator.
    pub async fn ask<P, R>(
        &self,
        admin: address::Socket,
        method: &'static str,
        params: &P,
    ) -> Result<R, cranberrygap_link::error::Error>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let secret = credential::Secret::new(OPERATOR_TOKEN.as_bytes()).unwrap();
        let link = client::Client::connect(admin, credential::Role::Operator, &secret).await?;
        link.call(method, params, ANSWER).await
    }

    /// Calls a method on whichever control process leads.
    pub async fn ask_leader<P, R>(&self, method: &'static str, params: &P) -> R
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        wait::some(method, async || self.ask_leader_once(method, params).await).await
    }

    /// Applies a configuration over the one in force.
    pub async fn apply(&self, text: &str) -> number::Revision {
        let page: Option<operator::Page> = self
            .ask_leader_once(method::CONFIGURATION, &operator::Read { revision: None })
            .await;
        let apply = operator::Apply {
            author: author(text),
            expect: page.map_or(number::Revision(0), |page| page.revision),
            text: text.into(),
        };
        match self.ask_leader(method::APPLY, &apply).await {
            operator::Applied::Accepted { revision } => revision,
            other => panic!("not accepted: {other:?}"),
        }
    }

    /// Issues a key that works everywhere when this returns.
    pub async fn issue(&self, workspace: &str) -> key::Secret {
        let mut random = [0; key::RANDOM_BYTES];
        getrandom::fill(&mut random).unwrap();
        let secret = key::Secret::new(random);
        let issue = operator::Issue {
            author: author(secret.key().as_str()),
            hash: secret.hash(),
            key: secret.key().clone(),
            workspace: workspace.parse().unwrap(),
        };
        let issued: operator::Issued = self.ask_leader(method::KEY_ISSUE, &issue).await;
        self.in_force(issued.revision).await;
        secret
    }

    /// Waits until a revision is in force everywhere.
    pub async fn in_force(&self, revision: number::Revision) {
        wait::until("revision in force", async || {
            let force: operator::Force = self.ask_leader(method::FORCE, &revision).await;
            force.in_force
        })
        .await;
    }

    /// Asks each control process once.
    async fn ask_leader_once<P, R>(&self, method: &'static str, params: &P) -> Option<R>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        for control in &self.controls {
            if let Ok(answer) = self.ask(control.admin, method, params).await {
                return Some(answer);
            }
        }
        None
    }

    /// The whole state of one process.
    pub async fn dump(&self, admin: address::Socket) -> Value {
        wait::some("dump", async || {
            self.ask(admin, method::DUMP, &()).await.ok()
        })
        .await
    }

    /// Waits until every entry has a view and a lease.
    pub async fn serving(&self) {
        for entry in &self.entries {
            let url = format!("http://{}/v1/addresses", entry.callers);
            wait::until("entry serves", async || {
                reqwest::get(&url)
                    .await
                    .is_ok_and(|answer| answer.status().is_success())
            })
            .await;
        }
    }

    /// Cuts a process off from all control processes, silently.
    pub fn cut_off(&self, name: &str) {
        for ((from, to), proxy) in &self.proxies {
            if from == name || to == name {
                proxy.blackhole(proxy::Direction::Both);
            }
        }
    }

    /// Ends a cut.
    pub fn reconnect(&self, name: &str) {
        for ((from, to), proxy) in &self.proxies {
            if from == name || to == name {
                proxy.heal();
            }
        }
    }

    async fn start_proxies(&mut self) {
        let mut clients: Vec<String> = Vec::new();
        clients.extend((1..=self.controls.len()).map(|number| format!("control-{number}")));
        clients.extend((1..=self.entries.len()).map(|number| format!("entry-{number}")));
        for client in clients {
            for (place, control) in self.controls.iter().enumerate() {
                let target = format!("control-{}", place + 1);
                if client == target {
                    continue;
                }
                let address = loopback::unique();
                let proxy = proxy::Proxy::start(address, control.peers).await.unwrap();
                self.proxies.insert((client.clone(), target), proxy);
            }
        }
    }

    fn start_processes(&mut self, shape: &Shape) {
        for place in 0..self.controls.len() {
            let name = format!("control-{}", place + 1);
            self.write_settings(&name, &self.control_settings(place, shape));
            let binary = env!("CARGO_BIN_EXE_cranberrygap-control");
            self.start_process(&name, binary);
        }
        for place in 0..self.entries.len() {
            let name = format!("entry-{}", place + 1);
            self.write_settings(&name, &self.entry_settings(place, shape));
            let binary = env!("CARGO_BIN_EXE_cranberrygap-entry");
            self.start_process(&name, binary);
        }
    }

    fn start_process(&mut self, name: &str, binary: &'static str) {
        let process = process::Process::start(name, binary, self.folder());
        self.processes.insert(name.to_owned(), process);
    }

    fn write_settings(&self, name: &str, text: &str) {
        fs::write(self.folder().join(format!("{name}.ini")), text).unwrap();
    }

    fn control_settings(&self, place: usize, shape: &Shape) -> String {
        let name = format!("control-{}", place + 1);
        let Control { peers, admin } = self.controls[place];
        let mut text = format!(
            "[control]\ninstance = {name}\ndomain = {}\n\
             [listen]\npeers = {peers}\nadmin = {admin}\n\
             [group]\ndata = data-{name}\nvoters = {}\n\
             [store]\naddress = {}\n",
            domain(place),
            self.peers(&name),
            self.store.address(),
        );
        finish(&mut text, shape, "");
        text
    }

    fn entry_settings(&self, place: usize, shape: &Shape) -> String {
        let name = format!("entry-{}", place + 1);
        let entry = self.entries[place];
        let mut text = format!(
            "[entry]\ninstance = {name}\ndomain = {}\n\
             [listen]\ncallers = {}\nendpoints = {}\nadmin = {}\n\
             [control]\npeers = {}\n\
             [limits]\nbody = 64KiB\n",
            domain(place),
            entry.callers,
            entry.endpoints,
            entry.admin,
            self.peers(&name),
        );
        finish(&mut text, shape, "endpoint = endpoint.token\n");
        text
    }

    /// The control processes as one process reaches them.
    fn peers(&self, client: &str) -> String {
        let peers = self.controls.iter().enumerate().map(|(place, control)| {
            let target = format!("control-{}", place + 1);
            let proxy = self.proxies.get(&(client.to_owned(), target.clone()));
            let address = proxy.map_or(control.peers, proxy::Proxy::address);
            format!("{target}@{address}")
        });
        peers.collect::<Vec<String>>().join(", ")
    }

    fn start_endpoints(&mut self, shape: &Shape) {
        let listeners: Vec<address::Socket> =
            self.entries.iter().map(|entry| entry.endpoints).collect();
        for place in 0..shape.engines {
            let settings = self.engine_settings(place, shape, &listeners);
            self.engines.push(engine::Handle::start(settings).unwrap());
        }
        for place in 0..shape.services {
            let settings = booking::Settings::builder()
                .endpoint(format!("draws-{}", place + 1).parse().unwrap())
                .service("draws".parse().unwrap())
                .domain(domain(place).parse().unwrap())
                .address(loopback::unique())
                .announce_to(rotated(&listeners, place))
                .token(ENDPOINT_TOKEN.to_owned())
                .build();
            self.services
                .push(booking::Handle::start(settings).unwrap());
        }
    }

    fn engine_settings(
        &self,
        place: usize,
        shape: &Shape,
        listeners: &[address::Socket],
    ) -> engine::Settings {
        let models = if place < shape.preloaded {
            shape.models.as_slice()
        } else {
            &[]
        };
        let preloaded = models.iter().map(|model| endpoint::Resident {
            model: model.parse().unwrap(),
            size: MODEL_SIZE,
        });
        engine::Settings::builder()
            .endpoint(format!("runner-{}", place + 1).parse().unwrap())
            .domain(domain(place).parse().unwrap())
            .address(loopback::unique())
            .preloaded(preloaded.collect())
            .store(self.store.address())
            .announce_to(rotated(listeners, place))
            .token(ENDPOINT_TOKEN.to_owned())
            .maybe_crash_marker(shape.crash_marker.clone())
            .maybe_software(
                shape
                    .versions
                    .get(place)
                    .map(|version| version.parse().unwrap()),
            )
            .build()
    }
}

/// Size of every model of a test.
const MODEL_SIZE: size::Bytes = size::Bytes(8 << 30);
/// Loads are short, so that tests are.
const LOAD_TIME: Duration = Duration::from_millis(100);

fn start_store(shape: &Shape) -> store::Store {
    let models = shape
        .models
        .iter()
        .map(|model| store::model(model.parse().unwrap(), MODEL_SIZE));
    let settings = store::Settings::builder()
        .address(loopback::unique())
        .models(models.collect())
        .model_time(LOAD_TIME)
        .build();
    store::Store::start(settings).unwrap()
}

fn write_secrets(folder: &Path) {
    let secrets = [
        ("fleet.secret", FLEET_SECRET),
        ("operator.token", OPERATOR_TOKEN),
        ("endpoint.token", ENDPOINT_TOKEN),
    ];
    for (name, secret) in secrets {
        let path = folder.join(name);
        fs::write(&path, secret).unwrap();
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).unwrap();
    }
}

fn finish(text: &mut String, shape: &Shape, secrets: &str) {
    text.push_str("[secrets]\nfleet = fleet.secret\noperator = operator.token\n");
    text.push_str(secrets);
    if let Some(statsd) = shape.statsd {
        write!(text, "[metrics]\nstatsd = {statsd}\n").unwrap();
    }
}

fn author(change: &str) -> operator::Author {
    operator::Author {
        by: "tests".into(),
        change: format!("change-{}", blake3::hash(change.as_bytes()).to_hex())
            .parse()
            .unwrap(),
        why: "a test".into(),
    }
}

fn domain(place: usize) -> &'static str {
    ["oslo-1", "oslo-2", "oslo-3"][place % 3]
}

fn rotated(listeners: &[address::Socket], place: usize) -> Vec<address::Socket> {
    let mut order = listeners.to_vec();
    if !order.is_empty() {
        order.rotate_left(place % listeners.len());
    }
    order
}

/// A socket that collects metrics.
#[must_use]
pub fn statsd() -> (address::Socket, UdpSocket) {
    let address = loopback::unique();
    let socket = UdpSocket::bind(address.0).unwrap();
    socket.set_nonblocking(true).unwrap();
    (address, socket)
}
