//! Drain marks, which record the upstreams that are leaving.

use crate::UpstreamId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Origin of a mark. Marks of different sources are independent: a mark of one
/// source does not override that of another, such as an engine that does not
/// report its departure while the VM list does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MarkSource {
    /// The platform's VM list.
    VmList,
    /// The upstream's own notice.
    Upstream,
    /// An operator.
    Operator,
}

/// States that an upstream is leaving, or that it is no longer leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    /// Creation time since the Unix epoch, on the clock of the creator. The newer mark
    /// of a source takes precedence; of two with equal stamps, the one with `leaving`.
    pub stamp: Duration,
    /// Whether the upstream is leaving.
    pub leaving: bool,
}

/// A mark with its upstream and source, as exchanged between peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkEntry {
    /// The upstream that the mark refers to.
    pub upstream: UpstreamId,
    /// Origin of the mark.
    pub source: MarkSource,
    /// The mark.
    pub mark: Mark,
}

/// The newest mark of each source for each upstream. An upstream is leaving while
/// the mark of any source says so.
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
/// assert!(!table.merge(&entry)); // already known
/// assert!(table.leaving("e1"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MarkTable {
    marks: BTreeMap<UpstreamId, BTreeMap<MarkSource, Mark>>,
}

impl MarkTable {
    /// Merges a mark. Returns whether the table has changed.
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

    /// Records a direct observation. Creates a mark only if the state differs from the
    /// source's newest mark. Returns whether the table has changed.
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
        // Keeps the stamp increasing if the local clock is behind the creator's.
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

    /// Returns whether an upstream is leaving.
    #[must_use]
    pub fn leaving(&self, upstream: &str) -> bool {
        let of_upstream = self.marks.get(upstream);
        of_upstream.is_some_and(|m| m.values().any(|m| m.leaving))
    }

    /// Returns all marks, to be sent to peers.
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

    /// Keeps only the marks of upstreams for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.marks.retain(|id, _| keep(id));
    }
}
