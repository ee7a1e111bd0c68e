//! Upstream entries in the store, including during outages of the store.
//!
//! Normally, the removal of an entry means that its upstream is gone. Entries also
//! expire during an outage of the store, because upstreams cannot renew them; live
//! upstreams write theirs again shortly after the store has recovered. What a removal
//! means depends on how the store was for the VM that read it, and not on whether the
//! VM that hears of it is served: a store may turn some VMs away and serve the others.
//! The reader therefore tells its peers what a removal means. Only if it does not know,
//! each VM judges by what it has seen of the store itself.

use crate::{Time, UpstreamId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Time after the recovery of the store within which a lapsed entry may be written
/// again. The platform specifies about two seconds. An upstream writes its entry at least as often,
/// and the entry outlives two missed writes.
const RECOVERY_GRACE: Duration = Duration::from_millis(2200);

/// The longest time without an answer of the store in which no outage can have passed in which
/// entries expired.
pub const MAX_CONTACT_PAUSE: Duration = RECOVERY_GRACE;

/// What the removal of an entry means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Removal {
    /// The upstream is gone.
    Final,
    /// The entry may have expired in an outage of the store, and may be written again for so
    /// long.
    Lapse(Duration),
}

impl Removal {
    /// What it means when some time has passed since it was read.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_core::membership::Removal;
    /// let second = Duration::from_secs(1);
    /// assert_eq!(Removal::Lapse(2 * second).after(second), Removal::Lapse(second));
    /// assert_eq!(Removal::Lapse(2 * second).after(2 * second), Removal::Final);
    /// ```
    #[must_use]
    pub fn after(self, passed: Duration) -> Self {
        match self {
            Self::Lapse(left) if left > passed => Self::Lapse(left - passed),
            Self::Lapse(_) | Self::Final => Self::Final,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Listed,
    /// Removed, and may be written again until then.
    Lapsed {
        until: Time,
    },
}

/// Entries of upstreams by ID.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::{Entries, Removal};
/// let second = Duration::from_secs(1);
/// let mut entries = Entries::default();
/// entries.listed("e1");
/// // While the store is reachable, removal of an entry is final.
/// assert!(entries.removed(second, "e1", None));
///
/// entries.listed("e2");
/// entries.listed("e3");
/// entries.store_lost();
/// assert!(!entries.removed(2 * second, "e2", None));
/// // A peer that the store has served all the while knows better.
/// assert!(entries.removed(2 * second, "e3", Some(Removal::Final)));
/// entries.store_recovered(3 * second);
/// assert!(entries.take_expired(4 * second).is_empty());
/// assert_eq!(entries.take_expired(6 * second), ["e2"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Entries {
    by_id: HashMap<UpstreamId, Listing>,
    /// Whether the store is away for this VM and, as far as it knows, for all others.
    away: bool,
    recovered_at: Option<Time>,
    /// The last answer of the store to this VM.
    answered_at: Option<Time>,
    /// The last answer of the store to this VM or, as it tells, a peer.
    served_at: Option<Time>,
    /// The first of these answers since when no outage can have passed.
    served_since: Time,
    /// Until when entries may still be written again that have lapsed in an outage which this VM
    /// did not notice, because it did not call the store for a while.
    unsure_until: Time,
}

impl Entries {
    /// Records that an entry is listed.
    pub fn listed(&mut self, id: &str) {
        self.by_id.insert(id.to_owned(), Listing::Listed);
    }

    /// Records an entry that a peer reports as lapsed.
    pub fn lapsed(&mut self, now: Time, id: &str) {
        self.lapse(now, id, RECOVERY_GRACE);
    }

    fn lapse(&mut self, now: Time, id: &str, left: Duration) {
        let until = now + left;
        self.by_id.insert(id.to_owned(), Listing::Lapsed { until });
    }

    /// Records that an entry was removed. `meaning` is what the VM that read this from the store
    /// takes it for, if it knows. Returns `true` if its upstream is gone, and `false` if the entry
    /// is unknown or may be written again.
    pub fn removed(&mut self, now: Time, id: &str, meaning: Option<Removal>) -> bool {
        let Some(known) = self.by_id.get(id) else {
            return false;
        };
        let waits = matches!(known, Listing::Lapsed { until } if *until > now);
        if waits && meaning.is_none() {
            // Who read it first may know of an outage that this VM has not noticed.
            return false;
        }
        match meaning.unwrap_or_else(|| self.judge(now)) {
            Removal::Lapse(left) => {
                self.lapse(now, id, left.min(RECOVERY_GRACE));
                false
            }
            Removal::Final => self.by_id.remove(id).is_some(),
        }
    }

    /// What a removal means by what this VM has seen of the store.
    fn judge(&self, now: Time) -> Removal {
        if self.away {
            return Removal::Lapse(RECOVERY_GRACE);
        }
        let left = self.grace_left(now);
        let left = left.max(self.unsure_until.saturating_sub(now));
        match left.is_zero() {
            true => Removal::Final,
            false => Removal::Lapse(left),
        }
    }

