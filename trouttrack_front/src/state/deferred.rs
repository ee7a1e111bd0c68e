//! Listed entries that are not used yet because a restore of the store has undone their
//! removal.

use std::collections::{HashMap, HashSet};
use trouttrack_core::membership::{Departures, RESTORE_GRACE, Revision};
use trouttrack_core::upstream::Incarnation;
use trouttrack_core::{Time, UpstreamId};
use trouttrack_platform::UpstreamEntry;
use trouttrack_telemetry::{events, record};

/// An entry that is not used yet because a restore of the store has undone its removal.
#[derive(Debug)]
struct DeferredEntry {
    entry: UpstreamEntry,
    revision: Revision,
    /// Time at which it is used if it is still listed.
    accept_at: Time,
}

/// The removed upstreams, and the listed entries whose removal a restore has undone.
#[derive(Debug, Default)]
pub(super) struct DeferredEntries {
    /// Upstreams whose entries were removed.
    departures: Departures,
    by_id: HashMap<UpstreamId, DeferredEntry>,
    /// The revision of the first list of the store's epoch.
    first_list_revision: Revision,
}

impl DeferredEntries {
    /// Records the removal of an upstream.
    pub(super) fn record_removal(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        revision: Revision,
    ) {
        self.departures.insert(now, incarnation, revision);
    }

    /// Drops the deferred entries that are not in a list. Returns whether the list is the first
    /// of its epoch.
    pub(super) fn retain_listed(&mut self, ids: &HashSet<&str>, revision: Revision) -> bool {
        self.by_id.retain(|id, _| ids.contains(id.as_str()));
        let is_first = revision.epoch > self.first_list_revision.epoch;
        if is_first {
            self.first_list_revision = revision;
        }
        is_first
    }

    /// Defers the listed entry of an unknown upstream if a restore has undone its removal.
    /// Returns whether it was deferred. [`Self::take_due`] returns it if it is still listed
    /// after [`RESTORE_GRACE`].
    pub(super) fn defer(
        &mut self,
        now: Time,
        id: &str,
        revision: Revision,
        entry: &UpstreamEntry,
    ) -> bool {
        let previous = self.by_id.remove(id);
        let incarnation = Incarnation::new(id, entry.born);
        let first_list = match revision.epoch > self.first_list_revision.epoch {
            true => revision,
            false => self.first_list_revision,
        };
        if !self
            .departures
            .is_removal_undone(now, &incarnation, revision, first_list)
        {
            return false;
        }
        record!(
            events::REMOVAL_UNDONE,
            upstream = id,
            born = entry.born,
            epoch = revision.epoch,
            revision = revision.number,
        );
        // A later list of the same epoch does not restart the grace period.
        let previous =
            previous.filter(|d| d.revision.epoch == revision.epoch && d.entry.born == entry.born);
        let deferred = DeferredEntry {
            entry: entry.clone(),
            revision,
            accept_at: previous.map_or(now + RESTORE_GRACE, |d| d.accept_at),
        };
        self.by_id.insert(id.to_owned(), deferred);
        true
    }

    /// Drops the deferred entry of an upstream, if there is one.
    pub(super) fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Removes and returns the deferred entries that are still listed after [`RESTORE_GRACE`].
    pub(super) fn take_due(&mut self, now: Time) -> Vec<(UpstreamId, Revision, UpstreamEntry)> {
        self.departures.expire(now);
        let departures = &mut self.departures;
        let due = self.by_id.extract_if(|_, d| now >= d.accept_at);
        let due = due.inspect(|(id, d)| departures.forget(&Incarnation::new(id, d.entry.born)));
        due.map(|(id, d)| (id, d.revision, d.entry)).collect()
    }
}
