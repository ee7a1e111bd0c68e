//! A connection from which a bounded number of bytes is read for each request.

use crate::caller::ReadLimit;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection on which requests without a body are expected.
#[derive(Debug)]
pub(crate) struct PageStream {
    io: TcpStream,
    limit: ReadLimit,
}

impl PageStream {
    pub(super) fn new(io: TcpStream) -> Self {
        Self {
            io,
            limit: ReadLimit::default(),
        }
    }

    /// The bound of what is read from this connection.
    pub(super) fn limit(&self) -> ReadLimit {
        self.limit.clone()
    }

    /// The connection without its bound.
    pub(crate) fn into_inner(self) -> TcpStream {
        self.io
    }
}

impl AsyncRead for PageStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        Poll::Ready(self.limit.record(buf.filled().len() - before))
    }
}

impl AsyncWrite for PageStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
