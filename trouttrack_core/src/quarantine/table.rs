//! Table of requests and parts of prompts under which upstreams crashed.

use super::companions::Companions;
use super::crash_record::{CrashContext, CrashRecord};
use super::holds::Holds;
use super::record::{Crash, Record};
use super::settings::QuarantineSettings;
use super::subject::{Attributes, Subject};
use crate::upstream::Incarnation;
use crate::{Fingerprint, PartId, Time};
use std::cell::{Cell, OnceCell};
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of recorded requests. A record takes about 0.3 kB, so the table takes up
/// to 0.6 MB. It covers the loss of a sixth of 122 engines with 24 requests each.
const MAX_REQUESTS: usize = 2048;
/// Maximum number of recorded parts. A record takes about 0.5 kB, more where many requests with
/// the part were at the same upstreams.
const MAX_PARTS: usize = 1024;

/// Hold, because of which no upstream may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// What is held.
    pub subject: Subject,
    /// Number of upstreams that crashed while running a request with it. Upstreams that crashed
    /// at the same moment count once.
    pub ends: usize,
    /// Remaining duration of the hold.
    pub left: Duration,
}

/// Run during which an upstream crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Incarnation that crashed.
    pub upstream: Incarnation,
    /// Time at which the request was sent to it; `None` if it is not known.
    pub sent_at: Option<Time>,
}

impl From<&Incarnation> for CrashedRun {
    fn from(upstream: &Incarnation) -> Self {
        Self {
            upstream: upstream.clone(),
            sent_at: None,
        }
    }
}

/// Result of merging the records of another VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// Subjects that are held as a result.
    pub held: Vec<Subject>,
    /// Subjects with a later run that the other VM does not know of.
    pub newer_runs: Vec<Subject>,
}

