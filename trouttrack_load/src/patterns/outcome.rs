//! How the callers of a pattern fared.

use super::pattern::Layout;
use std::time::Duration;

/// What became of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Requests, by failure domain.
    pub asked: Vec<usize>,
    /// Those without a first token within their objective, by failure domain.
    pub late: Vec<usize>,
    /// Datagrams that were sent.
    pub datagrams: u64,
    /// Requests that ran in another failure domain than that of their VM.
    pub far: usize,
    /// Requests that were placed in a failure domain while it was known to be evacuated.
    pub evacuated: usize,
    /// Times to the first token, in order.
    first: Vec<Duration>,
}

impl Outcome {
    pub(super) fn new(layout: &Layout) -> Self {
        Self {
            asked: vec![0; layout.domains],
            late: vec![0; layout.domains],
            datagrams: 0,
            far: 0,
            evacuated: 0,
            first: Vec::new(),
        }
    }

    /// Counts a request; `first` is the time to its first token, if it had one.
    pub(super) fn count(&mut self, domain: usize, first: Option<Duration>, objective: Duration) {
        self.asked[domain] += 1;
        let in_time = first.is_some_and(|t| t <= objective);
        self.late[domain] += usize::from(!in_time);
        self.first.extend(first);
    }

    pub(super) fn sort(&mut self) {
        self.first.sort_unstable();
    }

    /// The share of late first tokens.
    #[must_use]
    pub fn late_share(&self) -> f64 {
        self.late.iter().sum::<usize>() as f64 / self.asked.iter().sum::<usize>().max(1) as f64
    }

    /// The share of late first tokens in the failure domain that has most of them.
    #[must_use]
    pub fn worst_domain(&self) -> f64 {
        let shares = self.late.iter().zip(&self.asked);
        shares.fold(0.0, |worst, (late, asked)| {
            (*late as f64 / (*asked).max(1) as f64).max(worst)
        })
    }

    /// A quantile of the time to the first token.
    #[must_use]
    pub fn first_token(&self, quantile: f64) -> Duration {
        let last = self.first.len().saturating_sub(1);
        let place = (last as f64 * quantile) as usize;
        self.first.get(place).copied().unwrap_or_default()
    }
}
