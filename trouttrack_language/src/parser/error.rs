//! Errors that point at the word.

use std::fmt;
use winnow::error::{ContextError, StrContext, StrContextValue};

/// A command that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    /// The whole command.
    pub text: String,
    /// Where the wrong word begins, in bytes.
    pub offset: usize,
    /// The wrong word; empty at the end of the command.
    pub word: String,
    /// What could stand there.
    pub expected: Vec<String>,
}

impl SyntaxError {
    pub(super) fn new(text: &str, offset: usize, context: &ContextError) -> Self {
        // Blanks before the word belong to no word.
        let rest = &text[offset..];
        let offset = offset + (rest.len() - rest.trim_start().len());
        let word = text[offset..].split_whitespace().next().unwrap_or_default();
        let mut expected = Vec::new();
        for c in context.context() {
            if let StrContext::Expected(value) = c {
                let name = match value {
                    StrContextValue::StringLiteral(s) => format!("`{s}`"),
                    other => other.to_string(),
                };
                if !expected.contains(&name) {
                    expected.push(name);
                }
            }
        }
        Self {
            text: text.to_owned(),
            offset,
            word: word.to_owned(),
            expected,
        }
    }

    fn suggestion(&self) -> Option<&str> {
        const NEAR: f64 = 0.8;
        self.expected
            .iter()
            .filter_map(|e| e.strip_prefix('`')?.strip_suffix('`'))
            .map(|e| (strsim::jaro(&self.word, e), e))
            .filter(|(similarity, _)| *similarity >= NEAR)
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, e)| e)
    }
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let column = self.text[..self.offset].chars().count();
        let width = self.word.chars().count().max(1);
        writeln!(f, "{}", self.text)?;
        writeln!(f, "{}{}", " ".repeat(column), "^".repeat(width))?;
        match self.word.as_str() {
            "" => f.write_str("the command ends too early")?,
            word => write!(f, "`{word}` cannot stand here")?,
        }
        if let Some(near) = self.suggestion() {
            write!(f, "; did you mean `{near}`?")?;
        } else if !self.expected.is_empty() {
            write!(f, "; expected {}", self.expected.join(", "))?;
        }
        Ok(())
    }
}

impl std::error::Error for SyntaxError {}
