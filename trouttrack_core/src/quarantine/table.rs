//! Table of requests whose upstreams crashed.

use super::crash_record::CrashRecord;
use super::record::Record;
use super::settings::QuarantineSettings;
use crate::upstream::Incarnation;
use crate::{Fingerprint, Time};
use std::cell::Cell;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of recorded requests. A record takes about 0.3 kB, so the table takes up
/// to 0.6 MB. It covers the loss of a sixth of 122 engines with 24 requests each.
const MAX_REQUESTS: usize = 2048;

/// Hold on a request, which no upstream may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Number of upstreams that crashed while running it.
    pub ends: usize,
    /// Remaining duration of the hold.
    pub left: Duration,
}

/// Result of merging the records of another VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// Requests that are held as a result.
    pub held: Vec<Fingerprint>,
    /// Requests with a later completed run that the other VM does not know of.
    pub newer_runs: Vec<Fingerprint>,
}

/// Table of requests whose upstreams crashed.
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
///     quarantine.record_crash(now, 7, &Incarnation::new(id, 0));
/// }
/// assert_eq!(quarantine.hold(now, 7).unwrap().ends, 2);
/// // Another request that ran on one of these upstreams is not held.
/// quarantine.record_crash(now, 8, &Incarnation::new("u1", 0));
/// assert!(quarantine.hold(now, 8).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    /// Times in the records are offset by one hold duration, so that events from before
    /// this VM's start have positive times and keep their order.
    requests: HashMap<Fingerprint, Record>,
    /// Cached [`checksum`](Self::checksum), which is read for every heartbeat received;
    /// `None` after a change.
    cached_checksum: Cell<Option<u64>>,
}

