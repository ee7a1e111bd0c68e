//! A caller's connection, which reports the progress of writing to the response's buffer.

use crate::state::HeldBytes;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The buffer of the response that is being written to a connection. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct CurrentResponse(Rc<RefCell<Option<Rc<HeldBytes>>>>);

impl CurrentResponse {
    /// Sets the buffer to which the connection reports its progress.
    pub(crate) fn set(&self, held: Option<Rc<HeldBytes>>) {
        *self.0.borrow_mut() = held;
    }

    fn get(&self) -> Option<Rc<HeldBytes>> {
        self.0.borrow().clone()
    }
}

/// A caller's connection. Writes fail once the reader of its response has been ended.
#[derive(Debug)]
pub(crate) struct CallerStream<T = TcpStream> {
    io: T,
    response: CurrentResponse,
}

impl<T> CallerStream<T> {
    pub(crate) fn new(io: T) -> Self {
        Self {
            io,
            response: CurrentResponse::default(),
        }
    }

    /// The buffer of the response that this connection writes.
    pub(crate) fn response(&self) -> CurrentResponse {
        self.response.clone()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CallerStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CallerStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let held = self.response.get();
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
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
