//! What callers were told against what really ran.

use super::books::{Books, Run};
use super::caller::Told;
use std::fmt;
use trouttrack_engine::token_text;

/// Breaches of each promise, and the outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Callers that were told nothing, or `complete` with less than the whole.
    pub lost: usize,
    /// Requests that ran twice though they must not.
    pub doubled: usize,
    /// Answers that are not from one generation, in order.
    pub mixed: usize,
    /// `not-run` said of what ran.
    pub false_not_run: usize,
    /// Outcomes.
    pub complete: usize,
    /// Outcomes.
    pub not_run: usize,
    /// Outcomes.
    pub interrupted: usize,
    /// Outcomes.
    pub unknown: usize,
}

impl Tally {
    /// Whether every promise was kept.
    #[must_use]
    pub fn kept(&self) -> bool {
        self.lost + self.doubled + self.mixed + self.false_not_run == 0
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "lost={} doubled={} mixed={} false_not_run={} interrupted={} unknown={} not_run={} complete={}",
            self.lost,
            self.doubled,
            self.mixed,
            self.false_not_run,
            self.interrupted,
            self.unknown,
            self.not_run,
            self.complete
        )
    }
}

fn text_of(run: &Run, tokens: u64) -> String {
    (0..tokens).map(|i| token_text(run.generation, i)).collect()
}

/// Tokens of a text; each has the same length.
fn tokens_in(text: &str) -> u64 {
    (text.len() / token_text(0, 0).len()) as u64
}

/// Counts.
///
/// # Examples
///
/// ```
/// use trouttrack_load::faults::{tally, Books, Told};
/// // Told nothing at all is lost.
/// assert_eq!(tally(&[Told::nothing(0)], &Books::default()).lost, 1);
/// ```
#[must_use]
pub fn tally(told: &[Told], books: &Books) -> Tally {
    let mut t = Tally::default();
    for one in told {
        count(one, books.runs(one.number), &mut t);
    }
    t
}

fn count(told: &Told, runs: &[Run], t: &mut Tally) {
    match told.outcome.as_str() {
        "complete" => t.complete += 1,
        "not-run" => t.not_run += 1,
        "interrupted" => t.interrupted += 1,
        "unknown" | "gone" | "in-progress" => t.unknown += 1,
        _ => t.lost += 1,
    }
    if told.kind.once() && runs.len() > 1 {
        t.doubled += 1;
    }
    if told.not_run && told.kind.once() && !runs.is_empty() {
        t.false_not_run += 1;
    }
    if told.kind.plain() {
        t.lost += usize::from(told.outcome == "complete" && runs.is_empty());
        return;
    }
    let part = |run: &&Run| text_of(run, tokens_in(&told.text)) == told.text;
    let from_one = runs.iter().find(part);
    match from_one {
        None if !told.text.is_empty() => t.mixed += 1,
        Some(run) if told.outcome == "complete" => {
            t.lost += usize::from(run.ended != Some(tokens_in(&told.text)));
        }
        None if told.outcome == "complete" => t.lost += 1,
        _ => {}
    }
}
