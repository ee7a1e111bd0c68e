//! Connections that carry requests.

use crate::socket::set_reset_on_close;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether the peer has answered what was written to a connection. Clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct Answered(Rc<Cell<bool>>);

impl Answered {
    /// Records that what was read answers an earlier request.
    pub(crate) fn revoke(&self) {
        self.0.set(false);
    }
}

/// A connection on which a peer answers requests.
///
/// A request without an answer may not have arrived, and the system would go on sending it after
/// the connection is closed, for as long as the network takes to deliver it. Such a connection is
/// therefore reset. One whose requests have been answered, at least in part, closes in order, and
/// the system repeats its end until it arrives.
///
/// # Examples
///
/// ```
/// use tokio::io::{AsyncReadExt, AsyncWriteExt};
/// use tokio::net::{TcpListener, TcpStream};
/// use trouttrack_http::RequestStream;
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let listener = TcpListener::bind("127.0.0.1:0").await?;
/// let stream = TcpStream::connect(listener.local_addr()?).await?;
/// let (mut peer, _) = listener.accept().await?;
/// let mut stream = RequestStream::new(stream)?;
/// stream.write_all(b"ping").await?;
/// drop(stream);
/// let mut buf = Vec::new();
/// assert!(peer.read_to_end(&mut buf).await.is_err());
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct RequestStream {
    stream: TcpStream,
    answered: Answered,
}

impl RequestStream {
    /// Wraps a connection on which nothing has been requested. If the process is killed, the
    /// system resets the connection.
    ///
    /// # Errors
    ///
    /// The system refuses an option.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        set_reset_on_close(&stream, true)?;
        Ok(Self {
            stream,
            answered: Answered(Rc::new(Cell::new(true))),
        })
    }

    pub(crate) fn answered(&self) -> Answered {
        self.answered.clone()
    }

    fn is_answered(&self) -> bool {
        self.answered.0.get()
    }

    fn record_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(bytes)) if bytes > 0) {
            self.answered.0.set(false);
        }
        written
    }
}

impl Drop for RequestStream {
    fn drop(&mut self) {
        if self.is_answered() {
            // Where this fails, the connection is reset.
            drop(set_reset_on_close(&self.stream, false));
        }
    }
}

impl AsyncRead for RequestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.answered.0.set(true);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Does nothing while a request is unanswered: an end in order follows what was written.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.is_answered() {
            true => Pin::new(&mut self.stream).poll_shutdown(cx),
            false => Poll::Ready(Ok(())),
        }
    }
}
