//! Drain marks: which upstreams are leaving.

use crate::UpstreamId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Where the news came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MarkSource {
    /// The platform's VM list.
    VmList,
    /// The upstream's own notice.
    Upstream,
    /// An operator.
    Operator,
}

/// Says that an upstream leaves, or stays after all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    /// When it was made, since 1970 on the maker's clock. The newer mark wins;
    /// of equal ones, the one that says `leaving`.
    pub stamp: Duration,
    /// Whether the upstream leaves.
    pub leaving: bool,
    /// Where the news came from.
    pub source: MarkSource,
}

/// The newest mark of each upstream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::{Mark, MarkSource, MarkTable};
/// let mut table = MarkTable::default();
/// let stamp = Duration::from_secs(10);
/// let mark = Mark { stamp, leaving: true, source: MarkSource::Upstream };
/// assert!(table.merge("e1", mark));
/// assert!(!table.merge("e1", mark)); // known already
/// assert!(table.leaving("e1"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MarkTable {
    marks: BTreeMap<UpstreamId, Mark>,
}

impl MarkTable {
    /// Takes in a mark. Returns whether it changed the table.
    pub fn merge(&mut self, upstream: &str, mark: Mark) -> bool {
        match self.marks.get_mut(upstream) {
            Some(known) if *known >= mark => false,
            Some(known) => {
                *known = mark;
                true
            }
            None => {
                self.marks.insert(upstream.to_owned(), mark);
                true
            }
        }
    }

    /// Notes what was seen at first hand: a new mark only if it says
    /// something else than the newest one.
    pub fn observe(
        &mut self,
        upstream: &str,
        leaving: bool,
        source: MarkSource,
        now: Duration,
    ) -> bool {
        let known = self.marks.get(upstream);
        if self.leaving(upstream) == leaving {
            return false;
        }
        // A clock that runs behind the maker's must not make news look old.
        let after = known.map_or(Duration::ZERO, |m| m.stamp + Duration::from_nanos(1));
        let mark = Mark {
            stamp: now.max(after),
            leaving,
            source,
        };
        self.merge(upstream, mark)
    }

    /// Whether an upstream is leaving.
    #[must_use]
    pub fn leaving(&self, upstream: &str) -> bool {
        self.marks.get(upstream).is_some_and(|m| m.leaving)
    }

    /// Every mark, to be sent to peers.
    #[must_use]
    pub fn all(&self) -> Vec<(UpstreamId, Mark)> {
        self.marks.iter().map(|(id, m)| (id.clone(), *m)).collect()
    }

    /// Forgets upstreams that are not configured any more.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.marks.retain(|id, _| keep(id));
    }
}
