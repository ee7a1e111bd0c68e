//! Response bodies for callers.

use crate::state::HeldBytes;
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use thiserror::Error;
use tokio::sync::mpsc;

/// Number of stream chunks buffered for a slow caller.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// Bytes of a complete body that the connection takes at once.
const MAX_PIECE_BYTES: usize = 16 << 10;

/// A stream ended before it was complete. The connection is closed, so that the caller can tell
/// that data is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream ended before it was complete")]
pub(crate) struct Broken;

/// The sending half of a stream body. It closes when the caller disconnects.
pub(crate) type EventSender = mpsc::Sender<Result<Bytes, Broken>>;

/// The end of a body that ends with its connection, shared by the body and the connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnframedEnd(Rc<Cell<bool>>);

impl UnframedEnd {
    fn reach(&self) {
        self.0.set(true);
    }

    /// Whether the connection has taken the last bytes of the body.
    pub(crate) fn is_reached(&self) -> bool {
        self.0.get()
    }
}

/// A response body.
#[derive(Debug)]
pub(crate) struct CallerBody {
    content: Content,
    /// Its end, if it has neither a length nor chunks.
    unframed: Option<UnframedEnd>,
    /// Counts the bytes; `None` for the short responses of this VM.
    held: Option<Rc<HeldBytes>>,
}

#[derive(Debug)]
enum Content {
    /// The rest of a complete body.
    Whole(Bytes),
    /// Chunks that are forwarded as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl CallerBody {
    /// Creates a stream body and its sender.
    #[must_use]
    pub(crate) fn stream(held: Rc<HeldBytes>) -> (EventSender, Self) {
        let (tx, rx) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        let content = Content::Stream(rx);
        let body = Self {
            content,
            unframed: None,
            held: Some(held),
        };
        (tx, body)
    }

    /// Creates a complete body.
    #[must_use]
    pub(crate) fn whole(bytes: Bytes, held: Option<Rc<HeldBytes>>) -> Self {
        Self {
            content: Content::Whole(bytes),
            unframed: None,
            held,
        }
    }

    /// The same body without a length or chunks: it ends with its connection.
    #[must_use]
    pub(crate) fn unframed(mut self) -> Self {
        self.unframed = Some(UnframedEnd::default());
        self
    }

    /// Returns its end, if it ends with its connection.
    #[must_use]
    pub(crate) fn unframed_end(&self) -> Option<UnframedEnd> {
        self.unframed.clone()
    }

    /// Returns the counter of the bytes.
    #[must_use]
    pub(crate) fn held(&self) -> Option<Rc<HeldBytes>> {
        self.held.clone()
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if let Some(held) = &self.held {
            held.abandon();
        }
    }
}

impl MessageBody for CallerBody {
    type Error = Broken;

    fn size(&self) -> BodySize {
        match &self.content {
            _ if self.unframed.is_some() => BodySize::Stream,
            Content::Whole(bytes) => BodySize::Sized(bytes.len() as u64),
            Content::Stream(_) => BodySize::Stream,
        }
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Broken>>> {
        let next = match &mut self.content {
            Content::Whole(bytes) if bytes.is_empty() => None,
            Content::Whole(bytes) => {
                let length = bytes.len().min(MAX_PIECE_BYTES);
                Some(Ok(bytes.split_to(length)))
            }
            Content::Stream(rx) => ready!(rx.poll_recv(cx)),
        };
        if let (Some(Ok(bytes)), Some(held)) = (&next, &self.held) {
            held.taken(bytes.len());
        }
        if let (None, Some(end)) = (&next, &self.unframed) {
            end.reach();
        }
        Poll::Ready(next)
    }
}
