//! Reads a response ahead of a caller that reads slowly, so that its endpoint can go on.
//!
//! Everything runs in the task of the caller's connection: the HTTP library polls the body while it
//! has room for more, and the connection polls the read-ahead in the meantime. Both end with the
//! connection, so that a caller that leaves stops its endpoint at once. Reading pauses between two
//! frames only, each of which holds whole events.

mod body;

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};

use bytes::Bytes;
use cranberrygap_policy::memory;
use hyper::body::Body as _;
use parking_lot::Mutex;
use smol_str::SmolStr;

use super::{readers, response};

pub(super) use body::Body;

/// Bytes of one response that are read ahead. Streams usually have 2 to 8 KB.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Bytes that are charged for a frame beside its content.
const FRAME_OVERHEAD_BYTES: usize = 64;

/// Bytes that are charged while a response is blocked: the HTTP library's buffers for the endpoint's
/// and the caller's connection. A blocked stream had 137 KiB of them in a trial with fast endpoints,
/// of which the bytes that are not written are charged already.
const BLOCKED_BYTES: usize = 96 << 10;

/// Room that must be granted before a frame is read whose size is not known yet.
const READ_BYTES: usize = 8 << 10;

/// The read-ahead of one caller's connection, which has one response at a time.
#[derive(Debug)]
pub(super) struct ReadAhead {
    readers: Arc<readers::Readers>,
    holder: memory::Holder,
    signal: Arc<readers::Signal>,
    state: Mutex<State>,
}

/// The response in progress, and what the caller has not taken yet.
#[derive(Debug, Default)]
struct State {
    /// Id of the request, for the log.
    request: Option<SmolStr>,
    source: Option<response::Body>,
    /// Frames that the HTTP library has not taken.
    queue: VecDeque<Bytes>,
    /// Bytes charged for the queue.
    queued: usize,
    /// Bytes charged for frames that the HTTP library has taken and not written.
    unwritten: usize,
    /// Whether [`BLOCKED_BYTES`] are charged.
    is_blocked: bool,
    /// Whether the HTTP library waits for the next frame, so that it is not to be queued.
    is_awaited: bool,
    /// Why the response is incomplete; follows the queue.
    failure: Option<response::Error>,
    /// Whether all that was taken is written.
    is_flushed: bool,
    /// Waits for the flush before the failure.
    waker: Option<Waker>,
}

impl ReadAhead {
    pub(super) fn new(readers: &Arc<readers::Readers>) -> Self {
        let (holder, signal) = readers.open();
        Self {
            readers: Arc::clone(readers),
            holder,
            signal,
            state: Mutex::default(),
        }
    }

    /// Begins a response; its caller gets the body that is returned.
    pub(super) fn begin(
        self: &Arc<Self>,
        request: Option<SmolStr>,
        source: response::Body,
    ) -> Body {
        let size_hint = source.size_hint();
        let mut state = self.state.lock();
        state.request = request;
        state.source = Some(source);
        state.is_awaited = false;
        state.is_flushed = false;
        drop(state);
        Body::new(Arc::clone(self), size_hint)
    }

    /// Id of the request that was begun last.
    pub(super) fn request(&self) -> Option<SmolStr> {
        self.state.lock().request.clone()
    }

    /// Reads ahead as far as it is granted. Ready once the connection is cut.
    pub(super) fn poll(&self, cx: &mut Context<'_>) -> Poll<memory::Cut> {
        let cut = self.signal.poll_cut(cx);
        if cut.is_pending() {
            self.read_ahead(cx);
        }
        cut
    }

    /// Records that the caller's socket took so many bytes.
    pub(super) fn record_written(&self, bytes: usize) {
        let mut state = self.state.lock();
        if state.unwritten == 0 && state.queued == 0 {
            return;
        }
        let released = bytes.min(state.unwritten);
        state.unwritten -= released;
        self.readers.record_read(self.holder, released);
    }

    /// Records that the HTTP library has written all that it took.
    pub(super) fn record_flush(&self) {
        let mut state = self.state.lock();
        state.is_flushed = true;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
        if state.unwritten > 0 {
            let released = std::mem::take(&mut state.unwritten);
            self.readers.record_read(self.holder, released);
        }
    }

