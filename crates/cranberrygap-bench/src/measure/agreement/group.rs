//! Control processes, each on threads of its own, joined by real links.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cadence::{NopMetricSink, StatsdClient};
use cranberrygap_control::process;
use cranberrygap_entry::process as entry;
use cranberrygap_link::{client, credential};
use cranberrygap_model::{address, duration};
use cranberrygap_standin::loopback;
use cranberrygap_wire::settings;
use eyre::WrapErr as _;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime;

/// Secret of the measured fleet.
const SECRET: &[u8] = b"secret-of-the-measured-fleet-only";

/// Longest wait for one answer.
const ANSWER: duration::Span = duration::Span::from_secs(10);

/// Longest wait for a leader; far above what is measured.
const LIMIT: Duration = Duration::from_mins(1);

/// One control process.
#[derive(Debug)]
struct Control {
    settings: settings::Control,
    runtime: Option<runtime::Runtime>,
    process: Option<process::Process>,
}

/// Control processes that make a group.
#[derive(Debug)]
pub(super) struct Group {
    controls: Vec<Control>,
    folder: tempfile::TempDir,
}

fn secret() -> credential::Secret {
    credential::Secret::new(SECRET).expect("the secret is long enough")
}

fn identity(name: &str) -> settings::Identity {
    settings::Identity {
        domain: "domain-1".parse().expect("a well-formed name"),
        instance: name.parse().expect("a well-formed name"),
    }
}

fn unread() -> settings::Secrets {
    settings::Secrets {
        endpoint: None,
        fleet: Some("passed in".into()),
        trusted_network: false,
        operator: None,
    }
}

/// Peers named by where `listed` says that they can be reached.
fn peers(listed: &[address::Socket]) -> Vec<address::Peer> {
    let named = listed.iter().enumerate().map(|(place, address)| {
        let text = format!("control-{}@{address}", place + 1);
        text.parse().expect("a well-formed peer")
    });
    named.collect()
}

impl Group {
    /// Starts a group whose processes reach each other directly.
    pub(super) async fn start(count: usize) -> eyre::Result<Self> {
        let listening: Vec<_> = (0..count).map(|_| loopback::unique()).collect();
        let reached = vec![listening.clone(); count];
        Self::start_at(&listening, &reached).await
    }

    /// Starts a group; `reached[i][j]` is where process i reaches process j.
    pub(super) async fn start_at(
        listening: &[address::Socket],
        reached: &[Vec<address::Socket>],
    ) -> eyre::Result<Self> {
        let folder = tempfile::tempdir()?;
        let mut group = Self {
            controls: Vec::new(),
            folder,
        };
        for (place, own) in listening.iter().enumerate() {
            let name = format!("control-{}", place + 1);
            let data = group.folder.path().join(&name);
            group.controls.push(Control {
                settings: settings::Control {
                    control: identity(&name),
                    group: settings::ControlGroup {
                        domains: Vec::new(),
                        losses: 1,
                        first: true,
                        tend: false,
                        data: data.to_string_lossy().into(),
                        join: false,
                        voters: peers(&reached[place]),
                    },
                    listen: settings::ControlListen {
                        public: None,
                        port: 0,
                        admin: loopback::unique(),
                        peers: *own,
                    },
                    log: None,
                    metrics: None,
                    secrets: unread(),
                    store: None,
                },
                runtime: None,
                process: None,
            });
            group.restart(place).await?;
        }
        group.leader().await?;
        Ok(group)
    }

    /// Number of processes.
    pub(super) fn len(&self) -> usize {
        self.controls.len()
    }

    /// Ends a process without a planned stop.
    pub(super) fn kill(&mut self, place: usize) {
        let control = &mut self.controls[place];
        control.process = None;
        if let Some(runtime) = control.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Starts a process, again if it ran before.
    pub(super) async fn restart(&mut self, place: usize) -> eyre::Result<()> {
        let control = &mut self.controls[place];
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let begin = Instant::now();
        loop {
            let settings = control.settings.clone();
            let secrets = process::Secrets {
                fleet: vec![secret()],
                operators: vec![credential::Secret::loopback()],
            };
            let starting = runtime.spawn(process::Process::start(settings, secrets));
            match starting.await? {
                Ok(process) => {
                    control.process = Some(process);
                    control.runtime = Some(runtime);
                    return Ok(());
                }
                // The killed one's last threads may still hold folder and address.
                Err(_) if begin.elapsed() < LIMIT => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                Err(cause) => {
                    runtime.shutdown_background();
                    return Err(cause).wrap_err("a control process does not start");
                }
            }
        }
    }

    /// Waits until a process leads.
    pub(super) async fn leader(&self) -> eyre::Result<usize> {
        let begin = Instant::now();
        while begin.elapsed() < LIMIT {
            let leads = |control: &Control| {
                let process = control.process.as_ref();
                process.is_some_and(process::Process::leads)
            };
            if let Some(place) = self.controls.iter().position(leads) {
                return Ok(place);
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        eyre::bail!("no leader after {} s", LIMIT.as_secs())
    }

    /// Asks a process as an operator.
    pub(super) async fn ask<P, R>(
        &self,
        place: usize,
        method: &'static str,
        params: &P,
    ) -> eyre::Result<R>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let admin = self.controls[place].settings.listen.admin;
        let secret = credential::Secret::loopback();
        let link = client::Client::connect(admin, credential::Role::Operator, &secret).await?;
        Ok(link.call(method, params, ANSWER).await?)
    }

    /// Where the processes listen for peers and entries.
    pub(super) fn listening(&self) -> Vec<address::Socket> {
        let controls = self.controls.iter();
        controls
            .map(|control| control.settings.listen.peers)
            .collect()
    }
}

/// Starts an entry in the current runtime; it reaches the controls there.
pub(super) async fn start_entry(
    number: usize,
    controls: &[address::Socket],
) -> eyre::Result<entry::Process> {
    let settings = settings::Entry {
        control: settings::EntryControl {
            port: 0,
            peers: peers(controls),
        },
        entry: identity(&format!("entry-{number}")),
        limits: None,
        listen: settings::EntryListen {
            gateway: None,
            directory: None,
            outgoing: None,
            ready: None,
            gossip: None,
            lending: None,
            admin: loopback::unique(),
            advertise: None,
            callers: loopback::unique(),
            endpoints: loopback::unique(),
        },
        log: None,
        metrics: None,
        secrets: unread(),
    };
    let secrets = entry::Secrets {
        fleet: secret(),
        operators: vec![credential::Secret::loopback()],
        endpoint: None,
    };
    let metrics = Arc::new(StatsdClient::from_sink("cranberrygap", NopMetricSink));
    let process = entry::Process::start(settings, secrets, metrics).await?;
    let begin = Instant::now();
    while !process.is_serving() {
        if begin.elapsed() > LIMIT {
            eyre::bail!("entry {number} does not serve");
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(process)
}
