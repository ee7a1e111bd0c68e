//! What this gateway knows of the requests whose claims it won.

use std::collections::{HashMap, VecDeque};
use trouttrack_core::{Outcome, RequestId};
use trouttrack_rpc::ClaimedState;

/// Requests that are remembered; the oldest are forgotten first.
const KEPT: usize = 100_000;

/// How far a claimed request has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progressed {
    /// It was claimed and not handed over yet.
    Claimed,
    /// Its stream can be attached to.
    Stream(String),
    /// It ended.
    Ended(Outcome),
    /// It was given up before it was handed over.
    GivenUp,
}

/// Claimed requests by id.
///
/// # Examples
///
/// ```
/// use trouttrack_gateway::claims::{ClaimLedger, Progressed};
/// use trouttrack_rpc::ClaimedState;
/// let mut ledger = ClaimLedger::default();
/// ledger.note("r-1", Progressed::GivenUp);
/// assert_eq!(ledger.state("r-1"), ClaimedState::GivenUp);
/// assert_eq!(ledger.state("r-2"), ClaimedState::Unknown);
/// ```
#[derive(Debug, Default)]
pub struct ClaimLedger {
    order: VecDeque<RequestId>,
    by_request: HashMap<RequestId, Progressed>,
}

impl ClaimLedger {
    /// Notes how far a request has come. A handle is kept after the end, so
    /// that a repeat still gets the answer; giving up is final.
    pub fn note(&mut self, request: &str, progressed: Progressed) {
        if let Some(known) = self.by_request.get_mut(request) {
            let keeps = match known {
                Progressed::GivenUp => true,
                Progressed::Stream(_) => progressed == Progressed::Ended(Outcome::Complete),
                _ => false,
            };
            if !keeps {
                *known = progressed;
            }
            return;
        }
        if self.order.len() == KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
        self.order.push_back(request.to_owned());
        self.by_request.insert(request.to_owned(), progressed);
    }

    /// What a repeat is told of a request.
    #[must_use]
    pub fn state(&self, request: &str) -> ClaimedState {
        match self.by_request.get(request) {
            None => ClaimedState::Unknown,
            Some(Progressed::Claimed) => ClaimedState::InProgress,
            Some(Progressed::Stream(handle)) => ClaimedState::Stream(handle.clone()),
            Some(Progressed::Ended(outcome)) => ClaimedState::Ended(*outcome),
            Some(Progressed::GivenUp) => ClaimedState::GivenUp,
        }
    }
}
