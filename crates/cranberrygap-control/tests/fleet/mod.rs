//! Control processes run inside the test process, with clients for entries and operators.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::net::TcpListener;
use std::path::Path;
use std::time::Duration;

use cranberrygap_control::process;
use cranberrygap_link::error::Error;
use cranberrygap_link::{client, credential};
use cranberrygap_model::{address, duration, number};
use cranberrygap_state::key;
use cranberrygap_wire::{method, operator, settings, view};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Deadline far beyond what any step of a test takes, also on a busy host.
pub const TIMEOUT: Duration = Duration::from_mins(1);

const CALL_TIMEOUT: duration::Span = duration::Span::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub fn fleet_secret() -> credential::Secret {
    credential::Secret::new(b"fleet-0123456789abcdef").unwrap()
}

pub fn operator_secret() -> credential::Secret {
    credential::Secret::new(b"operator-0123456789abcdef").unwrap()
}

/// Control processes that form one group.
pub struct Group {
    pub folder: tempfile::TempDir,
    pub settings: Vec<settings::Control>,
    pub running: Vec<Option<process::Process>>,
}

impl Group {
    pub async fn start(count: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let ports = free_ports(count);
        let voters: Vec<address::Peer> = (1..=count)
            .zip(&ports)
            .map(|(number, port)| {
                format!("control-{number}@127.0.0.1:{port}")
                    .parse()
                    .unwrap()
            })
            .collect();
        let settings = voters
            .iter()
            .map(|own| control_settings(folder.path(), own, &voters, false))
            .collect();
        let running = (0..count).map(|_| None).collect();
        let mut group = Self {
            folder,
            settings,
            running,
        };
        for position in 0..count {
            group.run(position).await;
        }
        group
    }

    pub async fn run(&mut self, position: usize) {
        let secrets = process::Secrets {
            fleet: vec![fleet_secret()],
            operators: vec![operator_secret()],
        };
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        loop {
            let settings = self.settings[position].clone();
            match process::Process::start(settings, secrets.clone()).await {
                Ok(started) => {
                    self.running[position] = Some(started);
                    return;
                }
                // The storage thread of the previous process may still hold the folder, or the port
                // may not be free yet.
                Err(cause) => assert!(tokio::time::Instant::now() < deadline, "{cause}"),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts another process that waits to be added to the group.
    pub async fn join(&mut self, name: &str) -> address::Peer {
        let [port] = free_ports(1).try_into().unwrap();
        let own: address::Peer = format!("{name}@127.0.0.1:{port}").parse().unwrap();
        let voters = self.settings[0].group.voters.clone();
        let settings = control_settings(self.folder.path(), &own, &voters, true);
        self.settings.push(settings);
        self.running.push(None);
        self.run(self.settings.len() - 1).await;
        own
    }

    /// Waits for a leader and returns its position.
    pub async fn leader(&self) -> usize {
        until(|| {
            let mut running = self.running.iter();
            running.position(|process| process.as_ref().is_some_and(process::Process::leads))
        })
        .await
    }

    pub async fn stop(&mut self, position: usize) {
        self.running[position].take().unwrap().stop().await;
    }

    /// Calls the leader as an operator; tries again while the leader changes.
    pub async fn call_as_operator<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: &'static str,
        params: &P,
    ) -> Result<R, Error> {
        self.call_leader(method, params, credential::Role::Operator)
            .await
    }

    /// Calls the leader as an entry; tries again while the leader changes.
    pub async fn call_as_entry<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: &'static str,
        params: &P,
    ) -> Result<R, Error> {
        self.call_leader(method, params, credential::Role::Fleet)
            .await
    }

    async fn call_leader<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: &'static str,
        params: &P,
        role: credential::Role,
    ) -> Result<R, Error> {
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        loop {
            let position = self.leader().await;
            let outcome = match self.client(position, role).await {
                Ok(client) => client.call(method, params, CALL_TIMEOUT).await,
                Err(cause) => Err(cause),
            };
            let is_not_leader = match &outcome {
                Err(Error::Refused { code, .. }) => *code == method::NOT_LEADER,
                Err(cause) => cause.not_sent(),
                Ok(_) => false,
            };
            if !is_not_leader || tokio::time::Instant::now() > deadline {
                return outcome;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn client(
        &self,
        position: usize,
        role: credential::Role,
    ) -> Result<client::Client, Error> {
        let process = self.running[position].as_ref().unwrap();
        match role {
            credential::Role::Fleet => {
                client::Client::connect(process.peers_address(), role, &fleet_secret()).await
            }
            credential::Role::Operator => {
                client::Client::connect(process.admin_address(), role, &operator_secret()).await
            }
        }
    }

    pub async fn issue(&self, change: &str, secret: &key::Secret) -> operator::Issued {
        let issue = operator::Issue {
            author: author(change),
            workspace: "fjordtall".parse().unwrap(),
            key: secret.key().clone(),
            hash: secret.hash(),
        };
        self.call_as_operator(method::KEY_ISSUE, &issue)
            .await
            .unwrap()
    }

    pub async fn withdraw(&self, change: &str, secret: &key::Secret) -> operator::Withdrawn {
        let withdraw = operator::Withdraw {
            author: author(change),
            key: secret.key().clone(),
        };
        self.call_as_operator(method::KEY_WITHDRAW, &withdraw)
            .await
            .unwrap()
    }
}

pub fn author(change: &str) -> operator::Author {
    operator::Author {
        change: change.parse().unwrap(),
        by: "ada".into(),
        why: "because".into(),
    }
}

pub fn secret(number: u8) -> key::Secret {
    key::Secret::new([number; key::RANDOM_BYTES])
}

/// Returns an entry's confirmation that `revision` is in force there.
pub fn confirm(revision: number::Revision) -> view::Confirm {
    view::Confirm {
        instance: "entry-1".parse().unwrap(),
        boot: number::Boot(1),
        domain: "oslo-1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        endpoints: None,
        lending: None,
        phase: view::Phase::Active,
        revision,
        seen: Vec::new(),
        announcements: Vec::new(),
        demands: Vec::new(),
    }
}

/// Calls `poll` repeatedly until it returns a value.
pub async fn until<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    loop {
        if let Some(process) = poll() {
            return process;
        }
        assert!(tokio::time::Instant::now() < deadline, "waited in vain");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn control_settings(
    folder: &Path,
    own: &address::Peer,
    voters: &[address::Peer],
    join: bool,
) -> settings::Control {
    let data = folder.join(own.instance.as_str());
    std::fs::create_dir_all(&data).unwrap();
    let text = serde_json::json!({
        "control": { "instance": own.instance, "domain": "oslo-1" },
        "listen": { "peers": own.address, "admin": "127.0.0.1:0" },
        "group": { "data": data, "voters": voters, "join": join },
        "secrets": { "fleet": "unused" },
    });
    serde_json::from_value(text).unwrap()
}

/// Returns ports that nothing listens on at this moment.
fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let ports = listeners
        .iter()
        .map(|process| process.local_addr().unwrap().port());
    ports.collect()
}
