//! Bounded history of recent upstream entry changes, for retransmission to VMs that
//! missed updates.
//!
//! Updates are sent once over UDP and may be lost. A VM that finds itself behind requests
//! the missing changes from a peer, and queries the store only if no peer answers. Calls
//! to the store are billed, so it is not asked for changes that a peer has.

use super::message::{EntryChange, EntryUpdate};
use std::collections::VecDeque;
use trouttrack_core::Time;
use trouttrack_core::membership::Revision;

/// Maximum number of retained changes, about 0.2 kB each. Covers 20 s at 200 changes per
/// second, the rate of a release to half a fleet of 20,000 upstreams.
const MAX_CHANGES: usize = 4096;

/// Contiguous updates in the order in which they were received.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::Revision;
/// use trouttrack_front::peers::{EntryUpdate, UpdateHistory};
/// let at = |number| Revision::new(1, number);
/// let update = |from, to| EntryUpdate { from: at(from), to: at(to), changes: Vec::new() };
/// let mut history = UpdateHistory::default();
/// let now = Duration::from_secs(1);
/// history.learned(now, update(10, 12));
/// history.learned(now, update(12, 15));
/// assert_eq!(history.after(now, at(11)).map(|n| (n.from, n.to)), Some((at(11), at(15))));
/// assert!(history.after(now, at(9)).is_none());
/// assert!(history.after(now, at(15)).is_none());
/// ```
#[derive(Debug, Default)]
pub struct UpdateHistory {
    updates: VecDeque<Learned>,
    changes: usize,
}

/// An update, and when it was received.
#[derive(Debug)]
struct Learned {
    at: Time,
    update: EntryUpdate,
}

impl UpdateHistory {
    /// Appends an update. If there is a gap between it and the previous update, all earlier
    /// updates are discarded, since the history must be contiguous.
    pub fn learned(&mut self, now: Time, update: EntryUpdate) {
        let is_contiguous = self
            .updates
            .back()
            .is_none_or(|last| last.update.to >= update.from);
        if !is_contiguous {
            self.updates.clear();
            self.changes = 0;
        }
        self.changes += update.changes.len();
        self.updates.push_back(Learned { at: now, update });
        while self.changes > MAX_CHANGES {
            let Some(oldest) = self.updates.pop_front() else {
                return;
            };
            self.changes -= oldest.update.changes.len();
        }
    }

    /// Returns all changes after `revision`, or `None` if the history does not cover it or
    /// has nothing newer.
    #[must_use]
    pub fn after(&self, now: Time, revision: Revision) -> Option<EntryUpdate> {
        let (first, last) = (&self.updates.front()?.update, &self.updates.back()?.update);
        if revision < first.from || revision >= last.to {
            return None;
        }
        let changes = self.updates.iter().flat_map(|learned| {
            let newer = |c: &&EntryChange| c.revision > revision;
            let age = now.saturating_sub(learned.at);
            let changes = learned.update.changes.iter().filter(newer);
            changes.map(move |c| c.aged(age))
        });
        Some(EntryUpdate {
            from: revision,
            to: last.to,
            changes: changes.collect(),
        })
    }
}
