//! The right to one hand-over.

use super::actor::Dispatcher;
use super::messages::{Ended, Progress};
use actix::Addr;
use trouttrack_core::UpstreamId;
use trouttrack_core::world::RequestKey;

/// Where a request was placed.
#[derive(Debug)]
pub struct Placement {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The upstream's incarnation, if it has reported one.
    pub boot: Option<String>,
    /// The right to hand over; gives itself back.
    pub ticket: Ticket,
}

/// Holds a row of the request table. A ticket that is dropped says that the
/// attempt is over, so no row outlives its request.
#[derive(Debug)]
pub struct Ticket {
    dispatcher: Addr<Dispatcher>,
    ended: Option<Ended>,
}

impl Ticket {
    pub(super) fn new(dispatcher: Addr<Dispatcher>, key: RequestKey) -> Self {
        Self {
            dispatcher,
            ended: Some(Ended {
                key,
                fault: false,
                refused: false,
                tokens: None,
            }),
        }
    }

    /// The request has written this many tokens.
    pub fn progress(&self, tokens: u64) {
        if let Some(ended) = &self.ended {
            let key = ended.key;
            self.dispatcher.do_send(Progress { key, tokens });
        }
    }

    /// The attempt failed in a way that speaks against the upstream.
    pub fn fault(mut self) {
        if let Some(ended) = &mut self.ended {
            ended.fault = true;
        }
    }

    /// The upstream turned the request away.
    pub fn refused(mut self) {
        if let Some(ended) = &mut self.ended {
            ended.refused = true;
        }
    }

    /// The answer ended by itself after `tokens`.
    pub fn complete(mut self, tokens: u64) {
        if let Some(ended) = &mut self.ended {
            ended.tokens = Some(tokens);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if let Some(ended) = self.ended.take() {
            self.dispatcher.do_send(ended);
        }
    }
}
