//! Which upstreams are listed, with the store that lists them going away.
//!
//! An entry that disappears means that its upstream leaves. Entries also lapse
//! while the store is away, because nobody can renew them; those of upstreams
//! that live are back shortly after the store's return. So what disappears
//! around an outage is judged only then. A restore of the store from a backup
//! can lose entries, so it counts as the end of an outage.

use crate::{Time, UpstreamId};
use std::collections::HashMap;
use std::time::Duration;

/// How long after the store's return a lapsed entry may still come back. The
/// platform promises about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Listed,
    /// It disappeared while the store was away or just back.
    Lapsed,
}

/// Entries of upstreams, by id.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::Entries;
/// let second = Duration::from_secs(1);
/// let mut entries = Entries::default();
/// entries.listed("e1");
/// // With the store at hand, an entry that disappears is gone.
/// assert!(entries.removed(second, "e1"));
///
/// entries.listed("e2");
/// entries.store_lost();
/// assert!(!entries.removed(2 * second, "e2"));
/// entries.store_back(3 * second);
/// assert!(entries.gone(4 * second).is_empty());
/// assert_eq!(entries.gone(6 * second), ["e2"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Entries {
    by_id: HashMap<UpstreamId, Listing>,
    away: bool,
    returned_at: Option<Time>,
}

impl Entries {
    /// An entry is there.
    pub fn listed(&mut self, id: &str) {
        self.by_id.insert(id.to_owned(), Listing::Listed);
    }

    /// Another VM tells of an entry that it saw disappear and that may come back.
    pub fn lapsed(&mut self, id: &str) {
        self.by_id.insert(id.to_owned(), Listing::Lapsed);
    }

    /// An entry disappeared. Returns whether its upstream is gone; if not, it
    /// may come back.
    pub fn removed(&mut self, now: Time, id: &str) -> bool {
        if !self.by_id.contains_key(id) {
            return false;
        }
        if self.away || self.just_back(now) {
            self.by_id.insert(id.to_owned(), Listing::Lapsed);
            return false;
        }
        self.by_id.remove(id);
        true
    }

    /// An entry is there and vouches for nobody: it does not come back by itself.
    pub fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Whether an entry disappeared and may come back.
    #[must_use]
    pub fn is_lapsed(&self, id: &str) -> bool {
        self.by_id.get(id) == Some(&Listing::Lapsed)
    }

    /// A call to the store failed.
    pub fn store_lost(&mut self) {
        self.away = true;
    }

    /// A call to the store was answered. Returns whether it had been away.
    pub fn store_back(&mut self, now: Time) -> bool {
        let was_away = std::mem::take(&mut self.away);
        if was_away {
            self.returned_at = Some(now);
        }
        was_away
    }

    /// The store was restored from a backup. Missing entries may have been lost, and live
    /// upstreams write theirs again as after an outage.
    pub fn store_restored(&mut self, now: Time) {
        self.returned_at = Some(now);
    }

    fn just_back(&self, now: Time) -> bool {
        self.returned_at.is_some_and(|t| now < t + RETURN_GRACE)
    }

    /// Takes out the lapsed entries that can no longer come back.
    pub fn gone(&mut self, now: Time) -> Vec<UpstreamId> {
        if self.away || self.just_back(now) {
            return Vec::new();
        }
        let lapsed = self.by_id.iter().filter(|(_, l)| **l == Listing::Lapsed);
        let gone: Vec<UpstreamId> = lapsed.map(|(id, _)| id.clone()).collect();
        self.by_id.retain(|_, l| *l != Listing::Lapsed);
        gone
    }

    /// Every entry that is there or may come back.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.by_id.keys()
    }
}
