//! What is wrong with a file, and where.

use std::fmt;

/// The kind of a [`Finding`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum FindingKind {
    /// The file cannot be read.
    Unreadable,
    /// A line is not INI.
    Syntax,
    /// A section that the program does not know.
    UnknownSection,
    /// A key that the section does not have.
    UnknownKey,
    /// A key that stands twice.
    Duplicate,
    /// A value that does not parse or is out of range.
    BadValue,
    /// A key that must be given and is not.
    Missing,
    /// A name that refers to nothing.
    MissingReference,
}

impl FindingKind {
    /// The stable code of the kind.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_config::FindingKind;
    /// assert_eq!(FindingKind::UnknownKey.code(), "unknown-key");
    /// ```
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::Syntax => "syntax",
            Self::UnknownSection => "unknown-section",
            Self::UnknownKey => "unknown-key",
            Self::Duplicate => "duplicate",
            Self::BadValue => "bad-value",
            Self::Missing => "missing",
            Self::MissingReference => "missing-reference",
        }
    }
}

/// One thing that is wrong, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The kind.
    pub kind: FindingKind,
    /// The file, as it was named.
    pub file: String,
    /// The section, if inside one.
    pub section: String,
    /// The key, if it is about one.
    pub key: String,
    /// The line, counted from 1; 0 if there is none.
    pub line: u32,
    /// What is wrong, for a person.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        f.write_str(": ")?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{} ({})", self.message, self.kind.code())
    }
}

/// Findings collected from one or more files.
///
/// # Examples
///
/// ```
/// use trouttrack_config::Findings;
/// assert!(Findings::default().into_result(7).is_ok());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds one.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Adds all of another collection.
    pub fn append(&mut self, mut other: Self) {
        self.0.append(&mut other.0);
    }

    /// Whether nothing is wrong.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The findings, in the order of their lines.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// `value` if nothing is wrong.
    ///
    /// # Errors
    ///
    /// All findings, ordered by file and line.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0
            .sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        write!(f, "{} found wrong", self.0.len())
    }
}

impl std::error::Error for Findings {}
