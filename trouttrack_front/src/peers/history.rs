//! Bounded history of recent upstream entry changes, for retransmission to VMs that
//! missed updates.
//!
//! Updates are sent once over UDP and may be lost. A VM that finds itself behind requests
//! the missing changes from a peer, and queries the store only if no peer answers. Calls
//! to the store are billed, so it is not asked for changes that a peer has.

use super::message::{EntryChange, EntryUpdate};
use std::collections::VecDeque;
use trouttrack_core::membership::Revision;

/// Maximum number of retained changes, about 0.2 kB each. Covers 20 s at 200 changes per
/// second, the rate of a release to half a fleet of 20,000 upstreams.
const MAX_CHANGES: usize = 4096;

/// Contiguous updates in the order in which they were received.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::Revision;
/// use trouttrack_front::peers::{EntryUpdate, UpdateHistory};
/// let at = |number| Revision::new(1, number);
/// let update = |from, to| EntryUpdate { from: at(from), to: at(to), changes: Vec::new() };
/// let mut history = UpdateHistory::default();
/// history.learned(update(10, 12));
/// history.learned(update(12, 15));
/// assert_eq!(history.after(at(11)).map(|n| (n.from, n.to)), Some((at(11), at(15))));
/// assert!(history.after(at(9)).is_none());
/// assert!(history.after(at(15)).is_none());
/// ```
#[derive(Debug, Default)]
pub struct UpdateHistory {
    updates: VecDeque<EntryUpdate>,
    changes: usize,
}

impl UpdateHistory {
    /// Appends an update. If there is a gap between it and the previous update, all earlier
    /// updates are discarded, since the history must be contiguous.
    pub fn learned(&mut self, update: EntryUpdate) {
        let is_contiguous = self
            .updates
            .back()
            .is_none_or(|last| last.to >= update.from);
        if !is_contiguous {
            self.updates.clear();
            self.changes = 0;
        }
        self.changes += update.changes.len();
        self.updates.push_back(update);
        while self.changes > MAX_CHANGES {
            let Some(oldest) = self.updates.pop_front() else {
                return;
            };
            self.changes -= oldest.changes.len();
        }
    }

    /// Returns all changes after `revision`, or `None` if the history does not cover it or
    /// has nothing newer.
    #[must_use]
    pub fn after(&self, revision: Revision) -> Option<EntryUpdate> {
        let (first, last) = (self.updates.front()?, self.updates.back()?);
        if revision < first.from || revision >= last.to {
            return None;
        }
        let newer = |c: &&EntryChange| c.revision > revision;
        let changes = self.updates.iter().flat_map(|n| &n.changes).filter(newer);
        Some(EntryUpdate {
            from: revision,
            to: last.to,
            changes: changes.cloned().collect(),
        })
    }
}
