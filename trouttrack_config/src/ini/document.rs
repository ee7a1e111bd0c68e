//! A parsed file: sections and entries that know their lines.

use crate::finding::{Finding, FindingKind, Findings};
use ini_core::{Item, Parser};
use std::collections::HashSet;
use std::path::Path;

/// One `key = value`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, trimmed.
    pub value: String,
    /// Its line, from 1.
    pub line: u32,
}

/// One `[section]` and its entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// The name between the brackets.
    pub name: String,
    /// Its line, from 1; 0 for entries before any section.
    pub line: u32,
    /// Its entries in file order.
    pub entries: Vec<Entry>,
}

/// A parsed INI file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// The file, as it was named.
    pub file: String,
    /// Its sections in file order.
    pub sections: Vec<Section>,
}

impl Document {
    /// Reads and parses a file.
    ///
    /// Findings about single lines go to `findings`; what could be read is
    /// returned all the same, so that the rest can be checked too.
    pub fn read(path: &Path, findings: &mut Findings) -> Self {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text, findings),
            Err(e) => {
                findings.push(Finding {
                    kind: FindingKind::Unreadable,
                    file: file.clone(),
                    section: String::new(),
                    key: String::new(),
                    line: 0,
                    message: e.to_string(),
                });
                Self {
                    file,
                    sections: Vec::new(),
                }
            }
        }
    }

    /// Parses text.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_config::{ini::Document, Findings};
    /// let mut findings = Findings::default();
    /// let doc = Document::parse("a.ini", "[vm]\nname = e1\n", &mut findings);
    /// assert_eq!(doc.sections[0].entries[0].line, 2);
    /// assert!(findings.is_empty());
    /// ```
    pub fn parse(file: &str, text: &str, findings: &mut Findings) -> Self {
        let mut doc = Self {
            file: file.to_owned(),
            sections: Vec::new(),
        };
        let mut parser = Parser::new(text).auto_trim(true).comment_char(b'#');
        while let Some(item) = parser.next() {
            // The parser counts the lines that it has consumed.
            let line = parser.line();
            match item {
                Item::Section(name) => doc.open_section(name, line, findings),
                Item::Property(key, value) => {
                    doc.add_entry(key, value.unwrap_or_default(), line, findings);
                }
                Item::Error(text) => findings.push(Finding {
                    kind: FindingKind::Syntax,
                    file: doc.file.clone(),
                    section: doc.last_name(),
                    key: String::new(),
                    line,
                    message: format!("not a section, key or comment: `{text}`"),
                }),
                Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            }
        }
        doc
    }

    fn last_name(&self) -> String {
        self.sections
            .last()
            .map_or_else(String::new, |s| s.name.clone())
    }

    fn open_section(&mut self, name: &str, line: u32, findings: &mut Findings) {
        if let Some(first) = self.sections.iter().find(|s| s.name == name) {
            findings.push(Finding {
                kind: FindingKind::Duplicate,
                file: self.file.clone(),
                section: name.to_owned(),
                key: String::new(),
                line,
                message: format!("the section stands already on line {}", first.line),
            });
        }
        self.sections.push(Section {
            name: name.to_owned(),
            line,
            entries: Vec::new(),
        });
    }

    fn add_entry(&mut self, key: &str, value: &str, line: u32, findings: &mut Findings) {
        if self.sections.is_empty() {
            self.sections.push(Section {
                name: String::new(),
                line: 0,
                entries: Vec::new(),
            });
        }
        let file = self.file.clone();
        let section = self
            .sections
            .last_mut()
            .expect("a section was pushed above");
        if let Some(first) = section.entries.iter().find(|e| e.key == key) {
            findings.push(Finding {
                kind: FindingKind::Duplicate,
                file,
                section: section.name.clone(),
                key: key.to_owned(),
                line,
                message: format!("the key stands already on line {}", first.line),
            });
        }
        section.entries.push(Entry {
            key: key.to_owned(),
            value: value.to_owned(),
            line,
        });
    }

    /// The first section of a name.
    #[must_use]
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|s| s.name == name)
    }

    /// Names of sections that stand in the file.
    #[must_use]
    pub fn names(&self) -> HashSet<&str> {
        self.sections.iter().map(|s| s.name.as_str()).collect()
    }
}
