//! One connection to an endpoint, owned by the attempt that uses it.

use std::time::Duration;

use bytes::Bytes;
use cranberrygap_model::address;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time;

/// Longest wait for a connection. Endpoints are a few milliseconds away; one that
/// does not answer by then is cut off or has too many callers.
const CONNECT: Duration = Duration::from_millis(400);

/// Time without acknowledgement after which the kernel ends a connection. A cut
/// network answers nothing, and nothing else would tell.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// Time without traffic after which the kernel asks whether the other end is there.
const KEEPALIVE: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// An open connection. Dropped, it is closed at once, so that the endpoint stops
/// work for a caller that has left.
#[derive(Debug)]
pub(crate) struct Line {
    sender: http1::SendRequest<Full<Bytes>>,
    task: tokio::task::JoinHandle<()>,
    address: address::Socket,
    reused: bool,
    idle_time: Option<Duration>,
}

/// Why a request was not answered over a line.
#[derive(Debug)]
pub(crate) enum Lost {
    /// Nothing of it was written.
    NotSent,
    /// It was written, at least in part.
    Unknown,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Line {
    /// Opens a connection.
    pub(crate) async fn open(address: address::Socket) -> std::io::Result<Self> {
        let connecting = TcpStream::connect(address.0);
        let stream = time::timeout(CONNECT, connecting).await;
        let stream = stream.map_err(|_elapsed| std::io::ErrorKind::TimedOut)??;
        tune(&stream)?;
        let io = TokioIo::new(stream);
        let handshake = http1::handshake::<_, Full<Bytes>>(io).await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(cause) = connection.await {
                spdlog::debug!("gateway: a connection to {address} ended: {cause}");
            }
        });
        Ok(Self {
            sender,
            task,
            address,
            reused: false,
            idle_time: None,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Lost> {
        if self.sender.ready().await.is_err() {
            return Err(Lost::NotSent);
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut failed) => match failed.take_message() {
                Some(_unsent) => Err(Lost::NotSent),
                None => Err(Lost::Unknown),
            },
        }
    }

    /// Takes over how long the endpoint keeps the connection without a request.
    pub(crate) fn note_idle_time(&mut self, headers: &HeaderMap) {
        let told = headers.get("keep-alive");
        let told = told.and_then(|value| value.to_str().ok());
        let timeout = told.and_then(|text| {
            let mut items = text.split(',');
            items.find_map(|item| item.trim().strip_prefix("timeout="))
        });
        let seconds = timeout.and_then(|seconds| seconds.trim().parse().ok());
        self.idle_time = seconds.map(Duration::from_secs);
    }

    /// Time that the connection may wait for its next request. Well below what the
    /// endpoint says: a request that crosses its close is lost.
    pub(crate) fn idle_time(&self) -> Duration {
        const MARGIN: Duration = Duration::from_secs(1);
        let told = self.idle_time.unwrap_or(Duration::MAX);
        told.saturating_sub(MARGIN).max(told / 2)
    }

    /// Whether another request may go over it.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !self.task.is_finished()
    }

    /// Whether a request went over it before.
    pub(crate) const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Notes that the next request is not its first.
    pub(crate) const fn reuse(&mut self) {
        self.reused = true;
    }

    pub(crate) const fn address(&self) -> address::Socket {
        self.address
    }
}

fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
