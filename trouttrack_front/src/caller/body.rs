//! Response bodies for callers.

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;

/// Number of stream chunks buffered for a slow caller.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// A stream ended before it was complete. The connection is closed, so that the caller can tell
/// that data is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream ended before it was complete")]
pub(crate) struct Broken;

/// The sending half of a stream body. It closes when the caller disconnects.
pub(crate) type EventSender = mpsc::Sender<Result<Bytes, Broken>>;

/// A response body.
#[derive(Debug)]
pub(crate) enum CallerBody {
    /// A complete body.
    Whole(Bytes),
    /// Chunks that are forwarded as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl CallerBody {
    /// Creates a stream body and its sender.
    #[must_use]
    pub(crate) fn stream() -> (EventSender, Self) {
        let (tx, rx) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        (tx, Self::Stream(rx))
    }
}

impl MessageBody for CallerBody {
    type Error = Broken;

    fn size(&self) -> BodySize {
        match self {
            Self::Whole(bytes) => BodySize::Sized(bytes.len() as u64),
            Self::Stream(_) => BodySize::Stream,
        }
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Broken>>> {
        match &mut *self {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Self::Stream(rx) => rx.poll_recv(cx),
        }
    }
}
