//! What upstreams say, what is done about it, and what comes of that.

use std::time::Duration;

/// What upstreams say in their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// A fourth of them turns away in waves, and names no time.
    Refuses,
    /// A fourth of them turns away in waves, and asks for so much rest.
    Rests(Duration),
    /// A sixth of them leaves; the store is away, so that only their answers say it.
    Leaves,
}

/// What the VMs do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heeds {
    /// A refusal counts as a good end, and no word is read.
    Nothing,
    /// Each VM heeds what was answered to itself.
    Own,
    /// The same, and what others of its failure domain tell.
    All,
}

/// How callers and upstreams fared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShedOutcome {
    /// Calls.
    pub asked: usize,
    /// Those that an upstream turned away.
    pub turned_away: usize,
    /// Those that found no place within their objective.
    pub unplaced: usize,
    /// Sends that came to an upstream too late after its word, over all VMs.
    pub after_word: usize,
    /// The most of them from one VM to one upstream after one word.
    pub after_word_most: usize,
}
