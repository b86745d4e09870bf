//! Carries connections on and counts their bytes.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cranberrygap_model::address;
use cranberrygap_standin::loopback;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// A listener whose connections go on to a target.
#[derive(Debug)]
pub(super) struct Relay {
    address: address::Socket,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Begins to listen for connections to `target`.
    pub(super) async fn start(target: address::Socket) -> io::Result<Self> {
        let address = loopback::unique();
        let listener = TcpListener::bind(address.0).await?;
        let bytes = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, target, Arc::clone(&bytes)));
        Ok(Self { address, bytes })
    }

    /// Where it listens.
    pub(super) fn address(&self) -> address::Socket {
        self.address
    }

    /// Bytes in both directions so far.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, target: address::Socket, bytes: Arc<AtomicU64>) {
    while let Ok((inward, _)) = listener.accept().await {
        let Ok(outward) = TcpStream::connect(target.0).await else {
            continue;
        };
        let (inward_read, inward_write) = inward.into_split();
        let (outward_read, outward_write) = outward.into_split();
        tokio::spawn(carry(inward_read, outward_write, Arc::clone(&bytes)));
        tokio::spawn(carry(outward_read, inward_write, Arc::clone(&bytes)));
    }
}

async fn carry(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
        bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
    // The other end may have gone first.
    drop(to.shutdown().await);
}
