//! The grammar.

mod error;
mod grammar;

pub use error::SyntaxError;

use crate::command::Command;
use winnow::Parser;
use winnow::stream::LocatingSlice;

/// Parses one command.
///
/// # Errors
///
/// Points at the word that is wrong and says what could stand there.
///
/// # Examples
///
/// ```
/// use trouttrack_language::parse;
/// let e = parse("show servces where priority = urgent").unwrap_err();
/// assert_eq!(e.word, "servces");
/// assert!(e.to_string().contains("did you mean `services`?"));
/// ```
pub fn parse(text: &str) -> Result<Command, SyntaxError> {
    grammar::command
        .parse(LocatingSlice::new(text))
        .map_err(|e| SyntaxError::new(text, e.offset(), e.inner()))
}
