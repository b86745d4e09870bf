//! The listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted, enough for all callers of an entry
/// that has gone to come here at once.
const BACKLOG: u32 = 4096;

/// Listens on `address`; accepted sockets inherit `TCP_NODELAY`.
///
/// Without it the kernel holds a small piece back until the one before it is
/// acknowledged, and receivers delay that by up to 40 ms. A caller would see the
/// first token of a stream 40 ms after the headers, however fast the engine is.
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
