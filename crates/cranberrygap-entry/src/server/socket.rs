//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Length of the accept queue, enough for all callers of a failed entry to connect at
/// once.
const BACKLOG: u32 = 4096;

/// Listens on `address`; accepted sockets inherit `TCP_NODELAY`.
///
/// Without it, the kernel delays a small segment until the previous one is acknowledged,
/// and receivers delay acknowledgements by up to 40 ms. The first token of a stream would
/// arrive 40 ms after the headers, even from a fast engine.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
