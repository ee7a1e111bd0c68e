//! Prompts that are still to be loaded, as peers tell of them.

use crate::Time;

/// Prompt tokens that an engine loads in a second beside the generations that it runs.
/// Five to eight of those are usual: the users' engines then take 0.2 to 0.3 s for a
/// thousand tokens, at a load at which nine in ten begin in time.
const LOADED_PER_SECOND: f64 = 5_000.0;

/// A peer tells at once that a prompt is loaded, or that its request has ended. It counts
/// whole until then: an engine loads the prompts of several peers one after the other,
/// and taking each to shrink at the rate above, all at the same time, saw a quarter of
/// what was there (649 tokens in the mean, 2,765 by the logs). This is when the word
/// must have been lost: several heartbeats.
const SURELY_TOLD: Time = Time::from_secs(2);

/// How long it takes to load so many prompt tokens.
pub(super) fn seconds_to_load(tokens: f64) -> f64 {
    tokens / LOADED_PER_SECOND
}

/// Prompt tokens that an engine had still to load at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Backlog {
    tokens: f64,
    at: Time,
}

impl Backlog {
    /// So many tokens as of a time.
    pub(crate) fn of(at: Time, tokens: f64) -> Self {
        Self { tokens, at }
    }

    /// The time as of which it is known.
    pub(super) fn at(&self) -> Time {
        self.at
    }

    /// The tokens still to be loaded at `now`, if nobody told since.
    pub(crate) fn tokens(&self, now: Time) -> f64 {
        match now.saturating_sub(self.at) < SURELY_TOLD {
            true => self.tokens,
            false => 0.0,
        }
    }
}
