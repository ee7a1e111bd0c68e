//! When the generations of a leaving engine are moved.
//!
//! An engine's copies run one after the other over its link, in the order in
//! which they were asked for, by all VMs together. Every VM starts copying its
//! own generations as soon as it hears that the engine leaves, while they go
//! on. The last part of each is copied with the generation stopped, and its
//! caller waits for that: so it begins only when the link is thought to be idle
//! again, or when the engine is about to end.
//!
//! What the link cannot carry in the time left must not be asked for: it would
//! hold up the last parts of all others until the engine is gone. Every VM
//! reads the same report and takes the smallest generations first, so all come
//! to the same choice without talk, and as many as can be are saved.

use crate::fleet::EngineSpec;
use crate::{RequestId, Time};
use std::time::Duration;

/// How long an engine is taken to serve on after its notice when it does not
/// say; reclaimed engines give hardly more.
const SHORTEST_NOTICE: Duration = Duration::from_millis(1500);
/// Before the end, time for the last parts of an engine's generations: each
/// takes some ten milliseconds, and requests of several VMs queue.
const LAST_PARTS: Duration = Duration::from_millis(350);
/// How much longer than its bytes say a copy to another failure domain takes.
const FAR: f64 = 2.0;
/// The same for copies of other VMs, whose targets are not known: most stay in
/// the failure domain, and each has a set-up.
const OTHERS: f64 = 1.25;

/// A generation's memory, and the way that its copy takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Copy<'a> {
    /// The request.
    pub id: &'a str,
    /// Tokens that it holds.
    pub tokens: f64,
    /// Whether the copy goes to another failure domain.
    pub far: bool,
}

/// A leaving engine, as one VM sees it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::rescue::Departure;
/// let ms = Duration::from_millis;
/// let mut departure = Departure::noticed(ms(1000));
/// departure.leaves_in(ms(1800));
/// assert_eq!(departure.ends_at(), ms(2800));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    noticed_at: Time,
    ends_at: Time,
    held: Option<Held>,
}

/// What an engine holds, the smallest generation first.
#[derive(Clone, Debug, PartialEq)]
struct Held {
    generations: Vec<(RequestId, u64)>,
    seconds_per_token: f64,
}

impl Held {
    fn seconds(&self, tokens: f64) -> f64 {
        tokens * self.seconds_per_token
    }

    /// How long the link is busy before a generation's turn.
    fn seconds_before(&self, id: &str) -> f64 {
        let before = self.generations.iter().take_while(|(other, _)| other != id);
        let tokens: u64 = before.map(|(_, tokens)| tokens).sum();
        self.seconds(tokens as f64) * OTHERS
    }
}

impl Departure {
    /// The engine's notice was seen.
    #[must_use]
    pub fn noticed(now: Time) -> Self {
        Self {
            noticed_at: now,
            ends_at: now + SHORTEST_NOTICE,
            held: None,
        }
    }

    /// The engine said how much longer it serves. Its word is old by an unknown
    /// time, but it knew of its leaving, so it counts from the notice.
    pub fn leaves_in(&mut self, left: Duration) {
        self.ends_at = self.noticed_at + left;
    }

    /// The engine said how many tokens each of its generations holds, those of
    /// all VMs.
    pub fn holds(&mut self, mut generations: Vec<(RequestId, u64)>, engine: &EngineSpec) {
        generations.sort_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
        let seconds_per_token = engine.bytes_per_token / engine.link_bytes_per_second.max(1.0);
        self.held = Some(Held {
            generations,
            seconds_per_token,
        });
    }

    /// When it was noticed.
    #[must_use]
    pub fn noticed_at(&self) -> Time {
        self.noticed_at
    }

    /// When the engine is thought to end.
    #[must_use]
    pub fn ends_at(&self) -> Time {
        self.ends_at
    }

    /// Whether the engine has said what it holds.
    #[must_use]
    pub fn is_reported(&self) -> bool {
        self.held.is_some()
    }

    /// The latest time for the last parts.
    fn latest(&self) -> Time {
        self.ends_at.saturating_sub(LAST_PARTS)
    }

    /// Whether a copy asked for at `now` is done in time for its last part.
    #[must_use]
    pub fn fits(&self, now: Time, copy: Copy<'_>) -> bool {
        let Some(held) = &self.held else {
            return now < self.latest();
        };
        let turn = self.noticed_at + Duration::from_secs_f64(held.seconds_before(copy.id));
        let way = if copy.far { FAR } else { 1.0 };
        let own = Duration::from_secs_f64(held.seconds(copy.tokens) * way);
        now.max(turn) + own <= self.latest()
    }

    /// When the last parts are to be copied.
    #[must_use]
    pub fn last_part_at(&self) -> Time {
        let latest = self.latest();
        let Some(held) = &self.held else {
            return latest;
        };
        let mut idle = self.noticed_at;
        for (_, tokens) in &held.generations {
            let seconds = held.seconds(*tokens as f64) * OTHERS;
            let next = idle + Duration::from_secs_f64(seconds);
            if next > latest {
                break;
            }
            idle = next;
        }
        idle
    }
}
