//! One connection of a caller.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::duration;
use http_body_util::BodyExt as _;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::metric;

use super::listener::Stage;
use super::{Gateway, answer, head, request};

/// Bounds before a plan says so.
const FIRST_HEADER: u64 = 16 << 10;
const FIRST_IDLE: duration::Span = duration::Span::from_secs(15);
const FIRST_HEADER_TIME: duration::Span = duration::Span::from_secs(3);

/// Least bound of a head that the HTTP library takes, in bytes.
const LEAST_HEADER: usize = 8 << 10;

/// Time between two looks whether a connection is idle for too long.
const LOOK: Duration = Duration::from_millis(500);

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
    let service = {
        let (gateway, head) = (Arc::clone(&gateway), Arc::clone(&head));
        service_fn(move |incoming| {
            let (gateway, head) = (Arc::clone(&gateway), Arc::clone(&head));
            async move {
                let progress = head::Progress::new(head);
                let response = request::serve(gateway, incoming).await;
                // An answer that is still being sent is in progress too.
                let body = |body: answer::Body| {
                    let sent = body.map_frame(move |frame| {
                        let _until_sent = &progress;
                        frame
                    });
                    sent.boxed_unsync()
                };
                Ok::<_, Infallible>(response.map(body))
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
                if head.is_idle(bounds.idle) {
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
