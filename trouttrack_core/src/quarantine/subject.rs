//! What a quarantine blames for crashes: a whole request, or an attribute that requests share.

use crate::{Fingerprint, PartId};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Digits of a part's id in text.
const PART_DIGITS: usize = 16;
/// Digits of a request's fingerprint in text.
const REQUEST_DIGITS: usize = 32;

/// What may have crashed an upstream.
///
/// The text form is hexadecimal: 32 digits for a request, 16 for a part.
///
/// # Examples
///
/// ```
/// use trouttrack_core::quarantine::Subject;
/// let part = Subject::Part(0xab);
/// assert_eq!(part.to_string(), "00000000000000ab");
/// assert_eq!(part.to_string().parse(), Ok(part));
/// assert!("ab".parse::<Subject>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A request as a whole.
    Request(Fingerprint),
    /// A part of prompts.
    Part(PartId),
}

impl Subject {
    /// Number that selects the VMs that keep the record of this subject.
    #[must_use]
    pub fn key(self) -> u128 {
        match self {
            Self::Request(fingerprint) => fingerprint,
            Self::Part(id) => id.into(),
        }
    }

    /// Whether it is a part.
    #[must_use]
    pub fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }
}

impl From<Fingerprint> for Subject {
    fn from(fingerprint: Fingerprint) -> Self {
        Self::Request(fingerprint)
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "{fingerprint:0REQUEST_DIGITS$x}"),
            Self::Part(id) => write!(f, "{id:0PART_DIGITS$x}"),
        }
    }
}

/// A text is neither a fingerprint nor the id of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("neither {REQUEST_DIGITS} nor {PART_DIGITS} hexadecimal digits")]
pub struct ParseSubjectError;

impl FromStr for Subject {
    type Err = ParseSubjectError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseSubjectError);
        }
        let parsed = match text.len() {
            REQUEST_DIGITS => Fingerprint::from_str_radix(text, 16).map(Self::Request),
            PART_DIGITS => PartId::from_str_radix(text, 16).map(Self::Part),
            _ => return Err(ParseSubjectError),
        };
        parsed.map_err(|_| ParseSubjectError)
    }
}

/// What a quarantine knows of a request: everything by which it may be blamed.
///
/// # Examples
///
/// ```
/// use trouttrack_core::quarantine::{Attributes, Subject};
/// let attributes = Attributes::new(7, vec![1, 2]);
/// assert_eq!(attributes.subjects().count(), 3);
/// assert!(attributes.includes(Subject::Part(2)));
/// assert!(!attributes.includes(Subject::Request(8)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attributes {
    request: Fingerprint,
    parts: Vec<PartId>,
}

impl Attributes {
    /// Attributes of a request with these shared parts in its prompt.
    #[must_use]
    pub fn new(request: Fingerprint, parts: Vec<PartId>) -> Self {
        Self { request, parts }
    }

    /// Fingerprint of the request.
    #[must_use]
    pub fn request(&self) -> Fingerprint {
        self.request
    }

    /// Shared parts of its prompt.
    #[must_use]
    pub fn parts(&self) -> &[PartId] {
        &self.parts
    }

    /// The same request without its parts, which are known not to be the cause.
    #[must_use]
    pub fn without_parts(&self) -> Self {
        Self::new(self.request, Vec::new())
    }

    /// All subjects, the whole request first.
    pub fn subjects(&self) -> impl Iterator<Item = Subject> {
        let parts = self.parts.iter().map(|part| Subject::Part(*part));
        std::iter::once(Subject::Request(self.request)).chain(parts)
    }

    /// Whether the request has this attribute.
    #[must_use]
    pub fn includes(&self, subject: Subject) -> bool {
        match subject {
            Subject::Request(fingerprint) => self.request == fingerprint,
            Subject::Part(id) => self.parts.contains(&id),
        }
    }
}

impl From<Fingerprint> for Attributes {
    fn from(request: Fingerprint) -> Self {
        Self::new(request, Vec::new())
    }
}
