//! Datagrams between entries that borrow tokens and those that lend them.
//!
//! A question fits into one datagram and may be asked again, so that neither a connection to
//! each other entry nor an acknowledgement is needed. Only known entries are answered.

use std::sync::Arc;

use cranberrygap_model::address;
use cranberrygap_wire::share;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::core;

use super::Shares;

/// Largest message that is taken.
const LARGEST: usize = 8_192;

/// What one entry tells another.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Ask(share::Renew),
    Lent(share::Granted),
}

/// The task that asks and answers.
#[derive(Debug)]
pub(crate) struct Exchange {
    shares: Arc<Shares>,
    socket: UdpSocket,
}

impl Exchange {
    /// Takes over a socket that listens.
    pub(crate) const fn new(shares: Arc<Shares>, socket: UdpSocket) -> Self {
        Self { shares, socket }
    }

    /// Asks and answers until the process stops.
    pub(crate) async fn run(self, core: Arc<core::Core>) {
        let mut buffer = vec![0; LARGEST];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.hear(address::Socket(from), &buffer[..length]).await,
                    // The port of an entry that is gone; whoever asks it gives up by itself.
                    Err(cause) => spdlog::debug!("limits: no datagram: {cause}"),
                },
                () = self.shares.borrowing() => {}
            }
            for (to, question) in self.shares.questions(core.instance()) {
                self.tell(to, &Message::Ask(question)).await;
            }
        }
    }

    async fn hear(&self, from: address::Socket, bytes: &[u8]) {
        match postcard::from_bytes(bytes) {
            Ok(Message::Ask(question)) => {
                if let Some(answer) = self.shares.answer(from, &question) {
                    self.tell(from, &Message::Lent(answer)).await;
                }
            }
            Ok(Message::Lent(answer)) => self.shares.lent(from, &answer),
            Err(cause) => {
                spdlog::debug!("limits: a datagram of {from} cannot be understood: {cause}");
            }
        }
    }

    async fn tell(&self, to: address::Socket, message: &Message) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) => bytes,
            Err(cause) => {
                spdlog::warn!("limits: a datagram cannot be written: {cause}");
                return;
            }
        };
        if let Err(cause) = self.socket.send_to(&bytes, to.0).await {
            // As good as lost on the way; a question is sent again.
            spdlog::debug!("limits: a datagram to {to} is not sent: {cause}");
        }
    }
}
