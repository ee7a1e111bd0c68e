//! When the generations of a leaving engine are moved.
//!
//! An engine's copies run one after the other over its link, in the order in
//! which they were asked for, by all VMs together. Every VM copies its own
//! generations while they go on, from the moment at which it hears that the engine
//! leaves. The last part of each is copied with the generation stopped, and its
//! caller waits for that, so it is asked for when the link is idle: when a copy
//! of what is new comes back at once.
//!
//! So that this part does not wait for the copies of others, the copies take turns:
//! each begins when those before it are done. Without turns all copies queue at
//! once, the last parts come behind all of them, and those that are not done when
//! the engine ends are lost: on 40 days 2,674 of 15,745 long generations were lost
//! without turns and 2,601 with them, and 79 fewer began or went on late.
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
/// Reports are up to this old when they come: engines were seen to say nothing of
/// their leaving for half a second after it.
pub const REPORT_AGE: Duration = Duration::from_millis(560);
/// Kept on the link after each copy, for what the generation wrote meanwhile: its
/// caller waits for that part, and does not wait for the next copy too.
const LAST_PART: Duration = Duration::from_millis(40);
/// Before the end, time for the last parts: as much as two of them, for copies come
/// one after the other and a report's word on the end is some ten milliseconds off.
/// With 350 ms, more generations were left behind for want of time: on 40 days
/// 2,601 of 15,745 long ones were lost, with 80 ms 2,536.
const LAST_PARTS: Duration = Duration::from_millis(80);
/// How much longer than its bytes say a copy takes: its set-up, and what is
/// written meanwhile.
const NEAR: f64 = 1.05;
/// The same to another failure domain, where the link is half as fast.
const FAR: f64 = 2.1;

/// A leaving engine, as one VM sees it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::rescue::Departure;
/// let ms = Duration::from_millis;
/// let mut departure = Departure::noticed(ms(1000));
/// departure.leaves_in(ms(1000), ms(1800));
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
    /// When the engine first said it: from then on the link is shared out.
    since: Time,
    generations: Vec<(RequestId, u64)>,
    /// Tokens for which there is room in the same failure domain.
    near_room: f64,
    seconds_per_token: f64,
}

/// A generation's turn on the link.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Turn {
    /// How long the link is busy before it.
    after: Duration,
    /// Whether there is room for it in the same failure domain.
    near: bool,
}

impl Held {
    /// How much longer than its bytes say a copy takes.
    fn overhead(near: bool) -> f64 {
        if near { NEAR } else { FAR }
    }

    /// How long the link is busy with a copy of so many tokens.
    fn lasts(&self, tokens: f64, near: bool) -> Duration {
        Duration::from_secs_f64(tokens * self.seconds_per_token * Self::overhead(near))
    }

    /// The turn of a generation; one that is not known comes last.
    fn turn(&self, id: &str) -> Turn {
        let mut after = Duration::ZERO;
        let mut room = self.near_room;
        for (other, tokens) in &self.generations {
            let tokens = *tokens as f64;
            let near = tokens <= room;
            if other == id {
                return Turn { after, near };
            }
            if near {
                room -= tokens;
            }
            after += self.lasts(tokens, near) + LAST_PART;
        }
        Turn {
            after,
            near: room > 0.0,
        }
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

    /// The engine itself said that it leaves, in a report asked for at `asked_at`.
    #[must_use]
    pub fn reported(asked_at: Time) -> Self {
        Self::noticed(asked_at.saturating_sub(REPORT_AGE))
    }

    /// The engine said how much longer it serves, in a report asked for at
    /// `asked_at`. Its word is old by up to [`REPORT_AGE`], but it knew of its
    /// leaving then, so it counts from the notice at the earliest.
    pub fn leaves_in(&mut self, asked_at: Time, left: Duration) {
        let said_at = asked_at.saturating_sub(REPORT_AGE).max(self.noticed_at);
        self.ends_at = said_at + left;
    }

    /// The engine said how many tokens each of its generations holds, those of
    /// all VMs. `near_room` is the room for tokens at other engines of its
    /// failure domain.
    pub fn holds(
        &mut self,
        now: Time,
        mut generations: Vec<(RequestId, u64)>,
        engine: &EngineSpec,
        near_room: f64,
    ) {
        generations.sort_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
        let seconds_per_token = engine.bytes_per_token / engine.link_bytes_per_second.max(1.0);
        let since = self.held.as_ref().map_or(now, |held| held.since);
        self.held = Some(Held {
            since,
            generations,
            near_room,
            seconds_per_token,
        });
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

    /// The time by which the last parts are asked for, whether or not the link
    /// is idle.
    #[must_use]
    pub fn last_call(&self) -> Time {
        self.ends_at.saturating_sub(LAST_PARTS)
    }

    /// When the copy of a generation is asked for: when those before it are done,
    /// so that its last part need not wait for the copies behind it.
    #[must_use]
    pub fn begins_at(&self, id: &str) -> Time {
        let begins = |held: &Held| held.since + held.turn(id).after;
        self.held.as_ref().map_or(self.noticed_at, begins)
    }

    /// Whether the copy of a generation that holds `tokens` is done by the last
    /// call if it is asked for at `now`.
    #[must_use]
    pub fn fits(&self, now: Time, id: &str, tokens: f64) -> bool {
        let Some(held) = &self.held else {
            return now < self.last_call();
        };
        let turn = held.turn(id);
        let begins = now.max(held.since + turn.after);
        begins + held.lasts(tokens, turn.near) <= self.last_call()
    }
}
