//! What a caller is told about the fate of its request.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The fate of a request, as stated to its caller.
///
/// # Examples
///
/// ```
/// use trouttrack_core::Outcome;
/// assert_eq!(Outcome::NotRun.to_string(), "not-run");
/// assert!(Outcome::NotRun.safe_to_repeat());
/// assert!(!Outcome::Unknown.safe_to_repeat());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer of one generation was delivered.
    Complete,
    /// No upstream ran the request, and none will.
    NotRun,
    /// A first part of one generation was delivered, then a stated end.
    Interrupted,
    /// The request was handed over and its fate cannot be known.
    Unknown,
}

impl Outcome {
    /// Every outcome, in the order of the documentation.
    pub const ALL: [Self; 4] = [
        Self::Complete,
        Self::NotRun,
        Self::Interrupted,
        Self::Unknown,
    ];

    /// The outcome's name in headers, events and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Interrupted => "interrupted",
            Self::Unknown => "unknown",
        }
    }

    /// Whether a caller may send a not-repeatable request again.
    #[must_use]
    pub fn safe_to_repeat(self) -> bool {
        self == Self::NotRun
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