    /// Reads frames while the HTTP library has no room for them.
    fn read_ahead(&self, cx: &mut Context<'_>) {
        let mut state = self.state.lock();
        self.update_blocked(&mut state);
        while !state.is_awaited && state.queued < MAX_READ_AHEAD_BYTES && state.source.is_some() {
            let need = memory::Need::Deferrable;
            if !self.readers.charge(self.holder, READ_BYTES, need) {
                return;
            }
            let next = state.poll_source(cx);
            self.readers.release(self.holder, READ_BYTES);
            match next {
                Poll::Pending | Poll::Ready(None) => return,
                Poll::Ready(Some(Err(failure))) => state.failure = Some(failure),
                Poll::Ready(Some(Ok(frame))) => self.keep(&mut state, &frame),
            }
        }
    }

    /// Charges for the buffers of a response that the HTTP library has no room for, or releases
    /// them.
    fn update_blocked(&self, state: &mut State) {
        let is_blocked = !state.is_awaited && state.source.is_some();
        if is_blocked == std::mem::replace(&mut state.is_blocked, is_blocked) {
            return;
        }
        if is_blocked {
            let need = memory::Need::Required;
            // Without a grant the connection is cut, which its task sees next.
            self.readers.charge(self.holder, BLOCKED_BYTES, need);
        } else {
            self.readers.release(self.holder, BLOCKED_BYTES);
        }
    }

    /// Adds a frame to the queue.
    fn keep(&self, state: &mut State, frame: &[u8]) {
        let charged = frame.len() + FRAME_OVERHEAD_BYTES;
        // It has left the endpoint's connection and is lost if it is not kept.
        if !self
            .readers
            .charge(self.holder, charged, memory::Need::Required)
        {
            // The connection is cut. Without the frame the response must not end as if whole.
            state.source = None;
            state.failure = Some(response::Error::other("the caller's connection is cut"));
            return;
        }
        // A frame may be a slice of the endpoint connection's read buffer, and would keep all of it.
        let frame = Bytes::copy_from_slice(frame);
        state.queued += charged;
        state.queue.push_back(frame);
    }

    /// The next frame for the HTTP library, which has room for it.
    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, response::Error>>> {
        let mut state = self.state.lock();
        state.is_awaited = false;
        if let Some(frame) = state.queue.pop_front() {
            state.queued -= frame.len() + FRAME_OVERHEAD_BYTES;
            self.readers.release(self.holder, FRAME_OVERHEAD_BYTES);
            state.record_taken(frame.len());
            return Poll::Ready(Some(Ok(frame)));
        }
        if state.failure.is_none() {
            let next = state.poll_source(cx);
            state.is_awaited = next.is_pending();
            match ready!(next) {
                None => return Poll::Ready(None),
                Some(Ok(frame)) => {
                    let (length, need) = (frame.len(), memory::Need::Required);
                    // Without a grant the connection is cut, which its task sees next.
                    self.readers.charge(self.holder, length, need);
                    state.record_taken(length);
                    return Poll::Ready(Some(Ok(frame)));
                }
                Some(Err(failure)) => state.failure = Some(failure),
            }
        }
        // The HTTP library drops what it has not written when a body fails.
        if !state.is_flushed {
            state.is_awaited = true;
            state.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(state.failure.take().map(Err))
    }

    /// Drops what the HTTP library does not ask for any more.
    fn end(&self) {
        let mut state = self.state.lock();
        let source = state.source.take();
        state.queue.clear();
        state.failure = None;
        state.waker = None;
        let queued = std::mem::take(&mut state.queued);
        self.update_blocked(&mut state);
        drop(state);
        // Closes the connection to the endpoint, unless the response is complete.
        drop(source);
        if queued > 0 {
            self.readers.release(self.holder, queued);
        }
    }

    /// Whether nothing follows what was taken.
    fn is_end(&self) -> bool {
        let state = self.state.lock();
        let source = state.source.as_ref();
        state.queue.is_empty()
            && state.failure.is_none()
            && source.is_none_or(response::Body::is_end_stream)
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.readers.close(self.holder);
    }
}

impl State {
    /// The next frame from the endpoint. A source that ended is dropped.
    fn poll_source(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, response::Error>>> {
        while let Some(source) = &mut self.source {
            let next = match ready!(Pin::new(source).poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Some(Ok(data)),
                    Err(_trailers) => continue,
                },
                Some(Err(failure)) => Some(Err(failure)),
                None => None,
            };
            if !matches!(next, Some(Ok(_))) {
                self.source = None;
            }
            return Poll::Ready(next);
        }
        Poll::Ready(None)
    }

    /// Records that the HTTP library took a frame.
    const fn record_taken(&mut self, bytes: usize) {
        self.unwritten += bytes;
        self.is_flushed = false;
    }
}
