//! Replicas run inside the test process, over a network that can be cut.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cranberrygap_agreement::limits;
use cranberrygap_control::{log, log::Log, replica, state_machine, transport};
use cranberrygap_model::{address, id, number};
use cranberrygap_storage::{disk, files};
use parking_lot::Mutex;

/// Longest time for which a snapshot is held; it only bounds a failing test.
const MAX_SNAPSHOT_TIME: Duration = Duration::from_secs(30);

/// State machine that keeps all payloads and answers with their number.
#[derive(Debug, Default)]
pub struct Recorder {
    pub payloads: Mutex<Vec<Bytes>>,
    /// Time to apply one entry.
    pub apply_time: Duration,
    /// Whether only the last payload is kept, for changes that each replace the previous one.
    pub keep_last_only: bool,
    /// Whether snapshots wait before they are serialized.
    pub snapshots_are_held: Arc<AtomicBool>,
    /// Entries applied since the start.
    pub applied: AtomicUsize,
}

impl state_machine::StateMachine for Recorder {
    fn apply(&self, _index: number::Index, payload: &[u8]) -> Bytes {
        if !self.apply_time.is_zero() {
            std::thread::sleep(self.apply_time);
        }
        self.applied.fetch_add(1, Ordering::SeqCst);
        let mut payloads = self.payloads.lock();
        if self.keep_last_only {
            payloads.clear();
        }
        payloads.push(Bytes::copy_from_slice(payload));
        Bytes::from(payloads.len().to_string())
    }

    fn capture(&self) -> state_machine::Capture {
        let payloads = self.payloads.lock().clone();
        let are_held = Arc::clone(&self.snapshots_are_held);
        Box::new(move || {
            let begun = Instant::now();
            while are_held.load(Ordering::SeqCst) && begun.elapsed() < MAX_SNAPSHOT_TIME {
                std::thread::sleep(Duration::from_millis(5));
            }
            Bytes::from(serde_json::to_vec(&payloads).unwrap())
        })
    }

    fn restore(&self, _index: number::Index, snapshot: &[u8]) -> Result<(), String> {
        let read = serde_json::from_slice(snapshot);
        *self.payloads.lock() = read.map_err(|cause| cause.to_string())?;
        Ok(())
    }
}

/// Network that carries packets between the replicas.
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

    fn deliver(&self, from: &address::Peer, to: &address::Peer, message: Bytes) {
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

/// Transport of one replica over the network.
#[derive(Debug)]
struct Link {
    own: address::Peer,
    network: Arc<Network>,
}

impl transport::Transport for Link {
    fn send(&self, peer: &address::Peer, message: Bytes) {
        self.network.deliver(&self.own, peer, message);
    }
}

/// A running replica with its state machine.
#[derive(Debug, Clone)]
pub struct Running {
    pub peer: address::Peer,
    pub replica: Arc<replica::Replica>,
    pub recorder: Arc<Recorder>,
}

/// A group of replicas; its folders are deleted with it.
#[derive(Debug)]
pub struct Group {
    pub network: Arc<Network>,
    pub voters: Vec<address::Peer>,
    pub root: tempfile::TempDir,
    pub snapshot_after: u64,
    pub snapshot_bytes: u64,
    pub trailing: u64,
    /// Time that the state machines take to apply one entry.
    pub apply_time: Duration,
    /// Whether the state machines keep the last payload only.
    pub keep_last_only: bool,
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
        snapshot_bytes: u64::MAX,
        trailing: limits::Limits::default().trailing_entries,
        apply_time: Duration::ZERO,
        keep_last_only: false,
    }
}

impl Group {
    pub fn folder(&self, peer: &address::Peer) -> PathBuf {
        self.root.path().join(peer.instance.as_str())
    }

    pub fn start(&self, peer: &address::Peer) -> Running {
        let disk = disk::Disk::lock(&self.folder(peer)).unwrap();
        self.start_on(Box::new(disk), peer)
    }

    pub fn start_on(&self, files: Box<dyn files::Files>, peer: &address::Peer) -> Running {
        let settings = replica::Settings::builder()
            .own(peer.clone())
            .voters(self.voters.clone())
            .folder(self.folder(peer))
            .snapshot_after(self.snapshot_after)
            .snapshot_bytes(self.snapshot_bytes)
            .limits(limits::Limits {
                trailing_entries: self.trailing,
                ..limits::Limits::default()
            })
            .build();
        let recorder = Arc::new(Recorder {
            apply_time: self.apply_time,
            keep_last_only: self.keep_last_only,
            ..Recorder::default()
        });
        let link = Link {
            own: peer.clone(),
            network: Arc::clone(&self.network),
        };
        let machine: Arc<dyn state_machine::StateMachine> = Arc::<Recorder>::clone(&recorder);
        let link = Arc::new(link);
        let replica = replica::Replica::start_with_files(files, settings, machine, link).unwrap();
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

/// Waits until a condition holds; the limit only bounds a failing test.
pub async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..3_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting for: {what}");
}

pub fn leader(replicas: &[Running]) -> Option<Running> {
    let leads = |running: &&Running| running.replica.status().leads;
    replicas.iter().find(leads).cloned()
}

pub async fn await_leader(replicas: &[Running]) -> Running {
    wait_for("a leader", || leader(replicas).is_some()).await;
    leader(replicas).unwrap()
}

/// Proposes to the current leader until the payload is committed.
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

/// Starts a replica again once the lock of its folder is free.
pub async fn reopen(group: &Group, peer: &address::Peer) -> Running {
    let folder = group.folder(peer);
    wait_for("the folder's lock", || disk::Disk::lock(&folder).is_ok()).await;
    group.start(peer)
}

/// Disk in memory whose syncs can be made to fail.
#[derive(Debug, Clone, Default)]
pub struct FaultyDisk {
    files: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
    failing: Arc<AtomicBool>,
}

impl FaultyDisk {
    /// Makes every sync fail from now on.
    pub fn fail(&self) {
        self.failing.store(true, Ordering::SeqCst);
    }
}

impl files::Files for FaultyDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.files.lock().keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let found = self.files.lock().get(name).cloned();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut files = self.files.lock();
        files.entry(name.to_owned()).or_default().extend(bytes);
        Ok(())
    }

    fn sync(&mut self, _name: &str) -> io::Result<()> {
        if self.failing.load(Ordering::SeqCst) {
            return Err(io::Error::other("the device failed"));
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.files.lock();
        let content = files.remove(from).unwrap_or_default();
        files.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.lock().remove(name);
        Ok(())
    }
}

/// Waits until an asynchronous condition holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..1_500 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out waiting for: {what}");
}

/// Replaces an instance's lost replica by its new one, as an operator does.
pub async fn replace_replica(replicas: &[Running], instance: &id::Instance) {
    wait_until("the lost replica is out", async || match leader(replicas) {
        Some(leader) => leader.replica.remove_member(instance).await.is_ok(),
        None => false,
    })
    .await;
    wait_until("the new replica is added", async || {
        match leader(replicas) {
            Some(leader) => leader.replica.add_learner(instance).await.is_ok(),
            None => false,
        }
    })
    .await;
    wait_until("the new replica votes", async || match leader(replicas) {
        Some(leader) => leader.replica.promote(instance).await.is_ok(),
        None => false,
    })
    .await;
}
