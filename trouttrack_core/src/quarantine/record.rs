//! Crash record of one request.

use super::crash_record::{CrashRecord, UpstreamCrash};
use crate::upstream::Incarnation;
use crate::{Fingerprint, Time};
use std::time::Duration;

/// Maximum number of crashes recorded per request. Crashes beyond the number that holds a
/// request give no further information.
const MAX_ENDS: usize = 8;

/// Crash of an upstream.
#[derive(Clone, Debug)]
struct Crash {
    upstream: Incarnation,
    at: Time,
}

/// Crash record of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Oldest first.
    ends: Vec<Crash>,
    ran_well_at: Option<Time>,
}

impl Record {
    /// Records a crash of an upstream. Returns whether it is new: an incarnation crashes only
    /// once, whichever VM notices it and when.
    pub(super) fn record_crash(&mut self, upstream: &Incarnation, at: Time) -> bool {
        if let Some(known) = self.ends.iter_mut().find(|e| e.upstream == *upstream) {
            known.at = known.at.min(at);
            self.ends.sort_by_key(|e| e.at);
            return false;
        }
        let end = Crash {
            upstream: upstream.clone(),
            at,
        };
        let index = self.ends.partition_point(|e| e.at <= at);
        self.ends.insert(index, end);
        if self.ends.len() > MAX_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Records a completed run.
    pub(super) fn record_completed_run(&mut self, at: Time) {
        self.ran_well_at = self.ran_well_at.max(Some(at));
    }

    /// Crashes since the latest completed run, which are the ones that count.
    fn counted(&self) -> impl Iterator<Item = &Crash> {
        let since = self.ran_well_at;
        let counts = move |e: &&Crash| since.is_none_or(|at| e.at > at);
        self.ends.iter().filter(counts)
    }

    /// Number of crashes that count.
    pub(super) fn count(&self) -> usize {
        self.counted().count()
    }

    /// Upstreams whose crashes count.
    pub(super) fn upstreams(&self) -> impl Iterator<Item = &Incarnation> {
        self.counted().map(|e| &e.upstream)
    }

    /// Time since the latest completed run.
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
    pub(super) fn to_crash_record(&self, fingerprint: Fingerprint, now: Time) -> CrashRecord {
        let ago_ms = |at: Time| now.saturating_sub(at).as_millis() as u64;
        let ends = self.ends.iter().map(|e| UpstreamCrash {
            upstream: e.upstream.clone(),
            ago_ms: ago_ms(e.at),
        });
        CrashRecord {
            fingerprint,
            ends: ends.collect(),
            ran_well_ago_ms: self.ran_well_at.map(ago_ms),
        }
    }
}
