//! What really ran.

use serde::Deserialize;
use std::collections::HashMap;
use std::path::PathBuf;
use thiserror::Error;

/// The books cannot be read.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum BooksError {
    /// No file.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// A line that is no entry.
    #[error("{0}: {1}")]
    Line(String, serde_json::Error),
}

#[derive(Debug, Deserialize)]
struct Line {
    marker: String,
    generation: u64,
    ended: Option<u64>,
}

/// One run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The generation; 0 for a plain call.
    pub generation: u64,
    /// Tokens of the whole run, if it ended by itself.
    pub ended: Option<u64>,
}

/// Runs by the marker of their request.
#[derive(Debug, Default)]
pub struct Books(HashMap<String, Vec<Run>>);

/// The part of a prompt or path that names the request.
pub(super) fn marker(number: usize) -> String {
    format!("request-{number:06}")
}

fn marker_in(text: &str) -> Option<&str> {
    const LENGTH: usize = "request-000000".len();
    let at = text.find("request-")?;
    text.get(at..at + LENGTH)
}

impl Books {
    /// Reads the stand-ins' files.
    ///
    /// # Errors
    ///
    /// A file cannot be read.
    pub fn read(files: &[PathBuf]) -> Result<Self, BooksError> {
        let mut books = Self::default();
        for file in files {
            let name = file.display().to_string();
            let text =
                std::fs::read_to_string(file).map_err(|e| BooksError::Read(name.clone(), e))?;
            for line in text.lines() {
                let line =
                    serde_json::from_str(line).map_err(|e| BooksError::Line(name.clone(), e))?;
                books.take(&line);
            }
        }
        Ok(books)
    }

    fn take(&mut self, line: &Line) {
        let Some(marker) = marker_in(&line.marker) else {
            return;
        };
        let runs = self.0.entry(marker.to_owned()).or_default();
        let begun = runs
            .iter_mut()
            .find(|r| r.generation == line.generation && line.ended.is_some());
        match begun {
            Some(run) => run.ended = line.ended,
            None => runs.push(Run {
                generation: line.generation,
                ended: line.ended,
            }),
        }
    }

    /// The runs of a request.
    #[must_use]
    pub fn runs(&self, number: usize) -> &[Run] {
        self.0.get(&marker(number)).map_or(&[], Vec::as_slice)
    }

    /// Runs in all.
    #[must_use]
    pub fn total(&self) -> usize {
        self.0.values().map(Vec::len).sum()
    }
}
