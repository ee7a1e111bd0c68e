//! Upstreams that fail when they have to reject too many requests.
//!
//! A brittle upstream bears a number of rejections a second, from all VMs together, and fails at
//! more. It may also let few requests wait. While a service is brittle, VMs therefore place no more
//! requests on its upstreams than run at once, report each change of their use at once, and take
//! each rejection, their own or a peer's, as a sign that less room is left than they know of.

use super::runs::ReportSource;
use crate::{ServiceId, Time};
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Fraction of the rejections an upstream bears at which it gets no requests. The rest is for those
/// that are on their way until all VMs have heard of the others.
const BORNE_FRACTION: f64 = 0.5;
/// Time in which rejections are counted against what an upstream bears.
const SECOND: Time = Time::from_secs(1);
/// How long each rejection reduces the number of requests that are placed at once.
const REDUCTION_PERIOD: Time = Time::from_secs(2);
/// Maximum number of counted rejections; more close any upstream.
const MAX_COUNTED: usize = 64;
/// Reports of a peer's last rejection that differ by less than this are of the same one.
const SAME_REJECTION: Time = Time::from_millis(20);
/// Period of a draw for free places: until the others have heard of a request that was placed.
const DRAW_PERIOD: Time = Time::from_millis(8);
/// Fraction of the VMs with waiting requests that take part in a draw: they look for a place several
/// times less often than there are rounds.
const PARTICIPATION: f64 = 0.5;
/// Bounds of the pause after a rejection of this VM.
const MIN_PAUSE: Time = Time::from_millis(100);
const MAX_PAUSE: Time = Time::from_secs(30);

/// Whether a service is brittle, as stated by the answer of one of its upstreams.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::upstream::BrittleStatement;
/// let at = Duration::from_millis;
/// let brittle = BrittleStatement::new(Some(8.0), at(100), at(160));
/// // The answer to an earlier request.
/// assert!(!BrittleStatement::new(None, at(120), at(170)).replaces(&brittle));
/// assert!(BrittleStatement::new(None, at(161), at(170)).replaces(&brittle));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BrittleStatement {
    /// Rejections a second that an upstream bears, if it is brittle.
    pub rejections: Option<f64>,
    /// When the request was sent whose answer made the statement.
    asked_at: Time,
    /// When that answer was received.
    heard_at: Time,
}

impl BrittleStatement {
    /// Creates the statement of an answer that was received at `heard_at`, to a request that was
    /// sent at `asked_at`.
    #[must_use]
    pub fn new(rejections: Option<f64>, asked_at: Time, heard_at: Time) -> Self {
        Self {
            rejections,
            asked_at,
            heard_at,
        }
    }

    /// Whether this statement supersedes `other`. If their order is uncertain, the service counts
    /// as brittle.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        match (self.rejections.is_some(), other.rejections.is_some()) {
            (true, false) => self.heard_at >= other.asked_at,
            (false, true) => self.asked_at > other.heard_at,
            _ => self.heard_at > other.heard_at,
        }
    }
}

/// The last statement for each service that has ever been brittle.
#[derive(Clone, Debug, Default)]
pub(crate) struct BrittleServices {
    by_service: HashMap<ServiceId, BrittleStatement>,
}

impl BrittleServices {
    /// Records a statement. Returns whether it changes the service.
    pub(crate) fn record(&mut self, service: &str, statement: BrittleStatement) -> bool {
        let Some(known) = self.by_service.get_mut(service) else {
            let is_brittle = statement.rejections.is_some();
            if is_brittle {
                self.by_service.insert(service.to_owned(), statement);
            }
            return is_brittle;
        };
        if !statement.replaces(known) {
            return false;
        }
        let before = std::mem::replace(known, statement);
        before.rejections != statement.rejections
    }

    /// Rejections a second that an upstream of a service bears, if it is brittle.
    pub(crate) fn rejections(&self, service: &str) -> Option<f64> {
        self.by_service.get(service)?.rejections
    }
}

/// A draw of the VMs that may place a request on a brittle upstream.
///
/// Of free places, all VMs with waiting requests learn at the same time. Each takes part in a draw
/// of every round, so that about as many of them place a request as there are places, and each at
/// most one until it has heard of the others'.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Round(u64);

impl Round {
    /// The round at a time.
    pub(crate) fn at(now: Time) -> Self {
        Self(now.as_micros() as u64 / DRAW_PERIOD.as_micros() as u64)
    }

    /// Whether a VM has drawn one of the `free` places of an upstream, if `vms` VMs take part.
    /// `seed` differs between VMs.
    pub(crate) fn has_drawn(self, id: &str, free: usize, vms: usize, seed: u64) -> bool {
        let round = xxh3_64(&self.0.to_le_bytes());
        let drawn = xxh3_64_with_seed(id.as_bytes(), seed ^ round) as f64 / u64::MAX as f64;
        drawn * (vms as f64 * PARTICIPATION) < free as f64
    }
}

/// Known rejections by an upstream while it was brittle.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rejections {
    times: VecDeque<Time>,
    /// When each peer was last rejected.
    peers: HashMap<ReportSource, Time>,
    /// End of the pause after this VM's last rejection.
    paused_until: Time,
}

impl Rejections {
    /// Records that this VM was rejected. `vms` VMs share what the upstream bears; `draw`, from 0
    /// to 1, differs between VMs, so that they do not come back together.
    pub(crate) fn record_own(&mut self, now: Time, borne: f64, vms: usize, draw: f64) {
        self.add(now);
        let each = vms as f64 / (borne * BORNE_FRACTION).max(1.0);
        let pause = (each * (0.5 + draw)).min(MAX_PAUSE.as_secs_f64());
        self.paused_until = now + Time::from_secs_f64(pause).max(MIN_PAUSE);
    }

    /// Records that a peer reports to have been rejected at `at`.
    pub(crate) fn record_peer(&mut self, source: &ReportSource, at: Time) {
        let before = self.peers.insert(source.clone(), at);
        if before.is_none_or(|before| at > before + SAME_REJECTION) {
            self.add(at);
        }
    }

    fn add(&mut self, at: Time) {
        if self.times.len() >= MAX_COUNTED {
            self.times.pop_front();
        }
        self.times.push_back(at);
    }

    fn count_within(&self, now: Time, period: Time) -> usize {
        let counts = |at: &&Time| now.saturating_sub(**at) < period;
        self.times.iter().filter(counts).count()
    }

    /// Returns how many of `places` requests may run at once; 0 while it is to get none.
    pub(crate) fn places(&self, now: Time, borne: f64, places: usize) -> usize {
        let most = (borne * BORNE_FRACTION).max(1.0);
        if now < self.paused_until || self.count_within(now, SECOND) as f64 >= most {
            return 0;
        }
        let reduction = self.count_within(now, REDUCTION_PERIOD);
        places - reduction.min(places / 2)
    }

    /// Returns the earliest time at which it may get requests again after this VM's rejection.
    pub(crate) fn resumes_at(&self, now: Time) -> Time {
        self.paused_until.max(now)
    }
}