impl Quarantine {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            requests: HashMap::new(),
            cached_checksum: Cell::new(Some(0)),
        }
    }

    /// Whether no request is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of recorded requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Records that an upstream crashed while it ran a request. Returns whether that is new.
    pub fn record_crash(
        &mut self,
        now: Time,
        request: Fingerprint,
        upstream: &Incarnation,
    ) -> bool {
        self.record_crash_at(self.offset(now), request, upstream)
    }

    fn offset(&self, now: Time) -> Time {
        now + self.settings.hold
    }

    fn record_crash_at(&mut self, at: Time, request: Fingerprint, upstream: &Incarnation) -> bool {
        if self.settings.ends == 0 {
            return false;
        }
        if !self.requests.contains_key(&request) {
            self.evict_if_full();
        }
        let record = self.requests.entry(request).or_default();
        self.cached_checksum.set(None);
        record.record_crash(upstream, at)
    }

    /// Records a completed run of a request, after which earlier crashes no longer count.
    /// Returns whether there were any that counted.
    pub fn record_completed_run(&mut self, now: Time, request: Fingerprint) -> bool {
        let now = self.offset(now);
        let Some(record) = self.requests.get_mut(&request) else {
            return false;
        };
        let counted = record.count() > 0;
        record.record_completed_run(now);
        self.cached_checksum.set(None);
        counted
    }

    /// The hold on a request, if it is held.
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
        let left = over_at.saturating_sub(self.offset(now));
        (!left.is_zero()).then_some(Hold { ends, left })
    }

    /// Number of held requests.
    #[must_use]
    pub fn held(&self, now: Time) -> usize {
        let records = self.requests.values();
        records.filter(|r| self.hold_of(now, r).is_some()).count()
    }

    /// Requests that are held, and those with a completed run after crashes, which may have
    /// been held before.
    pub fn held_or_released(&self, now: Time) -> impl Iterator<Item = Fingerprint> {
        let records = self.requests.iter();
        let chosen = records.filter(move |(_, r)| r.count() == 0 || self.hold_of(now, r).is_some());
        chosen.map(|(request, _)| *request)
    }

    /// Upstreams whose crashes count for a request.
    #[must_use]
    pub fn counted_crashes(&self, request: Fingerprint) -> Vec<Incarnation> {
        let record = self.requests.get(&request);
        record.map_or_else(Vec::new, |r| r.upstreams().cloned().collect())
    }

    /// Restores a request that was held before, as read from the store. The hold starts now,
    /// unless the request is already recorded. Returns whether a hold was added.
    pub fn restore(&mut self, now: Time, request: Fingerprint, ended: &[Incarnation]) -> bool {
        if self.requests.contains_key(&request) {
            return false;
        }
        for upstream in ended {
            self.record_crash(now, request, upstream);
        }
        self.hold(now, request).is_some()
    }

    /// Drops records older than a hold. Returns those requests that had been held.
    pub fn expire(&mut self, now: Time) -> Vec<Fingerprint> {
        let (now, keep) = (self.offset(now), self.settings.hold);
        let ends = self.settings.ends;
        let mut over = Vec::new();
        self.requests.retain(|request, record| {
            let keeps = record.is_current(now, keep);
            if !keeps && record.count() >= ends {
                over.push(*request);
            }
            keeps
        });
        if !over.is_empty() {
            self.cached_checksum.set(None);
        }
        over
    }

    /// The records of some requests, as sent to other VMs.
    #[must_use]
    pub fn records_of(&self, now: Time, requests: &[Fingerprint]) -> Vec<CrashRecord> {
        let now = self.offset(now);
        let known = requests.iter().filter_map(|&request| {
            let record = self.requests.get(&request)?;
            Some(record.to_crash_record(request, now))
        });
        known.collect()
    }

    /// Records sent to a VM whose checksum differs: up to `limit` held requests, most recent
    /// crash first. The VM has just started, was cut off, or missed a datagram.
    #[must_use]
    pub fn held_records(&self, now: Time, limit: usize) -> Vec<CrashRecord> {
        let mut order: Vec<(&Fingerprint, &Record)> = self.with_enough_ends().collect();
        order.sort_unstable_by_key(|(request, r)| std::cmp::Reverse((r.last_at(), **request)));
        let now = self.offset(now);
        let first = order.into_iter().take(limit);
        first
            .map(|(request, r)| r.to_crash_record(*request, now))
            .collect()
    }

    /// Records with enough crashes for a hold.
    fn with_enough_ends(&self) -> impl Iterator<Item = (&Fingerprint, &Record)> {
        let all = self.requests.iter();
        all.filter(|(_, r)| r.count() >= self.settings.ends)
    }

    /// Merges records of another VM.
    pub fn merge_records(&mut self, now: Time, records: &[CrashRecord]) -> MergeResult {
        let mut result = MergeResult::default();
        for received in records {
            let request = received.fingerprint;
            let was_held = self.hold(now, request).is_some();
            self.merge(now, received);
            if !was_held && self.hold(now, request).is_some() {
                result.held.push(request);
            }
            if self.has_newer_run(now, received) {
                result.newer_runs.push(request);
            }
        }
        result
    }

    /// Whether this VM knows a completed run later than all crashes in the received record,
    /// and the sender does not.
    fn has_newer_run(&self, now: Time, received: &CrashRecord) -> bool {
        let record = self.requests.get(&received.fingerprint);
        let ran_well = record.and_then(|r| r.ran_well_ago(self.offset(now)));
        let Some(ago) = ran_well else {
            return false;
        };
        let last = received.ends.iter().map(|e| e.ago_ms).min();
        let there = received.ran_well_ago_ms.unwrap_or(u64::MAX);
        let ago = ago.as_millis() as u64;
        last.is_some_and(|last| ago < last && there > last)
    }

    fn merge(&mut self, now: Time, received: &CrashRecord) {
        let now = self.offset(now);
        let time_of = |ago_ms: u64| now.saturating_sub(Duration::from_millis(ago_ms));
        let last = received.ends.iter().map(|e| e.ago_ms).min();
        let is_over = |ago_ms| Duration::from_millis(ago_ms) >= self.settings.hold;
        if last.is_none_or(is_over) {
            return;
        }
        for end in &received.ends {
            self.record_crash_at(time_of(end.ago_ms), received.fingerprint, &end.upstream);
        }
        if let Some(ago_ms) = received.ran_well_ago_ms
            && let Some(record) = self.requests.get_mut(&received.fingerprint)
        {
            record.record_completed_run(time_of(ago_ms));
            self.cached_checksum.set(None);
        }
    }

    /// Checksum over the requests with enough crashes for a hold, by which VMs compare their
    /// tables; 0 if there are none.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        if let Some(checksum) = self.cached_checksum.get() {
            return checksum;
        }
        let checksum = self.compute_checksum();
        self.cached_checksum.set(Some(checksum));
        checksum
    }

    fn compute_checksum(&self) -> u64 {
        self.with_enough_ends().fold(0, |sum, (request, _)| {
            let mut hasher = Xxh3::new();
            request.hash(&mut hasher);
            sum ^ hasher.finish()
        })
    }

    /// Evicts a record if the table is full: the one with the fewest crashes, then the oldest.
    fn evict_if_full(&mut self) {
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        let least = self.requests.iter();
        let least = least.min_by_key(|(request, r)| (r.count(), r.last_at(), **request));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.requests.remove(&request);
        }
    }
}
