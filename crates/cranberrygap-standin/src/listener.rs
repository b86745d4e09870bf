//! An HTTP server on one address that can be stopped at once.

use std::io;
use std::net::SocketAddr;

use cranberrygap_model::address;
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;

/// Connections that may wait to be accepted; enough for a burst of a test.
const BACKLOG: u32 = 1024;

/// A running server; it ends when this is dropped.
#[derive(Debug)]
pub struct Listener {
    address: address::Socket,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds the address and serves the router on it.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    ///
    /// # Panics
    ///
    /// Outside a tokio runtime.
    pub fn bind(address: address::Socket, router: Router) -> io::Result<Self> {
        let acceptor = acceptor(address.0)?;
        let address = address::Socket(acceptor.local_addr()?);
        let server = Server::new(acceptor).disable_fuse();
        let task = tokio::spawn(async move {
            // The error is an accept that failed; the test then sees refused connections.
            let _outcome = server.try_serve(router).await;
        });
        Ok(Self { address, task })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> address::Socket {
        self.address
    }

    /// Ends the server and drops all its connections, as a crash would.
    pub async fn abort(mut self) {
        self.task.abort();
        let _cancelled = (&mut self.task).await;
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepted sockets inherit `TCP_NODELAY` from the listening one. Without it
/// each small chunk of a stream could wait for the acknowledgement of the last
/// one, up to 40 ms, and the stand-in would seem slow.
fn acceptor(address: SocketAddr) -> io::Result<TcpAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    TcpAcceptor::try_from(socket.listen(BACKLOG)?)
}
