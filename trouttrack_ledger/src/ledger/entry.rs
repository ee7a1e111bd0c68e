//! Requests that ended for the same reason.

use std::collections::BTreeMap;
use std::time::SystemTime;
use trouttrack_core::UpstreamId;

/// Stands for the cause of a request that was sent to an upstream and of which no
/// log says an end: its VM ended, or the line was left out.
pub(crate) const NO_END: &str = "no end in the logs";
/// The cause of a stream whose first event was in time, and a later one was not.
pub(super) const LATE_BY_PAUSE: &str = "a pause between events exceeded the route's limit";
/// Stands for the route where no line names it.
pub(super) const NO_ROUTE: &str = "-";

/// What a request ended as.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// It was answered within its objective, and without too long a pause.
    InTime,
    /// It was answered later, or with a longer pause than its route allows.
    Late,
    /// It has no whole, good answer and may have run.
    Lost,
    /// It has not run.
    Refused,
    /// It was not valid.
    Rejected,
    /// Its caller went away.
    Left,
}

impl Outcome {
    /// Its name in tables.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::Late => "late",
            Self::Lost => "lost",
            Self::Refused => "refused",
            Self::Rejected => "rejected",
            Self::Left => "left",
        }
    }
}

/// What requests have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// What they ended as.
    pub outcome: Outcome,
    /// Their route.
    pub route: String,
    /// Why; empty for those in time.
    pub cause: String,
}

/// The requests of a [`Key`].
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// How many.
    pub count: usize,
    /// When the first and the last ended.
    pub span: Option<(SystemTime, SystemTime)>,
    /// How many were at which upstream last.
    pub upstreams: BTreeMap<UpstreamId, usize>,
}

impl Entry {
    pub(super) fn add(&mut self, at: SystemTime, upstream: Option<&UpstreamId>) {
        self.count += 1;
        let (first, last) = self.span.unwrap_or((at, at));
        self.span = Some((first.min(at), last.max(at)));
        if let Some(upstream) = upstream {
            *self.upstreams.entry(upstream.clone()).or_default() += 1;
        }
    }
}
