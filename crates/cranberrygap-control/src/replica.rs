//! One replica of the log: the agreement protocol with disk, network and clock.
//!
//! [`Replica`] is a handle; the protocol runs in a task, the disk in a thread.
//! All proposals and messages that arrive while a sync is under way go into the
//! next one (group commit).

mod core;
mod dump;
mod error;
mod formation;
mod published;
mod request;
mod settings;
mod standing;
mod waiters;
mod writer;

use std::sync::Arc;
use std::time;

use bytes::Bytes;
use cranberrygap_agreement::change;
use cranberrygap_link::clock;
use cranberrygap_model::{address, id};
use cranberrygap_storage::{disk, files, folder};
use futures_util::future::BoxFuture;
use parking_lot::RwLock;
use tokio::sync::{mpsc, oneshot};

pub use error::Error;
pub use settings::{SNAPSHOT_BYTES, Settings};
pub use standing::Standing;

use crate::{log, state_machine, transport};

/// Requests that may wait for the protocol's task. Messages beyond it are
/// dropped, which the protocol repairs; proposals wait.
const INBOX: usize = 8_192;

/// How long a proposal waits for its commit. A leader without quorum steps down
/// much earlier; this bounds the wait behind a disk that hangs.
const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// A handle on the replica that runs in this process.
#[derive(Debug)]
pub struct Replica {
    inbox: mpsc::Sender<request::Request>,
    published: Arc<RwLock<published::Published>>,
    clock: clock::Clock,
    limit: usize,
}

impl Replica {
    /// Opens the folder and starts the protocol; must be called within tokio.
    ///
    /// # Errors
    ///
    /// The folder is damaged, belongs to another instance, is in use, or holds a
    /// snapshot that the state machine does not take.
    pub fn start(
        settings: Settings,
        machine: Arc<dyn state_machine::StateMachine>,
        transport: Arc<dyn transport::Transport>,
    ) -> Result<Arc<Self>, Error> {
        let disk = disk::Disk::lock(&settings.folder)?;
        Self::start_on(Box::new(disk), settings, machine, transport)
    }

