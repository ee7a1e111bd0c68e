//! What upstreams say of themselves, whatever carried the word.
//!
//! A word binds for the life that it was said in: an entry that comes back, a new
//! configuration or a word that says nothing of it take nothing back. Before, such words
//! were read where the store brought them and nowhere else: of 12 requests 5 to 7 reached an
//! upstream whose answers had said that it leaves, and one that had asked for 3 s of rest got
//! 43 in 2.5 s, with 55 callers refused beside an upstream that served (two upstreams, one
//! VM, in the tests of the front).

use super::incarnation::Incarnation;
use crate::Time;
use std::collections::HashMap;
use std::time::Duration;

/// The longest pause that is heeded. Upstreams ask for some seconds; one that names hours
/// by mistake would be of no use to anybody, and asks again if it still wants rest.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(600);
/// How long a word is kept after the last row of its life is gone: as long as the longest
/// pause, and far longer than the seconds in which a listed upstream comes back.
const KEPT: Duration = LONGEST_PAUSE;

/// What one life of an upstream has said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Word {
    /// It leaves and wants no new work any more.
    leaves: bool,
    /// Until when it wants nothing from this VM.
    rests_until: Time,
}

impl Word {
    /// Whether it has said that it leaves.
    #[must_use]
    pub fn leaves(&self) -> bool {
        self.leaves
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It leaves.
    Leaves,
    /// It wants nothing from this VM for so long.
    Rests(Duration),
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
    /// When it last said something.
    at: Time,
}

impl Words {
    /// Takes in what a life says. Returns whether that is news: a shorter pause does not end
    /// a longer one.
    pub fn hear(&mut self, now: Time, life: &Incarnation, said: Said) -> bool {
        let heard = self.by_life.entry(life.clone()).or_default();
        let before = heard.word;
        let word = &mut heard.word;
        match said {
            Said::Leaves => word.leaves = true,
            Said::Rests(pause) => {
                word.rests_until = word.rests_until.max(now + pause.min(LONGEST_PAUSE));
            }
        }
        heard.at = now;
        heard.word != before
    }

    /// What a life has said.
    #[must_use]
    pub fn of(&self, life: &Incarnation) -> Word {
        self.by_life.get(life).copied().unwrap_or_default().word
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
