//! What requests are worth.

use std::path::Path;
use std::time::Duration;
use trouttrack_config::Findings;
use trouttrack_config::ini::{Document, Section, SectionReader};

/// A kind of request, known by the objective of its routes.
#[derive(Clone, Debug, PartialEq)]
pub struct KindOfRequest {
    /// Its name.
    pub name: String,
    /// The objective of its routes.
    pub objective: Duration,
    /// What an answer within the objective is worth.
    pub in_time: f64,
    /// What a later one is worth.
    pub late: f64,
    /// Upstreams that one try of a caller may be sent to.
    pub attempts: u32,
}

/// The kinds of request, one section each.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sheet {
    kinds: Vec<KindOfRequest>,
}

impl Sheet {
    /// Reads a sheet.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or what it says is not a sheet; all findings are told.
    pub fn read(path: &Path) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let document = Document::read(path, &mut findings);
        Self::of(&document, findings)
    }

    /// Parses a sheet.
    ///
    /// # Errors
    ///
    /// It is not a sheet; all findings are told.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_ledger::Sheet;
    /// let text = "[letters]\nobjective = 1800ms\nin_time = 130\nlate = 20\nattempts = 1\n";
    /// let sheet = Sheet::parse(text).unwrap();
    /// assert_eq!(sheet.kind(Duration::from_millis(1800)).unwrap().name, "letters");
    /// assert!(Sheet::parse("[letters]\nin_time = much\n").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let document = Document::parse("sheet", text, &mut findings);
        Self::of(&document, findings)
    }

    fn of(document: &Document, mut findings: Findings) -> Result<Self, Findings> {
        let kind = |section| kind(&document.file, section, &mut findings);
        let kinds = document.sections.iter().map(kind).collect();
        match findings.is_empty() {
            true => Ok(Self { kinds }),
            false => Err(findings),
        }
    }

    /// The kind whose routes have an objective.
    #[must_use]
    pub fn kind(&self, objective: Duration) -> Option<&KindOfRequest> {
        self.kinds.iter().find(|k| k.objective == objective)
    }
}

fn kind(file: &str, section: &Section, findings: &mut Findings) -> KindOfRequest {
    let mut r = SectionReader::new(file, &section.name, Some(section), findings);
    r.only(&["objective", "in_time", "late", "attempts"]);
    for key in ["objective", "in_time"] {
        // Reports a key that is missing.
        r.required(key);
    }
    KindOfRequest {
        name: section.name.clone(),
        objective: r.duration("objective", Duration::ZERO),
        in_time: r.within("in_time", 0.0, 0.0, f64::MAX),
        late: r.within("late", 0.0, 0.0, f64::MAX),
        attempts: r.within("attempts", 1, 1, 100),
    }
}
