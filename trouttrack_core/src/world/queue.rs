//! Waiting requests: classes with ageing, weighted fair share inside a class.

use super::tables::RequestKey;
use crate::{OrganisationId, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Scale of the virtual finish tags, so that they order as integers.
const TAG_SCALE: f64 = 1024.0;

/// Where a request stands in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    class: u8,
    tag: u64,
    since: Time,
    key: RequestKey,
}

/// When a class is to be served; the smallest comes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    in_time: bool,
    due: Time,
    class: u8,
}

#[derive(Debug, Default)]
struct Class {
    by_tag: BTreeSet<(u64, RequestKey)>,
    by_age: BTreeSet<(Time, RequestKey)>,
    /// Virtual time: the tag of the last request taken.
    virtual_time: u64,
}

/// Classes of waiting requests.
///
/// A request that has waited for `max_wait` goes before all classes and
/// shares, the oldest first: that bounds every wait, even if the most urgent
/// class alone is more than can be served. Before that, the class whose oldest
/// request has the smallest `since + class × ageing` is served first, and
/// inside a class the smallest finish tag.
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
    /// An empty queue; `ageing` is how much longer each class down may wait.
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

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn push(
        &mut self,
        key: RequestKey,
        class: u8,
        organisation: &str,
        cost_per_weight: f64,
        since: Time,
    ) -> Place {
        let entry = self.classes.entry(class).or_default();
        let last = self
            .last_tag
            .entry((class, organisation.to_owned()))
            .or_insert(0);
        let start = entry.virtual_time.max(*last);
        let tag = start + (cost_per_weight * TAG_SCALE).max(1.0) as u64;
        *last = tag;
        entry.by_tag.insert((tag, key));
        entry.by_age.insert((since, key));
        self.len += 1;
        Place {
            class,
            tag,
            since,
            key,
        }
    }

    pub(crate) fn remove(&mut self, place: Place) {
        let Some(class) = self.classes.get_mut(&place.class) else {
            return;
        };
        if class.by_tag.remove(&(place.tag, place.key)) {
            class.by_age.remove(&(place.since, place.key));
            self.len -= 1;
        }
        if self.len == 0 {
            // Nobody waits, so no organisation is ahead of another.
            self.last_tag.clear();
        }
    }

    /// A request was taken from the queue to be run.
    pub(crate) fn taken(&mut self, place: Place) {
        if let Some(class) = self.classes.get_mut(&place.class) {
            class.virtual_time = class.virtual_time.max(place.tag);
        }
        self.remove(place);
    }

    /// The classes in the order in which they are to be served now.
    pub(crate) fn order(&self, now: Time) -> Vec<u8> {
        let mut order: Vec<Turn> = self
            .classes
            .iter()
            .filter_map(|(&class, waiting)| {
                let (since, _) = *waiting.by_age.first()?;
                let overdue = now.saturating_sub(since) >= self.max_wait;
                let due = match overdue {
                    true => since,
                    false => since + self.ageing * u32::from(class),
                };
                Some(Turn {
                    in_time: !overdue,
                    due,
                    class,
                })
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|turn| turn.class).collect()
    }

    /// The next requests of a class, at most `most`.
    pub(crate) fn heads(&self, class: u8, now: Time, most: usize) -> Vec<RequestKey> {
        let Some(class) = self.classes.get(&class) else {
            return Vec::new();
        };
        let overdue = class
            .by_age
            .iter()
            .take_while(|(since, _)| now.saturating_sub(*since) >= self.max_wait)
            .map(|&(_, key)| key);
        let fair = class.by_tag.iter().map(|&(_, key)| key);
        let mut heads: Vec<RequestKey> = Vec::with_capacity(most);
        for key in overdue.take(most).chain(fair.take(most)) {
            if !heads.contains(&key) {
                heads.push(key);
            }
        }
        heads.truncate(most);
        heads
    }
}
