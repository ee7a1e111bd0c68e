//! Reading a whole settings file for one program.

use super::keys::{Program, keys_of};
use crate::finding::{Finding, FindingKind, Findings};
use crate::ini::{Document, SectionReader};
use std::path::Path;

/// The settings of one program.
pub trait Settings: Sized {
    /// Which program it is.
    const PROGRAM: Program;

    /// Reads every section.
    fn read(sections: &mut Sections<'_>) -> Self;
}

/// The sections of a file, while they are read.
#[derive(Debug)]
pub struct Sections<'a> {
    doc: &'a Document,
    program: Program,
    findings: Findings,
}

impl Sections<'_> {
    /// Reads one section with `f`, after checking that its keys are known.
    pub fn section<T>(&mut self, name: &str, f: impl Fn(&mut SectionReader<'_>) -> T) -> T {
        let known: Vec<&str> = keys_of(self.program)
            .filter(|k| k.section == name)
            .map(|k| k.key)
            .collect();
        let section = self.doc.section(name);
        let mut reader = SectionReader::new(&self.doc.file, name, section, &mut self.findings);
        reader.only(&known);
        f(&mut reader)
    }

    fn report_unknown_sections(&mut self) {
        for section in &self.doc.sections {
            if keys_of(self.program).any(|k| k.section == section.name) {
                continue;
            }
            self.findings.push(Finding {
                kind: FindingKind::UnknownSection,
                file: self.doc.file.clone(),
                section: section.name.clone(),
                key: String::new(),
                line: section.line,
                message: "this program reads no such section".to_owned(),
            });
        }
    }
}

/// Reads a program's settings from a file.
///
/// # Errors
///
/// Everything that is wrong with the file.
pub fn load<S: Settings>(path: &Path) -> Result<S, Findings> {
    let mut findings = Findings::default();
    let doc = Document::read(path, &mut findings);
    if !findings.is_empty() && doc.sections.is_empty() {
        return Err(findings);
    }
    read_document(&doc, findings)
}

/// Reads a program's settings from text; `file` names it in findings.
///
/// # Errors
///
/// Everything that is wrong with the text.
///
/// # Examples
///
/// ```
/// use trouttrack_config::settings::{load_text, ControllerSettings};
/// let findings = load_text::<ControllerSettings>("c.ini", "[vm]\nnmae = x\n").unwrap_err();
/// assert!(findings.to_string().contains("c.ini:2: [vm] nmae: unknown key; did you mean `name`?"));
/// ```
pub fn load_text<S: Settings>(file: &str, text: &str) -> Result<S, Findings> {
    let mut findings = Findings::default();
    let doc = Document::parse(file, text, &mut findings);
    read_document(&doc, findings)
}

fn read_document<S: Settings>(doc: &Document, findings: Findings) -> Result<S, Findings> {
    let mut sections = Sections {
        doc,
        program: S::PROGRAM,
        findings,
    };
    sections.report_unknown_sections();
    let settings = S::read(&mut sections);
    sections.findings.into_result(settings)
}
