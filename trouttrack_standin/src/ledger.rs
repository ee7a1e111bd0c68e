//! The stand-ins' own books as a file, which a kill does not take away.

use serde::Serialize;
use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::path::Path;
use std::sync::Mutex;

/// One line: a run that begins, or its end.
#[derive(Debug, Serialize)]
pub(crate) struct LedgerLine<'a> {
    /// The first characters of the prompt, or the path of a plain call.
    pub(crate) marker: &'a str,
    /// The generation; 0 for a plain call.
    pub(crate) generation: u64,
    /// Tokens of the whole run, once it ended by itself.
    pub(crate) ended: Option<u64>,
}

/// A file to which lines are appended, if one is named.
#[derive(Debug)]
pub(crate) struct LedgerFile(Option<Mutex<File>>);

impl LedgerFile {
    pub(crate) fn open(path: Option<&Path>) -> Self {
        let file = path.map(|path| {
            OpenOptions::new()
                .append(true)
                .create(true)
                .open(path)
                .unwrap_or_else(|e| panic!("{}: {e}", path.display()))
        });
        Self(file.map(Mutex::new))
    }

    /// Writes a line before the run goes on, so that none is missing.
    pub(crate) fn write(&self, line: &LedgerLine<'_>) {
        let Some(file) = &self.0 else { return };
        let mut text = serde_json::to_vec(line).expect("a line serialises to JSON");
        text.push(b'\n');
        let mut file = file.lock().expect("no holder of the lock panics");
        file.write_all(&text).expect("the ledger can be written");
    }
}
