//! Opens connections to endpoints.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use tokio::net::TcpStream;

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
