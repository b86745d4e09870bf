//! Gossip between entries about the requests that they sent to engines.
//!
//! Without it, each entry would consider an engine idle to which all others have just sent
//! their prompts. A lost datagram costs a slightly worse choice, so nothing is repeated or
//! acknowledged.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::address;
use cranberrygap_routing::prompt::backlog;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time;

use crate::core;

use super::endpoints;

/// Time between two messages.
///
/// A prompt is read in about 70 ms. A message is half an interval old on average, which
/// keeps entries from choosing the same engine. A shorter interval would cost more traffic
/// between failure domains than the better choice is worth.
const SEND_INTERVAL: Duration = Duration::from_millis(150);

/// Largest message; one datagram carries it without fragmentation.
const MAX_MESSAGE_BYTES: usize = 1_400;

/// Engines in one message; more would not fit.
const MAX_ENGINES_PER_MESSAGE: usize = 90;

/// Other entries that are told of each prompt at once. Messages then grow with the number
/// of entries times this limit, rather than with its square.
const MAX_NOTICE_RECIPIENTS: usize = 15;

/// A message between two entries.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// The whole backlog that the entry caused at engines.
    #[serde(rename = "All")]
    Backlogs {
        sequence: u64,
        tallies: Vec<(u32, backlog::Backlog)>,
    },
    /// Prompts that the entry has just sent.
    #[serde(rename = "Sent")]
    Prompts(Vec<endpoints::Notice>),
}

/// The task that sends and receives gossip.
#[derive(Debug)]
pub(crate) struct Gossip {
    core: Arc<core::Core>,
    socket: UdpSocket,
    port: u16,
}

impl Gossip {
    /// Binds a socket at `wanted`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub(crate) async fn new(
        core: Arc<core::Core>,
        wanted: address::Socket,
    ) -> std::io::Result<Self> {
        Ok(Self {
            core,
            socket: UdpSocket::bind(wanted.0).await?,
            port: wanted.0.port(),
        })
    }

    /// Sends and receives gossip until the process stops.
    pub(crate) async fn run(self) {
        let mut ticker = time::interval(SEND_INTERVAL);
        ticker.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut sequence = 0;
        let mut sent_empty = false;
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        loop {
            tokio::select! {
                _ = ticker.tick() => {
                    sequence += 1;
                    let mut tallies = self.core.endpoints.own_backlogs();
                    tallies.truncate(MAX_ENGINES_PER_MESSAGE);
                    // An empty backlog stays valid until the next change, so it is sent
                    // only once.
                    if tallies.is_empty() && sent_empty {
                        continue;
                    }
                    sent_empty = tallies.is_empty();
                    self.send(&Message::Backlogs { sequence, tallies }, usize::MAX).await;
                }
                mut notices = self.core.endpoints.next_notices() => {
                    notices.truncate(MAX_ENGINES_PER_MESSAGE);
                    self.send(&Message::Prompts(notices), MAX_NOTICE_RECIPIENTS).await;
                }
                received = self.socket.recv_from(&mut buffer) => {
                    let Ok((length, from)) = received else {
                        continue;
                    };
                    self.handle_datagram(from, &buffer[..length]);
                }
            }
        }
    }

    async fn send(&self, message: &Message, max_recipients: usize) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return;
        };
        let Some(view) = self.core.view.latest() else {
            return;
        };
        let mut others = view.other_entry_addresses(self.core.instance());
        // Each entry starts elsewhere in the list, so that not all of them tell the same
        // few.
        let first = usize::try_from(self.core.boot.0).unwrap_or_default();
        let first = first.checked_rem(others.len()).unwrap_or_default();
        others.rotate_left(first);
        for other in others.into_iter().take(max_recipients) {
            let mut to = other.0;
            to.set_port(self.port);
            // A datagram that cannot be sent counts as lost.
            drop(self.socket.send_to(&bytes, to).await);
        }
    }

    fn handle_datagram(&self, from: std::net::SocketAddr, bytes: &[u8]) {
        let Ok(message) = postcard::from_bytes::<Message>(bytes) else {
            spdlog::debug!("gateway: dropped a malformed datagram from {from}");
            return;
        };
        let now = self.core.now();
        let from = address::Socket(from);
        let endpoints = &self.core.endpoints;
        match message {
            Message::Backlogs { sequence, tallies } => {
                endpoints.apply_backlogs(now, from, sequence, tallies);
            }
            Message::Prompts(notices) => endpoints.apply_notices(now, from, &notices),
        }
    }
}
