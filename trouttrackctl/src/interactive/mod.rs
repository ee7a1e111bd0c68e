//! Reading commands with history and completion.

use rustyline::completion::Completer;
use rustyline::error::ReadlineError;
use rustyline::highlight::Highlighter;
use rustyline::hint::Hinter;
use rustyline::history::DefaultHistory;
use rustyline::validate::Validator;
use rustyline::{Context, Editor, Helper};
use trouttrack_language::{complete, last_word};

const PROMPT: &str = "trouttrack> ";

/// Completes words by the grammar.
#[derive(Clone, Copy, Debug, Default)]
pub struct Words;

impl Completer for Words {
    type Candidate = String;

    fn complete(
        &self,
        line: &str,
        pos: usize,
        _: &Context<'_>,
    ) -> rustyline::Result<(usize, Vec<String>)> {
        let before = &line[..pos];
        Ok((last_word(before), complete(before)))
    }
}

impl Hinter for Words {
    type Hint = String;
}

impl Highlighter for Words {}
impl Validator for Words {}
impl Helper for Words {}

/// Reads lines until the end of the input.
#[derive(Debug)]
pub struct Reader {
    editor: Editor<Words, DefaultHistory>,
}

impl Reader {
    /// A reader on the terminal.
    ///
    /// # Errors
    ///
    /// There is no terminal to read from.
    pub fn new() -> rustyline::Result<Self> {
        let mut editor = Editor::new()?;
        editor.set_helper(Some(Words));
        Ok(Self { editor })
    }

    /// The next line that says something; `None` at the end of the input.
    pub fn line(&mut self) -> Option<String> {
        loop {
            match self.editor.readline(PROMPT) {
                Ok(line) if line.trim().is_empty() => {}
                Ok(line) => {
                    // A history that is full or off is no error.
                    let _ = self.editor.add_history_entry(line.trim());
                    return Some(line.trim().to_owned());
                }
                Err(ReadlineError::Interrupted) => {}
                Err(_) => return None,
            }
        }
    }
}
