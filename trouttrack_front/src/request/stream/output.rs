//! The caller's end of a stream.

use crate::caller::{Broken, EventSender, Reply};
use bytes::Bytes;
use tokio::sync::oneshot;
use trouttrack_platform::AnswerHead;

/// The caller is not there any more.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerGone;

/// Takes the head of an answer once, then pieces of its body.
#[derive(Debug)]
pub(super) struct Output {
    head: Option<oneshot::Sender<Reply>>,
    pieces: EventSender,
}

impl Output {
    pub(super) fn new(head: oneshot::Sender<Reply>, pieces: EventSender) -> Self {
        Self {
            head: Some(head),
            pieces,
        }
    }

    /// Whether the head of a stream has been sent: its status is fixed, and
    /// all that is left to say is the rest of it.
    pub(super) fn is_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Something that tells when the caller goes away.
    pub(super) fn watcher(&self) -> EventSender {
        self.pieces.clone()
    }

    /// Sends the head of a stream.
    pub(super) fn begin(&mut self, head: &AnswerHead) {
        if let Some(tx) = self.head.take() {
            // If the caller is gone, the next piece tells.
            drop(tx.send(Reply::stream(head.clone())));
        }
    }

    pub(super) async fn piece(&self, bytes: Bytes) -> Result<(), CallerGone> {
        let sent = self.pieces.send(Ok(bytes)).await;
        sent.map_err(|_| CallerGone)
    }

    /// Ends with an answer that is no stream. Returns whether it could still
    /// be given.
    pub(super) fn end_with(&mut self, reply: Reply) -> bool {
        self.head.take().is_some_and(|tx| tx.send(reply).is_ok())
    }

    /// Ends a stream so that the caller sees that something is missing.
    pub(super) async fn break_off(&self) {
        // If the caller is gone, nobody is left to see it.
        drop(self.pieces.send(Err(Broken)).await);
    }
}
