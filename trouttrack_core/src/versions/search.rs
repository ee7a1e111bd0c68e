//! Finds out which version began a stream, from the answers of other VMs.

use crate::OriginId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a VM knows of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// The version that began it.
    pub origin: Option<OriginId>,
    /// The versions that have served within the time in which it may have begun.
    pub served: Vec<OriginId>,
}

/// What the answers show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The version that began the stream, or the only one that can have.
    Known(OriginId),
    /// Several versions may have begun it, or this VM may not have heard of one.
    Unknown,
}

/// Collects the answers of the VMs that were asked.
///
/// A VM that is partitioned may not have heard of a version. If it does not hear from the store, it
/// takes the only version that it knows for the only one there is only if a VM of another failure
/// domain knows no other.
///
/// # Examples
///
/// ```
/// use trouttrack_core::versions::{OriginAnswer, OriginSearch, Resolution};
/// let mut search = OriginSearch::new([1], 1, true);
/// assert_eq!(search.resolution(), Resolution::Unknown);
/// search.record(&OriginAnswer { origin: None, served: vec![1] }, true);
/// assert_eq!(search.resolution(), Resolution::Known(1));
/// search.record(&OriginAnswer { origin: None, served: vec![2] }, true);
/// assert_eq!(search.resolution(), Resolution::Unknown);
/// search.record(&OriginAnswer { origin: Some(2), served: vec![1, 2] }, false);
/// assert_eq!(search.resolution(), Resolution::Known(2));
/// ```
#[derive(Clone, Debug)]
pub struct OriginSearch {
    found: Option<OriginId>,
    served: BTreeSet<OriginId>,
    unanswered: usize,
    /// Whether a VM has to answer that cannot be partitioned together with this one.
    needs_witness: bool,
}

impl OriginSearch {
    /// A search that begins with the versions that this VM knows and asks so many VMs.
    /// `needs_witness` tells whether this VM may be partitioned.
    #[must_use]
    pub fn new(
        served: impl IntoIterator<Item = OriginId>,
        asked: usize,
        needs_witness: bool,
    ) -> Self {
        Self {
            found: None,
            served: served.into_iter().collect(),
            unanswered: asked,
            needs_witness,
        }
    }

    /// Adds the answer of a VM. `is_remote` tells whether it is in another failure domain.
    pub fn record(&mut self, answer: &OriginAnswer, is_remote: bool) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.found = self.found.or(answer.origin);
        self.served.extend(&answer.served);
        self.needs_witness &= !is_remote;
    }

    /// Whether no further answer can change the resolution, or all have come.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.found.is_some() || self.unanswered == 0
    }

    /// Whether a VM knew the stream.
    #[must_use]
    pub fn is_recorded(&self) -> bool {
        self.found.is_some()
    }

    /// What the answers so far show.
    #[must_use]
    pub fn resolution(&self) -> Resolution {
        match (self.found, self.served.first()) {
            (Some(origin), _) => Resolution::Known(origin),
            (None, Some(&only)) if self.served.len() == 1 && !self.needs_witness => {
                Resolution::Known(only)
            }
            _ => Resolution::Unknown,
        }
    }
}
