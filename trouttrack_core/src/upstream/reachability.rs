//! Upstreams whose address refuses connections, because no process listens there.
//!
//! An upstream that is gone has nothing running and would look like the best candidate until
//! its entry disappears, which takes long while the store is silent. A refused connection
//! therefore closes the upstream for the VMs of a failure domain, for a backoff that doubles
//! with each trial that is refused too.

use super::incarnation::Incarnation;
use crate::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Backoff after the first refused connection: as long as a circuit first stays open.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of backoff doublings. A refused trial costs a request a few milliseconds, and
/// an upstream that is reachable again should not stay unused for longer than 4 s.
const MAX_DOUBLINGS: u32 = 3;
/// Time after which a refused connection is forgotten.
const RETENTION: Duration = Duration::from_secs(60);

/// Whether an upstream may be connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReachabilityState {
    /// Requests are sent.
    Open,
    /// No requests are sent.
    Closed,
    /// One trial request is sent.
    Trial,
}

/// Refused connections and answers of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reachability {
    /// Latest refused connection that began a backoff.
    refused_at: Option<Time>,
    /// Latest answer to a request that was submitted after a refused connection.
    answered_at: Option<Time>,
    /// Number of consecutive backoffs.
    backoffs: u32,
}

impl Reachability {
    /// Records a connection refused at `at`. Returns whether that closes the upstream: refusals
    /// that are older than the last answer, or within the current backoff, change nothing.
    pub(crate) fn record_refusal(&mut self, at: Time) -> bool {
        let outdated = self.answered_at.is_some_and(|answered| at <= answered);
        let known = self.refusal().is_some_and(|_| at < self.closed_until());
        if outdated || known {
            return false;
        }
        self.backoffs = match self.refusal() {
            Some(_) => self.backoffs + 1,
            None => 1,
        };
        self.refused_at = Some(at);
        true
    }

    /// Records a refusal at `at` that a peer reports as still in force, so that its backoff is
    /// at least `age` long.
    pub(crate) fn record_reported_refusal(&mut self, at: Time, age: Duration) -> bool {
        let closes = self.record_refusal(at);
        while closes && self.backoff() <= age && self.backoffs <= MAX_DOUBLINGS {
            self.backoffs += 1;
        }
        closes
    }

    /// Records an answer received at `at`. Returns whether that ends a refusal.
    pub(crate) fn record_answer(&mut self, at: Time) -> bool {
        let ends = self.refusal().is_some_and(|refused| at > refused);
        if ends {
            self.answered_at = Some(at);
            self.backoffs = 0;
        }
        ends
    }

    /// Returns the time of the last refusal if nothing was answered since.
    pub(crate) fn refusal(&self) -> Option<Time> {
        let answered = self.answered_at;
        self.refused_at
            .filter(|refused| answered.is_none_or(|at| at < *refused))
    }

    /// Returns the time of the answer that ended the last refusal.
    pub(crate) fn recovery(&self) -> Option<Time> {
        self.answered_at.filter(|_| self.refusal().is_none())
    }

    /// Returns whether requests may be sent at `now`.
    pub(crate) fn state(&self, now: Time) -> ReachabilityState {
        match self.refusal() {
            None => ReachabilityState::Open,
            Some(_) if now < self.closed_until() => ReachabilityState::Closed,
            Some(_) => ReachabilityState::Trial,
        }
    }

    /// Returns the earliest time at which a request may be sent.
    pub(crate) fn reopens_at(&self, now: Time) -> Time {
        match self.refusal() {
            Some(_) => self.closed_until().max(now),
            None => now,
        }
    }

    fn closed_until(&self) -> Time {
        self.refused_at.unwrap_or_default() + self.backoff()
    }

    fn backoff(&self) -> Duration {
        let doublings = self.backoffs.saturating_sub(1).min(MAX_DOUBLINGS);
        INITIAL_BACKOFF * (1 << doublings)
    }

    fn is_outdated(&self, now: Time) -> bool {
        let latest = self.refused_at.max(self.answered_at).unwrap_or_default();
        now.saturating_sub(latest) > RETENTION
    }
}

/// Incarnations that refused a connection. Those without a row are kept too: a VM that starts
/// may hear of a refusal before it has listed the upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReachabilityTable {
    by_incarnation: HashMap<Incarnation, Reachability>,
}

impl ReachabilityTable {
    /// Returns the state of an incarnation.
    pub(crate) fn get(&self, upstream: &Incarnation) -> Reachability {
        let known = self.by_incarnation.get(upstream).copied();
        known.unwrap_or_default()
    }

    /// Returns the state of an incarnation for a change, and drops what is outdated.
    pub(crate) fn entry(&mut self, now: Time, upstream: &Incarnation) -> &mut Reachability {
        self.by_incarnation.retain(|_, r| !r.is_outdated(now));
        self.by_incarnation.entry(upstream.clone()).or_default()
    }

    /// Iterates over the known incarnations.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Incarnation, &Reachability)> {
        self.by_incarnation.iter()
    }
}
