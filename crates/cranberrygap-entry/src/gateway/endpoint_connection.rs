//! One connection to an endpoint, owned by the attempt that uses it.

use std::future;
use std::time::Duration;

use bytes::Bytes;
use cranberrygap_model::address;
use cranberrygap_response::defect::Defect;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time;

use crate::dial;
use crate::framing;

use super::head_limit;

/// Longest wait for a connection. Endpoints are a few milliseconds away; one that does not
/// accept by then is cut off or has too many callers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without acknowledgement, of data or of keep-alive probes, after which the kernel closes a
/// connection. No error arrives when the network is cut. With it, a number of probes has no effect.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without traffic after which the kernel probes the other end.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for a kept connection to take a request. A new one is opened within a few
/// milliseconds.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Bytes that are read ahead of a response's reader. A head that is longer is an error.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;

/// An open connection. Dropping it closes it at once, so that the endpoint stops work for
/// a caller that has left.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Ends with the bytes that were received and belong to no response.
    driver: tokio::task::JoinHandle<Bytes>,
    monitor: head_limit::Monitor,
    address: address::Socket,
    is_reused: bool,
    /// Whether the last request asked for the head of its response alone.
    is_head_only: bool,
    idle_timeout: Option<Duration>,
}

/// A response with a sound head, whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) response: Response<Incoming>,
    pub(crate) framing: framing::Framing,
}

/// Why a request got no response over a connection.
#[derive(Debug)]
pub(crate) enum Error {
    /// Nothing of the request was written.
    NotSent,
    /// The request was written, at least in part.
    Unknown,
    /// A response came whose head cannot be trusted. Nothing that it says is known, not even
    /// whether the request ran.
    Malformed(Defect),
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection whose bytes `counter` counts.
    pub(crate) async fn open(
        dialer: &dyn dial::Dial,
        address: address::Socket,
        counter: head_limit::Counter,
    ) -> std::io::Result<Self> {
        let connecting = dialer.connect(address.0);
        let stream = time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = stream.map_err(|_elapsed| std::io::ErrorKind::TimedOut)??;
        configure_socket(&stream)?;
        let monitor = head_limit::Monitor::default();
        monitor.begin_head();
        let limited = head_limit::Limited::new(stream, monitor.clone(), counter);
        let io = TokioIo::new(limited);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER_BYTES);
        let handshake = builder.handshake::<_, Full<Bytes>>(io).await;
        let (sender, mut connection) = handshake.map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            let ended = future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
            if let Err(cause) = ended {
                spdlog::debug!("gateway: a connection to {address} ended: {cause}");
            }
            connection.into_parts().read_buf
        });
        Ok(Self {
            sender,
            driver,
            monitor,
            address,
            is_reused: false,
            is_head_only: false,
            idle_timeout: None,
        })
    }

    /// Waits a moment until a request would be written at once; false if none would.
    ///
    /// An endpoint may respond before it has read a long body. The connection is not ready until
    /// it has.
    pub(crate) async fn is_ready(&mut self) -> bool {
        let ready = time::timeout(READY_TIMEOUT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Received, Error> {
        if self.sender.ready().await.is_err() {
            return Err(Error::NotSent);
        }
        self.is_head_only = request.method() == Method::HEAD;
        self.monitor.begin_head();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.monitor.end_head();
                let received = receive(response)?;
                self.read_idle_timeout(received.response.headers());
                Ok(received)
            }
            Err(mut failed) => match failed.take_message() {
                Some(_unsent) => Err(Error::NotSent),
                None if self.monitor.is_torn() => Err(Error::Malformed(Defect::LineEnds)),
                None => Err(Error::Unknown),
            },
        }
    }

    /// Whether nothing follows the body that has ended, apart from another response.
    ///
    /// Other bytes are most likely the rest of the body, whose head then told a wrong length. Only
    /// those are seen that have arrived by now.
    pub(crate) async fn has_ended_response(&mut self) -> bool {
        // Endpoints may send the body although only the head was asked for. One that responds before
        // it has read the whole request keeps the HTTP library from looking at what follows.
        if self.is_head_only || self.monitor.is_congested() {
            return true;
        }
        let look = async {
            if self.sender.ready().await.is_ok() {
                return true;
            }
            let rest = (&mut self.driver).await;
            rest.is_ok_and(|rest| begins_response(&rest))
        };
        time::timeout(READY_TIMEOUT, look).await.unwrap_or(true)
    }

    /// Reads how long the endpoint keeps the connection open without a request.
    fn read_idle_timeout(&mut self, headers: &HeaderMap) {
        let value = headers.get("keep-alive");
        let value = value.and_then(|value| value.to_str().ok());
        let timeout = value.and_then(|text| {
            let mut items = text.split(',');
            items.find_map(|item| item.trim().strip_prefix("timeout="))
        });
        let seconds = timeout.and_then(|seconds| seconds.trim().parse().ok());
        self.idle_timeout = seconds.map(Duration::from_secs);
    }

    /// Time that the connection may wait for its next request. It is well below the
    /// endpoint's own timeout: a request that is sent while the endpoint closes the
    /// connection is lost.
    pub(crate) fn max_idle_time(&self) -> Duration {
        const MARGIN: Duration = Duration::from_secs(1);
        let timeout = self.idle_timeout.unwrap_or(Duration::MAX);
        timeout.saturating_sub(MARGIN).max(timeout / 2)
    }

    /// Whether another request can be sent.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !self.driver.is_finished()
    }

    /// Whether a request was sent before.
    pub(crate) const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Marks the connection as used by an earlier request.
    pub(crate) const fn mark_reused(&mut self) {
        self.is_reused = true;
    }

    pub(crate) const fn address(&self) -> address::Socket {
        self.address
    }
}

/// Whether bytes are nothing but line ends and the begin of a response, or a part of it.
fn begins_response(bytes: &[u8]) -> bool {
    const PROTOCOL: &[u8] = b"HTTP/";
    let begin = bytes.trim_ascii_start();
    begin.starts_with(PROTOCOL) || PROTOCOL.starts_with(begin)
}

fn receive(response: Response<Incoming>) -> Result<Received, Error> {
    let body_length = response.body().size_hint().exact();
    let framing = framing::Framing::new(response.status(), response.headers(), body_length);
    let framing = framing.map_err(Error::Malformed)?;
    Ok(Received { response, framing })
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
