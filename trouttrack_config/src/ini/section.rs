//! Typed reading of one section, collecting findings.

use super::document::{Entry, Section};
use crate::finding::{Finding, FindingKind, Findings};
use bytesize::ByteSize;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

/// Longest duration that is read: a hundred years.
const MAX_DURATION: Duration = Duration::from_secs(100 * 365 * 24 * 3600);

/// Reads the entries of a section as values of a type.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a str,
    name: &'a str,
    section: Option<&'a Section>,
    findings: &'a mut Findings,
}

impl<'a> SectionReader<'a> {
    /// A reader of `section`, which may be missing from the file.
    pub fn new(
        file: &'a str,
        name: &'a str,
        section: Option<&'a Section>,
        findings: &'a mut Findings,
    ) -> Self {
        Self {
            file,
            name,
            section,
            findings,
        }
    }

    /// Reports entries whose key is not among `known`.
    pub fn only(&mut self, known: &[&str]) {
        let Some(section) = self.section else {
            return;
        };
        for e in &section.entries {
            if !known.contains(&e.key.as_str()) {
                let message = match nearest(&e.key, known) {
                    Some(near) => format!("unknown key; did you mean `{near}`?"),
                    None => "unknown key".to_owned(),
                };
                self.report(FindingKind::UnknownKey, &e.key, e.line, message);
            }
        }
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.section?.entries.iter().find(|e| e.key == key)
    }

    /// The line of a key, or of the section when the key is not given.
    #[must_use]
    pub fn line(&self, key: &str) -> u32 {
        let of_section = self.section.map_or(0, |s| s.line);
        self.entry(key).map_or(of_section, |e| e.line)
    }

    /// Adds a finding about `key`.
    pub fn report(&mut self, kind: FindingKind, key: &str, line: u32, message: String) {
        self.findings.push(Finding {
            kind,
            file: self.file.to_owned(),
            section: self.name.to_owned(),
            key: key.to_owned(),
            line,
            message,
        });
    }

    /// The text of a key.
    #[must_use]
    pub fn text(&self, key: &str) -> Option<&'a str> {
        self.entry(key).map(|e| e.value.as_str())
    }

    /// The text of a key that must be given.
    pub fn required(&mut self, key: &str) -> String {
        match self.text(key) {
            Some(v) if !v.is_empty() => v.to_owned(),
            _ => {
                let line = self.line(key);
                let message = "this key must be given".to_owned();
                self.report(FindingKind::Missing, key, line, message);
                String::new()
            }
        }
    }

    /// A value that parses from text, or the default.
    pub fn parse<T>(&mut self, key: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.parse_with(key, default, |v| {
            v.parse().map_err(|e: T::Err| e.to_string())
        })
    }

    /// A value inside bounds, or the default.
    pub fn within<T>(&mut self, key: &str, default: T, least: T, most: T) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
        T::Err: Display,
    {
        self.parse_with(key, default, |v| {
            let value: T = v.parse().map_err(|e: T::Err| e.to_string())?;
            if !(least..=most).contains(&value) {
                return Err(format!("must be from {least} to {most}, is {value}"));
            }
            Ok(value)
        })
    }

    /// A duration such as `250ms` or `2m 30s`, or the default. One of more than a hundred years is
    /// reduced to that, so that it can be added to any time.
    pub fn duration(&mut self, key: &str, default: Duration) -> Duration {
        self.parse_with(key, default, |v| {
            let parsed = humantime::parse_duration(v).or_else(|e| decimal(v).ok_or(e));
            let parsed = parsed.map(|duration| duration.min(MAX_DURATION));
            parsed.map_err(|e| format!("not a duration such as `250ms`, `5s`, `2m`: {e}"))
        })
    }

    /// A size such as `64KiB`, in bytes, or the default.
    pub fn size(&mut self, key: &str, default: usize) -> usize {
        self.parse_with(key, default, |v| {
            let size: ByteSize = v
                .parse()
                .map_err(|e| format!("not a size such as `64KiB`: {e}"))?;
            usize::try_from(size.as_u64()).map_err(|e| e.to_string())
        })
    }

    /// A list separated by commas.
    #[must_use]
    pub fn list(&self, key: &str) -> Vec<String> {
        let text = self.text(key).unwrap_or_default();
        text.split(',')
            .map(str::trim)
            .filter(|s| !s.is_empty())
            .map(str::to_owned)
            .collect()
    }

    /// A value read by `f`, or the default.
    pub fn parse_with<T>(
        &mut self,
        key: &str,
        default: T,
        f: impl Fn(&str) -> Result<T, String>,
    ) -> T {
        let Some(e) = self.entry(key) else {
            return default;
        };
        match f(&e.value) {
            Ok(v) => v,
            Err(message) => {
                let message = format!("`{}`: {message}", e.value);
                self.report(FindingKind::BadValue, key, e.line, message);
                default
            }
        }
    }
}

/// A duration with a decimal fraction, such as `4.6s`, which `humantime` does
/// not read.
fn decimal(value: &str) -> Option<Duration> {
    let (number, unit) = match value.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (value.strip_suffix('s')?, 1.0),
    };
    let seconds = number.trim().parse::<f64>().ok()? * unit;
    Duration::try_from_secs_f64(seconds).ok()
}

/// The known key that differs least from `key`, if it is near at all.
fn nearest<'k>(key: &str, known: &[&'k str]) -> Option<&'k str> {
    const NEAR: f64 = 0.75;
    known
        .iter()
        .map(|k| (strsim::jaro(key, k), *k))
        .filter(|(similarity, _)| *similarity >= NEAR)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, k)| k)
}
