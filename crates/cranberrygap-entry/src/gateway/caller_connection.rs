//! Serves one connection of a caller.

use std::convert::Infallible;
use std::future;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::duration;
use cranberrygap_policy::memory;
use http::Version;
use http_body_util::BodyExt as _;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::metric;

use super::listener::Stage;
use super::{Gateway, activity, read_ahead, request, response};

/// Limits that apply before a plan is known.
const DEFAULT_MAX_HEAD_BYTES: u64 = 16 << 10;
const DEFAULT_IDLE_TIMEOUT: duration::Span = duration::Span::from_secs(15);
const DEFAULT_HEAD_TIMEOUT: duration::Span = duration::Span::from_secs(3);

/// Smallest limit for the size of a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_LIMIT_BYTES: usize = 8 << 10;

/// Bytes that the kernel keeps for a caller at an entry whose memory is set; the kernel doubles
/// them. Without a bound it keeps megabytes for a caller that does not read, which count toward
/// the memory of the instance.
const SEND_BUFFER_BYTES: usize = 32 << 10;

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
    limit_send_buffer(&gateway, &stream);
    let activity = Arc::new(activity::Activity::new(gateway.core.clock));
    let read_ahead = Arc::new(read_ahead::ReadAhead::new(&gateway.readers));
    let stream = activity::Stream::new(
        Arc::new(stream),
        Arc::clone(&activity),
        Arc::clone(&read_ahead),
    );
    let service = {
        let (gateway, activity) = (Arc::clone(&gateway), Arc::clone(&activity));
        let (stream, read_ahead) = (stream.clone(), Arc::clone(&read_ahead));
        service_fn(move |incoming| {
            let (gateway, activity) = (Arc::clone(&gateway), Arc::clone(&activity));
            let (stream, read_ahead) = (stream.clone(), Arc::clone(&read_ahead));
            async move {
                let guard = activity::Guard::new(activity);
                // Without chunks, only a reset tells the caller that the response is cut.
                let has_chunks = incoming.version() > Version::HTTP_10;
                // The HTTP library keeps room for this future as long as the connection is open.
                let serving = Box::pin(request::serve(gateway, incoming));
                let mut response = serving.await;
                let id = response.extensions_mut().remove::<request::Id>();
                // A response that is still being sent counts as in progress too.
                let body = |body: response::Body| {
                    let body = read_ahead.begin(id.map(|id| id.0), body);
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
            // What the HTTP library has no room for is read ahead after it has run.
            biased;
            result = connection.as_mut() => {
                if let Err(cause) = result {
                    spdlog::debug!("gateway: a caller's connection ended: {cause}");
                }
                return;
            }
            cut = future::poll_fn(|cx| read_ahead.poll(cx)) => {
                // Unsent bytes would stay in the kernel after an orderly close.
                stream.reset_on_close();
                log_cut(&gateway, &read_ahead, &cut);
                return;
            }
            _changed = stage.wait_for(|stage| *stage == Stage::Closing), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = time::sleep(CHECK_INTERVAL) => {
                if closing {
                    continue;
                }
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

fn limit_send_buffer(gateway: &Gateway, stream: &TcpStream) {
    let limits = gateway.core.settings.limits.as_ref();
    if limits.and_then(|limits| limits.memory).is_none() {
        return;
    }
    let socket = SockRef::from(stream);
    if let Err(cause) = socket.set_send_buffer_size(SEND_BUFFER_BYTES) {
        spdlog::warn!("gateway: the send buffer of a caller's connection is not limited: {cause}");
    }
}

/// Logs a connection that is cut since its caller does not read. There is one line for each:
/// its caller gets an incomplete response and may ask why.
fn log_cut(gateway: &Gateway, read_ahead: &read_ahead::ReadAhead, cut: &memory::Cut) {
    gateway.core.count(metric::GATEWAY_FAILURES, "reader_cut");
    let request = read_ahead.request();
    spdlog::info!("gateway: a caller that does not read was cut, memory for callers is full", kv: {
        request = request.as_deref().unwrap_or("-"),
        bytes = cut.held.0,
        unread_ms = cut.unread.0 / 1_000,
    });
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
