//! Limits on the search for an upstream that can be connected to.

use crate::{FailureDomain, Time};

/// Maximum number of refused connections of a request, and of upstreams that left before it was
/// sent. Each takes a round trip at most, so even across failure domains the whole search takes a
/// small part of an objective.
const MAX_REFUSED: u32 = 32;
/// Maximum number of connections that failed otherwise, most of them by a time-out. The VM is
/// then as likely to be cut off, and a caller that is refused soon can try another one.
const MAX_FAILED: u32 = 3;

/// Failed connections of a request. Nothing was sent on them, so they do not count as attempts,
/// and the search continues while there are upstreams without one.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::request::UpstreamSearch;
/// let mut search = UpstreamSearch::default();
/// let until = Duration::from_secs(1);
/// search.record_refused(until);
/// assert!(search.may_continue(Duration::ZERO, true));
/// assert!(!search.may_continue(Duration::ZERO, false));
/// assert!(!search.may_continue(until, true));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamSearch {
    /// Refused connections, and upstreams that left before the request was sent.
    refused: u32,
    failed: u32,
    until: Option<Time>,
    /// Other failure domains with an upstream to which no connection came up.
    silent_domains: Vec<FailureDomain>,
}

impl UpstreamSearch {
    /// Records a refused connection. The first one sets the end of the search to `until`.
    pub fn record_refused(&mut self, until: Time) {
        self.refused += 1;
        self.until.get_or_insert(until);
    }

    /// Records an upstream that left between the placement of the request and its sending.
    pub fn record_left(&mut self) {
        self.refused += 1;
    }

    /// Records a connection that failed otherwise. `remote` is the upstream's failure domain if
    /// it is another one than this VM's and did not answer in time.
    pub fn record_failed(&mut self, remote: Option<&str>) {
        self.failed += 1;
        self.silent_domains.extend(remote.map(str::to_owned));
    }

    /// Returns whether a failure domain is to be avoided.
    #[must_use]
    pub fn avoids_any(&self) -> bool {
        !self.silent_domains.is_empty()
    }

    /// Returns whether upstreams of a failure domain are to be avoided, because the network is
    /// likely to be partitioned between it and this VM.
    #[must_use]
    pub fn avoids(&self, failure_domain: &str) -> bool {
        self.silent_domains.iter().any(|d| d == failure_domain)
    }

    /// Returns whether another upstream may be tried. `has_untried` tells whether one is left.
    /// Without a refused connection the scheduler's deadline bounds the search.
    #[must_use]
    pub fn may_continue(&self, now: Time, has_untried: bool) -> bool {
        let in_bounds = self.refused < MAX_REFUSED && self.failed < MAX_FAILED;
        let may_search = self.until.is_none_or(|until| now < until && has_untried);
        in_bounds && may_search
    }
}
