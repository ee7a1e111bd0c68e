//! Attributes that accompanied a part when an upstream crashed.

use super::subject::{Attributes, Subject};
use serde::{Deserialize, Serialize};

/// Maximum number of parts that are kept.
const MAX_PARTS: usize = 64;
/// Number of requests that are kept. With two of them, neither accompanied every crash.
const MAX_REQUESTS: usize = 2;

/// Other attributes of the requests with a part that may have crashed an upstream: the cause may
/// be the part alone, or the part together with these.
///
/// A set; [`merge`](Self::merge) is commutative, associative and idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Companions(Vec<Subject>);

impl Companions {
    /// The other attributes of a request.
    pub(super) fn of(subject: Subject, attributes: &Attributes) -> Self {
        match subject {
            Subject::Request(_) => Self::default(),
            Subject::Part(_) => {
                let others = attributes.subjects().filter(|other| *other != subject);
                Self::from_iter(others)
            }
        }
    }

    /// Adds the attributes of another request that had the part at the same crash.
    pub(super) fn merge(&mut self, other: &Self) {
        if self != other {
            *self = self.0.iter().chain(&other.0).copied().collect();
        }
    }

    /// The attributes of which every crash of the part may need one. Two different requests
    /// cannot both be needed.
    pub(super) fn required(&self) -> impl Iterator<Item = Subject> {
        let requests = self.0.iter().filter(|s| !s.is_part()).count();
        let kept = move |s: &Subject| s.is_part() || requests < MAX_REQUESTS;
        self.0.iter().copied().filter(kept)
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<Subject> for Companions {
    fn from_iter<T: IntoIterator<Item = Subject>>(subjects: T) -> Self {
        let mut all: Vec<Subject> = subjects.into_iter().collect();
        all.sort_unstable();
        all.dedup();
        // Requests are sorted before parts.
        let requests = all.partition_point(|s| !s.is_part());
        all.drain(requests.min(MAX_REQUESTS)..requests);
        all.truncate(MAX_REQUESTS + MAX_PARTS);
        Self(all)
    }
}
