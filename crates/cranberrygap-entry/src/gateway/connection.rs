//! One connection of a caller.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cranberrygap_model::duration;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use super::listener::Stage;
use super::{Gateway, request};

/// Bounds before a plan says so.
const FIRST_HEADER: u64 = 16 << 10;
const FIRST_IDLE: duration::Span = duration::Span::from_secs(15);

/// Least bound of a head that the HTTP library takes, in bytes.
const LEAST_HEADER: usize = 8 << 10;

/// Time between two looks whether a connection is idle for too long.
const LOOK: Duration = Duration::from_millis(500);

/// A time that says that a request is in progress.
const BUSY: u64 = u64::MAX;

/// Serves requests until the caller or the plan's idle time ends the connection, or
/// this process stops.
pub(super) async fn serve(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    mut stage: watch::Receiver<Stage>,
) {
    let (header, idle) = bounds(&gateway);
    // Since when no request is in progress, in microseconds of the entry's clock.
    let quiet = Arc::new(AtomicU64::new(gateway.core.now().0));
    let service = {
        let (gateway, quiet) = (Arc::clone(&gateway), Arc::clone(&quiet));
        service_fn(move |incoming| {
            let (gateway, quiet) = (Arc::clone(&gateway), Arc::clone(&quiet));
            async move {
                let guard = Progress::new(&gateway, &quiet);
                let response = request::serve(gateway, incoming).await;
                // A body that is still being sent is in progress too; the idle time
                // is far longer than any answer.
                drop(guard);
                Ok::<_, Infallible>(response)
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(header)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(cause) = ended {
                    spdlog::debug!("gateway: a caller's connection ended: {cause}");
                }
                return;
            }
            _changed = stage.wait_for(|stage| *stage == Stage::Closing), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = time::sleep(LOOK), if !closing => {
                let since = duration::Instant(quiet.load(Ordering::Acquire));
                if gateway.core.now().since(since) > idle {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

fn bounds(gateway: &Gateway) -> (usize, duration::Span) {
    let view = gateway.core.view.latest();
    let table = view.as_ref().and_then(|view| view.traffic());
    let bounds = table.map(|table| &table.plan().bounds);
    let header = bounds.map_or(FIRST_HEADER, |bounds| bounds.header);
    let header = usize::try_from(header).unwrap_or(usize::MAX);
    let idle = bounds.map_or(FIRST_IDLE, |bounds| bounds.idle);
    (header.max(LEAST_HEADER), idle)
}

/// Marks that a request is in progress.
struct Progress {
    gateway: Arc<Gateway>,
    quiet: Arc<AtomicU64>,
}

impl Progress {
    fn new(gateway: &Arc<Gateway>, quiet: &Arc<AtomicU64>) -> Self {
        quiet.store(BUSY, Ordering::Release);
        Self {
            gateway: Arc::clone(gateway),
            quiet: Arc::clone(quiet),
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        let now = self.gateway.core.now();
        self.quiet.store(now.0, Ordering::Release);
    }
}
