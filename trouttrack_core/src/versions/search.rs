//! Finds out which version began a stream, from the answers of other VMs and the store's records.

use crate::OriginId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a VM knows of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// The version that began it.
    pub origin: Option<OriginId>,
    /// The versions that the VM has seen serve lately.
    pub served: Vec<OriginId>,
}

/// What the answers show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The version that began the stream, or the only one that can have.
    Known(OriginId),
    /// Several versions may have begun it, or it is not known which have served.
    Unknown,
}

/// Collects the answers of the VMs that were asked.
///
/// VMs that have seen one version prove nothing: they may have started since another one left, or
/// may be partitioned. Only the records that the store keeps show that there was no other.
///
/// # Examples
///
/// ```
/// use trouttrack_core::versions::{OriginAnswer, OriginSearch, Resolution};
/// let mut search = OriginSearch::new([1], 1);
/// search.record(&OriginAnswer { origin: None, served: vec![1] });
/// assert_eq!(search.resolution(), Resolution::Unknown);
/// assert!(search.needs_records());
/// search.add_recorded([1]);
/// assert_eq!(search.resolution(), Resolution::Known(1));
/// ```
#[derive(Clone, Debug)]
pub struct OriginSearch {
    found: Option<OriginId>,
    served: BTreeSet<OriginId>,
    unanswered: usize,
    /// Whether all versions that may have begun the stream are in `served`.
    is_exhaustive: bool,
}

impl OriginSearch {
    /// A search that begins with the versions that this VM knows and asks so many VMs.
    #[must_use]
    pub fn new(served: impl IntoIterator<Item = OriginId>, asked: usize) -> Self {
        Self {
            found: None,
            served: served.into_iter().collect(),
            unanswered: asked,
            is_exhaustive: false,
        }
    }

    /// Adds the answer of a VM.
    pub fn record(&mut self, answer: &OriginAnswer) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.found = self.found.or(answer.origin);
        self.served.extend(&answer.served);
    }

    /// Adds the versions that the store has recorded, read after the search began.
    pub fn add_recorded(&mut self, recorded: impl IntoIterator<Item = OriginId>) {
        let recorded: Vec<OriginId> = recorded.into_iter().collect();
        // Without any record, nobody has begun to keep them.
        self.is_exhaustive = !recorded.is_empty();
        self.served.extend(recorded);
    }

    /// Whether no further answer can change the resolution, or all have come.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.found.is_some() || self.unanswered == 0
    }

    /// Whether a VM knew the stream.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.found.is_some()
    }

    /// Whether the store's records decide. They add versions and rule none out.
    #[must_use]
    pub fn needs_records(&self) -> bool {
        self.found.is_none() && self.served.len() < 2
    }

    /// What is shown so far.
    #[must_use]
    pub fn resolution(&self) -> Resolution {
        match (self.found, self.served.first()) {
            (Some(origin), _) => Resolution::Known(origin),
            (None, Some(&only)) if self.served.len() == 1 && self.is_exhaustive => {
                Resolution::Known(only)
            }
            _ => Resolution::Unknown,
        }
    }
}
