//! Activity of a caller's connection; detects request heads that arrive too slowly.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use cranberrygap_link::clock;
use cranberrygap_model::duration;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::read_ahead;

/// Marks a time as absent: no head is arriving, or a request is in progress.
const ABSENT: u64 = u64::MAX;

/// Response to a request head that is not complete in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\
    content-type: application/json\r\ncontent-length: 50\r\n\r\n\
    {\"error\":{\"code\":\"head_slow\",\"outcome\":\"not_run\"}}";

/// What a connection is busy with: a request in progress, an incomplete head, or nothing.
///
/// A caller that sends a byte now and then keeps its connection from ever being idle, and
/// a few thousand of those take up all connections of an entry. The HTTP library reports
/// only complete heads; this type also sees the bytes of an incomplete one.
#[derive(Debug)]
pub(super) struct Activity {
    clock: clock::Clock,
    /// Time at which the incomplete head began.
    head_since: AtomicU64,
    /// Time since which no request is in progress.
    idle_since: AtomicU64,
}

impl Activity {
    pub(super) fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            head_since: AtomicU64::new(ABSENT),
            idle_since: AtomicU64::new(clock.now().0),
        }
    }

    /// Whether a head has been incomplete for longer than `timeout`.
    pub(super) fn is_head_overdue(&self, timeout: duration::Span) -> bool {
        self.has_lasted(&self.head_since, timeout)
    }

    /// Whether no request has been in progress for longer than `timeout`.
    pub(super) fn is_idle(&self, timeout: duration::Span) -> bool {
        self.has_lasted(&self.idle_since, timeout)
    }

    fn has_lasted(&self, since: &AtomicU64, timeout: duration::Span) -> bool {
        let since = since.load(Ordering::Acquire);
        since != ABSENT && self.clock.now().since(duration::Instant(since)) > timeout
    }

    fn record_bytes(&self) {
        // Bytes that arrive during a request begin no head yet: its response is being
        // written, and a 408 would end up in the middle of it.
        if self.idle_since.load(Ordering::Acquire) == ABSENT {
            return;
        }
        let now = self.clock.now().0;
        // A head that has begun already keeps its time.
        let _began =
            self.head_since
                .compare_exchange(ABSENT, now, Ordering::AcqRel, Ordering::Acquire);
    }
}

/// A request in progress, from its complete head to the end of its response.
#[derive(Debug)]
pub(super) struct Guard {
    activity: Arc<Activity>,
}

impl Guard {
    pub(super) fn new(activity: Arc<Activity>) -> Self {
        activity.idle_since.store(ABSENT, Ordering::Release);
        activity.head_since.store(ABSENT, Ordering::Release);
        Self { activity }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.activity.clock.now();
        self.activity.idle_since.store(now.0, Ordering::Release);
    }
}

/// A caller's socket that records when bytes arrive, and which are written.
#[derive(Debug, Clone)]
pub(super) struct Stream {
    socket: Arc<TcpStream>,
    activity: Arc<Activity>,
    read_ahead: Arc<read_ahead::ReadAhead>,
    /// Whether the connection is to end with a reset.
    is_cut: Arc<AtomicBool>,
}

impl Stream {
    pub(super) fn new(
        socket: Arc<TcpStream>,
        activity: Arc<Activity>,
        read_ahead: Arc<read_ahead::ReadAhead>,
    ) -> Self {
        Self {
            socket,
            activity,
            read_ahead,
            is_cut: Arc::default(),
        }
    }

    /// Makes the end of the connection a reset instead of an orderly close.
    pub(super) fn reset_on_close(&self) {
        self.is_cut.store(true, Ordering::Release);
        if let Err(cause) = SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO)) {
            spdlog::warn!("gateway: a caller's connection cannot be reset: {cause}");
        }
    }

    /// Responds that the head did not arrive in time; the request did not run.
    pub(super) fn send_head_timeout(&self) {
        // Nothing else is being written between two requests, and a caller whose buffer is
        // full reads no response anyway.
        if let Err(cause) = self.socket.try_write(HEAD_TIMEOUT_RESPONSE) {
            spdlog::debug!("gateway: sending 408 to a slow caller failed: {cause}");
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    if count > 0 {
                        self.activity.record_bytes();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => {}
                Err(cause) => return Poll::Ready(Err(cause)),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match self.socket.try_write(buf) {
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => {}
                Ok(count) => {
                    self.read_ahead.record_written(count);
                    return Poll::Ready(Ok(count));
                }
                Err(cause) => return Poll::Ready(Err(cause)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written all that it has.
        self.read_ahead.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_cut.load(Ordering::Acquire) {
            // An orderly close would reach the caller before the reset.
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write))
    }
}
