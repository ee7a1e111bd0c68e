//! Records of recent routing decisions, for inspection.

use crate::{RequestId, Time, UpstreamId};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// A candidate considered in a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateNote {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its score; lower is better.
    pub score: f64,
    /// Estimated number of requests running there.
    pub running: usize,
    /// Forecast peak memory use as a fraction of capacity.
    pub fill: f64,
    /// Whether the request fits.
    pub fits: bool,
    /// Predicted time until the first token, in milliseconds.
    #[serde(default)]
    pub first_token_ms: u64,
    /// Predicted mean time between two events, in milliseconds, if known.
    #[serde(default)]
    pub event_gap_ms: Option<u64>,
}

/// A routing decision for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// When the decision was made.
    pub at: Time,
    /// How long the request had been queued.
    pub waited: Time,
    /// Description of the rule that decided.
    pub rule: String,
    /// The chosen upstream, if any.
    pub chosen: Option<UpstreamId>,
    /// The candidates considered.
    pub candidates: Vec<CandidateNote>,
}

/// The most recent decisions, for a bounded number of requests.
///
/// # Examples
///
/// ```
/// use trouttrack_core::routing::ExplanationTable;
/// let table = ExplanationTable::new(100);
/// assert!(table.decisions_for("r-1").is_empty());
/// ```
#[derive(Debug)]
pub struct ExplanationTable {
    max_requests: usize,
    order: VecDeque<RequestId>,
    by_request: HashMap<RequestId, Vec<Explanation>>,
}

impl ExplanationTable {
    /// Creates a table that holds the decisions for at most `max_requests` requests.
    #[must_use]
    pub fn new(max_requests: usize) -> Self {
        Self {
            max_requests,
            order: VecDeque::new(),
            by_request: HashMap::new(),
        }
    }

    /// Records a decision. When full, evicts the decisions for the oldest request.
    pub fn record(&mut self, request: &str, explanation: Explanation) {
        if let Some(list) = self.by_request.get_mut(request) {
            list.push(explanation);
            return;
        }
        if self.order.len() >= self.max_requests
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
        self.order.push_back(request.to_owned());
        self.by_request
            .insert(request.to_owned(), vec![explanation]);
    }

    /// Returns the decisions for a request, oldest first.
    #[must_use]
    pub fn decisions_for(&self, request: &str) -> &[Explanation] {
        self.by_request.get(request).map_or(&[], Vec::as_slice)
    }
}
