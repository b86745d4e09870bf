//! Transport of the agreement protocol over authenticated links.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use cranberrygap_link::{client, compression, credential, server, traffic};
use cranberrygap_model::{address, duration};
use cranberrygap_wire::method;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::replica;
use crate::transport;

/// Messages that may wait for one peer; further ones are dropped, and the protocol resends.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Messages in flight to one peer.
const MAX_IN_FLIGHT_MESSAGES: usize = 32;

/// Peers that are remembered; more than a group ever has, also during membership changes.
const MAX_PEERS: usize = 32;

/// Time after which a message counts as lost. Longer than a full disk queue takes, far shorter than
/// a middlebox takes to forget a connection.
const MESSAGE_TIMEOUT: duration::Span = duration::Span::from_secs(2);

/// Pause after a failed connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Message as it is sent over a link, encoded as base64 because the link carries JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Packet {
    from: address::Peer,
    message: String,
    /// Whether the message is compressed; base64 hides what would make the packet smaller.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    compressed: bool,
}

/// Reason why a packet cannot be read.
#[derive(Debug, thiserror::Error)]
enum Malformed {
    #[error("a message is not base64: {0}")]
    Encoding(#[from] base64::DecodeError),
    #[error("a message cannot be decompressed: {0}")]
    Content(#[from] std::io::Error),
}

impl Packet {
    fn new(from: address::Peer, message: &[u8], peer_decompresses: bool) -> Self {
        let compressed = peer_decompresses
            .then(|| compression::compress(message))
            .flatten();
        let content = compressed.as_deref().unwrap_or(message);
        Self {
            from,
            message: base64::Engine::encode(&base64::prelude::BASE64_STANDARD, content),
            compressed: compressed.is_some(),
        }
    }

    fn read(&self) -> Result<Bytes, Malformed> {
        let content = base64::Engine::decode(&base64::prelude::BASE64_STANDARD, &self.message)?;
        if self.compressed {
            return Ok(Bytes::from(compression::decompress(&content)?));
        }
        Ok(Bytes::from(content))
    }
}

/// Links to all peers; each is opened for its first message.
#[derive(Debug)]
pub struct Links {
    own: address::Peer,
    configured_peers: Vec<address::Peer>,
    secret: credential::Holder,
    meter: Arc<traffic::Meter>,
    queues: Mutex<BTreeMap<address::Peer, mpsc::Sender<Bytes>>>,
    weak_self: Weak<Self>,
}

impl Links {
    /// Creates links from `own`, whose traffic `meter` counts; must be used within tokio.
    ///
    /// An instance in `configured` is reached at the address there, any other at its address in the
    /// group's membership, which is the one that the founder uses.
    #[must_use]
    pub fn new(
        own: address::Peer,
        configured: Vec<address::Peer>,
        secret: credential::Secret,
        meter: Arc<traffic::Meter>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|weak| Self {
            own,
            configured_peers: configured,
            secret: credential::Holder::new(secret),
            meter,
            queues: Mutex::default(),
            weak_self: Weak::clone(weak),
        })
    }

    /// The meter of these links.
    pub(crate) const fn meter(&self) -> &Arc<traffic::Meter> {
        &self.meter
    }

    /// Replaces the secret that is presented from the next connection on.
    pub fn replace_secret(&self, secret: credential::Secret) {
        self.secret.replace(secret);
    }

    /// Connects to another control process.
    ///
    /// # Errors
    ///
    /// The process cannot be reached or is not authentic.
    pub(crate) async fn connect(
        &self,
        peer: &address::Peer,
    ) -> Result<client::Client, cranberrygap_link::error::Error> {
        let role = credential::Role::Fleet;
        let address = self.resolve(peer).address;
        let secret = self.secret.current();
        client::Client::connect_metered(address, role, &secret, &self.meter).await
    }

    fn resolve(&self, peer: &address::Peer) -> address::Peer {
        let mut configured = self.configured_peers.iter();
        let configured = configured.find(|configured| configured.instance == peer.instance);
        configured.unwrap_or(peer).clone()
    }

    fn queue_to(&self, peer: &address::Peer) -> Option<mpsc::Sender<Bytes>> {
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get(peer) {
            return Some(queue.clone());
        }
        if queues.len() >= MAX_PEERS {
            return None;
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let link = PeerLink {
            links: Weak::clone(&self.weak_self),
            own: self.own.clone(),
            peer: peer.clone(),
            receiver,
        };
        tokio::spawn(link.run());
        queues.insert(peer.clone(), sender.clone());
        Some(sender)
    }
}

impl transport::Transport for Links {
    fn send(&self, peer: &address::Peer, message: Bytes) {
        if let Some(queue) = self.queue_to(&self.resolve(peer)) {
            // Fails if the queue is full; the protocol sends the message again.
            drop(queue.try_send(message));
        }
    }
}

/// Link to one peer, which lives until the process stops.
struct PeerLink {
    links: Weak<Links>,
    own: address::Peer,
    peer: address::Peer,
    receiver: mpsc::Receiver<Bytes>,
}

impl PeerLink {
    async fn run(mut self) {
        loop {
            let Some(links) = self.links.upgrade() else {
                return;
            };
            let (secret, meter) = (links.secret.current(), Arc::clone(&links.meter));
            drop(links);
            let role = credential::Role::Fleet;
            let connecting =
                client::Client::connect_metered(self.peer.address, role, &secret, &meter);
            match connecting.await {
                Ok(client) => self.send_messages(&client).await,
                Err(cause) => {
                    spdlog::debug!("agreement: could not connect to {}: {cause}", self.peer);
                    // The queued messages are outdated by now; the protocol sends newer ones.
                    while self.receiver.try_recv().is_ok() {}
                }
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
            if self.receiver.is_closed() {
                return;
            }
        }
    }

    /// Sends messages until the connection fails. A call that times out may mean a dead connection,
    /// so the connection is closed.
    async fn send_messages(&mut self, client: &client::Client) {
        let mut in_flight = FuturesUnordered::new();
        loop {
            tokio::select! {
                message = self.receiver.recv(), if in_flight.len() < MAX_IN_FLIGHT_MESSAGES => {
                    let Some(message) = message else {
                        return;
                    };
                    let packet = Packet::new(self.own.clone(), &message, client.compresses());
                    in_flight.push(async move {
                        client.call::<_, ()>(method::AGREEMENT, &packet, MESSAGE_TIMEOUT).await
                    });
                }
                Some(outcome) = in_flight.next() => {
                    if let Err(cause) = outcome {
                        spdlog::debug!("agreement: lost the connection to {}: {cause}", self.peer);
                        return;
                    }
                }
            }
        }
    }
}

/// Registers the method that passes messages of other control processes to `replica`.
#[must_use]
pub(crate) fn register(
    builder: server::Builder,
    replica: &Arc<replica::Replica>,
) -> server::Builder {
    let replica = Arc::clone(replica);
    let role = credential::Role::Fleet;
    builder.method(method::AGREEMENT, role, move |packet: Packet| {
        let replica = Arc::clone(&replica);
        async move {
            let message = packet
                .read()
                .map_err(|cause| server::Fault::new(method::REFUSED, cause.to_string()))?;
            replica.deliver(&packet.from, message);
            Ok(())
        }
    })
}
