//! Connections that carry requests.

use crate::socket::{set_reset_on_close, set_unacknowledged};
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What the owner of a connection and the task that carries its bytes share.
#[derive(Debug)]
struct State {
    /// Whether the peer has answered what was written.
    answered: Cell<bool>,
    /// How long written bytes may stay unacknowledged, until it is applied.
    limit: Cell<Option<Duration>>,
    /// Whether a limit has been applied.
    limited: Cell<bool>,
    /// Wakes the task.
    waker: RefCell<Option<Waker>>,
}

/// A connection that others may ask to end. Clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct Control(Rc<State>);

impl Control {
    /// Records that what was read answers an earlier request.
    pub(crate) fn revoke_answer(&self) {
        self.0.answered.set(false);
    }

    pub(crate) fn downgrade(&self) -> WeakControl {
        WeakControl(Rc::downgrade(&self.0))
    }
}

/// A [`Control`] that does not show whether its connection is still there.
#[derive(Clone, Debug)]
pub(crate) struct WeakControl(Weak<State>);

impl WeakControl {
    pub(crate) fn is_closed(&self) -> bool {
        self.0.strong_count() == 0
    }

    /// Resets the connection once bytes of an unanswered request have been unacknowledged for so
    /// long.
    pub(crate) fn limit_unacknowledged(&self, limit: Duration) {
        let state = self.0.upgrade();
        let Some(state) = state.filter(|state| !state.answered.get()) else {
            return;
        };
        state.limit.set(Some(limit));
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
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
    state: Rc<State>,
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
            state: Rc::new(State {
                answered: Cell::new(true),
                limit: Cell::new(None),
                limited: Cell::new(false),
                waker: RefCell::new(None),
            }),
        })
    }

    pub(crate) fn control(&self) -> Control {
        Control(Rc::clone(&self.state))
    }

    fn is_answered(&self) -> bool {
        self.state.answered.get()
    }

    fn record_read(&self) {
        self.state.answered.set(true);
        if self.state.limited.take() {
            // Where this fails, the limit stays.
            drop(set_unacknowledged(&self.stream, None));
        }
    }

    fn apply_limit(&self) {
        let limit = self.state.limit.take();
        if let Some(limit) = limit.filter(|_| !self.is_answered()) {
            let applied = set_unacknowledged(&self.stream, Some(limit));
            self.state.limited.set(applied.is_ok());
        }
    }

    fn keep_waker(&self, cx: &Context<'_>) {
        let mut kept = self.state.waker.borrow_mut();
        if !kept.as_ref().is_some_and(|kept| kept.will_wake(cx.waker())) {
            *kept = Some(cx.waker().clone());
        }
    }

    fn record_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(bytes)) if bytes > 0) {
            self.state.answered.set(false);
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
        self.keep_waker(cx);
        self.apply_limit();
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.record_read();
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
