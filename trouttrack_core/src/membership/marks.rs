//! Drain marks: which upstreams are leaving.

use crate::UpstreamId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Where the news came from. Each source speaks for itself: that an engine
/// says nothing of leaving does not take back what the VM list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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
    /// When it was made, since 1970 on the maker's clock. The newer mark of a
    /// source wins; of equal ones, the one that says `leaving`.
    pub stamp: Duration,
    /// Whether the upstream leaves.
    pub leaving: bool,
}

/// A mark with what it is about, as peers send it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkEntry {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where the news came from.
    pub source: MarkSource,
    /// The mark.
    pub mark: Mark,
}

/// The newest mark of each source about each upstream. An upstream is leaving
/// while any source says so.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::{Mark, MarkEntry, MarkSource, MarkTable};
/// let mut table = MarkTable::default();
/// let mark = Mark { stamp: Duration::from_secs(10), leaving: true };
/// let entry = MarkEntry { upstream: "e1".into(), source: MarkSource::Upstream, mark };
/// assert!(table.merge(&entry));
/// assert!(!table.merge(&entry)); // known already
/// assert!(table.leaving("e1"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MarkTable {
    marks: BTreeMap<UpstreamId, BTreeMap<MarkSource, Mark>>,
}

impl MarkTable {
    /// Takes in a mark. Returns whether it changed the table.
    pub fn merge(&mut self, entry: &MarkEntry) -> bool {
        let of_upstream = self.marks.entry(entry.upstream.clone()).or_default();
        match of_upstream.get_mut(&entry.source) {
            Some(known) if *known >= entry.mark => false,
            Some(known) => {
                *known = entry.mark;
                true
            }
            None => {
                of_upstream.insert(entry.source, entry.mark);
                true
            }
        }
    }

    /// Notes what was seen at first hand: a new mark only if it says
    /// something else than the source's newest one.
    pub fn observe(
        &mut self,
        upstream: &str,
        leaving: bool,
        source: MarkSource,
        now: Duration,
    ) -> bool {
        let of_upstream = self.marks.get(upstream);
        let known = of_upstream.and_then(|m| m.get(&source));
        if known.is_some_and(|m| m.leaving) == leaving {
            return false;
        }
        // A clock that runs behind the maker's must not make news look old.
        let after = known.map_or(Duration::ZERO, |m| m.stamp + Duration::from_nanos(1));
        let mark = Mark {
            stamp: now.max(after),
            leaving,
        };
        self.merge(&MarkEntry {
            upstream: upstream.to_owned(),
            source,
            mark,
        })
    }

    /// Whether an upstream is leaving.
    #[must_use]
    pub fn leaving(&self, upstream: &str) -> bool {
        let of_upstream = self.marks.get(upstream);
        of_upstream.is_some_and(|m| m.values().any(|m| m.leaving))
    }

    /// Every mark, to be sent to peers.
    #[must_use]
    pub fn all(&self) -> Vec<MarkEntry> {
        let entries = self.marks.iter().flat_map(|(upstream, of_upstream)| {
            of_upstream.iter().map(move |(source, mark)| MarkEntry {
                upstream: upstream.clone(),
                source: *source,
                mark: *mark,
            })
        });
        entries.collect()
    }

    /// Forgets upstreams that are not configured any more.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.marks.retain(|id, _| keep(id));
    }
}
