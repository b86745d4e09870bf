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

use crate::metric;

use super::listener::Stage;
use super::{Gateway, head, request};

/// Bounds before a plan says so.
const FIRST_HEADER: u64 = 16 << 10;
const FIRST_IDLE: duration::Span = duration::Span::from_secs(15);
const FIRST_HEADER_TIME: duration::Span = duration::Span::from_secs(3);

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
    let bounds = Bounds::new(&gateway);
    let head = Arc::new(head::Head::new(gateway.core.clock));
    let stream = head::Watched::new(Arc::new(stream), Arc::clone(&head));
    // Since when no request is in progress, in microseconds of the entry's clock.
    let quiet = Arc::new(AtomicU64::new(gateway.core.now().0));
    let service = {
        let (gateway, quiet) = (Arc::clone(&gateway), Arc::clone(&quiet));
        let head = Arc::clone(&head);
        service_fn(move |incoming| {
            let (gateway, quiet) = (Arc::clone(&gateway), Arc::clone(&quiet));
            let head = Arc::clone(&head);
            async move {
                let guard = Progress::new(&gateway, &quiet, head);
                let response = request::serve(gateway, incoming).await;
                // A body that is still being sent is in progress too; the idle time
                // is far longer than any answer.
                drop(guard);
                Ok::<_, Infallible>(response)
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(bounds.header)
        .serve_connection(TokioIo::new(stream.clone()), service);
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
                if head.is_slow(bounds.header_time) {
                    stream.refuse();
                    gateway.core.count(metric::GATEWAY_FAILURES, "head_slow");
                    if let Some(dropped) = gateway.volume.admit(gateway.core.now()) {
                        spdlog::info!("gateway: a head did not end in time, the caller got 408", kv: {
                            lines_dropped = dropped,
                        });
                    }
                    return;
                }
                if gateway.core.now().since(since) > bounds.idle {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// What the plan allows callers, as it was when they connected.
struct Bounds {
    /// Bytes of a head.
    header: usize,
    header_time: duration::Span,
    idle: duration::Span,
}

impl Bounds {
    fn new(gateway: &Gateway) -> Self {
        let view = gateway.core.view.latest();
        let table = view.as_ref().and_then(|view| view.traffic());
        let bounds = table.map(|table| &table.plan().bounds);
        let header = bounds.map_or(FIRST_HEADER, |bounds| bounds.header);
        let header = usize::try_from(header).unwrap_or(usize::MAX);
        Self {
            header: header.max(LEAST_HEADER),
            header_time: bounds.map_or(FIRST_HEADER_TIME, |bounds| bounds.header_time),
            idle: bounds.map_or(FIRST_IDLE, |bounds| bounds.idle),
        }
    }
}

/// Marks that a request is in progress.
struct Progress {
    gateway: Arc<Gateway>,
    quiet: Arc<AtomicU64>,
    head: Arc<head::Head>,
}

impl Progress {
    fn new(gateway: &Arc<Gateway>, quiet: &Arc<AtomicU64>, head: Arc<head::Head>) -> Self {
        quiet.store(BUSY, Ordering::Release);
        head.ended();
        Self {
            gateway: Arc::clone(gateway),
            quiet: Arc::clone(quiet),
            head,
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        let now = self.gateway.core.now();
        self.quiet.store(now.0, Ordering::Release);
        self.head.answered();
    }
}
