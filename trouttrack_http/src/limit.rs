//! Bounds the bytes that an answer takes besides its body.
//!
//! `hyper` bounds the size of a head, of chunk extensions and of trailers. It bounds neither the
//! number of informational heads before an answer nor the digits of a chunk's size, so a peer that
//! writes them without end would be read until the caller loses patience. The bound here lies
//! below `hyper`, on the bytes that are read from a connection.

use std::cell::Cell;
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that an answer may take besides its body: informational heads, the head, trailers, and
/// the framing of a body of a few bytes. Four times as much as common servers accept as one head.
pub const OVERHEAD_LIMIT: usize = 64 << 10;

/// Framing that each byte of a body allows. A chunk of one byte has five bytes of framing, and
/// twelve if its size is padded to 32 bits.
const FRAMING_PER_BYTE: u64 = 12;

/// A peer sent more bytes than an answer may take.
#[derive(Clone, Copy, Debug, Error)]
#[error("more bytes than an answer may take")]
pub(crate) struct LimitExceeded;

/// Whether an error of a connection was caused by its bound.
pub(crate) fn is_exceeded(e: &hyper::Error) -> bool {
    let io = e.source().and_then(|e| e.downcast_ref::<io::Error>());
    let cause = io.and_then(io::Error::get_ref);
    cause.is_some_and(<dyn Error + Send + Sync>::is::<LimitExceeded>)
}

/// A bound on the bytes that are read from a connection.
pub(crate) trait Budget {
    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// They exceed the bound.
    fn spend(&mut self, bytes: usize) -> Result<(), LimitExceeded>;
}

/// A budget that is not refilled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FixedBudget(pub(crate) usize);

impl Budget for FixedBudget {
    fn spend(&mut self, bytes: usize) -> Result<(), LimitExceeded> {
        self.0 = self.0.checked_sub(bytes).ok_or(LimitExceeded)?;
        Ok(())
    }
}

/// The budget of the current answer of a connection, which grows with the body that its reader
/// takes. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct AnswerBudget(Rc<Counts>);

#[derive(Debug)]
struct Counts {
    /// What the connection may have read and its reader has not taken yet.
    read_ahead: u64,
    read: Cell<u64>,
    taken: Cell<u64>,
}

impl AnswerBudget {
    /// The budget of a connection with a read buffer of this many bytes. One piece of a body waits
    /// for the reader beside what is in the buffer.
    pub(crate) fn new(read_buffer: usize) -> Self {
        Self(Rc::new(Counts {
            read_ahead: 2 * read_buffer as u64,
            read: Cell::default(),
            taken: Cell::default(),
        }))
    }

    /// The next answer begins.
    pub(crate) fn renew(&self) {
        self.0.read.set(0);
        self.0.taken.set(0);
    }

    /// Counts bytes of the body that its reader has taken.
    pub(crate) fn refill(&self, bytes: usize) {
        self.0.taken.set(self.0.taken.get() + bytes as u64);
    }
}

impl Budget for AnswerBudget {
    fn spend(&mut self, bytes: usize) -> Result<(), LimitExceeded> {
        let counts = &self.0;
        counts.read.set(counts.read.get() + bytes as u64);
        let taken = counts.taken.get();
        let overhead = OVERHEAD_LIMIT as u64 + taken.saturating_mul(FRAMING_PER_BYTE);
        let most = overhead
            .saturating_add(taken)
            .saturating_add(counts.read_ahead);
        match counts.read.get() <= most {
            true => Ok(()),
            false => Err(LimitExceeded),
        }
    }
}

/// A connection from which a bounded number of bytes is read.
#[derive(Debug)]
pub(crate) struct Limited<S, B> {
    io: S,
    budget: B,
}

impl<S, B> Limited<S, B> {
    pub(crate) fn new(io: S, budget: B) -> Self {
        Self { io, budget }
    }

    pub(crate) fn into_inner(self) -> S {
        self.io
    }
}

impl<S: AsyncRead + Unpin, B: Budget + Unpin> AsyncRead for Limited<S, B> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        let spent = self.budget.spend(buf.filled().len() - before);
        Poll::Ready(spent.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e)))
    }
}

impl<S: AsyncWrite + Unpin, B: Unpin> AsyncWrite for Limited<S, B> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
