//! A limit on the bytes that an endpoint may send before the head of a response is complete, and
//! the count of what its connection carries.

mod line_ends;

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use cranberrygap_link::traffic::{Flow, Kind};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes up to the end of a head, interim responses included. Heads have about one kilobyte.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// What the owner of a connection and its driver tell each other.
#[derive(Debug, Clone, Default)]
pub(super) struct Monitor(Arc<State>);

#[derive(Debug, Default)]
struct State {
    /// Bytes that may still be read before a head.
    left: AtomicUsize,
    /// Whether a head was torn.
    is_torn: AtomicBool,
    /// Whether the kernel has no room for what is written.
    is_congested: AtomicBool,
}

/// Counts the bytes of one connection.
#[derive(Debug)]
pub(crate) struct Counter {
    pub(super) flow: Flow,
    pub(super) kind: Kind,
}

/// A connection whose reads are counted while a head is awaited.
#[derive(Debug)]
pub(super) struct Limited {
    stream: TcpStream,
    monitor: Monitor,
    counter: Counter,
    line_ends: line_ends::Scanner,
}

impl Monitor {
    /// Awaits a head from now on.
    pub(super) fn begin_head(&self) {
        self.0.left.store(MAX_HEAD_BYTES, Ordering::Release);
    }

    /// Lifts the limit, since the head has arrived.
    pub(super) fn end_head(&self) {
        self.0.left.store(usize::MAX, Ordering::Release);
    }

    /// Whether the connection failed since the lines of a head end in two ways.
    pub(super) fn is_torn(&self) -> bool {
        self.0.is_torn.load(Ordering::Acquire)
    }

    /// Whether the last write had to wait.
    pub(super) fn is_congested(&self) -> bool {
        self.0.is_congested.load(Ordering::Acquire)
    }
}

impl Limited {
    pub(super) fn new(stream: TcpStream, monitor: Monitor, counter: Counter) -> Self {
        Self {
            stream,
            monitor,
            counter,
            line_ends: line_ends::Scanner::default(),
        }
    }

    /// Reads bytes of the head of which `left` may still come; true if it is torn.
    fn check_line_ends(&mut self, left: usize, bytes: &[u8]) -> bool {
        if left == MAX_HEAD_BYTES {
            // None of the head has arrived before.
            self.line_ends = line_ends::Scanner::default();
        }
        self.line_ends.read(bytes);
        let is_torn = self.line_ends.is_torn();
        if is_torn {
            self.monitor.0.is_torn.store(true, Ordering::Release);
        }
        is_torn
    }

    fn count_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let is_congested = &self.monitor.0.is_congested;
        is_congested.store(written.is_pending(), Ordering::Release);
        if let Poll::Ready(Ok(bytes)) = &written {
            self.counter.flow.record_sent(self.counter.kind, *bytes);
        }
        written
    }
}

impl AsyncRead for Limited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.monitor.0.left.load(Ordering::Acquire);
        if left == 0 {
            let message = "the head of the response does not end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.counter.flow.record_received(self.counter.kind, read);
        }
        if left != usize::MAX && self.check_line_ends(left, &buf.filled()[before..]) {
            buf.set_filled(before);
            let message = "the lines of a head end in two ways";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        // The limit may be lifted by another thread meanwhile, and must not come back then.
        let _lifted = self.monitor.0.left.compare_exchange(
            left,
            left.saturating_sub(read),
            Ordering::AcqRel,
            Ordering::Acquire,
        );
        polled
    }
}

impl AsyncWrite for Limited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
