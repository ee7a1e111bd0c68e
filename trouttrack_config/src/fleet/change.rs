//! Changes to a fleet, in the vocabulary of the fleet file.

use super::from_ini::{read_section, to_ini, with_lines};
use super::types::Fleet;
use super::validate::validate;
use crate::finding::{Finding, FindingKind, Findings};
use crate::ini::{Document, Entry, Section};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// How findings about a change name their source.
const CHANGE: &str = "change";

/// A kind of entity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntityKind {
    /// A service.
    Service,
    /// An organisation.
    Organisation,
    /// An upstream.
    Upstream,
    /// A routing rule.
    Rule,
    /// The evacuation of a failure domain.
    Evacuation,
}

impl EntityKind {
    /// The word before the name in a fleet file.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Organisation => "organisation",
            Self::Upstream => "upstream",
            Self::Rule => "rule",
            Self::Evacuation => "evacuation",
        }
    }
}

impl fmt::Display for EntityKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

/// A key of the fleet file and its new value; an empty value takes the key out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
}

/// A change.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Make a new entity.
    Create(EntityKind, String, Vec<Field>),
    /// Change fields of an entity.
    Set(EntityKind, String, Vec<Field>),
    /// Remove an entity.
    Delete(EntityKind, String),
    /// Put another fleet in the place of the whole one.
    Replace(Fleet),
}

fn finding(kind: FindingKind, section: &str, message: String) -> Findings {
    let mut findings = Findings::default();
    findings.push(Finding {
        kind,
        file: CHANGE.to_owned(),
        section: section.to_owned(),
        key: String::new(),
        line: 0,
        message,
    });
    findings
}

impl Change {
    /// The fleet after the change.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with it; the fleet stays as it is.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_config::fleet::{Change, EntityKind, Field, Fleet};
    /// let field = |key: &str, value: &str| Field { key: key.into(), value: value.into() };
    /// let fields = vec![field("kind", "plain"), field("repeatable", "yes")];
    /// let change = Change::Create(EntityKind::Service, "tides".into(), fields);
    /// let fleet = change.apply(&Fleet::default()).unwrap();
    /// assert_eq!(fleet.services.len(), 1);
    /// assert!(change.apply(&fleet).is_err()); // it exists now
    /// ```
    pub fn apply(&self, fleet: &Fleet) -> Result<Fleet, Findings> {
        let new = match self {
            Self::Create(kind, name, fields) => create(fleet, *kind, name, fields)?,
            Self::Set(kind, name, fields) => set(fleet, *kind, name, fields)?,
            Self::Delete(kind, name) => {
                existing(fleet, *kind, name)?;
                without(fleet, *kind, name)
            }
            Self::Replace(fleet) => fleet.clone(),
        };
        validate(&new)?;
        Ok(new)
    }
}

fn create(
    fleet: &Fleet,
    kind: EntityKind,
    name: &str,
    fields: &[Field],
) -> Result<Fleet, Findings> {
    if section_of(fleet, kind, name).is_some() {
        let section = format!("{kind} {name}");
        let message = "it exists already; use `set` to change it".to_owned();
        return Err(finding(FindingKind::Duplicate, &section, message));
    }
    let section = Section {
        name: format!("{kind} {name}"),
        line: 0,
        entries: Vec::new(),
    };
    put(fleet, kind, name, section, fields)
}

fn set(fleet: &Fleet, kind: EntityKind, name: &str, fields: &[Field]) -> Result<Fleet, Findings> {
    let section = existing(fleet, kind, name)?;
    put(fleet, kind, name, section, fields)
}

fn existing(fleet: &Fleet, kind: EntityKind, name: &str) -> Result<Section, Findings> {
    section_of(fleet, kind, name).ok_or_else(|| {
        let message = format!("no {kind} is named `{name}`");
        finding(
            FindingKind::MissingReference,
            &format!("{kind} {name}"),
            message,
        )
    })
}

/// Writes the fields into the section and reads it as a file would be read.
fn put(
    fleet: &Fleet,
    kind: EntityKind,
    name: &str,
    mut section: Section,
    fields: &[Field],
) -> Result<Fleet, Findings> {
    for field in fields {
        set_entry(&mut section, field);
    }
    let mut findings = Findings::default();
    let mut new = without(fleet, kind, name);
    let doc = Document {
        file: CHANGE.to_owned(),
        sections: vec![section],
    };
    read_section(&doc, &doc.sections[0], &mut new, &mut findings);
    if let Err(found) = validate(&new) {
        findings.append(with_lines(&doc, &found));
    }
    new.sort();
    findings.into_result(new)
}

