//! Bodies of answers to callers.

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;

/// Pieces of a stream that may wait for a slow caller.
const WAITING_PIECES: usize = 64;

/// A stream ends without its end; the connection is closed, so that the caller
/// sees that something is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream was broken off")]
pub(crate) struct Broken;

/// Where a stream's pieces are put. It closes when the caller goes away.
pub(crate) type EventSender = mpsc::Sender<Result<Bytes, Broken>>;

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum CallerBody {
    /// Known whole.
    Whole(Bytes),
    /// Pieces as they come.
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl CallerBody {
    /// A stream, and where its pieces are put.
    #[must_use]
    pub(crate) fn stream() -> (EventSender, Self) {
        let (tx, rx) = mpsc::channel(WAITING_PIECES);
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