    /// Starts the protocol on files that need not be in a real folder.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn start_on(
        files: Box<dyn files::Files>,
        settings: Settings,
        machine: Arc<dyn state_machine::StateMachine>,
        transport: Arc<dyn transport::Transport>,
    ) -> Result<Arc<Self>, Error> {
        let drawn = cranberrygap_agreement::replica::Id(random()?);
        let instance = settings.own.instance.clone();
        let (folder, recovered) = folder::Folder::open(files, &instance, drawn)?;
        if recovered.cut > 0 {
            spdlog::warn!("storage: cut a torn tail of {} bytes", recovered.cut);
        }
        if let Some(snapshot) = &recovered.snapshot {
            let restored = machine.restore(snapshot.position.index, &snapshot.data);
            restored.map_err(Error::Restore)?;
        }
        let (inbox, requests) = mpsc::channel(INBOX);
        let (writer, done) = writer::start(folder)?;
        let clock = clock::Clock::start();
        let published = Arc::new(RwLock::new(published::Published::default()));
        let limit = settings.limits.proposal_bytes;
        let parts = core::Parts {
            settings,
            machine,
            transport,
            clock,
            published: Arc::clone(&published),
            writer,
            seed: random()?,
        };
        let core = core::Core::new(parts, recovered);
        tokio::spawn(core.run(requests, done));
        Ok(Arc::new(Self {
            inbox,
            published,
            clock,
            limit,
        }))
    }

    /// Takes a message that another control process sent; `from` is the sender.
    ///
    /// A message is dropped if too many wait; the protocol sends it again.
    pub fn deliver(&self, from: &address::Peer, message: Bytes) {
        let from = from.clone();
        let request = request::Request::Deliver { from, message };
        // The only failures are a full or a closed inbox; both mean dropping.
        drop(self.inbox.try_send(request));
    }

    /// Hands leadership to another voter, for a planned stop.
    ///
    /// Returns when this replica does not lead any more.
    ///
    /// # Errors
    ///
    /// No other voter could take over.
    pub async fn transfer(&self) -> Result<(), Error> {
        self.ask(request::Request::Transfer).await
    }

    /// Adds a replica that presented itself as a learner.
    ///
    /// # Errors
    ///
    /// Refused, not the leader, or the outcome is not known.
    pub async fn add_learner(&self, instance: &id::Instance) -> Result<(), Error> {
        self.change(request::Change::AddLearner, instance).await
    }

    /// Makes a learner that has caught up a voter.
    ///
    /// # Errors
    ///
    /// Refused, not the leader, or the outcome is not known.
    pub async fn promote(&self, instance: &id::Instance) -> Result<(), Error> {
        self.change(request::Change::Promote, instance).await
    }

    /// Takes a voter out, or a learner if no voter has this name.
    ///
    /// # Errors
    ///
    /// Refused, not the leader, or the outcome is not known.
    pub async fn remove(&self, instance: &id::Instance) -> Result<(), Error> {
        self.change(request::Change::Remove, instance).await
    }

    /// Who belongs to the group and who presents itself, if this replica leads.
    pub async fn standing(&self) -> Option<Standing> {
        let (answer, answered) = oneshot::channel();
        let request = request::Request::Standing(answer);
        self.inbox.send(request).await.ok()?;
        answered.await.ok().flatten()
    }

    /// Changes the membership by replica id.
    ///
    /// # Errors
    ///
    /// Refused, not the leader, or the outcome is not known.
    pub async fn alter(&self, change: change::Change) -> Result<(), Error> {
        self.ask(|answer| request::Request::Alter(change, answer))
            .await
    }

    /// The replica's whole state.
    pub async fn dump(&self) -> serde_json::Value {
        let (answer, answered) = oneshot::channel();
        drop(self.inbox.send(request::Request::Dump(answer)).await);
        answered.await.unwrap_or(serde_json::Value::Null)
    }

    /// Stops the protocol; what is durable stays.
    pub async fn stop(&self) {
        let (answer, answered) = oneshot::channel();
        drop(self.inbox.send(request::Request::Stop(answer)).await);
        drop(answered.await);
    }

    /// Why the replica stopped taking part, if it did.
    #[must_use]
    pub fn failure(&self) -> Option<String> {
        self.published.read().failure.clone()
    }

    async fn change(&self, change: request::Change, instance: &id::Instance) -> Result<(), Error> {
        let instance = instance.clone();
        let build = |answer| request::Request::Change {
            change,
            instance,
            answer,
        };
        self.ask(build).await
    }

    async fn ask(
        &self,
        build: impl FnOnce(oneshot::Sender<Result<(), Error>>) -> request::Request,
    ) -> Result<(), Error> {
        let (answer, answered) = oneshot::channel();
        let sent = self.inbox.send(build(answer)).await;
        sent.map_err(|_closed| Error::Stopping)?;
        match tokio::time::timeout(PATIENCE, answered).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(Error::Unknown),
        }
    }

    async fn put(&self, payload: Bytes) -> Result<log::Committed, log::Error> {
        if payload.len() > self.limit {
            return Err(log::Error::TooLarge { limit: self.limit });
        }
        let (answer, answered) = oneshot::channel();
        let request = request::Request::Propose { payload, answer };
        let sent = self.inbox.send(request).await;
        sent.map_err(|_closed| log::Error::Stopping)?;
        match tokio::time::timeout(PATIENCE, answered).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(log::Error::Unknown),
        }
    }
}

impl log::Log for Replica {
    fn propose(&self, payload: Bytes) -> BoxFuture<'_, Result<log::Committed, log::Error>> {
        Box::pin(self.put(payload))
    }

    fn status(&self) -> log::Status {
        // The lease is compared with the clock at this very moment, so that a
        // process that slept does not take itself for the leader.
        self.published.read().status(self.clock.now())
    }
}

fn random() -> Result<u64, Error> {
    getrandom::u64().map_err(|cause| Error::Random(cause.to_string()))
}
