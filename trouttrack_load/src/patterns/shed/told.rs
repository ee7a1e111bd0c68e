//! What comes to an upstream too late after its word.

use super::layout::WORK;
use super::word::Word;
use std::time::Duration;
use trouttrack_core::Time;

/// The part of a rest after which a VM must have heard of it, and the time after which one
/// must have stopped sending to an upstream that leaves; both as the platform bounds them.
const HEARD: Duration = Duration::from_millis(500);
const DRAIN: Duration = Duration::from_secs(2);

/// What one VM was told by one upstream last, and what it sent there too late.
#[derive(Debug, Default)]
pub(super) struct Told {
    /// From when on sends are too late.
    at: Time,
    /// Until when; `None` if nothing was told.
    until: Option<Time>,
    late: usize,
}

impl Told {
    /// A request reaches the upstream, which says `word` in its answer, or nothing. Returns
    /// how many came too late, if this one did.
    pub(super) fn reached(&mut self, now: Time, word: Option<Word>) -> Option<usize> {
        let lasts = self.until.is_some_and(|until| now < until);
        if lasts && now > self.at {
            self.late += 1;
            return Some(self.late);
        }
        if let Some(word) = word.filter(|_| !lasts) {
            *self = Self::from_now_on(now, word);
        }
        None
    }

    fn from_now_on(now: Time, word: Word) -> Self {
        let (at, until) = match word {
            Word::Refuses => return Self::default(),
            Word::Rests(rest) => (now + HEARD, now + rest),
            Word::Leaves => (now + WORK + DRAIN, Time::MAX),
        };
        Self {
            at,
            until: Some(until),
            late: 0,
        }
    }
}
