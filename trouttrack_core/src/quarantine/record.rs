//! What is remembered of one request.

use super::suspect::{Suspect, UpstreamEnd};
use crate::upstream::Incarnation;
use crate::{Fingerprint, Time};
use std::time::Duration;

/// Ends that are remembered of a request: more than hold it say nothing new.
const MOST_ENDS: usize = 8;

#[derive(Clone, Debug)]
struct End {
    upstream: Incarnation,
    at: Time,
}

/// What is remembered of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Oldest first.
    ends: Vec<End>,
    ran_well_at: Option<Time>,
}

impl Record {
    /// An upstream ended. Returns whether that is new: it ends once, whoever notices it and
    /// when.
    pub(super) fn ended(&mut self, upstream: &Incarnation, at: Time) -> bool {
        if let Some(known) = self.ends.iter_mut().find(|e| e.upstream == *upstream) {
            known.at = known.at.min(at);
            self.ends.sort_by_key(|e| e.at);
            return false;
        }
        let end = End {
            upstream: upstream.clone(),
            at,
        };
        let place = self.ends.partition_point(|e| e.at <= at);
        self.ends.insert(place, end);
        if self.ends.len() > MOST_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// A run came to its end.
    pub(super) fn ran_well(&mut self, at: Time) {
        self.ran_well_at = self.ran_well_at.max(Some(at));
    }

    /// The ends that count against it: those since the last good run.
    fn counted(&self) -> impl Iterator<Item = &End> {
        let since = self.ran_well_at;
        let counts = move |e: &&End| since.is_none_or(|at| e.at > at);
        self.ends.iter().filter(counts)
    }

    /// How many ends count against it.
    pub(super) fn count(&self) -> usize {
        self.counted().count()
    }

    /// The upstreams whose ends count against it.
    pub(super) fn upstreams(&self) -> impl Iterator<Item = &Incarnation> {
        self.counted().map(|e| &e.upstream)
    }

    /// How long ago a run last came to its end.
    pub(super) fn ran_well_ago(&self, now: Time) -> Option<Duration> {
        self.ran_well_at.map(|at| now.saturating_sub(at))
    }

    /// When the last end was.
    pub(super) fn last_at(&self) -> Time {
        self.ends.last().map_or(Time::ZERO, |e| e.at)
    }

    /// Whether it still says anything: its last end is younger than `keep`.
    pub(super) fn says_anything(&self, now: Time, keep: Duration) -> bool {
        now.saturating_sub(self.last_at()) < keep
    }

    /// What is told of it.
    pub(super) fn told(&self, fingerprint: Fingerprint, now: Time) -> Suspect {
        let ago_ms = |at: Time| now.saturating_sub(at).as_millis() as u64;
        let ends = self.ends.iter().map(|e| UpstreamEnd {
            upstream: e.upstream.clone(),
            ago_ms: ago_ms(e.at),
        });
        Suspect {
            fingerprint,
            ends: ends.collect(),
            ran_well_ago_ms: self.ran_well_at.map(ago_ms),
        }
    }
}
