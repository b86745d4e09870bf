//! Accepts callers' connections and ends them in an orderly way.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cranberrygap_model::address;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

use crate::server::socket;

use super::{Gateway, connection};

/// Pause after a failed accept, such as when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time between two looks for idle connections to endpoints.
const SWEEP: Duration = Duration::from_secs(1);

/// Connections of callers; descriptors for endpoints must remain.
const MOST_CONNECTIONS: usize = 2_200;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    /// Everything is served.
    Serving,
    /// Idle connections are closed and nothing new is read from others.
    Closing,
}

/// The listener of a gateway.
#[derive(Debug)]
pub(crate) struct Listener {
    pub(crate) address: address::Socket,
    stage: watch::Sender<Stage>,
    open: Arc<AtomicUsize>,
    accepting: tokio::task::JoinHandle<()>,
    sweeping: tokio::task::JoinHandle<()>,
}

impl Listener {
    /// Serves callers at `wanted`.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub(crate) fn start(gateway: &Arc<Gateway>, wanted: address::Socket) -> std::io::Result<Self> {
        let listener = socket::listen(wanted.0)?;
        let address = address::Socket(listener.local_addr()?);
        let (stage, staged) = watch::channel(Stage::Serving);
        let open = Arc::new(AtomicUsize::new(0));
        let accepting = accept(Arc::clone(gateway), listener, staged, Arc::clone(&open));
        Ok(Self {
            address,
            stage,
            open,
            accepting: tokio::spawn(accepting),
            sweeping: tokio::spawn(sweep(Arc::clone(gateway))),
        })
    }

    /// Connections of callers that are open.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Takes no new connections, lets those that are open finish their request,
    /// and waits for them until `deadline`.
    pub(crate) async fn finish(&self, deadline: time::Instant) {
        self.accepting.abort();
        self.sweeping.abort();
        self.stage.send_replace(Stage::Closing);
        while self.open() > 0 && time::Instant::now() < deadline {
            time::sleep(ACCEPT_PAUSE).await;
        }
    }
}

async fn accept(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stage: watch::Receiver<Stage>,
    open: Arc<AtomicUsize>,
) {
    loop {
        let Ok((stream, _caller)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.load(Ordering::Acquire) >= MOST_CONNECTIONS {
            spdlog::warn!("gateway: too many connections, one was refused");
            continue;
        }
        let guard = Guard::new(&open);
        let (gateway, stage) = (Arc::clone(&gateway), stage.clone());
        tokio::spawn(async move {
            connection::serve(gateway, stream, stage).await;
            drop(guard);
        });
    }
}

async fn sweep(gateway: Arc<Gateway>) {
    loop {
        time::sleep(SWEEP).await;
        gateway.pool.sweep();
    }
}

/// Counts a connection while it is open.
struct Guard(Arc<AtomicUsize>);

impl Guard {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(open))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
