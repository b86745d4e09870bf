//! Callers that send the head of a request too slowly.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use cranberrygap_link::clock;
use cranberrygap_model::duration;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// In place of a moment: no head is on its way, or a request is in progress.
const NONE: u64 = u64::MAX;

/// The answer to a head that does not end in time.
const SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\
    content-type: application/json\r\ncontent-length: 50\r\n\r\n\
    {\"error\":{\"code\":\"head_slow\",\"outcome\":\"not_run\"}}";

/// What one connection is about: a request in progress, the head of one, or nothing.
///
/// A caller that sends a byte now and then keeps its connection from ever being idle,
/// and a few thousand of those take all places of an entry. The HTTP library knows only
/// whole heads; the bytes of a part of one show here.
#[derive(Debug)]
pub(super) struct Head {
    clock: clock::Clock,
    /// When the head that is being read began.
    began: AtomicU64,
    /// Since when no request is in progress.
    quiet: AtomicU64,
}

impl Head {
    pub(super) fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            began: AtomicU64::new(NONE),
            quiet: AtomicU64::new(clock.now().0),
        }
    }

    /// Whether a head has been on its way for longer than `most`.
    pub(super) fn is_slow(&self, most: duration::Span) -> bool {
        self.is_past(&self.began, most)
    }

    /// Whether no request has been in progress for longer than `most`.
    pub(super) fn is_idle(&self, most: duration::Span) -> bool {
        self.is_past(&self.quiet, most)
    }

    fn is_past(&self, moment: &AtomicU64, most: duration::Span) -> bool {
        let moment = moment.load(Ordering::Acquire);
        moment != NONE && self.clock.now().since(duration::Instant(moment)) > most
    }

    fn came(&self) {
        // What comes during a request begins no head that anybody waits for: its answer
        // is being written, and a 408 would stand in the middle of it.
        if self.quiet.load(Ordering::Acquire) == NONE {
            return;
        }
        let now = self.clock.now().0;
        // One that has begun already keeps its time.
        let _began = self
            .began
            .compare_exchange(NONE, now, Ordering::AcqRel, Ordering::Acquire);
    }
}

/// A request in progress, from its whole head to the end of its answer.
#[derive(Debug)]
pub(super) struct Progress {
    head: Arc<Head>,
}

impl Progress {
    pub(super) fn new(head: Arc<Head>) -> Self {
        head.quiet.store(NONE, Ordering::Release);
        head.began.store(NONE, Ordering::Release);
        Self { head }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        let now = self.head.clock.now();
        self.head.quiet.store(now.0, Ordering::Release);
    }
}

/// A caller's socket that tells when bytes come.
#[derive(Debug, Clone)]
pub(super) struct Watched {
    stream: Arc<TcpStream>,
    head: Arc<Head>,
}

impl Watched {
    pub(super) const fn new(stream: Arc<TcpStream>, head: Arc<Head>) -> Self {
        Self { stream, head }
    }

    /// Tells the caller that its head did not come in time; the request did not run.
    pub(super) fn refuse(&self) {
        // Nothing else is being written between two requests; a caller whose buffer is
        // full reads no answer anyway.
        if let Err(cause) = self.stream.try_write(SLOW) {
            spdlog::debug!("gateway: a slow caller could not be told: {cause}");
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    if count > 0 {
                        self.head.came();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => {}
                Err(cause) => return Poll::Ready(Err(cause)),
            }
        }
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => {}
                other => return Poll::Ready(other),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
