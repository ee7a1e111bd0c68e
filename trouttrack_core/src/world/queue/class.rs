//! The waiting requests of a priority class, and the turns of its organisations.

use crate::world::tables::RequestKey;
use crate::{OrganisationId, Time};
use std::collections::{BTreeSet, HashMap};

/// Index entries of a waiting request.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) organisation: OrganisationId,
    pub(super) due: Time,
    pub(super) queued_at: Time,
    /// Finish tag at arrival; orders requests that are due at the same time.
    pub(super) rank: u64,
    /// Finish tag of the organisation's turn that the request holds.
    pub(super) tag: u64,
}

/// Waiting requests of one priority class.
#[derive(Debug, Default)]
pub(super) struct Class {
    by_tag: BTreeSet<(u64, RequestKey)>,
    pub(super) by_age: BTreeSet<(Time, RequestKey)>,
    /// Each organisation's requests, the earliest due first.
    by_due: HashMap<OrganisationId, BTreeSet<(Time, u64, RequestKey)>>,
    entries: HashMap<RequestKey, Entry>,
    /// Largest finish tag dequeued so far.
    pub(super) virtual_time: u64,
}

impl Class {
    pub(super) fn insert(&mut self, key: RequestKey, entry: Entry) {
        self.by_tag.insert((entry.tag, key));
        self.by_age.insert((entry.queued_at, key));
        let of_organisation = self.by_due.entry(entry.organisation.clone()).or_default();
        of_organisation.insert((entry.due, entry.rank, key));
        self.entries.insert(key, entry);
    }

    pub(super) fn remove(&mut self, key: RequestKey) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        self.by_tag.remove(&(entry.tag, key));
        self.by_age.remove(&(entry.queued_at, key));
        if let Some(of_organisation) = self.by_due.get_mut(&entry.organisation) {
            of_organisation.remove(&(entry.due, entry.rank, key));
            if of_organisation.is_empty() {
                self.by_due.remove(&entry.organisation);
            }
        }
        Some(entry)
    }

    /// Requests in the order of their organisations' turns.
    pub(super) fn turns(&self) -> impl Iterator<Item = RequestKey> {
        let mut taken: HashMap<&str, usize> = HashMap::new();
        self.by_tag.iter().filter_map(move |(_, key)| {
            let organisation = self.entries.get(key)?.organisation.as_str();
            let turn = taken.entry(organisation).or_insert(0);
            let (_, _, key) = self.by_due.get(organisation)?.iter().nth(*turn)?;
            *turn += 1;
            Some(*key)
        })
    }

    /// Exchanges the turn of a request with the first turn of its organisation.
    pub(super) fn take_first_turn(&mut self, key: RequestKey) {
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        let organisation = self.by_due.get(&entry.organisation);
        let keys = organisation.into_iter().flatten().map(|(_, _, key)| *key);
        let first = keys.min_by_key(|key| self.entries[key].tag).unwrap_or(key);
        let (own_tag, first_tag) = (entry.tag, self.entries[&first].tag);
        self.set_tag(key, first_tag);
        if first != key {
            self.set_tag(first, own_tag);
        }
        self.virtual_time = self.virtual_time.max(first_tag);
    }

    fn set_tag(&mut self, key: RequestKey, tag: u64) {
        if let Some(entry) = self.entries.get_mut(&key) {
            self.by_tag.remove(&(entry.tag, key));
            entry.tag = tag;
            self.by_tag.insert((tag, key));
        }
    }
}
