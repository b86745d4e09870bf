//! Replicas in one process over a network that can be cut.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use cranberrygap_control::{log, log::Log, machine, replica, transport};
use cranberrygap_model::{address, id, number};
use parking_lot::Mutex;

/// Keeps all payloads and answers with their count.
#[derive(Debug, Default)]
pub struct Recorder {
    pub payloads: Mutex<Vec<Bytes>>,
}

impl machine::Machine for Recorder {
    fn apply(&self, _index: number::Index, payload: &[u8]) -> Bytes {
        let mut payloads = self.payloads.lock();
        payloads.push(Bytes::copy_from_slice(payload));
        Bytes::from(payloads.len().to_string())
    }

    fn snapshot(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(&*self.payloads.lock()).unwrap())
    }

    fn restore(&self, _index: number::Index, snapshot: &[u8]) -> Result<(), String> {
        let read = serde_json::from_slice(snapshot);
        *self.payloads.lock() = read.map_err(|cause| cause.to_string())?;
        Ok(())
    }
}

/// Carries packets between replicas of this process.
#[derive(Debug, Default)]
pub struct Network {
    receivers: Mutex<BTreeMap<id::Instance, Weak<replica::Replica>>>,
    cut: Mutex<BTreeSet<id::Instance>>,
}

impl Network {
    pub fn attach(&self, instance: &id::Instance, receiver: &Arc<replica::Replica>) {
        let receiver = Arc::downgrade(receiver);
        self.receivers.lock().insert(instance.clone(), receiver);
    }

    pub fn cut(&self, instance: &id::Instance) {
        self.cut.lock().insert(instance.clone());
    }

    pub fn heal(&self) {
        self.cut.lock().clear();
    }

    fn carry(&self, from: &address::Peer, to: &address::Peer, message: Bytes) {
        let cut = self.cut.lock();
        if cut.contains(&from.instance) || cut.contains(&to.instance) {
            return;
        }
        let receiver = self.receivers.lock().get(&to.instance).cloned();
        if let Some(receiver) = receiver.and_then(|weak| weak.upgrade()) {
            receiver.deliver(from, message);
        }
    }
}

/// One replica's end of the network.
#[derive(Debug)]
struct Line {
    own: address::Peer,
    network: Arc<Network>,
}

impl transport::Transport for Line {
    fn send(&self, peer: &address::Peer, message: Bytes) {
        self.network.carry(&self.own, peer, message);
    }
}

/// A running replica and its state machine.
#[derive(Debug, Clone)]
pub struct Running {
    pub peer: address::Peer,
    pub replica: Arc<replica::Replica>,
    pub recorder: Arc<Recorder>,
}

/// A group whose folders end with it.
#[derive(Debug)]
pub struct Group {
    pub network: Arc<Network>,
    pub voters: Vec<address::Peer>,
    pub root: tempfile::TempDir,
    pub snapshot_after: u64,
}

pub fn peer(number: usize) -> address::Peer {
    format!("control-{number}@127.0.0.1:{}", 9_000 + number)
        .parse()
        .unwrap()
}

pub fn group(voters: usize, snapshot_after: u64) -> Group {
    Group {
        network: Arc::new(Network::default()),
        voters: (1..=voters).map(peer).collect(),
        root: tempfile::tempdir().unwrap(),
        snapshot_after,
    }
}

impl Group {
    pub fn folder(&self, peer: &address::Peer) -> PathBuf {
        self.root.path().join(peer.instance.as_str())
    }

    pub fn start(&self, peer: &address::Peer) -> Running {
        let settings = replica::Settings::builder()
            .own(peer.clone())
            .voters(self.voters.clone())
            .folder(self.folder(peer))
            .snapshot_after(self.snapshot_after)
            .build();
        let recorder = Arc::new(Recorder::default());
        let line = Line {
            own: peer.clone(),
            network: Arc::clone(&self.network),
        };
        let machine: Arc<dyn machine::Machine> = Arc::<Recorder>::clone(&recorder);
        let replica = replica::Replica::start(settings, machine, Arc::new(line)).unwrap();
        self.network.attach(&peer.instance, &replica);
        Running {
            peer: peer.clone(),
            replica,
            recorder,
        }
    }

    pub fn start_all(&self) -> Vec<Running> {
        self.voters.iter().map(|peer| self.start(peer)).collect()
    }
}

/// Waits for a condition; the limit only bounds a failing test.
pub async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..3_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never came: {what}");
}

pub fn leader(replicas: &[Running]) -> Option<Running> {
    let leads = |running: &&Running| running.replica.status().leads;
    replicas.iter().find(leads).cloned()
}

pub async fn await_leader(replicas: &[Running]) -> Running {
    wait_for("a leader", || leader(replicas).is_some()).await;
    leader(replicas).unwrap()
}

/// Proposes at whoever leads until it is committed.
pub async fn commit(replicas: &[Running], payload: &str) -> log::Committed {
    for _ in 0..600 {
        if let Some(leader) = leader(replicas) {
            let bytes = Bytes::copy_from_slice(payload.as_bytes());
            if let Ok(committed) = leader.replica.propose(bytes).await {
                return committed;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("never committed: {payload}");
}

/// Starts a replica again; waits until the folder's lock is free.
pub async fn reopen(group: &Group, peer: &address::Peer) -> Running {
    let folder = group.folder(peer);
    wait_for("the folder's lock", || {
        cranberrygap_storage::disk::Disk::lock(&folder).is_ok()
    })
    .await;
    group.start(peer)
}
