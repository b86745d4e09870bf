//! Accepts callers' connections and closes them in an orderly way.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cranberrygap_model::address;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

use crate::server::socket;

use super::{Gateway, caller_connection, pool};

/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Connections of callers; file descriptors must remain for endpoints.
const MAX_CONNECTIONS: usize = 2_200;

/// Progress of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    /// All requests are served.
    Serving,
    /// Idle connections are closed, and no further request is read from the others.
    Closing,
}

/// Listener of a gateway.
#[derive(Debug)]
pub(crate) struct Listener {
    pub(crate) address: address::Socket,
    stage: watch::Sender<Stage>,
    open_connections: Arc<AtomicUsize>,
    accept_task: tokio::task::JoinHandle<()>,
    sweep_task: tokio::task::JoinHandle<()>,
}

impl Listener {
    /// Serves callers at `wanted`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub(crate) fn start(gateway: &Arc<Gateway>, wanted: address::Socket) -> std::io::Result<Self> {
        let listener = socket::listen(wanted.0)?;
        let address = address::Socket(listener.local_addr()?);
        let (stage, staged) = watch::channel(Stage::Serving);
        let open_connections = Arc::new(AtomicUsize::new(0));
        let accepting = accept(
            Arc::clone(gateway),
            listener,
            staged,
            Arc::clone(&open_connections),
        );
        Ok(Self {
            address,
            stage,
            open_connections,
            accept_task: tokio::spawn(accepting),
            sweep_task: tokio::spawn(sweep_pool(Arc::clone(gateway))),
        })
    }

    /// Number of open connections of callers.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Acquire)
    }

    /// Stops accepting connections and waits for the open ones until `deadline`.
    ///
    /// They finish the request in progress.
    pub(crate) async fn finish(&self, deadline: time::Instant) {
        self.accept_task.abort();
        self.sweep_task.abort();
        self.stage.send_replace(Stage::Closing);
        while self.open_connections() > 0 && time::Instant::now() < deadline {
            time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

async fn accept(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stage: watch::Receiver<Stage>,
    open_connections: Arc<AtomicUsize>,
) {
    loop {
        let Ok((stream, _caller)) = listener.accept().await else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open_connections.load(Ordering::Acquire) >= MAX_CONNECTIONS {
            spdlog::warn!("gateway: refused a connection, too many are open");
            continue;
        }
        let guard = Guard::new(&open_connections);
        let (gateway, stage) = (Arc::clone(&gateway), stage.clone());
        tokio::spawn(async move {
            caller_connection::serve(gateway, stream, stage).await;
            drop(guard);
        });
    }
}

async fn sweep_pool(gateway: Arc<Gateway>) {
    loop {
        time::sleep(pool::SWEEP_INTERVAL).await;
        gateway.pool.close_expired();
        gateway.peers.pool.close_expired();
        log_ended_rests(&gateway);
    }
}

fn log_ended_rests(gateway: &Gateway) {
    let now = gateway.core.now();
    for ended in gateway.core.endpoints.prune_gate(now) {
        let Some(dropped) = gateway.endpoint_log_limiter.take_line(now) else {
            continue;
        };
        let (endpoint, kept_away) = (&ended.endpoint, ended.kept_away);
        let millis = ended.length.0 / 1_000;
        spdlog::info!(
            "gateway: {endpoint} has rested for {millis}ms, {kept_away} requests were kept away",
            kv: { lines_dropped = dropped }
        );
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
