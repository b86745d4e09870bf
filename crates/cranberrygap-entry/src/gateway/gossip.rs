//! Entries tell each other what they have sent to the engines.
//!
//! Without it each entry would take an engine for idle to which all others have
//! just sent their prompts. A lost datagram costs a slightly worse choice, so
//! nothing is repeated or acknowledged.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::address;
use cranberrygap_routing::prompt::backlog;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time;

use crate::core;

use super::endpoints;

/// Time between two messages. A prompt is read in about 70 ms; half that age on
/// average is what keeps entries from choosing the same engine. Shorter would cost
/// more bytes between failure domains than the better choice earns.
const PERIOD: Duration = Duration::from_millis(150);

/// Largest message, which one datagram carries without being cut.
const LARGEST: usize = 1_400;

/// Engines in one message; more would not fit.
const MOST_ENGINES: usize = 90;

/// Other entries that are told of each prompt at once. Messages grow with the entries
/// times this number rather than with the square of the entries.
const MOST_TOLD: usize = 15;

/// What one entry tells another.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// All that waits at engines because of it.
    All {
        sequence: u64,
        tallies: Vec<(u32, backlog::Backlog)>,
    },
    /// Prompts that it has just sent.
    Sent(Vec<endpoints::Notice>),
}

/// The task that tells and hears.
#[derive(Debug)]
pub(crate) struct Gossip {
    core: Arc<core::Core>,
    socket: UdpSocket,
    port: u16,
}

impl Gossip {
    /// Listens at `wanted`.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
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

    /// Tells and hears until the process stops.
    pub(crate) async fn run(self) {
        let mut ticker = time::interval(PERIOD);
        ticker.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut sequence = 0;
        let mut silent = false;
        let mut buffer = [0; LARGEST];
        loop {
            tokio::select! {
                _ = ticker.tick() => {
                    sequence += 1;
                    let mut tallies = self.core.endpoints.own();
                    tallies.truncate(MOST_ENGINES);
                    // Said once, that nothing is left counts for the next ones too.
                    if tallies.is_empty() && silent {
                        continue;
                    }
                    silent = tallies.is_empty();
                    self.tell(&Message::All { sequence, tallies }, usize::MAX).await;
                }
                mut notices = self.core.endpoints.notices() => {
                    notices.truncate(MOST_ENGINES);
                    self.tell(&Message::Sent(notices), MOST_TOLD).await;
                }
                received = self.socket.recv_from(&mut buffer) => {
                    let Ok((length, from)) = received else {
                        continue;
                    };
                    self.hear(from, &buffer[..length]);
                }
            }
        }
    }

    async fn tell(&self, message: &Message, most: usize) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return;
        };
        let Some(view) = self.core.view.latest() else {
            return;
        };
        let mut others = view.others(self.core.instance());
        // Each begins elsewhere, so that not all tell the same few.
        let begin = usize::try_from(self.core.boot.0).unwrap_or_default();
        let begin = begin.checked_rem(others.len()).unwrap_or_default();
        others.rotate_left(begin);
        for other in others.into_iter().take(most) {
            let mut to = other.0;
            to.set_port(self.port);
            // A datagram that is not sent is as good as a lost one.
            drop(self.socket.send_to(&bytes, to).await);
        }
    }

    fn hear(&self, from: std::net::SocketAddr, bytes: &[u8]) {
        let Ok(message) = postcard::from_bytes::<Message>(bytes) else {
            spdlog::debug!("gateway: a datagram of {from} cannot be understood; dropped");
            return;
        };
        let now = self.core.now();
        let from = address::Socket(from);
        let endpoints = &self.core.endpoints;
        match message {
            Message::All { sequence, tallies } => endpoints.heard(now, from, sequence, tallies),
            Message::Sent(notices) => endpoints.noticed(now, from, &notices),
        }
    }
}
