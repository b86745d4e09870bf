//! Callers that send the head of a request too slowly.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use cranberrygap_link::clock;
use cranberrygap_model::duration;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// No head is on its way.
const NONE: u64 = u64::MAX;

/// The answer to a head that does not end in time.
const SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\
    content-type: application/json\r\ncontent-length: 50\r\n\r\n\
    {\"error\":{\"code\":\"head_slow\",\"outcome\":\"not_run\"}}";

/// When the head that is being read began.
///
/// A caller that sends a byte now and then keeps its connection from ever being idle,
/// and a few thousand of those take all places of an entry. The HTTP library knows only
/// whole heads; the bytes of a part of one show here.
#[derive(Debug)]
pub(super) struct Head {
    clock: clock::Clock,
    began: AtomicU64,
    /// Whether a request is being served, whose body's bytes begin no head.
    serving: AtomicBool,
}

impl Head {
    pub(super) const fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            began: AtomicU64::new(NONE),
            serving: AtomicBool::new(false),
        }
    }

    /// A whole head was read.
    pub(super) fn ended(&self) {
        self.serving.store(true, Ordering::Release);
        self.began.store(NONE, Ordering::Release);
    }

    /// The request was answered; what comes now belongs to the next one.
    pub(super) fn answered(&self) {
        self.serving.store(false, Ordering::Release);
    }

    /// Whether a head has been on its way for longer than `most`.
    pub(super) fn is_slow(&self, most: duration::Span) -> bool {
        let began = self.began.load(Ordering::Acquire);
        began != NONE && self.clock.now().since(duration::Instant(began)) > most
    }

    fn came(&self) {
        if self.serving.load(Ordering::Acquire) {
            return;
        }
        let now = self.clock.now().0;
        // One that has begun already keeps its time.
        let _began = self
            .began
            .compare_exchange(NONE, now, Ordering::AcqRel, Ordering::Acquire);
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
