//! One life of an upstream.

use crate::UpstreamId;
use serde::{Deserialize, Serialize};

/// One life of an upstream: it may start again under the id that it had.
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
    /// When it started, in Unix milliseconds by its own clock; 0 if it does not say.
    pub born: u64,
}

impl Incarnation {
    /// Whether this is a later life of the same upstream than `other`. One that does not
    /// say when it started is neither earlier nor later.
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        self.id == other.id && other.born != 0 && self.born > other.born
    }

    /// The life that began at `born`.
    #[must_use]
    pub fn new(id: &str, born: u64) -> Self {
        Self {
            id: id.to_owned(),
            born,
        }
    }
}