/// Table of requests and parts of prompts under which upstreams crashed.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::quarantine::{Attributes, Quarantine, QuarantineSettings};
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
///
/// // No two of these requests are alike, and all have part 1 in their prompts.
/// for request in 11..15 {
///     let upstream = Incarnation::new(&format!("u{request}"), 0);
///     let attributes = Attributes::new(request, vec![1, request as u64]);
///     quarantine.record_crash(now, attributes, &upstream);
/// }
/// assert!(quarantine.hold(now, Attributes::new(20, vec![1])).is_some());
/// assert!(quarantine.hold(now, Attributes::new(20, vec![11])).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    /// Requests and parts that are never held.
    lifted: Vec<Subject>,
    /// Times in the records are offset by one hold duration, so that events from before
    /// this VM's start have positive times and keep their order.
    records: HashMap<Subject, Record>,
    /// The crashes behind holds that are over, and when they were dropped. What the store still
    /// says of them is no news.
    over: HashMap<Subject, (Time, Vec<Incarnation>)>,
    /// Cached holds; empty after a change.
    holds: OnceCell<Holds>,
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
            lifted: Vec::new(),
            records: HashMap::new(),
            over: HashMap::new(),
            holds: OnceCell::new(),
            cached_checksum: Cell::new(Some(0)),
        }
    }

    /// Whether nothing is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of recorded requests and parts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Replaces the requests and parts that are never held. Returns those whose holds end.
    pub fn set_lifted(&mut self, lifted: Vec<Subject>) -> Vec<Subject> {
        let before: Vec<Subject> = self.holds().iter().map(|(subject, _)| subject).collect();
        self.lifted = lifted;
        self.changed();
        let is_over = |subject: &Subject| !self.holds().contains(*subject);
        before.into_iter().filter(is_over).collect()
    }

    /// Records that an upstream crashed while it ran a request. Its parts are blamed as well, so
    /// they are left out if its answer had begun long before
    /// ([`Attributes::without_parts`]). Returns whether that is new for one of its attributes.
    pub fn record_crash(
        &mut self,
        now: Time,
        request: impl Into<Attributes>,
        run: impl Into<CrashedRun>,
    ) -> bool {
        let attributes = request.into();
        let run = run.into();
        let crash = |subject| Crash {
            upstream: run.upstream.clone(),
            at: self.offset(now),
            sent_at: run.sent_at.map(|at| self.offset(at)),
            companions: Companions::of(subject, &attributes),
        };
        let crashes: Vec<(Subject, Crash)> = attributes.subjects().map(|s| (s, crash(s))).collect();
        let mut new = false;
        for (subject, crash) in crashes {
            new |= self.insert_crash(subject, crash);
        }
        new
    }

    fn offset(&self, now: Time) -> Time {
        now + self.settings.hold
    }

    fn insert_crash(&mut self, subject: Subject, crash: Crash) -> bool {
        let Some(limit) = self.limit(subject) else {
            return false;
        };
        if !self.make_room(subject) {
            return false;
        }
        let record = self.records.entry(subject).or_default();
        let before = record.count();
        let is_new = record.record_crash(crash);
        if before.max(record.count()) >= limit {
            self.changed();
        }
        is_new
    }

    fn changed(&mut self) {
        self.holds.take();
        self.cached_checksum.set(None);
    }

    /// Records a completed run of a request, after which earlier crashes no longer count
    /// against it. Returns whether there were any that counted.
    pub fn record_completed_run(&mut self, now: Time, request: Fingerprint) -> bool {
        self.record_run(now, Subject::Request(request))
    }

    /// Records that a run outlived its beginning: crashes before it began no longer count against
    /// the parts of its prompt. Returns the parts for which there were any that counted.
    pub fn record_begun_run(&mut self, began_at: Time, parts: &[PartId]) -> Vec<Subject> {
        let subjects = parts.iter().map(|part| Subject::Part(*part));
        subjects
            .filter(|subject| self.record_run(began_at, *subject))
            .collect()
    }

    fn record_run(&mut self, at: Time, subject: Subject) -> bool {
        let at = self.offset(at);
        let Some(record) = self.records.get_mut(&subject) else {
            return false;
        };
        let counted = record.count();
        record.record_run(at);
        let is_news = record.count() < counted;
        self.changed();
        is_news
    }

    fn holds(&self) -> &Holds {
        self.holds
            .get_or_init(|| Holds::choose(&self.records, |subject| self.limit(subject)))
    }

    /// Number of crashes from which a subject is held; `None` if it never is.
    fn limit(&self, subject: Subject) -> Option<usize> {
        let limit = self.settings.limit(subject);
        limit.filter(|_| !self.lifted.contains(&subject))
    }

    /// The hold because of which a request is refused, if any.
    #[must_use]
    pub fn hold(&self, now: Time, request: impl Into<Attributes>) -> Option<Hold> {
        let attributes = request.into();
        let mut refusing = self.holds().refusing(&attributes);
        refusing.find_map(|subject| self.hold_on(now, subject))
    }

    /// The hold on a subject, alone or together with others, if it is held.
    #[must_use]
    pub fn hold_on(&self, now: Time, subject: Subject) -> Option<Hold> {
        if !self.holds().contains(subject) {
            return None;
        }
        let record = self.records.get(&subject)?;
        let over_at = record.last_at() + self.settings.hold;
        let left = over_at.saturating_sub(self.offset(now));
        (!left.is_zero()).then(|| Hold {
            subject,
            ends: record.count(),
            left,
        })
    }

    /// The attributes that a request needs besides a held subject to be refused.
    #[must_use]
    pub fn needed_with(&self, subject: Subject) -> &[Subject] {
        self.holds().needed(subject)
    }

    /// Whether all VMs must know the record of a subject: it is held, or a part that one more
    /// crash would hold, which runs at any VM may clear.
    #[must_use]
    pub fn concerns_all(&self, now: Time, subject: Subject) -> bool {
        let is_close = || {
            let count = self.records.get(&subject).map_or(0, Record::count);
            let limit = self.limit(subject);
            subject.is_part() && limit.is_some_and(|limit| count > 0 && count + 1 >= limit)
        };
        self.hold_on(now, subject).is_some() || is_close()
    }

    /// Number of held requests and parts.
    #[must_use]
    pub fn held(&self, now: Time) -> usize {
        let subjects = self.holds().iter();
        subjects
            .filter(|(subject, _)| self.hold_on(now, *subject).is_some())
            .count()
    }

    /// Subjects that are held, and those with a run after crashes, which may have been held
    /// before.
    pub fn held_or_released(&self, now: Time) -> impl Iterator<Item = Subject> {
        let records = self.records.iter();
        let chosen =
            records.filter(move |(s, r)| r.count() == 0 || self.hold_on(now, **s).is_some());
        chosen.map(|(subject, _)| *subject)
    }

    /// Upstreams whose crashes count against a subject.
    #[must_use]
    pub fn counted_crashes(&self, subject: impl Into<Subject>) -> Vec<Incarnation> {
        let record = self.records.get(&subject.into());
        record.map_or_else(Vec::new, |r| r.upstreams().cloned().collect())
    }

    /// Restores a subject that was held before, as read from the store, with the attributes
    /// needed besides. The hold starts now, unless the subject is already recorded or a hold
    /// because of these crashes is over. Returns whether a hold was added.
    pub fn restore(
        &mut self,
        now: Time,
        subject: impl Into<Subject>,
        ended: &[Incarnation],
        needed: &[Subject],
    ) -> bool {
        let subject = subject.into();
        if self.records.contains_key(&subject) || self.is_over(subject, ended) {
            return false;
        }
        for upstream in ended {
            let crash = Crash {
                upstream: upstream.clone(),
                at: self.offset(now),
                sent_at: None,
                companions: needed.iter().copied().collect(),
            };
            self.insert_crash(subject, crash);
        }
        self.hold_on(now, subject).is_some()
    }

    /// Drops records older than a hold. Returns those subjects that had been held.
    pub fn expire(&mut self, now: Time) -> Vec<Subject> {
        let (now, keep) = (self.offset(now), self.settings.hold);
        let records = self.records.iter();
        let expired = records.filter(|(_, record)| !record.is_current(now, keep));
        let expired: Vec<Subject> = expired.map(|(subject, _)| *subject).collect();
        if expired.is_empty() {
            return expired;
        }
        let held = expired.iter().copied();
        let held: Vec<Subject> = held.filter(|s| self.holds().contains(*s)).collect();
        for subject in &expired {
            let record = self.records.remove(subject);
            let crashes = record.filter(|_| held.contains(subject));
            let crashes = crashes.map(|r| r.upstreams().cloned().collect());
            self.over
                .extend(crashes.map(|crashes| (*subject, (now, crashes))));
        }
        self.over.retain(|_, (at, _)| now < *at + keep);
        self.changed();
        held
    }

    /// Whether a hold because of these crashes is over.
    fn is_over(&self, subject: Subject, crashes: &[Incarnation]) -> bool {
        let over = self.over.get(&subject);
        over.is_some_and(|(_, known)| crashes.iter().all(|c| known.contains(c)))
    }

    /// The records of some subjects, as sent to other VMs.
    #[must_use]
    pub fn records_of<S>(&self, now: Time, subjects: &[S]) -> Vec<CrashRecord>
    where
        S: Copy + Into<Subject>,
    {
        let now = self.offset(now);
        let known = subjects.iter().filter_map(|subject| {
            let subject = (*subject).into();
            let record = self.records.get(&subject)?;
            Some(record.to_crash_record(subject, now))
        });
        known.collect()
    }

    /// Records sent to a VM whose checksum differs: up to `limit` held subjects, most recent
    /// crash first. The VM has just started, was cut off, or missed a datagram.
    #[must_use]
    pub fn held_records(&self, now: Time, limit: usize) -> Vec<CrashRecord> {
        let mut order: Vec<Subject> = self.holds().iter().map(|(subject, _)| subject).collect();
        order.sort_unstable_by_key(|s| std::cmp::Reverse((self.records[s].last_at(), *s)));
        order.truncate(limit);
        self.records_of(now, &order)
    }

    /// Merges records of another VM.
    pub fn merge_records(&mut self, now: Time, records: &[CrashRecord]) -> MergeResult {
        let mut result = MergeResult::default();
        for received in records {
            let subject = received.subject();
            let was_held = self.hold_on(now, subject).is_some();
            self.merge(now, received);
            if !was_held && self.hold_on(now, subject).is_some() {
                result.held.push(subject);
            }
            if self.has_newer_run(now, received) {
                result.newer_runs.push(subject);
            }
        }
        result
    }

    /// Whether this VM knows a run later than all crashes in the received record, and the sender
    /// does not.
    fn has_newer_run(&self, now: Time, received: &CrashRecord) -> bool {
        let record = self.records.get(&received.subject());
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
        let subject = received.subject();
        let unknown = CrashContext::default();
        for (n, end) in received.ends.iter().enumerate() {
            let context = received.context.crashes.get(n).unwrap_or(&unknown);
            let crash = Crash {
                upstream: end.upstream.clone(),
                at: time_of(end.ago_ms),
                sent_at: context.sent_ago_ms.map(time_of),
                companions: context.companions.clone(),
            };
            self.insert_crash(subject, crash);
        }
        if let Some(ago_ms) = received.ran_well_ago_ms
            && let Some(record) = self.records.get_mut(&subject)
        {
            record.record_run(time_of(ago_ms));
            self.changed();
        }
    }

    /// Checksum over the held subjects, by which VMs compare their tables; 0 if there are none.
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
        self.holds().iter().fold(0, |sum, (subject, _)| {
            let mut hasher = Xxh3::new();
            match subject {
                // Earlier versions compute the same for requests.
                Subject::Request(fingerprint) => fingerprint.hash(&mut hasher),
                Subject::Part(_) => {
                    subject.hash(&mut hasher);
                    self.records[&subject].common_companions().hash(&mut hasher);
                }
            }
            sum ^ hasher.finish()
        })
    }

    /// Makes room for the record of a subject: of the requests or the parts, evicts the one with
    /// the fewest crashes, then the oldest, but none that is held. Returns whether there is room.
    fn make_room(&mut self, subject: Subject) -> bool {
        if self.records.contains_key(&subject) {
            return true;
        }
        let limit = match subject {
            Subject::Request(_) => MAX_REQUESTS,
            Subject::Part(_) => MAX_PARTS,
        };
        let same_kind = |s: &Subject| s.is_part() == subject.is_part();
        if self.records.keys().filter(|s| same_kind(s)).count() < limit {
            return true;
        }
        let holds = self.holds();
        let records = self.records.iter();
        let evictable = records.filter(|(s, _)| same_kind(s) && !holds.contains(**s));
        let least = evictable.min_by_key(|(s, r)| (r.count(), r.last_at(), **s));
        let Some(least) = least.map(|(subject, _)| *subject) else {
            return false;
        };
        self.records.remove(&least);
        true
    }
}
