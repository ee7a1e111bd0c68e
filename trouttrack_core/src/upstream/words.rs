//! What upstreams say of themselves, whatever carried the word.
//!
//! A word binds for the life that it was said in: an entry that comes back, a new
//! configuration or a word that says nothing of it take nothing back.

use super::incarnation::Incarnation;
use super::rate_limit::{RateLimit, RateStatement, ToldLimit};
use crate::Time;
use std::collections::HashMap;
use std::time::Duration;

/// The longest pause that is heeded. Upstreams ask for some seconds; one that names hours
/// by mistake would be of no use to anybody, and asks again if it still wants rest.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(600);
/// How long a word is kept after the last row of its life is gone: as long as the longest
/// pause, and far longer than the seconds in which a listed upstream comes back.
const KEPT: Duration = LONGEST_PAUSE;

/// How long VMs are told that a limit has ended.
const END_TOLD: Duration = Duration::from_secs(10);

/// What one life of an upstream has said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Word {
    /// It leaves and wants no new work any more.
    leaves: bool,
    /// Until when it wants nothing from this VM.
    rests_until: Time,
    /// The requests that it takes from all VMs together.
    rate_limit: RateLimit,
}

impl Word {
    /// Whether it has said that it leaves.
    #[must_use]
    pub fn leaves(&self) -> bool {
        self.leaves
    }

    /// The requests that it takes from all VMs together.
    #[must_use]
    pub fn rate_limit(&self) -> RateLimit {
        self.rate_limit
    }

    /// Whether it wants new work at `now`.
    #[must_use]
    pub fn wants_work(&self, now: Time) -> bool {
        !self.leaves && now >= self.rests_until
    }

    /// When it wants new work at the earliest; `None` if it leaves.
    #[must_use]
    pub fn wants_work_at(&self, now: Time) -> Option<Time> {
        (!self.leaves).then(|| self.rests_until.max(now))
    }
}

/// What an upstream says at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    /// It leaves.
    Leaves,
    /// It wants nothing from this VM for so long.
    Rests(Duration),
    /// It takes so many requests from all VMs together.
    Takes(RateStatement),
}

/// What upstreams have said of themselves, each life for itself.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::upstream::{Incarnation, Said, Words};
/// let (now, second) = (Duration::from_secs(10), Duration::from_secs(1));
/// let (life, next) = (Incarnation::new("u1", 7), Incarnation::new("u1", 9));
/// let mut words = Words::default();
/// assert!(words.hear(now, &life, Said::Rests(second)));
/// assert!(!words.of(&life).wants_work(now));
/// assert!(words.of(&life).wants_work(now + second));
/// words.hear(now, &life, Said::Leaves);
/// assert_eq!(words.of(&life).wants_work_at(now), None);
/// assert!(words.of(&next).wants_work(now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Words {
    by_life: HashMap<Incarnation, Heard>,
}

/// What one life has said.
#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    word: Word,
    /// What it last said of the requests that it takes.
    rate: RateStatement,
    /// When the limit changed by it.
    rate_changed_at: Time,
    /// When it last said something.
    at: Time,
}

impl Heard {
    fn take_rate(&mut self, now: Time, statement: RateStatement) {
        if !statement.replaces(&self.rate) {
            return;
        }
        self.rate = statement;
        if self.word.rate_limit != statement.limit {
            self.word.rate_limit = statement.limit;
            self.rate_changed_at = now;
        }
    }

    /// Whether other VMs are to hear of its limit, or that it has ended.
    fn tells_limit(&self, now: Time) -> bool {
        let ended = self.rate_changed_at > Time::ZERO
            && now.saturating_sub(self.rate_changed_at) < END_TOLD;
        self.word.rate_limit.is_limited() || ended
    }
}

/// Whether a word is what is believed of a life that has said nothing.
fn says_nothing(said: &Said) -> bool {
    matches!(said, Said::Takes(statement) if !statement.limit.is_limited())
}

impl Words {
    /// Takes in what a life says. Returns whether that is news: a shorter pause does not end
    /// a longer one, nor an answer a limit that was named after its request was sent.
    pub fn hear(&mut self, now: Time, life: &Incarnation, said: Said) -> bool {
        if says_nothing(&said) && !self.by_life.contains_key(life) {
            return false;
        }
        let heard = self.by_life.entry(life.clone()).or_default();
        let before = heard.word;
        match said {
            Said::Leaves => heard.word.leaves = true,
            Said::Rests(pause) => {
                let until = now + pause.min(LONGEST_PAUSE);
                heard.word.rests_until = heard.word.rests_until.max(until);
            }
            Said::Takes(statement) => heard.take_rate(now, statement),
        }
        heard.at = now;
        heard.word != before
    }

    /// What a life has said.
    #[must_use]
    pub fn of(&self, life: &Incarnation) -> Word {
        self.by_life.get(life).copied().unwrap_or_default().word
    }

    /// The limits that other VMs are to hear of, with their ends, those heard last first: of
    /// all lives, or of those whose limit has changed since `changed_after`.
    #[must_use]
    pub fn limits(&self, now: Time, changed_after: Time) -> Vec<ToldLimit> {
        let told = self
            .by_life
            .iter()
            .filter(|(_, heard)| heard.tells_limit(now) && heard.rate_changed_at >= changed_after);
        let mut told: Vec<ToldLimit> = told
            .map(|(life, heard)| ToldLimit::new(life, &heard.rate, now))
            .collect();
        told.sort_by_key(|limit| limit.heard_ms);
        told
    }

    /// Forgets what was said long ago in lives that are listed no more.
    pub fn forget(&mut self, now: Time, listed: impl Fn(&Incarnation) -> bool) {
        self.by_life
            .retain(|life, heard| listed(life) || now.saturating_sub(heard.at) < KEPT);
    }

    /// How many lives have said something that is still kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_life.len()
    }

    /// Whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_life.is_empty()
    }
}
