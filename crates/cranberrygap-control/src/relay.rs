//! Passes on to the leader what endpoints say to a process that does not lead.
//!
//! Every endpoint sends a heartbeat each second or so, most of them without any news. Processes
//! that do not lead answer those calls and pass them on together, so that the leader's work for
//! an endpoint is a few bytes rather than a connection and a call.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_link::{client, error, server};
use cranberrygap_model::{address, duration};
use cranberrygap_wire::{endpoint, method, view};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::links;
use crate::proposer;

/// Time for which calls are gathered; an endpoint waits for its answer for a second.
const GATHER_TIME: Duration = Duration::from_millis(50);

/// Calls that are passed on together.
const MAX_BATCH: usize = 512;

/// Calls that may wait; endpoints of further ones are sent to another process.
const MAX_WAITING: usize = 4_096;

/// Time after which the leader counts as unreachable.
const ANSWER_TIMEOUT: duration::Span = duration::Span::from_millis(700);

/// What an endpoint said.
#[derive(Debug)]
pub(crate) enum Item {
    /// It is there, without news.
    Seen(view::Seen),
    /// It tells something new.
    Announced(Box<endpoint::Announcement>),
}

#[derive(Debug)]
struct Waiting {
    item: Item,
    answer: oneshot::Sender<Result<(), server::Fault>>,
}

/// Relay of one process.
#[derive(Debug)]
pub(crate) struct Relay {
    proposer: proposer::Proposer,
    links: Arc<links::Links>,
    connection: tokio::sync::Mutex<Option<(address::Peer, Arc<client::Client>)>>,
    sender: mpsc::Sender<Waiting>,
    receiver: Mutex<Option<mpsc::Receiver<Waiting>>>,
}

impl Relay {
    /// Creates a relay that [`Self::run`] starts.
    pub(crate) fn new(proposer: proposer::Proposer, links: Arc<links::Links>) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        Self {
            proposer,
            links,
            connection: tokio::sync::Mutex::new(None),
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }

    /// Passes on what an endpoint said, and returns once the leader has recorded it.
    ///
    /// # Errors
    ///
    /// A fault when the leader is not known or did not answer; the endpoint should call another
    /// process.
    pub(crate) async fn pass_on(&self, item: Item) -> Result<(), server::Fault> {
        let (answer, answered) = oneshot::channel();
        if self.sender.try_send(Waiting { item, answer }).is_err() {
            return Err(unavailable("too many calls wait for the leader"));
        }
        let answered = answered.await;
        answered.unwrap_or_else(|_dropped| Err(unavailable("this control process stops")))
    }

    /// Passes calls on until the process stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let Some(mut receiver) = self.receiver.lock().take() else {
            return;
        };
        while let Some(first) = receiver.recv().await {
            tokio::time::sleep(GATHER_TIME).await;
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH
                && let Ok(next) = receiver.try_recv()
            {
                batch.push(next);
            }
            let relay = Arc::clone(&self);
            tokio::spawn(async move { relay.send(batch).await });
        }
    }

    async fn send(&self, batch: Vec<Waiting>) {
        let mut heard = view::Heard {
            seen: Vec::new(),
            announcements: Vec::new(),
        };
        let mut answers = Vec::with_capacity(batch.len());
        for Waiting { item, answer } in batch {
            match item {
                Item::Seen(seen) => heard.seen.push(seen),
                Item::Announced(announcement) => heard.announcements.push(*announcement),
            }
            answers.push(answer);
        }
        let result = self.call_leader(&heard).await;
        if let Err(fault) = &result {
            spdlog::info!(
                "relay: {} calls of endpoints did not reach the leader: {}",
                answers.len(),
                fault.message
            );
        }
        for answer in answers {
            // Fails if the endpoint no longer waits.
            drop(answer.send(result.clone()));
        }
    }

    async fn call_leader(&self, heard: &view::Heard) -> Result<(), server::Fault> {
        let leader = self.proposer.status().leader;
        let leader = leader.ok_or_else(|| unavailable("no leader is known"))?;
        let client = self.connection_to(&leader).await;
        let client = client.map_err(|cause| unavailable(&cause.to_string()))?;
        let called = client.call(method::ENDPOINTS_HEARD, heard, ANSWER_TIMEOUT);
        match called.await {
            Ok(()) => Ok(()),
            Err(cause) => {
                // A connection that lost an answer may be dead without a sign.
                if !matches!(cause, error::Error::Refused { .. }) {
                    self.connection.lock().await.take();
                }
                Err(unavailable(&cause.to_string()))
            }
        }
    }

    async fn connection_to(
        &self,
        leader: &address::Peer,
    ) -> Result<Arc<client::Client>, error::Error> {
        let mut connection = self.connection.lock().await;
        if let Some((peer, client)) = &*connection
            && peer == leader
            && !client.is_closed()
        {
            return Ok(Arc::clone(client));
        }
        let client = Arc::new(self.links.connect(leader).await?);
        *connection = Some((leader.clone(), Arc::clone(&client)));
        Ok(client)
    }
}

fn unavailable(message: &str) -> server::Fault {
    server::Fault::new(method::NO_QUORUM, message)
}
