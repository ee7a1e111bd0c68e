//! Completion of the last word.

use crate::parser::parse;

/// Words that could take the place of the last, unfinished word of `text`.
///
/// # Examples
///
/// ```
/// use trouttrack_language::complete;
/// assert_eq!(complete("show ser"), ["services"]);
/// assert!(complete("").contains(&"show".to_owned()));
/// ```
#[must_use]
pub fn complete(text: &str) -> Vec<String> {
    // A character that no word begins with makes the grammar say what could
    // stand in the unfinished word's place.
    const NO_WORD: &str = "\u{1}";
    let begin = text.rfind(char::is_whitespace).map_or(0, |i| i + 1);
    let (before, partial) = text.split_at(begin);
    let Err(e) = parse(&format!("{before}{NO_WORD}")) else {
        return Vec::new();
    };
    if e.offset != before.len() {
        // An earlier word is wrong already.
        return Vec::new();
    }
    e.expected
        .iter()
        .filter_map(|w| w.strip_prefix('`')?.strip_suffix('`'))
        .filter(|w| w.starts_with(partial))
        .map(str::to_owned)
        .collect()
}
