//! Choice of the subjects to hold.

use super::record::Record;
use super::subject::{Attributes, Subject};
use crate::upstream::Incarnation;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Held subjects. A request is refused if it has one of them together with all attributes that
/// were needed, as far as is known, to crash its upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Holds(BTreeMap<Subject, Vec<Subject>>);

impl Holds {
    /// Chooses few subjects that explain the crashes: those under which most upstreams crashed
    /// first, and others only for crashes that remain unexplained. `limit_of` gives the number of
    /// crashes from which a subject is held.
    pub(super) fn choose(
        records: &HashMap<Subject, Record>,
        limit_of: impl Fn(Subject) -> Option<usize>,
    ) -> Self {
        let enough = records.iter().filter_map(|(subject, record)| {
            let limit = limit_of(*subject)?;
            let count = record.count();
            (count >= limit).then_some((Reverse(count), !subject.is_part(), *subject, limit))
        });
        let mut candidates: Vec<_> = enough.collect();
        candidates.sort_unstable();
        let mut explained: HashSet<&Incarnation> = HashSet::new();
        let mut holds = BTreeMap::new();
        for (_, _, subject, limit) in candidates {
            let record = &records[&subject];
            if record.count_where(|crash| !explained.contains(&crash.upstream)) < limit {
                continue;
            }
            // A part does not explain more than its requests: what crashed beside it may have
            // another cause.
            if subject.is_part() {
                explained.extend(record.upstreams());
            }
            let mut needed = record.common_companions();
            needed.retain(|companion| !is_cleared(records, *companion));
            holds.insert(subject, needed);
        }
        Self(holds)
    }

    /// The held subjects because of which a request is refused.
    pub(super) fn refusing(&self, attributes: &Attributes) -> impl Iterator<Item = Subject> {
        let is_refused = |subject: &Subject| {
            let needed = self.0.get(subject);
            needed.is_some_and(|needed| needed.iter().all(|other| attributes.includes(*other)))
        };
        attributes.subjects().filter(is_refused)
    }

    /// Whether the subject is held, alone or with others.
    pub(super) fn contains(&self, subject: Subject) -> bool {
        self.0.contains_key(&subject)
    }

    /// The attributes that a request needs besides the subject to be refused.
    pub(super) fn needed(&self, subject: Subject) -> &[Subject] {
        self.0.get(&subject).map_or(&[], Vec::as_slice)
    }

    /// Held subjects, each with the attributes needed besides.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Subject, &[Subject])> {
        self.0.iter().map(|(s, needed)| (*s, needed.as_slice()))
    }
}

/// Whether runs speak for the subject since the latest crash under it.
fn is_cleared(records: &HashMap<Subject, Record>, subject: Subject) -> bool {
    records.get(&subject).is_some_and(|r| r.count() == 0)
}
