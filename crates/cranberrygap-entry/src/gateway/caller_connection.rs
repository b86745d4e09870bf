//! Serves one connection of a caller.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::duration;
use http::Version;
use http_body_util::BodyExt as _;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::metric;

use super::listener::Stage;
use super::{Gateway, activity, request, response};

/// Limits that apply before a plan is known.
const DEFAULT_MAX_HEAD_BYTES: u64 = 16 << 10;
const DEFAULT_IDLE_TIMEOUT: duration::Span = duration::Span::from_secs(15);
const DEFAULT_HEAD_TIMEOUT: duration::Span = duration::Span::from_secs(3);

/// Smallest limit for the size of a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_LIMIT_BYTES: usize = 8 << 10;

/// Time between two checks whether a connection is idle for too long.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Serves the requests of one connection.
///
/// It ends when the caller closes it, the plan's idle timeout passes or this process
/// stops.
pub(super) async fn serve(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    mut stage: watch::Receiver<Stage>,
) {
    let limits = Limits::new(&gateway);
    let activity = Arc::new(activity::Activity::new(gateway.core.clock));
    let stream = activity::Stream::new(Arc::new(stream), Arc::clone(&activity));
    let service = {
        let (gateway, activity) = (Arc::clone(&gateway), Arc::clone(&activity));
        let stream = stream.clone();
        service_fn(move |incoming| {
            let (gateway, activity) = (Arc::clone(&gateway), Arc::clone(&activity));
            let stream = stream.clone();
            async move {
                let guard = activity::Guard::new(activity);
                // Without chunks, only a reset tells the caller that the response is cut.
                let has_chunks = incoming.version() > Version::HTTP_10;
                let response = request::serve(gateway, incoming).await;
                // A response that is still being sent counts as in progress too.
                let body = |body: response::Body| {
                    let sent = body.map_frame(move |frame| {
                        let _until_sent = &guard;
                        frame
                    });
                    let sent = sent.map_err(move |cause| {
                        if !has_chunks {
                            stream.reset_on_close();
                        }
                        cause
                    });
                    sent.boxed_unsync()
                };
                Ok::<_, Infallible>(response.map(body))
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream.clone()), service);
    tokio::pin!(connection);
    let mut closing = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(cause) = result {
                    spdlog::debug!("gateway: a caller's connection ended: {cause}");
                }
                return;
            }
            _changed = stage.wait_for(|stage| *stage == Stage::Closing), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = time::sleep(CHECK_INTERVAL), if !closing => {
                if activity.is_head_overdue(limits.head_timeout) {
                    stream.send_head_timeout();
                    gateway.core.count(metric::GATEWAY_FAILURES, "head_slow");
                    if let Some(dropped_lines) = gateway.log_limiter.take_line(gateway.core.now()) {
                        spdlog::info!("gateway: a request head did not arrive in time, the caller got 408", kv: {
                            lines_dropped = dropped_lines,
                        });
                    }
                    return;
                }
                if activity.is_idle(limits.idle_timeout) {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Limits of the plan for callers, as of the time they connected.
struct Limits {
    /// Size of a request head, in bytes.
    max_head_bytes: usize,
    head_timeout: duration::Span,
    idle_timeout: duration::Span,
}

impl Limits {
    fn new(gateway: &Gateway) -> Self {
        let view = gateway.core.view.latest();
        let table = view.as_ref().and_then(|view| view.traffic());
        let bounds = table.map(|table| &table.plan().bounds);
        let header = bounds.map_or(DEFAULT_MAX_HEAD_BYTES, |bounds| bounds.header);
        let header = usize::try_from(header).unwrap_or(usize::MAX);
        Self {
            max_head_bytes: header.max(MIN_HEAD_LIMIT_BYTES),
            head_timeout: bounds.map_or(DEFAULT_HEAD_TIMEOUT, |bounds| bounds.header_time),
            idle_timeout: bounds.map_or(DEFAULT_IDLE_TIMEOUT, |bounds| bounds.idle),
        }
    }
}
