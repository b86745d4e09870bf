//! Replica of the log: runs the agreement protocol on a disk, a network and a clock.
//!
//! [`Replica`] is a handle; the protocol runs in a task, disk writes in a thread. All proposals and
//! messages that arrive during a sync go into the next one (group commit).

mod directory;
mod dump;
mod error;
mod group_status;
mod published;
mod request;
mod settings;
mod task;
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
pub use group_status::GroupStatus;
pub use settings::{SNAPSHOT_BYTES, Settings};

use crate::{log, state_machine, transport};

/// Requests that may wait for the protocol's task. Further messages are dropped, which the protocol
/// tolerates; further proposals wait.
const MAX_QUEUED_REQUESTS: usize = 8_192;

/// Longest time that a proposal waits for its commit. A leader without quorum steps down much
/// earlier; this bounds the wait for a disk that hangs.
const COMMIT_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Handle to the replica that runs in this process.
#[derive(Debug)]
pub struct Replica {
    requests: mpsc::Sender<request::Request>,
    published: Arc<RwLock<published::Published>>,
    clock: clock::Clock,
    max_proposal_bytes: usize,
}

impl Replica {
    /// Opens the data folder and starts the protocol; must be called within tokio.
    ///
    /// # Errors
    ///
    /// The folder is damaged, belongs to another instance, is in use, or holds a snapshot that the
    /// state machine rejects.
    pub fn start(
        settings: Settings,
        state_machine: Arc<dyn state_machine::StateMachine>,
        transport: Arc<dyn transport::Transport>,
    ) -> Result<Arc<Self>, Error> {
        let disk = disk::Disk::lock(&settings.folder)?;
        Self::start_with_files(Box::new(disk), settings, state_machine, transport)
    }

