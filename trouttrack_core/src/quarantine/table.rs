//! The requests under which upstreams ended.

use super::record::Record;
use super::settings::QuarantineSettings;
use super::suspect::Suspect;
use crate::upstream::Incarnation;
use crate::{Fingerprint, Time};
use std::cell::Cell;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Requests that are remembered. One takes some 0.3 kB, so all take 0.6 MB; the loss of
/// a sixth of 122 engines with 24 requests each is remembered whole.
const MOST_REQUESTS: usize = 2048;

/// A request that no upstream is to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Upstreams that ended under it.
    pub ends: usize,
    /// How long it is still held.
    pub left: Duration,
}

/// What was new in another VM's word.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Requests that are held from now on.
    pub held: Vec<Fingerprint>,
    /// Requests that ran well since, which the other VM does not know.
    pub known_better: Vec<Fingerprint>,
}

/// The requests under which upstreams ended.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::quarantine::{Quarantine, QuarantineSettings};
/// use trouttrack_core::upstream::Incarnation;
///
/// let mut quarantine = Quarantine::new(QuarantineSettings::default());
/// let now = Duration::from_secs(1);
/// for id in ["u1", "u2"] {
///     assert!(quarantine.hold(now, 7).is_none());
///     quarantine.ended(now, 7, &Incarnation::new(id, 0));
/// }
/// assert_eq!(quarantine.hold(now, 7).unwrap().ends, 2);
/// // Another one is not held, although it ran there as well once.
/// quarantine.ended(now, 8, &Incarnation::new("u1", 0));
/// assert!(quarantine.hold(now, 8).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    /// Their times are those of the clock put off by a hold, so that what happened before
    /// this VM started keeps its order.
    requests: HashMap<Fingerprint, Record>,
    /// What [`checksum`](Self::checksum) says, until something changes: it is asked for
    /// with each heartbeat that is heard.
    sum: Cell<Option<u64>>,
}

