//! Replicas with real folders, joined within this process.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use cranberrygap_control::{log::Log as _, replica, state_machine, transport};
use cranberrygap_model::{address, id, number};
use parking_lot::Mutex;

/// Bytes of the state in a snapshot; a fleet of the planned size has a few
/// megabytes.
const STATE: usize = 1 << 20;

/// Counts what it applies.
#[derive(Debug, Default)]
pub(super) struct Counter(pub(super) AtomicU64);

impl state_machine::StateMachine for Counter {
    fn apply(&self, _index: number::Index, _payload: &[u8]) -> Bytes {
        self.0.fetch_add(1, Ordering::Relaxed);
        Bytes::new()
    }

    fn capture(&self) -> state_machine::Capture {
        let count = self.0.load(Ordering::Relaxed);
        Box::new(move || {
            let mut state = vec![0; STATE];
            state[..8].copy_from_slice(&count.to_le_bytes());
            Bytes::from(state)
        })
    }

    fn restore(&self, _index: number::Index, snapshot: &[u8]) -> Result<(), String> {
        let head = snapshot.first_chunk::<8>().ok_or("too short")?;
        self.0.store(u64::from_le_bytes(*head), Ordering::Relaxed);
        Ok(())
    }
}

type Receivers = Arc<Mutex<BTreeMap<id::Instance, Weak<replica::Replica>>>>;

/// Carries messages without a network.
#[derive(Debug)]
struct Line {
    own: address::Peer,
    receivers: Receivers,
}

impl transport::Transport for Line {
    fn send(&self, peer: &address::Peer, message: Bytes) {
        let receiver = self.receivers.lock().get(&peer.instance).cloned();
        if let Some(receiver) = receiver.and_then(|weak| weak.upgrade()) {
            receiver.deliver(&self.own, message);
        }
    }
}

/// Starts so many replicas; each has a folder under `root`.
pub(super) fn start(
    root: &Path,
    count: usize,
    snapshot_after: u64,
) -> eyre::Result<Vec<(Arc<replica::Replica>, Arc<Counter>)>> {
    let receivers = Receivers::default();
    let voters: Vec<address::Peer> = (1..=count).map(peer).collect();
    let mut replicas = Vec::new();
    for own in &voters {
        let settings = replica::Settings::builder()
            .own(own.clone())
            .voters(voters.clone())
            .folder(root.join(own.instance.as_str()))
            .snapshot_after(snapshot_after)
            .build();
        let counter = Arc::new(Counter::default());
        let machine: Arc<dyn state_machine::StateMachine> = Arc::<Counter>::clone(&counter);
        let line = Line {
            own: own.clone(),
            receivers: Arc::clone(&receivers),
        };
        let replica = replica::Replica::start(settings, machine, Arc::new(line))?;
        let weak = Arc::downgrade(&replica);
        receivers.lock().insert(own.instance.clone(), weak);
        replicas.push((replica, counter));
    }
    Ok(replicas)
}

/// Waits until one of them leads.
pub(super) async fn leader(
    replicas: &[(Arc<replica::Replica>, Arc<Counter>)],
) -> Arc<replica::Replica> {
    loop {
        let leads = replicas.iter().find(|(replica, _)| replica.status().leads);
        if let Some((found, _)) = leads {
            return Arc::clone(found);
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn peer(number: usize) -> address::Peer {
    let text = format!("control-{number}@127.0.0.1:{number}");
    text.parse().expect("a well-formed peer")
}