    /// How much longer entries may be written again after an outage that this VM has noticed.
    fn grace_left(&self, now: Time) -> Duration {
        let over_at = self.recovered_at.map(|at| at + RECOVERY_GRACE);
        over_at.map_or(Duration::ZERO, |at| at.saturating_sub(now))
    }

    /// What a removal means that this VM has just read from the store, or `None` if it cannot tell
    /// peers, because it would not have noticed an outage.
    #[must_use]
    pub fn read_removal(&self, now: Time) -> Option<Removal> {
        let is_unsure = now < self.unsure_until && self.grace_left(now).is_zero();
        (!is_unsure).then(|| self.judge(now))
    }

    /// Whether this VM can tell others that an entry whose removal it has just heard of has not
    /// lapsed: the store has served it or its peers all the while.
    #[must_use]
    pub fn can_tell_removals(&self, now: Time) -> bool {
        let is_served = self
            .served_at
            .is_some_and(|at| now <= at + MAX_CONTACT_PAUSE);
        is_served && now >= self.served_since + RECOVERY_GRACE && self.judge(now) == Removal::Final
    }

    /// Drops an entry that does not show that its upstream is alive, and that will not be
    /// written again by itself.
    pub fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Returns whether an entry has lapsed and may be written again.
    #[must_use]
    pub fn is_lapsed(&self, id: &str) -> bool {
        matches!(self.by_id.get(id), Some(Listing::Lapsed { .. }))
    }

    /// Returns how much longer a lapsed entry may be written again.
    #[must_use]
    pub fn lapse_left(&self, now: Time, id: &str) -> Option<Duration> {
        match self.by_id.get(id)? {
            Listing::Lapsed { until } => Some(until.saturating_sub(now)),
            Listing::Listed => None,
        }
    }

    /// Records that the store is away: a call failed, and no peer is known to be served.
    pub fn store_lost(&mut self) {
        self.away = true;
    }

    /// Records that the store has answered this VM or, as it tells, a peer. Returns whether this
    /// ends an outage.
    pub fn store_recovered(&mut self, now: Time) -> bool {
        let was_away = std::mem::take(&mut self.away);
        if was_away {
            self.recover(now);
        }
        was_away
    }

    /// Records that the store has answered a call of this VM. An outage may have passed unnoticed
    /// if it has not answered one for `longest`, nor, as far as this VM knows, a peer
    /// (`is_peer_served`). At most [`MAX_CONTACT_PAUSE`] counts.
    pub fn answered(&mut self, now: Time, longest: Duration, is_peer_served: bool) {
        let longest = longest.min(MAX_CONTACT_PAUSE);
        let is_silent = self.answered_at.is_none_or(|at| now > at + longest);
        if is_silent && !is_peer_served {
            self.unsure_until = now + RECOVERY_GRACE;
        }
        self.answered_at = Some(now);
        self.served(now);
        self.store_recovered(now);
    }

    /// Records that the store has answered this VM or a peer at a time. Where the store serves any
    /// VM, upstreams can write their entries.
    pub fn served(&mut self, at: Time) {
        if self
            .served_at
            .is_none_or(|last| at > last + MAX_CONTACT_PAUSE)
        {
            self.served_since = at;
        }
        self.served_at = self.served_at.max(Some(at));
    }

    /// Records that the store was restored from a backup. Missing entries may have been lost,
    /// and live upstreams write theirs again as after an outage.
    pub fn store_restored(&mut self, now: Time) {
        self.recover(now);
    }

    /// Gives upstreams time to write the entries again that have lapsed.
    fn recover(&mut self, now: Time) {
        self.recovered_at = Some(now);
        for listing in self.by_id.values_mut() {
            if let Listing::Lapsed { until } = listing {
                *until = (*until).max(now + RECOVERY_GRACE);
            }
        }
    }

    /// Removes and returns the lapsed entries that can no longer be written again. Returns none
    /// during an outage.
    pub fn take_expired(&mut self, now: Time) -> Vec<UpstreamId> {
        if self.away {
            return Vec::new();
        }
        let is_over =
            |listing: &Listing| matches!(listing, Listing::Lapsed { until } if *until <= now);
        let over = self.by_id.extract_if(|_, listing| is_over(listing));
        over.map(|(id, _)| id).collect()
    }

    /// Returns when the next lapsed entry can no longer be written again. Returns `None` during
    /// an outage.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        let lapsed = self.by_id.values().filter_map(|listing| match listing {
            Listing::Lapsed { until } => Some(*until),
            Listing::Listed => None,
        });
        lapsed.min().filter(|_| !self.away)
    }

    /// Returns the IDs of all entries that are listed or lapsed.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.by_id.keys()
    }
}
