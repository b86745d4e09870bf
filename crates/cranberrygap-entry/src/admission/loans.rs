//! UDP exchange between entries that borrow tokens and entries that lend them.
//!
//! A loan request fits into one datagram and is safe to repeat, so entries need neither
//! connections to each other nor acknowledgements. Only known entries get an answer.

use std::sync::Arc;

use cranberrygap_link::traffic::Kind;
use cranberrygap_model::address;
use cranberrygap_wire::share;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::core;

use super::Shares;

/// Largest datagram that is accepted.
const MAX_DATAGRAM_BYTES: usize = 8_192;

/// A message between two entries.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    #[serde(rename = "Ask")]
    Request(share::Renew),
    #[serde(rename = "Lent")]
    Loan(share::Granted),
}

/// The task that sends and answers loan requests.
#[derive(Debug)]
pub(crate) struct Exchange {
    shares: Arc<Shares>,
    socket: UdpSocket,
}

impl Exchange {
    /// An exchange over a bound socket.
    pub(crate) const fn new(shares: Arc<Shares>, socket: UdpSocket) -> Self {
        Self { shares, socket }
    }

    /// Sends and answers loan requests until the process stops.
    pub(crate) async fn run(self, core: Arc<core::Core>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => {
                        core.traffic.record_received(Kind::Loans, from, length);
                        self.handle_datagram(&core, address::Socket(from), &buffer[..length]).await;
                    }
                    // The port of a stopped entry is closed; requests to it time out by
                    // themselves.
                    Err(cause) => spdlog::debug!("limits: receiving a datagram failed: {cause}"),
                },
                () = self.shares.wait_for_borrowing() => {}
            }
            for (to, request) in self.shares.due_loan_requests(core.instance()) {
                self.send(&core, to, &Message::Request(request)).await;
            }
        }
    }

    async fn handle_datagram(&self, core: &core::Core, from: address::Socket, bytes: &[u8]) {
        match postcard::from_bytes(bytes) {
            Ok(Message::Request(request)) => {
                if let Some(loan) = self.shares.answer_loan_request(from, &request) {
                    self.send(core, from, &Message::Loan(loan)).await;
                }
            }
            Ok(Message::Loan(loan)) => self.shares.apply_loan(from, &loan),
            Err(cause) => {
                spdlog::debug!("limits: malformed datagram from {from}: {cause}");
            }
        }
    }

    async fn send(&self, core: &core::Core, to: address::Socket, message: &Message) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) => bytes,
            Err(cause) => {
                spdlog::warn!("limits: encoding a datagram failed: {cause}");
                return;
            }
        };
        core.traffic.record_sent(Kind::Loans, to.0, bytes.len());
        if let Err(cause) = self.socket.send_to(&bytes, to.0).await {
            // Counts as a lost datagram; a loan request is sent again.
            spdlog::debug!("limits: sending a datagram to {to} failed: {cause}");
        }
    }
}
