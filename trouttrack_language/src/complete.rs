//! Completion of the last word.

use crate::parser::parse;

/// Where the last, unfinished word of `text` begins, in bytes.
///
/// # Examples
///
/// ```
/// assert_eq!(trouttrack_language::last_word("show ser"), 5);
/// ```
#[must_use]
pub fn last_word(text: &str) -> usize {
    let blanks = text.char_indices().rev();
    let mut blanks = blanks.filter(|(_, c)| c.is_whitespace());
    blanks.next().map_or(0, |(i, c)| i + c.len_utf8())
}

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
    let (before, partial) = text.split_at(last_word(text));
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
