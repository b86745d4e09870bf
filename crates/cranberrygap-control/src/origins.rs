//! Origins of streams that entries tell, kept in memory beside theirs.
//!
//! All entries may die at once, and with them all that they know of streams. Each entry tells its
//! streams to one control process while several versions serve; whoever takes one up asks all.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_link::traffic::{Direction, Kind, Meter, Place};
use cranberrygap_model::address;
use cranberrygap_routing::origin::{self, datagram};
use cranberrygap_wire::view;
use parking_lot::Mutex;
use tokio::net::UdpSocket;

use crate::metric;
use crate::replicated;

/// Keeper of one control process.
#[derive(Debug)]
pub(crate) struct Origins {
    state: Arc<replicated::State>,
    clock: clock::Clock,
    meter: Arc<Meter>,
    metrics: metric::Recorder,
    book: Mutex<origin::Book<origin::Digest>>,
}

impl Origins {
    /// Creates a keeper that knows no stream.
    pub(crate) fn new(
        state: Arc<replicated::State>,
        clock: clock::Clock,
        meter: Arc<Meter>,
        metrics: metric::Recorder,
    ) -> Self {
        Self {
            state,
            clock,
            meter,
            metrics,
            book: Mutex::default(),
        }
    }

    /// Listens at `wanted` and answers until the process stops.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub(crate) async fn listen(
        self: Arc<Self>,
        wanted: address::Socket,
    ) -> io::Result<tokio::task::JoinHandle<()>> {
        let socket = UdpSocket::bind(wanted.0).await?;
        Ok(tokio::spawn(async move { self.run(&socket).await }))
    }

    async fn run(&self, socket: &UdpSocket) {
        let mut buffer = [0; datagram::MAX_BYTES];
        loop {
            // An error concerns an earlier datagram, whose receiver is gone.
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(answer) = self.handle(from, &buffer[..length]) else {
                continue;
            };
            let kind = Kind::Origins;
            self.meter
                .record(kind, Direction::Sent, Place::Unknown, answer.len());
            if let Err(cause) = socket.send_to(&answer, from).await {
                // Counts as a lost datagram.
                spdlog::debug!("origins: sending an answer to {from} failed: {cause}");
            }
        }
    }

    /// Takes a datagram, and returns the one that answers it.
    fn handle(&self, from: SocketAddr, bytes: &[u8]) -> Option<Vec<u8>> {
        let kind = Kind::Origins;
        self.meter
            .record(kind, Direction::Received, Place::Unknown, bytes.len());
        if !self.is_entry(from.ip()) {
            spdlog::debug!("origins: dropped a datagram from {from}, where no entry is");
            return None;
        }
        let Ok(message) = postcard::from_bytes::<datagram::Datagram>(bytes) else {
            spdlog::debug!("origins: dropped a malformed datagram from {from}");
            return None;
        };
        let now = self.clock.now();
        let mut book = self.book.lock();
        match message {
            datagram::Datagram::Told { origin, streams } => {
                self.metrics.count(metric::ORIGINS, "told", streams.len());
                for (key, ticks) in streams {
                    let until = now.after(datagram::to_time(ticks));
                    book.insert(now, key, &origin, until);
                }
                None
            }
            datagram::Datagram::Question { number, key } => {
                let origin = book.get(now, key).copied();
                let tag = if origin.is_some() { "known" } else { "unknown" };
                self.metrics.count(metric::ORIGINS, tag, 1);
                let answer = datagram::Datagram::Answer { number, origin };
                postcard::to_stdvec(&answer).ok()
            }
            datagram::Datagram::Answer { .. } => None,
        }
    }

    /// Returns whether an entry of the fleet has its address at a host.
    fn is_entry(&self, host: IpAddr) -> bool {
        self.state.read(|fleet| {
            let mut members = fleet.members.iter();
            members.any(|member| member.role == view::Role::Entry && member.address.0.ip() == host)
        })
    }
}
