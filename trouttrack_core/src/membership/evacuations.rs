//! Failure domains evacuated by an operator.

use super::Revision;
use crate::FailureDomain;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The set of failure domains whose upstreams must not receive new work, as of a revision
/// of the store.
///
/// The set is always exchanged as a whole, so updates can be merged in any order: the set
/// with the later revision replaces the other. An evacuation stays in force during outages
/// of the store until a later revision revokes it.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::{Evacuations, Revision};
/// let at = |number| Revision::new(0, number);
/// let mut known = Evacuations::as_of(at(7), ["a".to_owned()]);
/// assert!(known.contains("a"));
/// // A delayed update from a peer has an older revision and is ignored.
/// assert!(!known.merge(&Evacuations::as_of(at(5), ["b".to_owned()])));
/// assert!(known.merge(&Evacuations::as_of(at(9), [])));
/// assert!(!known.contains("a"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: Revision,
    domains: BTreeSet<FailureDomain>,
}

impl Evacuations {
    /// Creates the set as of a revision.
    #[must_use]
    pub fn as_of(revision: Revision, domains: impl IntoIterator<Item = FailureDomain>) -> Self {
        Self {
            revision,
            domains: domains.into_iter().collect(),
        }
    }

    /// Keeps the newer of two sets. Returns whether the evacuated failure domains have
    /// changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.revision <= self.revision {
            return false;
        }
        let changed = self.domains != other.domains;
        self.clone_from(other);
        changed
    }

    /// Returns the failure domains that a restore of the store may have lost: those that are
    /// missing from `restored`, if it belongs to a later epoch.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::membership::{Evacuations, Revision};
    /// let known = Evacuations::as_of(Revision::new(1, 39), ["a".to_owned()]);
    /// let revoked = Evacuations::as_of(Revision::new(1, 40), []);
    /// assert_eq!(known.lost_in(&revoked).count(), 0);
    /// let restored = Evacuations::as_of(Revision::new(2, 37), []);
    /// assert!(known.lost_in(&restored).eq(["a"]));
    /// ```
    pub fn lost_in<'a>(&'a self, restored: &'a Self) -> impl Iterator<Item = &'a FailureDomain> {
        let later = restored.revision.epoch > self.revision.epoch;
        let missing = self.domains.difference(&restored.domains);
        missing.filter(move |_| later)
    }

    /// Adds or removes a failure domain.
    pub fn change(&mut self, domain: &str, evacuated: bool) {
        match evacuated {
            true => self.domains.insert(domain.to_owned()),
            false => self.domains.remove(domain),
        };
    }

    /// Records that all changes up to a revision have been applied.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the revision of the store that this set reflects.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether a failure domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// Returns the evacuated failure domains in order.
    pub fn domains(&self) -> impl ExactSizeIterator<Item = &FailureDomain> {
        self.domains.iter()
    }
}
