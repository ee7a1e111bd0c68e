//! Upstream entries in the store, including during outages of the store.
//!
//! Normally, the removal of an entry means that its upstream is gone. Entries also
//! expire during an outage of the store, because upstreams cannot renew them; live
//! upstreams write theirs again shortly after the store has recovered. Removals
//! during an outage and shortly after it are therefore evaluated only after a grace
//! period. A restore of the store from a backup can lose entries, so it is treated
//! like the end of an outage.

use crate::{Time, UpstreamId};
use std::collections::HashMap;
use std::time::Duration;

/// Time after the recovery of the store within which a lapsed entry may be written
/// again. The platform specifies about two seconds.
const RECOVERY_GRACE: Duration = Duration::from_millis(2200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Listed,
    /// Removed during an outage of the store or the grace period after it.
    Lapsed,
}

/// Entries of upstreams by ID.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::Entries;
/// let second = Duration::from_secs(1);
/// let mut entries = Entries::default();
/// entries.listed("e1");
/// // While the store is reachable, removal of an entry is final.
/// assert!(entries.removed(second, "e1"));
///
/// entries.listed("e2");
/// entries.store_lost();
/// assert!(!entries.removed(2 * second, "e2"));
/// entries.store_recovered(3 * second);
/// assert!(entries.take_expired(4 * second).is_empty());
/// assert_eq!(entries.take_expired(6 * second), ["e2"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Entries {
    by_id: HashMap<UpstreamId, Listing>,
    unreachable: bool,
    recovered_at: Option<Time>,
}

impl Entries {
    /// Records that an entry is listed.
    pub fn listed(&mut self, id: &str) {
        self.by_id.insert(id.to_owned(), Listing::Listed);
    }

    /// Records an entry that a peer reports as lapsed.
    pub fn lapsed(&mut self, id: &str) {
        self.by_id.insert(id.to_owned(), Listing::Lapsed);
    }

    /// Records that an entry was removed. Returns `true` if its upstream is gone, and
    /// `false` if the entry is unknown or may be written again.
    pub fn removed(&mut self, now: Time, id: &str) -> bool {
        if !self.by_id.contains_key(id) {
            return false;
        }
        if self.unreachable || self.in_grace_period(now) {
            self.by_id.insert(id.to_owned(), Listing::Lapsed);
            return false;
        }
        self.by_id.remove(id);
        true
    }

    /// Drops an entry that does not show that its upstream is alive, and that will not be
    /// written again by itself.
    pub fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Returns whether an entry has lapsed and may be written again.
    #[must_use]
    pub fn is_lapsed(&self, id: &str) -> bool {
        self.by_id.get(id) == Some(&Listing::Lapsed)
    }

    /// Records that a call to the store failed.
    pub fn store_lost(&mut self) {
        self.unreachable = true;
    }

    /// Records that a call to the store succeeded. Returns whether this ends an outage.
    pub fn store_recovered(&mut self, now: Time) -> bool {
        let was_unreachable = std::mem::take(&mut self.unreachable);
        if was_unreachable {
            self.recovered_at = Some(now);
        }
        was_unreachable
    }

    /// Records that the store was restored from a backup. Missing entries may have been lost,
    /// and live upstreams write theirs again as after an outage.
    pub fn store_restored(&mut self, now: Time) {
        self.recovered_at = Some(now);
    }

    fn in_grace_period(&self, now: Time) -> bool {
        self.recovered_at.is_some_and(|t| now < t + RECOVERY_GRACE)
    }

    /// Removes and returns the lapsed entries whose grace period has ended. Returns none during
    /// an outage.
    pub fn take_expired(&mut self, now: Time) -> Vec<UpstreamId> {
        if self.unreachable || self.in_grace_period(now) {
            return Vec::new();
        }
        let lapsed = self.by_id.iter().filter(|(_, l)| **l == Listing::Lapsed);
        let gone: Vec<UpstreamId> = lapsed.map(|(id, _)| id.clone()).collect();
        self.by_id.retain(|_, l| *l != Listing::Lapsed);
        gone
    }

    /// Returns the IDs of all entries that are listed or lapsed.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.by_id.keys()
    }
}
