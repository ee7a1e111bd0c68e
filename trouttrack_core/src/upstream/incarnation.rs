//! Identity of one run of an upstream between restarts.

use crate::UpstreamId;
use serde::{Deserialize, Serialize};

/// One run of an upstream. An upstream may restart under the same id; the start time tells
/// its incarnations apart.
///
/// # Examples
///
/// ```
/// use trouttrack_core::upstream::Incarnation;
/// let (first, next) = (Incarnation::new("u1", 7), Incarnation::new("u1", 9));
/// assert_ne!(first, next);
/// assert!(next.is_after(&first));
/// assert!(!first.is_after(&next));
/// assert!(!next.is_after(&Incarnation::new("u2", 7)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The upstream's id.
    pub id: UpstreamId,
    /// Start time in Unix milliseconds by the upstream's own clock; 0 if not reported.
    pub born: u64,
}

impl Incarnation {
    /// Returns whether this is known to be a later incarnation of the same upstream than
    /// `other`. If either start time is unknown (0), their order is unknown as well.
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        self.id == other.id && other.born != 0 && self.born > other.born
    }

    /// Creates the incarnation of `id` that started at `born`.
    #[must_use]
    pub fn new(id: &str, born: u64) -> Self {
        Self {
            id: id.to_owned(),
            born,
        }
    }
}
