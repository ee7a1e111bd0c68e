//! Bounds the bytes that are read from a caller's connection.
//!
//! The HTTP layer bounds heads and how much of a body it reads ahead. It bounds neither the framing
//! of a chunked body, nor a body that nobody wants any more, which it reads on so that the caller
//! can take the response. While a request is served it reads ahead until its buffer is full, and
//! then asks again and again.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use thiserror::Error;

/// Bytes that a request may take besides its body, and that the HTTP layer reads ahead: it keeps up
/// to 128 KiB that are not decoded and 32 KiB that are.
const ALLOWANCE: u64 = 256 << 10;
/// Framing that each byte of a body allows. A chunk of one byte has five bytes of framing, and
/// twelve if its size is padded to 32 bits.
const FRAMING_PER_BYTE: u64 = 12;
/// Bytes beyond a request's head that are read ahead while the request before it is served.
const READ_AHEAD: u64 = 32 << 10;

/// A caller sent more bytes than a request may take.
#[derive(Clone, Copy, Debug, Error)]
#[error("more bytes than a request may take")]
struct LimitExceeded;

/// The bytes of the current request, shared by its connection and its handler.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadLimit(Rc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    /// Bytes read since the request began, or since its body was complete.
    read: Cell<u64>,
    /// Bytes of its body that its handler has taken.
    taken: Cell<u64>,
    /// The largest body.
    max_body: Cell<u64>,
    /// Where reading pauses, if the body is complete.
    pauses_at: Cell<Option<u64>>,
    /// The connection's task, while reading pauses.
    paused: RefCell<Option<Waker>>,
}

impl ReadLimit {
    /// A request begins, whose body may have so many bytes.
    pub(crate) fn begin(&self, max_body: usize) {
        self.0.read.set(0);
        self.0.taken.set(0);
        self.0.max_body.set(max_body as u64);
        self.0.pauses_at.set(None);
        if let Some(waker) = self.0.paused.take() {
            waker.wake();
        }
    }

    /// The handler has taken bytes of the body.
    pub(crate) fn take(&self, bytes: usize) {
        self.0.taken.set(self.0.taken.get() + bytes as u64);
    }

    /// The body is complete. Until the next request begins, only so much is read that its head, of
    /// at most `max_head` bytes, is complete.
    pub(crate) fn body_complete(&self, max_head: usize) {
        self.0.read.set(0);
        self.0.pauses_at.set(Some(max_head as u64 + READ_AHEAD));
    }

    /// Waits while no more may be read for now.
    pub(super) fn poll_ready(&self, cx: &Context<'_>) -> Poll<()> {
        match self.0.pauses_at.get() {
            Some(most) if self.0.read.get() >= most => {
                *self.0.paused.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// The request may not take so many. A body that is not wanted is read as far as one that is.
    pub(crate) fn record(&self, bytes: usize) -> io::Result<()> {
        let counts = &self.0;
        counts.read.set(counts.read.get() + bytes as u64);
        let body = 2 * counts.max_body.get();
        let framed = counts.taken.get().saturating_mul(1 + FRAMING_PER_BYTE);
        let most = framed.saturating_add(body).saturating_add(ALLOWANCE);
        match counts.read.get() <= most {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::InvalidData, LimitExceeded)),
        }
    }
}
