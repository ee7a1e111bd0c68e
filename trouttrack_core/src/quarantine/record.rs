//! Crash record of one subject.

use super::companions::Companions;
use super::crash_record::{CrashContext, CrashRecord, RecordContext, UpstreamCrash};
use super::subject::Subject;
use crate::Time;
use crate::upstream::Incarnation;
use std::time::Duration;

/// Maximum number of crashes recorded per subject. Crashes beyond the number that holds a
/// subject give no further information.
const MAX_ENDS: usize = 8;
/// Time within which upstreams that crash for one reason, such as the loss of their rack, are seen
/// to crash.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(250);

/// Crash of an upstream under a subject.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) upstream: Incarnation,
    pub(super) at: Time,
    /// Time at which the latest of the requests with the subject was sent to the upstream.
    pub(super) sent_at: Option<Time>,
    /// Other attributes of these requests.
    pub(super) companions: Companions,
}

impl Crash {
    /// Whether this crash tells more than an earlier one: both cannot have the same cause outside
    /// of the requests.
    fn is_independent_of(&self, earlier: &Self) -> bool {
        let sent_after = self.sent_at.is_none_or(|sent_at| sent_at >= earlier.at);
        sent_after || self.at >= earlier.at + COMMON_CAUSE_WINDOW
    }
}

/// Crash record of one subject.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Oldest first.
    ends: Vec<Crash>,
    ran_well_at: Option<Time>,
}

impl Record {
    /// Records a crash of an upstream. Returns whether it is new: an incarnation crashes only
    /// once, whichever VM notices it and when.
    pub(super) fn record_crash(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.ends.iter_mut().find(|e| e.upstream == crash.upstream) {
            known.at = known.at.min(crash.at);
            known.sent_at = known.sent_at.max(crash.sent_at);
            known.companions.merge(&crash.companions);
            self.ends.sort_by_key(|e| e.at);
            return false;
        }
        let index = self.ends.partition_point(|e| e.at <= crash.at);
        self.ends.insert(index, crash);
        if self.ends.len() > MAX_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Records a run that speaks for the subject.
    pub(super) fn record_run(&mut self, at: Time) {
        self.ran_well_at = self.ran_well_at.max(Some(at));
    }

    /// Crashes since the latest run that speaks for the subject, which are the ones that count.
    pub(super) fn counted(&self) -> impl Iterator<Item = &Crash> {
        let since = self.ran_well_at;
        let counts = move |e: &&Crash| since.is_none_or(|at| e.at > at);
        self.ends.iter().filter(counts)
    }

    /// Number of independent crashes that count.
    pub(super) fn count(&self) -> usize {
        self.count_where(|_| true)
    }

    /// Number of independent crashes that count, among those selected.
    pub(super) fn count_where(&self, selected: impl Fn(&Crash) -> bool) -> usize {
        let mut previous: Option<&Crash> = None;
        let mut count = 0;
        for crash in self.counted().filter(|crash| selected(crash)) {
            if previous.is_none_or(|previous| crash.is_independent_of(previous)) {
                previous = Some(crash);
                count += 1;
            }
        }
        count
    }

    /// Upstreams whose crashes count.
    pub(super) fn upstreams(&self) -> impl Iterator<Item = &Incarnation> {
        self.counted().map(|e| &e.upstream)
    }

    /// Attributes that accompanied the subject at every crash that counts.
    pub(super) fn common_companions(&self) -> Vec<Subject> {
        let mut crashes = self.counted();
        let Some(first) = crashes.next() else {
            return Vec::new();
        };
        let mut common: Vec<Subject> = first.companions.required().collect();
        for crash in crashes {
            let present: Vec<Subject> = crash.companions.required().collect();
            common.retain(|subject| present.contains(subject));
        }
        common
    }

    /// Time since the latest run that speaks for the subject.
    pub(super) fn ran_well_ago(&self, now: Time) -> Option<Duration> {
        self.ran_well_at.map(|at| now.saturating_sub(at))
    }

    /// Time of the latest crash.
    pub(super) fn last_at(&self) -> Time {
        self.ends.last().map_or(Time::ZERO, |e| e.at)
    }

    /// Whether the latest crash is more recent than `keep`.
    pub(super) fn is_current(&self, now: Time, keep: Duration) -> bool {
        now.saturating_sub(self.last_at()) < keep
    }

    /// The record as sent to other VMs.
    pub(super) fn to_crash_record(&self, subject: Subject, now: Time) -> CrashRecord {
        let ago_ms = |at: Time| now.saturating_sub(at).as_millis() as u64;
        let ends = self.ends.iter().map(|e| UpstreamCrash {
            upstream: e.upstream.clone(),
            ago_ms: ago_ms(e.at),
        });
        let crashes = self.ends.iter().map(|e| CrashContext {
            sent_ago_ms: e.sent_at.map(ago_ms),
            companions: e.companions.clone(),
        });
        CrashRecord {
            fingerprint: subject.key(),
            ends: ends.collect(),
            ran_well_ago_ms: self.ran_well_at.map(ago_ms),
            context: RecordContext {
                is_part: subject.is_part(),
                crashes: crashes.collect(),
            },
        }
    }
}
