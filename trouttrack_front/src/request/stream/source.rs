//! Receives the stream of an upstream, together with the events that affect it.

use crate::request::attempt::{STREAM_TRUNCATED, UpstreamResponse, body_failure};
use crate::rescue::{MoveEnd, MoveTask};
use crate::state::Upstream;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use trouttrack_core::Time;
use trouttrack_core::rescue::Departure;
use trouttrack_http::AnswerBody;
use trouttrack_platform::AnswerHead;

/// Upstream whose stream is being forwarded.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) upstream: Rc<Upstream>,
    /// Head of the response.
    pub(super) head: AnswerHead,
    /// Unread part of the response body.
    pub(super) body: AnswerBody,
    /// Whether the body is framed, by a length or by chunks, so that truncation is detectable.
    pub(super) framed: bool,
    /// Announced departure of the upstream.
    departure: watch::Receiver<Option<Departure>>,
    /// Whether a move was tried and failed.
    pub(super) move_failed: bool,
    /// Whether the failed move may have stopped the generation.
    pub(super) may_be_stopped: bool,
    /// Engine that keeps a copy of the KV cache.
    pub(super) backup: Option<Rc<Upstream>>,
    /// Arrival time of the last event.
    pub(super) last_event_at: Option<Time>,
}

impl Source {
    /// Creates a source from a response whose head has been received.
    pub(super) fn new(
        upstream: Rc<Upstream>,
        sent: UpstreamResponse,
        backup: Option<Rc<Upstream>>,
    ) -> Self {
        Self {
            departure: upstream.departure(),
            upstream,
            head: sent.head,
            body: sent.body,
            framed: sent.framed,
            move_failed: false,
            may_be_stopped: false,
            backup,
            last_event_at: None,
        }
    }

    /// Waits for the next event. `idle_timeout` limits the wait.
    pub(super) async fn next(
        &mut self,
        move_task: Option<&mut MoveTask>,
        may_move: bool,
        idle_timeout: Option<Duration>,
    ) -> SourceEvent {
        let may_move = may_move && move_task.is_none() && !self.move_failed;
        let moved = async {
            match move_task {
                Some(task) => task.finished().await,
                None => std::future::pending().await,
            }
        };
        let idle = async {
            match idle_timeout {
                Some(idle_timeout) => tokio::time::sleep(idle_timeout).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            chunk = self.body.next() => match chunk {
                Ok(Some(bytes)) => SourceEvent::Chunk(bytes),
                Ok(None) => SourceEvent::Ended,
                Err(e) => SourceEvent::Truncated(body_failure(&e, STREAM_TRUNCATED)),
            },
            moved = moved => SourceEvent::MoveFinished(moved),
            // The sender is owned by the upstream, which the source keeps alive.
            Ok(_) = self.departure.wait_for(Option::is_some), if may_move => SourceEvent::UpstreamLeaving,
            () = idle => SourceEvent::Idle,
        }
    }
}

/// Next event of a source.
#[derive(Debug)]
pub(super) enum SourceEvent {
    /// Bytes of the stream.
    Chunk(Bytes),
    /// The end of the body.
    Ended,
    /// The body was truncated, for this reason.
    Truncated(&'static str),
    /// Nothing arrived within the idle timeout.
    Idle,
    /// The upstream announced that it leaves.
    UpstreamLeaving,
    /// The move finished.
    MoveFinished(MoveEnd),
}