    /// Starts the protocol on any implementation of [`files::Files`].
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn start_with_files(
        files: Box<dyn files::Files>,
        settings: Settings,
        state_machine: Arc<dyn state_machine::StateMachine>,
        transport: Arc<dyn transport::Transport>,
    ) -> Result<Arc<Self>, Error> {
        let new_id = cranberrygap_agreement::replica::Id(random()?);
        let instance = settings.own.instance.clone();
        let (folder, recovered) = folder::Folder::open(files, &instance, new_id)?;
        if recovered.truncated_bytes > 0 {
            spdlog::warn!(
                "storage: cut a torn tail of {} bytes",
                recovered.truncated_bytes
            );
        }
        if let Some(snapshot) = &recovered.snapshot {
            let restored = state_machine.restore(snapshot.position.index, &snapshot.data);
            restored.map_err(Error::Restore)?;
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let (writer, done) = writer::start(folder)?;
        let clock = clock::Clock::start();
        let published = Arc::new(RwLock::new(published::Published::default()));
        let max_proposal_bytes = settings.limits.proposal_bytes;
        let environment = task::Environment {
            settings,
            state_machine,
            transport,
            clock,
            published: Arc::clone(&published),
            writer,
            seed: random()?,
        };
        let task = task::Task::new(environment, recovered);
        tokio::spawn(task.run(receiver, done));
        Ok(Arc::new(Self {
            requests: sender,
            published,
            clock,
            max_proposal_bytes,
        }))
    }

    /// Passes a message from the control process `from` to the protocol.
    ///
    /// The message is dropped if too many wait; the protocol sends it again.
    pub fn deliver(&self, from: &address::Peer, message: Bytes) {
        let from = from.clone();
        let request = request::Request::Deliver { from, message };
        // Sending fails only if the queue is full or closed; in both cases the message is dropped.
        drop(self.requests.try_send(request));
    }

    /// Transfers leadership to another voter, for a planned stop.
    ///
    /// Returns once this replica no longer leads.
    ///
    /// # Errors
    ///
    /// No other voter could take over.
    pub async fn transfer_leadership(&self) -> Result<(), Error> {
        self.send_request(request::Request::Transfer).await
    }

    /// Adds a replica that has presented itself, as a learner.
    ///
    /// # Errors
    ///
    /// The change is refused, this replica does not lead, or the outcome is not known.
    pub async fn add_learner(&self, instance: &id::Instance) -> Result<(), Error> {
        self.change_by_instance(request::Change::AddLearner, instance)
            .await
    }

    /// Promotes a learner that has caught up to a voter.
    ///
    /// # Errors
    ///
    /// The change is refused, this replica does not lead, or the outcome is not known.
    pub async fn promote(&self, instance: &id::Instance) -> Result<(), Error> {
        self.change_by_instance(request::Change::Promote, instance)
            .await
    }

    /// Removes the voter of this instance, or its learner if it has no voter.
    ///
    /// # Errors
    ///
    /// The change is refused, this replica does not lead, or the outcome is not known.
    pub async fn remove_member(&self, instance: &id::Instance) -> Result<(), Error> {
        self.change_by_instance(request::Change::Remove, instance)
            .await
    }

    /// Returns the group's members and newcomers if this replica leads.
    pub async fn group_status(&self) -> Option<GroupStatus> {
        let (reply, response) = oneshot::channel();
        let request = request::Request::GroupStatus(reply);
        self.requests.send(request).await.ok()?;
        response.await.ok().flatten()
    }

    /// Changes the membership by replica id.
    ///
    /// # Errors
    ///
    /// The change is refused, this replica does not lead, or the outcome is not known.
    pub async fn change_membership(&self, change: change::Change) -> Result<(), Error> {
        self.send_request(|reply| request::Request::ChangeById(change, reply))
            .await
    }

    /// Returns the replica's state as JSON.
    pub async fn dump(&self) -> serde_json::Value {
        let (reply, response) = oneshot::channel();
        drop(self.requests.send(request::Request::Dump(reply)).await);
        response.await.unwrap_or(serde_json::Value::Null)
    }

    /// Stops the protocol; everything durable stays on disk.
    pub async fn stop(&self) {
        let (reply, response) = oneshot::channel();
        drop(self.requests.send(request::Request::Stop(reply)).await);
        drop(response.await);
    }

    /// Returns why the replica stopped taking part in the protocol, if it did.
    #[must_use]
    pub fn failure(&self) -> Option<String> {
        self.published.read().failure.clone()
    }

    async fn change_by_instance(
        &self,
        change: request::Change,
        instance: &id::Instance,
    ) -> Result<(), Error> {
        let instance = instance.clone();
        let build = |reply| request::Request::ChangeByInstance {
            change,
            instance,
            reply,
        };
        self.send_request(build).await
    }

    async fn send_request(
        &self,
        build: impl FnOnce(oneshot::Sender<Result<(), Error>>) -> request::Request,
    ) -> Result<(), Error> {
        let (reply, response) = oneshot::channel();
        let queued = self.requests.send(build(reply)).await;
        queued.map_err(|_closed| Error::Stopping)?;
        match tokio::time::timeout(COMMIT_TIMEOUT, response).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(Error::Unknown),
        }
    }

    async fn propose_payload(&self, payload: Bytes) -> Result<log::Committed, log::Error> {
        if payload.len() > self.max_proposal_bytes {
            return Err(log::Error::TooLarge {
                size: payload.len(),
                limit: self.max_proposal_bytes,
            });
        }
        let (reply, response) = oneshot::channel();
        let request = request::Request::Propose { payload, reply };
        let queued = self.requests.send(request).await;
        queued.map_err(|_closed| log::Error::Stopping)?;
        match tokio::time::timeout(COMMIT_TIMEOUT, response).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(log::Error::Unknown),
        }
    }
}

impl log::Log for Replica {
    fn propose(&self, payload: Bytes) -> BoxFuture<'_, Result<log::Committed, log::Error>> {
        Box::pin(self.propose_payload(payload))
    }

    fn status(&self) -> log::Status {
        // The lease is compared with the clock on each call, so a process that was suspended does
        // not consider itself the leader.
        self.published.read().status(self.clock.now())
    }
}

fn random() -> Result<u64, Error> {
    getrandom::u64().map_err(|cause| Error::Random(cause.to_string()))
}
