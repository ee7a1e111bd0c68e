//! Upstreams whose entries were removed, kept to detect entries that a restore of the store
//! brings back.

use super::Revision;
use crate::Time;
use crate::upstream::Incarnation;
use std::collections::HashMap;
use std::time::Duration;

/// How long writers have after a restore of the store to repeat writes and removals that it
/// lost.
pub const RESTORE_GRACE: Duration = Duration::from_secs(10);
/// Retention period of a departure. Covers the age of a backup and the outage before the store is
/// restored from it.
const RETENTION: Duration = Duration::from_secs(60);

/// Upstreams whose entries have disappeared.
///
/// A restore of the store can undo the removal of an entry, which is then listed again in a
/// later epoch. Such an entry does not show that the upstream is back until the upstream writes
/// it again.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::{Departures, Revision};
/// use trouttrack_core::upstream::Incarnation;
/// let now = Duration::from_secs(1);
/// let life = Incarnation::new("u1", 7);
/// let mut departures = Departures::default();
/// departures.insert(now, &life, Revision::new(1, 38));
/// // The first list of the next epoch contains the entry as it was in the backup.
/// let first_list = Revision::new(2, 37);
/// assert!(departures.is_removal_undone(now, &life, Revision::new(2, 30), first_list));
/// // A write after the first list comes from the upstream.
/// assert!(!departures.is_removal_undone(now, &life, Revision::new(2, 38), first_list));
/// // So does one in the epoch of the removal.
/// assert!(!departures.is_removal_undone(now, &life, Revision::new(1, 40), first_list));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Departures {
    by_life: HashMap<Incarnation, Departed>,
}

#[derive(Clone, Copy, Debug)]
struct Departed {
    at: Time,
    /// Revision up to which entries were known when the removal was detected.
    revision: Revision,
}

impl Departures {
    /// Records that the entry of an upstream has disappeared.
    pub fn insert(&mut self, now: Time, life: &Incarnation, revision: Revision) {
        let departed = Departed { at: now, revision };
        self.by_life.insert(life.clone(), departed);
    }

    /// Whether an entry is listed only because a restore has undone its removal. `first_list` is
    /// the revision of the epoch's first list; entries with a later revision were written after
    /// the restore.
    #[must_use]
    pub fn is_removal_undone(
        &self,
        now: Time,
        life: &Incarnation,
        revision: Revision,
        first_list: Revision,
    ) -> bool {
        let departed = self.by_life.get(life).filter(|d| now < d.at + RETENTION);
        departed.is_some_and(|d| revision.epoch > d.revision.epoch && revision <= first_list)
    }

    /// Removes the record of an upstream that is in use again.
    pub fn forget(&mut self, life: &Incarnation) {
        self.by_life.remove(life);
    }

    /// Removes records that are older than the retention period.
    pub fn expire(&mut self, now: Time) {
        self.by_life.retain(|_, d| now < d.at + RETENTION);
    }
}
