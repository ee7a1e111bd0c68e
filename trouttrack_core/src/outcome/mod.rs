//! The outcome of a request, as reported to its caller.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The outcome of a request, as reported to its caller.
///
/// # Examples
///
/// ```
/// use trouttrack_core::Outcome;
/// assert_eq!(Outcome::NotRun.to_string(), "not-run");
/// assert!(Outcome::NotRun.is_safe_to_retry());
/// assert!(!Outcome::Unknown.is_safe_to_retry());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete answer of one generation was delivered.
    Complete,
    /// No upstream has run the request or will run it.
    NotRun,
    /// The first part of one generation was delivered, followed by an explicit end marker.
    Interrupted,
    /// The request was dispatched to an upstream and its result cannot be determined.
    Unknown,
}

impl Outcome {
    /// All outcomes, in the order of the documentation.
    pub const ALL: [Self; 4] = [
        Self::Complete,
        Self::NotRun,
        Self::Interrupted,
        Self::Unknown,
    ];

    /// Returns the name of the outcome in headers, events and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Interrupted => "interrupted",
            Self::Unknown => "unknown",
        }
    }

    /// Returns whether a caller may safely retry a request that is not idempotent.
    #[must_use]
    pub fn is_safe_to_retry(self) -> bool {
        self == Self::NotRun
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
