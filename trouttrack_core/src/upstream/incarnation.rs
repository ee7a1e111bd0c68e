//! One life of an upstream.

use crate::UpstreamId;
use serde::{Deserialize, Serialize};

/// One life of an upstream: it may start again under the id that it had.
///
/// # Examples
///
/// ```
/// use trouttrack_core::upstream::Incarnation;
/// assert_ne!(Incarnation::new("u1", 7), Incarnation::new("u1", 9));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The upstream's id.
    pub id: UpstreamId,
    /// When it started, in Unix milliseconds by its own clock; 0 if it does not say.
    pub born: u64,
}

impl Incarnation {
    /// The life that began at `born`.
    #[must_use]
    pub fn new(id: &str, born: u64) -> Self {
        Self {
            id: id.to_owned(),
            born,
        }
    }
}
