//! Replicated state of this process, and its updates for subscribers.

use std::sync::Arc;

use bytes::Bytes;
use cranberrygap_link::compression;
use cranberrygap_model::number;
use cranberrygap_state::{answer, command, fleet};
use cranberrygap_wire::view;
use parking_lot::{Mutex, RwLock};
use tokio::sync::broadcast;

use crate::encoded;
use crate::metric;
use crate::recent;
use crate::state_machine;

/// Updates that a slow subscriber may be behind before it gets a new snapshot.
const MAX_BUFFERED_UPDATES: usize = 1_024;

/// Least size of a proposal that is compressed: once for all replicas and the disk, in place of
/// once for each message that carries it.
const MIN_PACKED_BYTES: usize = 4 << 10;

/// Largest size of a proposal that is compressed. What is larger is for the log to refuse by its
/// size, since applying it takes time by the size of its JSON.
const MAX_PACKED_BYTES: usize = 512 << 10;

/// Reason why a proposal of the log cannot be read.
#[derive(Debug, thiserror::Error)]
enum Malformed {
    #[error("it cannot be decompressed: {0}")]
    Content(#[from] std::io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Update of the state.
#[derive(Debug, Clone)]
pub enum Update {
    /// Changes that lead to a revision.
    Changed(number::Revision, Arc<Vec<Arc<encoded::Change>>>),
    /// The state was replaced by a leader's snapshot.
    Replaced,
}

/// State machine with the state up to the last entry that this process knows to be committed.
#[derive(Debug)]
pub struct State {
    fleet: RwLock<fleet::Fleet>,
    updates: broadcast::Sender<Update>,
    /// Recent updates; changed only while `fleet` is locked for writing.
    recent: Mutex<recent::Updates>,
    metrics: metric::Recorder,
}

impl State {
    /// Creates an empty state.
    #[must_use]
    pub fn new(metrics: metric::Recorder) -> Self {
        Self {
            metrics,
            fleet: RwLock::default(),
            updates: broadcast::Sender::new(MAX_BUFFERED_UPDATES),
            recent: Mutex::default(),
        }
    }

    /// Calls `work` with the state; `work` must be short, since no entry is applied meanwhile.
    pub fn read<R>(&self, work: impl FnOnce(&fleet::Fleet) -> R) -> R {
        work(&self.fleet.read())
    }

    /// Returns a snapshot of the view and a receiver of all later updates.
    #[must_use]
    pub fn subscribe(&self) -> (view::Frame, broadcast::Receiver<Update>) {
        let fleet = self.fleet.read();
        let update = self.updates.subscribe();
        let frame = view::Frame::Snapshot {
            revision: fleet.view_revision,
            state: fleet.view(),
        };
        drop(fleet);
        (frame, update)
    }

    /// Returns the updates that a view lacks which is at `revision` of the history that began at
    /// `founded`, and a receiver of all later ones; `None` if some are not kept any more.
    #[must_use]
    pub fn resume(
        &self,
        founded: u64,
        revision: number::Revision,
    ) -> Option<(Vec<recent::Update>, broadcast::Receiver<Update>)> {
        let fleet = self.fleet.read();
        let is_known = fleet.founded == Some(founded) && revision <= fleet.view_revision;
        let recent = self.recent.lock();
        let missed = recent.after(revision).filter(|_| is_known)?;
        Some((missed.cloned().collect(), self.updates.subscribe()))
    }

    /// Returns the number of control processes besides one.
    #[must_use]
    pub fn other_controls(&self) -> usize {
        let fleet = self.fleet.read();
        let members = fleet.members.iter();
        let controls = members.filter(|member| {
            member.role == view::Role::Control && member.phase != view::Phase::Left
        });
        controls.count().saturating_sub(1)
    }

    /// Returns the number of subscribers.
    #[must_use]
    pub fn subscribers(&self) -> usize {
        self.updates.receiver_count()
    }

    /// Returns the revision of the last change that an entry must have to get a lease.
    #[must_use]
    pub fn binding_revision(&self) -> number::Revision {
        self.fleet.read().binding_revision
    }

    /// Returns the revision of the last change of the view.
    #[must_use]
    pub fn view_revision(&self) -> number::Revision {
        self.fleet.read().view_revision
    }
}

impl Default for State {
    fn default() -> Self {
        Self::new(metric::Recorder::none())
    }
}

impl state_machine::StateMachine for State {
    fn apply(&self, index: number::Index, payload: &[u8]) -> Bytes {
        self.metrics
            .measure(metric::Work::Apply, || self.apply_payload(index, payload))
    }

    fn capture(&self) -> state_machine::Capture {
        let fleet = self.fleet.read().clone();
        let metrics = self.metrics.clone();
        Box::new(move || {
            let snapshot = || Bytes::from(fleet.snapshot());
            metrics.measure(metric::Work::Snapshot, snapshot)
        })
    }

    fn restore(&self, _index: number::Index, snapshot: &[u8]) -> Result<(), String> {
        let restored = fleet::Fleet::restore(snapshot).map_err(|cause| cause.to_string())?;
        let mut fleet = self.fleet.write();
        *fleet = restored;
        *self.recent.lock() = recent::Updates::starting_after(fleet.view_revision);
        drop(self.updates.send(Update::Replaced));
        Ok(())
    }
}

impl State {
    fn apply_payload(&self, index: number::Index, payload: &[u8]) -> Bytes {
        let answer = match decode(payload) {
            Ok(proposal) => {
                let subject = proposal.command.subject();
                self.metrics.count(metric::STEPS, subject, 1);
                let mut fleet = self.fleet.write();
                let (answer, changes) = fleet.apply(index, &proposal);
                if !changes.is_empty() {
                    let changes = changes
                        .into_iter()
                        .map(|change| Arc::new(encoded::Change::new(change)));
                    let update = recent::Update {
                        revision: fleet.view_revision,
                        changes: Arc::new(changes.collect()),
                    };
                    self.recent.lock().push(update.clone());
                    let update = Update::Changed(update.revision, update.changes);
                    // The update is sent under the lock, so that no subscriber misses it. Sending
                    // fails only if there are no subscribers.
                    drop(self.updates.send(update));
                }
                answer
            }
            // A replica of an older version does not know the command. If it skipped the command,
            // the replicas would diverge unnoticed.
            Err(cause) => panic!("the log holds a command that this version cannot read: {cause}"),
        };
        Bytes::from(serde_json::to_vec(&answer).expect("answers have text keys only"))
    }
}

/// Encodes a proposal for the log.
///
/// # Panics
///
/// Never; commands have text keys only.
#[must_use]
pub fn encode(proposal: &command::Proposal) -> Bytes {
    let json = serde_json::to_vec(proposal).expect("commands have text keys only");
    let is_packed = (MIN_PACKED_BYTES..=MAX_PACKED_BYTES).contains(&json.len());
    let packed = is_packed.then(|| compression::compress(&json)).flatten();
    Bytes::from(packed.unwrap_or(json))
}

/// Decodes what [`encode`] returned.
fn decode(payload: &[u8]) -> Result<command::Proposal, Malformed> {
    if payload.first() == Some(&b'{') {
        return Ok(serde_json::from_slice(payload)?);
    }
    Ok(serde_json::from_slice(&compression::decompress(payload)?)?)
}

/// Decodes the answer of [`state_machine::StateMachine::apply`].
///
/// # Panics
///
/// When the bytes are not an answer, which `apply` rules out.
#[must_use]
pub fn decode_answer(bytes: &[u8]) -> answer::Answer {
    serde_json::from_slice(bytes).expect("the state machine answers in this form")
}
