//! Which changes of the store's entries are news.

use super::Revision;
use crate::UpstreamId;
use std::collections::HashMap;

/// The revisions up to which entries are known: the one place that tells news from what a late
/// answer repeats.
///
/// Changes arrive by several ways at once: watches, lists, peers' updates and peers' snapshots.
/// An answer may be older than what arrived by another way while it was on its way.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::{KnownRevisions, Revision};
/// let at = |number| Revision::new(0, number);
/// let mut known = KnownRevisions::default();
/// assert!(known.accept("u1", at(11)));
/// known.advance(at(11));
/// // The late answer of a watch, with what u1 was before.
/// assert!(!known.accept("u1", at(10)));
/// assert!(known.accept("u1", at(12)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct KnownRevisions {
    /// All changes up to this revision are known.
    all: Revision,
    /// Later changes that are known already, by entry.
    later: HashMap<UpstreamId, Revision>,
}

impl KnownRevisions {
    /// Returns the revision up to which all changes are known.
    #[must_use]
    pub fn all(&self) -> Revision {
        self.all
    }

    /// Returns whether a change of an entry is news, and records it.
    pub fn accept(&mut self, id: &str, revision: Revision) -> bool {
        let is_news = revision > self.all && !self.is_later(id, revision);
        if is_news {
            self.later.insert(id.to_owned(), revision);
        }
        is_news
    }

    /// Returns whether an entry of a list, or its absence from a list as of `revision`, is not
    /// older than what is known of it, and records it. A list repeats what has not changed.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::membership::{KnownRevisions, Revision};
    /// let at = |number| Revision::new(0, number);
    /// let mut known = KnownRevisions::default();
    /// known.advance(at(10));
    /// // An entry on a later page than that with the lowest revision.
    /// assert!(known.accept_listed("u1", at(14)));
    /// known.advance(at(12));
    /// assert!(!known.accept("u1", at(13)));
    /// ```
    pub fn accept_listed(&mut self, id: &str, revision: Revision) -> bool {
        let is_current = !self.is_later(id, revision);
        if is_current && revision > self.all {
            self.later.insert(id.to_owned(), revision);
        }
        is_current
    }

    /// Records that all changes up to a revision are known.
    pub fn advance(&mut self, revision: Revision) {
        if revision > self.all {
            self.all = revision;
            self.later.retain(|_, later| *later > revision);
        }
    }

    /// Whether a change of the entry after `revision`, or at it, is known.
    fn is_later(&self, id: &str, revision: Revision) -> bool {
        self.later.get(id).is_some_and(|later| *later >= revision)
    }
}
