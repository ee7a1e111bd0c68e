//! Which of this VM's paths to upstreams are lost.
//!
//! A connection that does not come up may be the upstream's fault or that of this VM's network.
//! A peer that reaches the upstream at the same time tells them apart: then the path is lost, and
//! connections are relayed by peers until a direct one comes up again. Each new connection is
//! therefore tried both ways, the direct one with a lead while the path is believed to be intact.

use crate::Time;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Lead of a direct connection before a relayed one is tried as well: several round trips between
/// failure domains, and short enough that a relayed request still meets its objective.
const DIRECT_LEAD: Duration = Duration::from_millis(30);
/// Time for which no peer is asked to relay to an upstream that neither this VM nor a peer could
/// connect to: as long as its circuit first stays open.
const UNREACHED_PERIOD: Duration = Duration::from_millis(500);
/// Number of lost paths, without a direct connection to any upstream since, from which on this
/// VM counts as partitioned from all upstreams. A single path may be lost by itself.
const MIN_LOST: usize = 2;
/// Time after a direct connection, or a check, during which a path is not checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of such connections from which on outdated ones are dropped.
const MAX_TRIED: usize = 1024;
/// Time after which a lost path that is not used is forgotten.
const RETENTION: Duration = Duration::from_secs(60);

/// A change of a path that is worth a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The path to an upstream is lost.
    Lost,
    /// The path to an upstream is lost, and with it all paths of this VM are.
    AllLost,
    /// A path that was lost is back.
    Restored,
}

/// The paths to upstreams, by address or another key.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::paths::{PathChange, PathTable};
/// let now = Duration::from_secs(10);
/// let mut paths = PathTable::default();
/// assert_eq!(paths.record_relayed(now, "u1"), Some(PathChange::Lost));
/// assert_eq!(paths.relay_delay(now, &"u1"), Some(Duration::ZERO));
/// assert!(!paths.are_all_lost());
/// assert_eq!(paths.record_relayed(now, "u2"), Some(PathChange::AllLost));
/// assert!(paths.are_all_lost());
/// assert_eq!(paths.record_direct(now, &"u1"), Some(PathChange::Restored));
/// assert!(!paths.are_all_lost() && paths.is_lost(&"u2"));
/// ```
#[derive(Clone, Debug)]
pub struct PathTable<K> {
    lost: HashMap<K, LostPath>,
    /// Upstreams that nobody could connect to, and until when peers are not asked again.
    unreached: HashMap<K, Time>,
    /// When a direct connection last came up, or was last tried to find out whether it does.
    tried_at: HashMap<K, Time>,
    /// When a direct connection to any upstream last came up.
    direct_at: Option<Time>,
    all_lost: bool,
}

#[derive(Clone, Copy, Debug)]
struct LostPath {
    since: Time,
    used_at: Time,
}

impl<K> Default for PathTable<K> {
    fn default() -> Self {
        Self {
            lost: HashMap::new(),
            unreached: HashMap::new(),
            tried_at: HashMap::new(),
            direct_at: None,
            all_lost: false,
        }
    }
}

impl<K: Clone + Eq + Hash> PathTable<K> {
    /// Returns how long a direct connection is tried before a relayed one is tried as well; `None`
    /// if peers have just failed to reach the upstream too.
    #[must_use]
    pub fn relay_delay(&self, now: Time, upstream: &K) -> Option<Duration> {
        if self
            .unreached
            .get(upstream)
            .is_some_and(|until| now < *until)
        {
            return None;
        }
        match self.all_lost || self.is_lost(upstream) {
            true => Some(Duration::ZERO),
            false => Some(DIRECT_LEAD),
        }
    }

    /// Records that a direct connection came up.
    pub fn record_direct(&mut self, now: Time, upstream: &K) -> Option<PathChange> {
        self.direct_at = Some(now);
        self.record_try(now, upstream.clone());
        self.all_lost = false;
        if !self.unreached.is_empty() {
            self.unreached.remove(upstream);
        }
        if self.lost.is_empty() {
            return None;
        }
        self.lost.remove(upstream).map(|_| PathChange::Restored)
    }

    /// Records that a relayed connection came up and a direct one did not.
    pub fn record_relayed(&mut self, now: Time, upstream: K) -> Option<PathChange> {
        self.lost
            .retain(|_, path| now.saturating_sub(path.used_at) < RETENTION);
        self.unreached.retain(|_, until| now < *until);
        self.unreached.remove(&upstream);
        let mut is_new = false;
        let path = self.lost.entry(upstream).or_insert_with(|| {
            is_new = true;
            LostPath {
                since: now,
                used_at: now,
            }
        });
        path.used_at = now;
        let lost_since_direct = |path: &&LostPath| self.direct_at.is_none_or(|at| path.since > at);
        let lost = self.lost.values().filter(lost_since_direct).count();
        let were_all_lost = std::mem::replace(&mut self.all_lost, lost >= MIN_LOST);
        match self.all_lost && !were_all_lost {
            true => Some(PathChange::AllLost),
            false => is_new.then_some(PathChange::Lost),
        }
    }

    /// Records that neither a direct nor a relayed connection came up.
    pub fn record_unreached(&mut self, now: Time, upstream: K) {
        self.unreached.retain(|_, until| now < *until);
        self.unreached.insert(upstream, now + UNREACHED_PERIOD);
    }

    /// Returns whether a silent upstream's path is to be checked by a new connection: not while
    /// one has just come up, and not again soon after.
    pub fn begin_check(&mut self, now: Time, upstream: K) -> bool {
        if self.is_suspect(&upstream) {
            return false;
        }
        let before = self.tried_at.get(&upstream);
        if before.is_some_and(|at| is_recent(now, *at)) {
            return false;
        }
        self.record_try(now, upstream);
        true
    }

    fn record_try(&mut self, now: Time, upstream: K) {
        if self.tried_at.len() >= MAX_TRIED {
            self.tried_at.retain(|_, at| is_recent(now, *at));
        }
        self.tried_at.insert(upstream, now);
    }

    /// Whether the path to an upstream is lost.
    #[must_use]
    pub fn is_lost(&self, upstream: &K) -> bool {
        self.lost.contains_key(upstream)
    }

    /// Whether this VM is partitioned from all upstreams, to its knowledge.
    #[must_use]
    pub fn are_all_lost(&self) -> bool {
        self.all_lost
    }

    /// Whether a failure of a connection to an upstream may be the fault of this VM's network, so
    /// that it is no evidence against the upstream or the request.
    #[must_use]
    pub fn is_suspect(&self, upstream: &K) -> bool {
        self.all_lost || self.is_lost(upstream)
    }

    /// Number of lost paths.
    #[must_use]
    pub fn lost(&self) -> usize {
        self.lost.len()
    }
}

fn is_recent(now: Time, at: Time) -> bool {
    now.saturating_sub(at) < CHECK_INTERVAL
}
