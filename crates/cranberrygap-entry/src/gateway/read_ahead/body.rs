//! The body of a response that is read ahead.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

use super::{ReadAhead, response};

/// What the HTTP library gets of a response. Dropping it drops the rest of the response.
#[derive(Debug)]
pub(in super::super) struct Body {
    read_ahead: Arc<ReadAhead>,
    size_hint: SizeHint,
}

impl Body {
    pub(super) const fn new(read_ahead: Arc<ReadAhead>, size_hint: SizeHint) -> Self {
        Self {
            read_ahead,
            size_hint,
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = response::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, response::Error>>> {
        let next = ready!(self.read_ahead.poll_next(cx));
        Poll::Ready(next.map(|next| next.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.read_ahead.is_end()
    }

    fn size_hint(&self) -> SizeHint {
        self.size_hint
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.read_ahead.end();
    }
}
