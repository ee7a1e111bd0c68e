//! The changes of upstreams' entries that this VM has learned lately, for VMs that
//! missed some.
//!
//! News are told once, and a datagram may be lost. A VM that hears that it is behind
//! asks a peer: the store is asked only if none answers. At 295 VMs, of whose engines
//! a seventh is replaced every 3.3 s, a fifth of all calls to the store were for changes
//! that the next VM had.

use super::message::{EntryChange, News};
use std::collections::VecDeque;
use trouttrack_core::membership::Revision;

/// Changes that are kept, of some 0.2 kB each: those of twenty seconds in which two hundred
/// upstreams a second change, as in a release of half a fleet of 20,000. With a hundred, one
/// such second made every VM ask the store.
const MOST_CHANGES: usize = 4096;

/// News in the order in which they were learned, without gaps.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::Revision;
/// use trouttrack_front::peers::{News, NewsHistory};
/// let at = |number| Revision::new(1, number);
/// let news = |from, to| News { from: at(from), to: at(to), changes: Vec::new() };
/// let mut history = NewsHistory::default();
/// history.learned(news(10, 12));
/// history.learned(news(12, 15));
/// assert_eq!(history.after(at(11)).map(|n| (n.from, n.to)), Some((at(11), at(15))));
/// assert!(history.after(at(9)).is_none());
/// assert!(history.after(at(15)).is_none());
/// ```
#[derive(Debug, Default)]
pub struct NewsHistory {
    news: VecDeque<News>,
    changes: usize,
}

impl NewsHistory {
    /// News were learned. If something is missing between these and the ones before,
    /// those are of no use any more.
    pub fn learned(&mut self, news: News) {
        let follows = self.news.back().is_none_or(|last| last.to >= news.from);
        if !follows {
            self.news.clear();
            self.changes = 0;
        }
        self.changes += news.changes.len();
        self.news.push_back(news);
        while self.changes > MOST_CHANGES {
            let Some(oldest) = self.news.pop_front() else {
                return;
            };
            self.changes -= oldest.changes.len();
        }
    }

    /// All that changed after a revision, if it is known here.
    #[must_use]
    pub fn after(&self, revision: Revision) -> Option<News> {
        let (first, last) = (self.news.front()?, self.news.back()?);
        if revision < first.from || revision >= last.to {
            return None;
        }
        let newer = |c: &&EntryChange| c.revision > revision;
        let changes = self.news.iter().flat_map(|n| &n.changes).filter(newer);
        Some(News {
            from: revision,
            to: last.to,
            changes: changes.cloned().collect(),
        })
    }
}
