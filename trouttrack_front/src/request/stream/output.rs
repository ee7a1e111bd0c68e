//! Output of a stream to its caller.

use crate::caller::{Broken, EventSender, Reply};
use crate::state::HeldBytes;
use bytes::Bytes;
use std::rc::Rc;
use tokio::sync::oneshot;
use trouttrack_platform::AnswerHead;

/// The caller closed its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerDisconnected;

/// Sends the head of a response once, then chunks of its body.
#[derive(Debug)]
pub(super) struct Output {
    head: Option<oneshot::Sender<Reply>>,
    /// Whether a head was sent with which the end of the body claims that the stream is complete.
    framed: bool,
    chunks: EventSender,
    /// Counts the unread bytes.
    held: Rc<HeldBytes>,
}

impl Output {
    pub(super) fn new(
        head: oneshot::Sender<Reply>,
        chunks: EventSender,
        held: Rc<HeldBytes>,
    ) -> Self {
        Self {
            head: Some(head),
            framed: false,
            chunks,
            held,
        }
    }

    /// Whether the head has been sent. The status is then fixed, and only the rest of the body
    /// can follow.
    pub(super) fn head_sent(&self) -> bool {
        self.head.is_none()
    }

    /// Whether the head has been sent and frames the body by chunks.
    pub(super) fn is_framed(&self) -> bool {
        self.framed
    }

    /// Returns a sender whose `closed` completes when the caller disconnects.
    pub(super) fn disconnect_watcher(&self) -> EventSender {
        self.chunks.clone()
    }

    /// Sends the head of a stream, which is framed if the upstream frames it.
    pub(super) fn send_head(&mut self, head: &AnswerHead, framed: bool) {
        if let Some(tx) = self.head.take() {
            self.framed = framed;
            // If the caller has disconnected, sending the next chunk fails.
            drop(tx.send(Reply::stream(head.clone(), framed)));
        }
    }

    /// Sends bytes once the caller has read enough of the earlier ones.
    pub(super) async fn send_chunk(&self, bytes: Bytes) -> Result<(), CallerDisconnected> {
        let reserved = self.held.reserve(bytes.len()).await;
        reserved.map_err(|_| CallerDisconnected)?;
        let sent = self.chunks.send(Ok(bytes)).await;
        sent.map_err(|_| CallerDisconnected)
    }

    /// Whether the caller was disconnected because it read too slowly.
    pub(super) fn reader_ended(&self) -> bool {
        self.held.is_ended()
    }

    /// Sends a reply that is not a stream. Returns `false` if the head was already sent or the
    /// caller has disconnected.
    pub(super) fn send_reply(&mut self, reply: Reply) -> bool {
        self.head.take().is_some_and(|tx| tx.send(reply).is_ok())
    }

    /// Aborts the stream, so that the caller can tell that it is incomplete.
    pub(super) async fn abort(&self) {
        // The error does not matter if the caller has disconnected.
        drop(self.chunks.send(Err(Broken)).await);
    }
}
