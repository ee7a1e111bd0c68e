//! Priority queue of waiting requests: ageing between priority classes, weighted fair
//! queueing between organisations within a class.

mod class;

use super::tables::RequestKey;
use crate::{OrganisationId, Time};
use class::{Class, Entry};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Fixed-point scale of virtual finish tags, which are compared as integers.
const TAG_SCALE: f64 = 1024.0;
/// Maximum cost of a request in units of finish tags, so that no sum of costs overflows.
const MAX_COST: f64 = (1u64 << 32) as f64;

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

/// Sort key of a class: overdue classes first, then by due time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServiceOrder {
    within_max_wait: bool,
    due: Time,
    class: u8,
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
        let cost = (new.cost_per_weight * TAG_SCALE).clamp(1.0, MAX_COST);
        let tag = start.saturating_add(cost as u64);
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
