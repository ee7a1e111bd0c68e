//! An upstream that sends a stream, and what comes from it.

use crate::request::attempt::Sent;
use crate::rescue::{Carried, CarryTask};
use crate::state::Upstream;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use trouttrack_core::Time;
use trouttrack_core::rescue::Departure;
use trouttrack_http::AnswerBody;
use trouttrack_platform::AnswerHead;

/// An upstream that sends a stream.
#[derive(Debug)]
pub(super) struct Source {
    /// The upstream.
    pub(super) upstream: Rc<Upstream>,
    /// The head of its answer.
    pub(super) head: AnswerHead,
    /// What is still to come of the answer.
    pub(super) body: AnswerBody,
    /// Whether the body tells where it ends.
    pub(super) framed: bool,
    /// Whether and when the upstream leaves.
    departure: watch::Receiver<Option<Departure>>,
    /// Whether a move was tried and came to nothing.
    pub(super) move_failed: bool,
    /// Whether that move may have stopped the generation.
    pub(super) may_be_stopped: bool,
    /// The engine that keeps a copy of the memory.
    pub(super) backup: Option<Rc<Upstream>>,
    /// When its last event arrived.
    pub(super) last_event_at: Option<Time>,
}

impl Source {
    /// An upstream whose answer's head has come.
    pub(super) fn new(upstream: Rc<Upstream>, sent: Sent, backup: Option<Rc<Upstream>>) -> Self {
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

    /// Waits for what comes next.
    pub(super) async fn next(
        &mut self,
        carry: Option<&mut CarryTask>,
        may_move: bool,
        silence: Option<Duration>,
    ) -> Next {
        let may_move = may_move && carry.is_none() && !self.move_failed;
        let carried = async {
            match carry {
                Some(task) => task.finished().await,
                None => std::future::pending().await,
            }
        };
        let silent = async {
            match silence {
                Some(silence) => tokio::time::sleep(silence).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            piece = self.body.next() => match piece {
                Ok(Some(bytes)) => Next::Piece(bytes),
                Ok(None) => Next::Ended,
                Err(_) => Next::BrokenOff,
            },
            carried = carried => Next::Carried(carried),
            // The sender is part of the upstream, which the source holds.
            Ok(_) = self.departure.wait_for(Option::is_some), if may_move => Next::Leaves,
            () = silent => Next::Silent,
        }
    }
}

/// What comes next.
#[derive(Debug)]
pub(super) enum Next {
    /// More of the stream.
    Piece(Bytes),
    /// The end of the body.
    Ended,
    /// The body broke off.
    BrokenOff,
    /// Nothing came for too long.
    Silent,
    /// The upstream leaves.
    Leaves,
    /// The move ended.
    Carried(Carried),
}