fn set_entry(section: &mut Section, field: &Field) {
    // New keys of an organisation replace the hashes of the old ones.
    const REPLACED: &[(&str, &str)] = &[("key", "key_sha256")];
    let replaced = REPLACED
        .iter()
        .find(|(new, _)| *new == field.key)
        .map(|(_, old)| *old);
    section
        .entries
        .retain(|e| e.key != field.key && Some(e.key.as_str()) != replaced);
    if !field.value.is_empty() {
        section.entries.push(Entry {
            key: field.key.clone(),
            value: field.value.clone(),
            line: 0,
        });
    }
}

fn without(fleet: &Fleet, kind: EntityKind, name: &str) -> Fleet {
    let mut new = fleet.clone();
    match kind {
        EntityKind::Service => new.services.retain(|e| e.name != name),
        EntityKind::Organisation => new.organisations.retain(|e| e.name != name),
        EntityKind::Upstream => new.upstreams.retain(|e| e.name != name),
        EntityKind::Rule => new.rules.retain(|e| e.name != name),
        EntityKind::Evacuation => new.evacuations.retain(|e| e.name != name),
    }
    new
}

/// The entity as a section of a fleet file.
fn section_of(fleet: &Fleet, kind: EntityKind, name: &str) -> Option<Section> {
    let mut only = Fleet::default();
    match kind {
        EntityKind::Service => only
            .services
            .extend(fleet.services.iter().find(|e| e.name == name).cloned()),
        EntityKind::Organisation => only
            .organisations
            .extend(fleet.organisations.iter().find(|e| e.name == name).cloned()),
        EntityKind::Upstream => only
            .upstreams
            .extend(fleet.upstreams.iter().find(|e| e.name == name).cloned()),
        EntityKind::Rule => only
            .rules
            .extend(fleet.rules.iter().find(|e| e.name == name).cloned()),
        EntityKind::Evacuation => only
            .evacuations
            .extend(fleet.evacuations.iter().find(|e| e.name == name).cloned()),
    }
    sections(&only).into_iter().next()
}

fn sections(fleet: &Fleet) -> Vec<Section> {
    // What `to_ini` writes has no findings; a property test checks it.
    let mut findings = Findings::default();
    Document::parse(CHANGE, &to_ini(fleet), &mut findings).sections
}

/// What happened to an entity or a field of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiffKind {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// It has another value.
    Changed,
}

/// One difference between two fleets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiffLine {
    /// Kind and name of the entity.
    pub entity: String,
    /// What happened.
    pub change: DiffKind,
    /// The field, if only a field changed.
    pub field: String,
    /// The value before.
    pub from: String,
    /// The value after.
    pub to: String,
}

/// What changed from one fleet to another.
///
/// # Examples
///
/// ```
/// use trouttrack_config::fleet::{diff, Fleet};
/// assert!(diff(&Fleet::default(), &Fleet::default()).is_empty());
/// ```
#[must_use]
pub fn diff(from: &Fleet, to: &Fleet) -> Vec<DiffLine> {
    let index = |fleet: &Fleet| -> BTreeMap<String, Section> {
        let all = sections(fleet).into_iter();
        all.map(|s| (s.name.clone(), s)).collect()
    };
    let (from, to) = (index(from), index(to));
    let mut lines = Vec::new();
    for (name, section) in &from {
        match to.get(name) {
            None => lines.push(whole(name, DiffKind::Removed)),
            Some(after) => diff_fields(section, after, &mut lines),
        }
    }
    let added = to.keys().filter(|name| !from.contains_key(*name));
    lines.extend(added.map(|name| whole(name, DiffKind::Added)));
    lines
}

fn whole(entity: &str, change: DiffKind) -> DiffLine {
    DiffLine {
        entity: entity.to_owned(),
        change,
        field: String::new(),
        from: String::new(),
        to: String::new(),
    }
}

fn diff_fields(from: &Section, to: &Section, lines: &mut Vec<DiffLine>) {
    let value = |s: &Section, key: &str| {
        let entry = s.entries.iter().find(|e| e.key == key);
        entry.map_or_else(String::new, |e| e.value.clone())
    };
    let mut keys: Vec<&str> = from
        .entries
        .iter()
        .chain(&to.entries)
        .map(|e| e.key.as_str())
        .collect();
    keys.sort_unstable();
    keys.dedup();
    for key in keys {
        let (before, after) = (value(from, key), value(to, key));
        if before != after {
            lines.push(DiffLine {
                entity: from.name.clone(),
                change: DiffKind::Changed,
                field: key.to_owned(),
                from: before,
                to: after,
            });
        }
    }
}