impl Quarantine {
    /// Nothing is remembered yet.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            requests: HashMap::new(),
            sum: Cell::new(Some(0)),
        }
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// How many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// An upstream ended while it ran a request. Returns whether that is new.
    pub fn ended(&mut self, now: Time, request: Fingerprint, upstream: &Incarnation) -> bool {
        self.ended_at(self.put_off(now), request, upstream)
    }

    fn put_off(&self, now: Time) -> Time {
        now + self.settings.hold
    }

    fn ended_at(&mut self, at: Time, request: Fingerprint, upstream: &Incarnation) -> bool {
        if self.settings.ends == 0 {
            return false;
        }
        if !self.requests.contains_key(&request) {
            self.make_room();
        }
        let record = self.requests.entry(request).or_default();
        self.sum.set(None);
        record.ended(upstream, at)
    }

    /// A run of a request came to its end: what ended under it before speaks no more
    /// against it. Returns whether anything did.
    pub fn ran_well(&mut self, now: Time, request: Fingerprint) -> bool {
        let now = self.put_off(now);
        let Some(record) = self.requests.get_mut(&request) else {
            return false;
        };
        let counted = record.count() > 0;
        record.ran_well(now);
        self.sum.set(None);
        counted
    }

    /// Whether a request is to be run by no upstream.
    #[must_use]
    pub fn hold(&self, now: Time, request: Fingerprint) -> Option<Hold> {
        let record = self.requests.get(&request)?;
        self.hold_of(now, record)
    }

    fn hold_of(&self, now: Time, record: &Record) -> Option<Hold> {
        let ends = record.count();
        if ends < self.settings.ends {
            return None;
        }
        let over_at = record.last_at() + self.settings.hold;
        let left = over_at.saturating_sub(self.put_off(now));
        (!left.is_zero()).then_some(Hold { ends, left })
    }

    /// How many requests are held.
    #[must_use]
    pub fn held(&self, now: Time) -> usize {
        let records = self.requests.values();
        records.filter(|r| self.hold_of(now, r).is_some()).count()
    }

    /// The requests that are held, and those that ran well after upstreams had ended under them,
    /// which may have been held before.
    pub fn held_now_or_before(&self, now: Time) -> impl Iterator<Item = Fingerprint> {
        let records = self.requests.iter();
        let chosen = records.filter(move |(_, r)| r.count() == 0 || self.hold_of(now, r).is_some());
        chosen.map(|(request, _)| *request)
    }

    /// The upstreams whose ends count against a request.
    #[must_use]
    pub fn ended_under(&self, request: Fingerprint) -> Vec<Incarnation> {
        let record = self.requests.get(&request);
        record.map_or_else(Vec::new, |r| r.upstreams().cloned().collect())
    }

    /// A request that VMs held before, read where they keep it. It counts as held from now
    /// on, unless something is known of it here. Returns whether it is new.
    pub fn restore(&mut self, now: Time, request: Fingerprint, ended: &[Incarnation]) -> bool {
        if self.requests.contains_key(&request) {
            return false;
        }
        for upstream in ended {
            self.ended(now, request, upstream);
        }
        self.hold(now, request).is_some()
    }

    /// Forgets what is older than a hold. Returns the requests that were held.
    pub fn expire(&mut self, now: Time) -> Vec<Fingerprint> {
        let (now, keep) = (self.put_off(now), self.settings.hold);
        let ends = self.settings.ends;
        let mut over = Vec::new();
        self.requests.retain(|request, record| {
            let keeps = record.says_anything(now, keep);
            if !keeps && record.count() >= ends {
                over.push(*request);
            }
            keeps
        });
        if !over.is_empty() {
            self.sum.set(None);
        }
        over
    }

    /// What is told of some requests.
    #[must_use]
    pub fn told_of(&self, now: Time, requests: &[Fingerprint]) -> Vec<Suspect> {
        let now = self.put_off(now);
        let known = requests.iter().filter_map(|&request| {
            let record = self.requests.get(&request)?;
            Some(record.told(request, now))
        });
        known.collect()
    }

    /// What is told to a VM that holds other requests: those held here, at most `most` of
    /// them, the last held first. Such a VM has just started, was cut off, or a datagram
    /// was lost.
    #[must_use]
    pub fn told(&self, now: Time, most: usize) -> Vec<Suspect> {
        let mut order: Vec<(&Fingerprint, &Record)> = self.convicted().collect();
        order.sort_unstable_by_key(|(request, r)| std::cmp::Reverse((r.last_at(), **request)));
        let now = self.put_off(now);
        let first = order.into_iter().take(most);
        first.map(|(request, r)| r.told(*request, now)).collect()
    }

    /// Those with as many ends as hold a request.
    fn convicted(&self) -> impl Iterator<Item = (&Fingerprint, &Record)> {
        let all = self.requests.iter();
        all.filter(|(_, r)| r.count() >= self.settings.ends)
    }

    /// Takes in what another VM knows.
    pub fn hear(&mut self, now: Time, told: &[Suspect]) -> Heard {
        let mut heard = Heard::default();
        for suspect in told {
            let request = suspect.fingerprint;
            let was_held = self.hold(now, request).is_some();
            self.merge(now, suspect);
            if !was_held && self.hold(now, request).is_some() {
                heard.held.push(request);
            }
            if self.knows_better(now, suspect) {
                heard.known_better.push(request);
            }
        }
        heard
    }

    /// Whether a run that came to its end after all that was told is known here, and not
    /// there.
    fn knows_better(&self, now: Time, suspect: &Suspect) -> bool {
        let record = self.requests.get(&suspect.fingerprint);
        let ran_well = record.and_then(|r| r.ran_well_ago(self.put_off(now)));
        let Some(ago) = ran_well else {
            return false;
        };
        let last = suspect.ends.iter().map(|e| e.ago_ms).min();
        let there = suspect.ran_well_ago_ms.unwrap_or(u64::MAX);
        let ago = ago.as_millis() as u64;
        last.is_some_and(|last| ago < last && there > last)
    }

    fn merge(&mut self, now: Time, suspect: &Suspect) {
        let now = self.put_off(now);
        let at = |ago_ms: u64| now.saturating_sub(Duration::from_millis(ago_ms));
        let last = suspect.ends.iter().map(|e| e.ago_ms).min();
        let is_over = |ago_ms| Duration::from_millis(ago_ms) >= self.settings.hold;
        if last.is_none_or(is_over) {
            return;
        }
        for end in &suspect.ends {
            self.ended_at(at(end.ago_ms), suspect.fingerprint, &end.upstream);
        }
        if let Some(ago_ms) = suspect.ran_well_ago_ms
            && let Some(record) = self.requests.get_mut(&suspect.fingerprint)
        {
            record.ran_well(at(ago_ms));
            self.sum.set(None);
        }
    }

    /// A sum over what is held: two VMs with the same one hold the same. 0 for nothing.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        if let Some(sum) = self.sum.get() {
            return sum;
        }
        let sum = self.sum_of_held();
        self.sum.set(Some(sum));
        sum
    }

    fn sum_of_held(&self) -> u64 {
        self.convicted().fold(0, |sum, (request, _)| {
            let mut hasher = Xxh3::new();
            request.hash(&mut hasher);
            sum ^ hasher.finish()
        })
    }

    /// Makes room for one more: what has the fewest ends goes first, then the oldest.
    fn make_room(&mut self) {
        if self.requests.len() < MOST_REQUESTS {
            return;
        }
        let least = self.requests.iter();
        let least = least.min_by_key(|(request, r)| (r.count(), r.last_at(), **request));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.requests.remove(&request);
        }
    }
}
