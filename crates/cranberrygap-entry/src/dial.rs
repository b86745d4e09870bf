//! Opens connections to endpoints.

use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use tokio::net::{TcpSocket, TcpStream};

/// A way to open connections to endpoints.
pub trait Dial: fmt::Debug + Send + Sync {
    /// Opens a connection; the caller limits the time.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>>;
}

/// Opens TCP connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tcp;

impl Dial for Tcp {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>> {
        TcpStream::connect(address).boxed()
    }
}

/// Opens TCP connections that come from one of the instance's addresses.
#[derive(Debug, Clone, Copy)]
pub struct TcpFrom(pub IpAddr);

impl Dial for TcpFrom {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>> {
        async move {
            let socket = match address {
                SocketAddr::V4(_) => TcpSocket::new_v4()?,
                SocketAddr::V6(_) => TcpSocket::new_v6()?,
            };
            socket.bind(SocketAddr::new(self.0, 0))?;
            socket.connect(address).await
        }
        .boxed()
    }
}
