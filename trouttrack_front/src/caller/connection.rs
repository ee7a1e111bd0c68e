//! A caller's connection, which reports the progress of writing to the response's buffer and shows
//! the caller whether a response that ends with it is complete.

use super::body::{CallerBody, UnframedEnd};
use super::limit::ReadLimit;
use crate::state::HeldBytes;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use trouttrack_http::socket;

/// The response that is being written to a connection. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct CurrentResponse(Rc<RefCell<Response>>);

#[derive(Debug, Default)]
struct Response {
    held: Option<Rc<HeldBytes>>,
    unframed: Option<UnframedEnd>,
}

impl CurrentResponse {
    /// Sets the body that the connection is about to write.
    pub(crate) fn set(&self, body: &CallerBody) {
        *self.0.borrow_mut() = Response {
            held: body.held(),
            unframed: body.unframed_end(),
        };
    }

    fn held(&self) -> Option<Rc<HeldBytes>> {
        self.0.borrow().held.clone()
    }

    fn unframed(&self) -> Option<UnframedEnd> {
        self.0.borrow().unframed.clone()
    }
}

/// A connection whose close can be a reset.
pub(crate) trait ResetOnClose {
    /// Sets whether closing the connection resets it.
    ///
    /// # Errors
    ///
    /// The system refuses the option.
    fn set_reset_on_close(&self, reset: bool) -> io::Result<()>;
}

impl ResetOnClose for TcpStream {
    fn set_reset_on_close(&self, reset: bool) -> io::Result<()> {
        socket::set_reset_on_close(self, reset)
    }
}

/// A caller's connection. Writes fail once the reader of its response has been ended. It is reset
/// unless a response that ends with it is complete.
#[derive(Debug)]
pub(crate) struct CallerStream<T = TcpStream> {
    io: T,
    response: CurrentResponse,
    limit: ReadLimit,
    resets_on_close: bool,
}

impl<T> CallerStream<T> {
    pub(crate) fn new(io: T) -> Self {
        Self {
            io,
            response: CurrentResponse::default(),
            limit: ReadLimit::default(),
            resets_on_close: false,
        }
    }

    /// The response that this connection writes.
    pub(crate) fn response(&self) -> CurrentResponse {
        self.response.clone()
    }

    /// The bound of what is read from this connection.
    pub(crate) fn limit(&self) -> ReadLimit {
        self.limit.clone()
    }
}

impl<T: ResetOnClose> CallerStream<T> {
    fn set_reset_on_close(&mut self, reset: bool) {
        if self.resets_on_close == reset {
            return;
        }
        match self.io.set_reset_on_close(reset) {
            Ok(()) => self.resets_on_close = reset,
            Err(e) => log::debug!("cannot set how a caller's connection closes: {e}"),
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CallerStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.limit.poll_ready(cx));
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        Poll::Ready(self.limit.record(buf.filled().len() - before))
    }
}

impl<T: AsyncWrite + ResetOnClose + Unpin> AsyncWrite for CallerStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.response.unframed().is_some() {
            self.set_reset_on_close(true);
        }
        let held = self.response.held();
        if held.as_ref().is_some_and(|held| held.is_ended()) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        if let Some(held) = held {
            match &written {
                Poll::Ready(Ok(n)) => held.written(buf.len() - n),
                Poll::Ready(Err(_)) => {}
                Poll::Pending => held.stalled(cx.waker()),
            }
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.response.unframed() {
            // A shutdown would look like the end of the body.
            Some(end) if !end.is_reached() => return Poll::Ready(Ok(())),
            Some(_) => self.set_reset_on_close(false),
            None => {}
        }
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
