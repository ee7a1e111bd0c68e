//! Failure domains that an operator has evacuated.

use super::Revision;
use crate::FailureDomain;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The failure domains whose upstreams are to get no new work, as of a revision of the
/// store.
///
/// The state is told whole, so that it can be merged in any order: what holds as of a
/// later revision replaces what held before. Silence changes nothing, so an evacuation
/// lasts through outages of the store until a later revision takes it back.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::{Evacuations, Revision};
/// let at = |number| Revision::new(0, number);
/// let mut known = Evacuations::as_of(at(7), ["a".to_owned()]);
/// assert!(known.contains("a"));
/// // Told late by a peer: it was so once, and is no more.
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
    /// What holds as of a revision.
    #[must_use]
    pub fn as_of(revision: Revision, domains: impl IntoIterator<Item = FailureDomain>) -> Self {
        Self {
            revision,
            domains: domains.into_iter().collect(),
        }
    }

    /// Takes the newer of two states. Returns whether other failure domains are
    /// evacuated now.
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
    /// let taken_back = Evacuations::as_of(Revision::new(1, 40), []);
    /// assert_eq!(known.lost_in(&taken_back).count(), 0);
    /// let restored = Evacuations::as_of(Revision::new(2, 37), []);
    /// assert!(known.lost_in(&restored).eq(["a"]));
    /// ```
    pub fn lost_in<'a>(&'a self, restored: &'a Self) -> impl Iterator<Item = &'a FailureDomain> {
        let later = restored.revision.epoch > self.revision.epoch;
        let missing = self.domains.difference(&restored.domains);
        missing.filter(move |_| later)
    }

    /// A failure domain was evacuated, or taken back.
    pub fn change(&mut self, domain: &str, evacuated: bool) {
        match evacuated {
            true => self.domains.insert(domain.to_owned()),
            false => self.domains.remove(domain),
        };
    }

    /// Everything up to a revision is known.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// The store's revision up to which it is known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether a failure domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// The failure domains that are evacuated, in order.
    pub fn domains(&self) -> impl ExactSizeIterator<Item = &FailureDomain> {
        self.domains.iter()
    }
}
