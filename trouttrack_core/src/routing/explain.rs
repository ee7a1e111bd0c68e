//! Why a request went where it went, kept for a while.

use crate::{RequestId, Time, UpstreamId};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// One candidate of a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateNote {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its score; lower is better.
    pub score: f64,
    /// Requests estimated to run there.
    pub running: usize,
    /// Forecast memory over capacity.
    pub fill: f64,
    /// Whether the request fitted.
    pub fits: bool,
}

/// One decision about one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// When it was made.
    pub at: Time,
    /// How long the request had waited.
    pub waited: Time,
    /// The rule that won, in words.
    pub rule: String,
    /// The chosen upstream, if any.
    pub chosen: Option<UpstreamId>,
    /// What was weighed.
    pub candidates: Vec<CandidateNote>,
}

/// The last decisions, bounded by count.
///
/// # Examples
///
/// ```
/// use trouttrack_core::routing::ExplanationTable;
/// let table = ExplanationTable::new(100);
/// assert!(table.of("r-1").is_empty());
/// ```
#[derive(Debug)]
pub struct ExplanationTable {
    most: usize,
    order: VecDeque<RequestId>,
    by_request: HashMap<RequestId, Vec<Explanation>>,
}

impl ExplanationTable {
    /// A table for decisions about at most `most` requests.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most,
            order: VecDeque::new(),
            by_request: HashMap::new(),
        }
    }

    /// Keeps a decision; the oldest request's are forgotten when full.
    pub fn keep(&mut self, request: &str, explanation: Explanation) {
        if let Some(list) = self.by_request.get_mut(request) {
            list.push(explanation);
            return;
        }
        if self.order.len() >= self.most
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
        self.order.push_back(request.to_owned());
        self.by_request
            .insert(request.to_owned(), vec![explanation]);
    }

    /// The decisions about a request, oldest first.
    #[must_use]
    pub fn of(&self, request: &str) -> &[Explanation] {
        self.by_request.get(request).map_or(&[], Vec::as_slice)
    }
}
