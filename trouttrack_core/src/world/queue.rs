//! Priority queue of waiting requests: ageing between priority classes, weighted fair
//! queueing between organisations within a class.

use super::tables::RequestKey;
use crate::{OrganisationId, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Fixed-point scale of virtual finish tags, which are compared as integers.
const TAG_SCALE: f64 = 1024.0;

/// Position of a waiting request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuePosition {
    class: u8,
    key: RequestKey,
}

/// A waiting request as it arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival<'a> {
    pub(crate) class: u8,
    pub(crate) organisation: &'a str,
    pub(crate) cost_per_weight: f64,
    /// Order among the requests of an organisation and class.
    pub(crate) due: Time,
    pub(crate) queued_at: Time,
}

/// Index entries of a waiting request.
#[derive(Clone, Debug)]
struct Entry {
    organisation: OrganisationId,
    due: Time,
    queued_at: Time,
    /// Finish tag at arrival; orders requests that are due at the same time.
    rank: u64,
    /// Finish tag of the organisation's turn that the request holds.
    tag: u64,
}

/// Sort key of a class: overdue classes first, then by due time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServiceOrder {
    within_max_wait: bool,
    due: Time,
    class: u8,
}

#[derive(Debug, Default)]
struct Class {
    by_tag: BTreeSet<(u64, RequestKey)>,
    by_age: BTreeSet<(Time, RequestKey)>,
    /// Each organisation's requests, the earliest due first.
    by_due: HashMap<OrganisationId, BTreeSet<(Time, u64, RequestKey)>>,
    entries: HashMap<RequestKey, Entry>,
    /// Largest finish tag dequeued so far.
    virtual_time: u64,
}

/// Queue of waiting requests, grouped by priority class.
///
/// Requests that have waited for `max_wait` are served before all others, oldest
/// first. This bounds every wait even if the most urgent class alone exceeds the
/// capacity. Otherwise the class whose oldest request has the smallest
/// `queued_at + class × ageing` is served first, and within a class the organisation with the
/// smallest finish tag. Of an organisation's requests the one that is due first takes its turn.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::world::FairQueue;
/// let queue = FairQueue::new(Duration::from_secs(5), Duration::from_secs(30));
/// assert_eq!(queue.len(), 0);
/// ```
#[derive(Debug)]
pub struct FairQueue {
    ageing: Duration,
    max_wait: Duration,
    classes: BTreeMap<u8, Class>,
    last_tag: HashMap<(u8, OrganisationId), u64>,
    len: usize,
}

impl FairQueue {
    /// Creates an empty queue. `ageing` is the additional wait allowed per class below
    /// class 0.
    #[must_use]
    pub fn new(ageing: Duration, max_wait: Duration) -> Self {
        Self {
            ageing,
            max_wait,
            classes: BTreeMap::new(),
            last_tag: HashMap::new(),
            len: 0,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn push(&mut self, key: RequestKey, new: Arrival<'_>) -> QueuePosition {
        let class = self.classes.entry(new.class).or_default();
        let last = self
            .last_tag
            .entry((new.class, new.organisation.to_owned()))
            .or_insert(0);
        let start = class.virtual_time.max(*last);
        let tag = start + (new.cost_per_weight * TAG_SCALE).max(1.0) as u64;
        *last = tag;
        class.insert(
            key,
            Entry {
                organisation: new.organisation.to_owned(),
                due: new.due,
                queued_at: new.queued_at,
                rank: tag,
                tag,
            },
        );
        self.len += 1;
        QueuePosition {
            class: new.class,
            key,
        }
    }

    pub(crate) fn remove(&mut self, position: QueuePosition) {
        let Some(class) = self.classes.get_mut(&position.class) else {
            return;
        };
        if class.remove(position.key).is_some() {
            self.len -= 1;
        }
        if self.len == 0 {
            // With an empty queue no organisation is ahead of its share.
            self.last_tag.clear();
        }
    }

    /// Removes a request that has been placed and advances the virtual time of its class. It
    /// takes the first turn of its organisation, and leaves its own to the request that held
    /// that turn.
    pub(crate) fn dequeue(&mut self, position: QueuePosition) {
        if let Some(class) = self.classes.get_mut(&position.class) {
            class.take_first_turn(position.key);
        }
        self.remove(position);
    }

    /// Classes in service order at `now`.
    pub(crate) fn order(&self, now: Time) -> Vec<u8> {
        let mut order: Vec<ServiceOrder> = self
            .classes
            .iter()
            .filter_map(|(&class, waiting)| {
                let (queued_at, _) = *waiting.by_age.first()?;
                let overdue = now.saturating_sub(queued_at) >= self.max_wait;
                let due = match overdue {
                    true => queued_at,
                    false => queued_at + self.ageing * u32::from(class),
                };
                Some(ServiceOrder {
                    within_max_wait: !overdue,
                    due,
                    class,
                })
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|entry| entry.class).collect()
    }

    /// Up to `limit` requests of a class that satisfy `wanted` in service order: overdue ones,
    /// then by the turns of their organisations.
    pub(crate) fn heads(
        &self,
        class: u8,
        now: Time,
        limit: usize,
        wanted: impl Fn(RequestKey) -> bool,
    ) -> Vec<RequestKey> {
        let Some(class) = self.classes.get(&class) else {
            return Vec::new();
        };
        let overdue = class
            .by_age
            .iter()
            .take_while(|(queued_at, _)| now.saturating_sub(*queued_at) >= self.max_wait)
            .map(|&(_, key)| key)
            .filter(|key| wanted(*key));
        let fair = class.turns().filter(|key| wanted(*key));
        let mut heads: Vec<RequestKey> = Vec::with_capacity(limit);
        for key in overdue.take(limit).chain(fair.take(limit)) {
            if !heads.contains(&key) {
                heads.push(key);
            }
        }
        heads.truncate(limit);
        heads
    }
}

impl Class {
    fn insert(&mut self, key: RequestKey, entry: Entry) {
        self.by_tag.insert((entry.tag, key));
        self.by_age.insert((entry.queued_at, key));
        let of_organisation = self.by_due.entry(entry.organisation.clone()).or_default();
        of_organisation.insert((entry.due, entry.rank, key));
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: RequestKey) -> Option<Entry> {
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
    fn turns(&self) -> impl Iterator<Item = RequestKey> {
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
    fn take_first_turn(&mut self, key: RequestKey) {
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
