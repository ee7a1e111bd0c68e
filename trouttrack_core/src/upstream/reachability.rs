//! Upstreams whose address refuses connections, because no process listens there.
//!
//! An upstream that has exited has nothing running and would look like the best candidate until
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
/// Time after an answer during which peers may still pass on the refusal that it has ended: as long
/// as a first backoff.
const PASSED_ON_PERIOD: Duration = Duration::from_millis(500);

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
    /// Number of backoffs in a row that this VM's refused connections began; 0 if a peer's did.
    own_refusals: u32,
    /// Whether a peer was answered after this VM was refused, and this VM was not since.
    refuted: bool,
}

impl Reachability {
    /// Records that a connection of this VM was refused at `at`. Returns whether that closes the
    /// upstream.
    pub(crate) fn record_refusal(&mut self, at: Time) -> bool {
        let before = self.refusal().map_or(0, |_| self.own_refusals);
        let closes = self.begin_backoff(at);
        if closes {
            self.own_refusals = before.saturating_add(1);
        }
        closes
    }

    /// Records a refusal at `at` that a peer reports as still in force, so that its backoff is
    /// at least `age` long. Returns whether that closes the upstream.
    pub(crate) fn record_reported_refusal(&mut self, at: Time, age: Duration) -> bool {
        let passed_on_until = self.answered_at.map(|at| at + PASSED_ON_PERIOD);
        self.refuted &= passed_on_until > Some(at);
        let closes = self.begin_backoff(at);
        if closes {
            self.own_refusals = 0;
        }
        while closes && self.backoff() <= age && self.backoffs <= MAX_DOUBLINGS {
            self.backoffs += 1;
        }
        closes
    }

    /// Begins a backoff unless the refusal is older than the last answer, or within the current
    /// backoff.
    fn begin_backoff(&mut self, at: Time) -> bool {
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

    /// Records that this VM was answered at `at`. Returns whether that ends a refusal.
    pub(crate) fn record_answer(&mut self, at: Time) -> bool {
        self.refuted = false;
        self.end_refusal(at)
    }

    /// Records that a peer was answered at `at`. Returns whether that ends a refusal.
    pub(crate) fn record_reported_answer(&mut self, at: Time) -> bool {
        let ends = self.end_refusal(at);
        self.refuted |= ends && self.is_own();
        ends
    }

    fn end_refusal(&mut self, at: Time) -> bool {
        let ends = self.refusal().is_some_and(|refused| at > refused);
        if ends {
            self.answered_at = Some(at);
            self.backoffs = 0;
        }
        ends
    }

    /// Returns whether an answer to a request submitted at `submitted` shows that this VM may
    /// connect where it was refused before.
    pub(crate) fn is_disproved_by(&self, submitted: Time) -> bool {
        let is_later = self.refused_at.is_some_and(|at| submitted >= at);
        is_later && (self.refuted || self.refusal().is_some())
    }

    /// Returns whether a peer was answered after this VM was refused, and this VM was not since.
    pub(crate) fn is_refuted(&self) -> bool {
        self.refuted
    }

    /// Returns whether it was this VM that was refused.
    pub(crate) fn is_own(&self) -> bool {
        self.own_refusals > 0
    }

    /// Returns whether the next trial is a peer's: this VM's own has just been refused as well.
    /// If nobody is answered until this VM tries again, the upstream is gone for all.
    pub(crate) fn awaits_peer_trial(&self) -> bool {
        self.own_refusals == 2
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
