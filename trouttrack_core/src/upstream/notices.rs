//! Notices from upstreams about their own availability, whatever the transport.
//!
//! A notice applies to the incarnation that sent it. It stays in force when the upstream is
//! listed again, when the configuration changes, and when a later notice does not mention it.

use super::incarnation::Incarnation;
use super::rate_limit::{RateLimit, RateStatement, ToldLimit};
use crate::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Upper bound for requested pauses. Upstreams usually ask for several seconds; one that asks
/// for hours by mistake would stay unused, and one that still needs a pause asks again.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(600);
/// How long the notices of an incarnation that is no longer listed are kept, counted from its
/// last notice: as long as the longest pause, and much longer than the seconds after which an
/// upstream is listed again.
const RETENTION: Duration = LONGEST_PAUSE;

/// How long the end of a limit is reported to other VMs.
const LIMIT_END_REPORT_TIME: Duration = Duration::from_secs(10);

/// The availability that one incarnation of an upstream has announced.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Word {
    /// Whether it is shutting down and accepts no new requests.
    leaves: bool,
    /// End of the pause that it has requested from this VM.
    rests_until: Time,
    /// Request rate that it accepts from all VMs together.
    rate_limit: RateLimit,
}

impl Word {
    /// Returns whether it has announced its shutdown.
    #[must_use]
    pub fn leaves(&self) -> bool {
        self.leaves
    }

    /// Returns the request rate that it accepts from all VMs together.
    #[must_use]
    pub fn rate_limit(&self) -> RateLimit {
        self.rate_limit
    }

    /// Returns whether it accepts new requests at `now`.
    #[must_use]
    pub fn wants_work(&self, now: Time) -> bool {
        !self.leaves && now >= self.rests_until
    }

    /// Returns the earliest time at which it accepts new requests; `None` if it is shutting
    /// down.
    #[must_use]
    pub fn wants_work_at(&self, now: Time) -> Option<Time> {
        (!self.leaves).then(|| self.rests_until.max(now))
    }
}

/// A notice from an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    /// It is shutting down.
    Leaves,
    /// It requests a pause of this length from this VM.
    Rests(Duration),
    /// It accepts this request rate from all VMs together.
    Takes(RateStatement),
}

/// The notices received from upstreams, by incarnation.
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
    by_incarnation: HashMap<Incarnation, Received>,
}

/// The notices received from one incarnation.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    word: Word,
    /// Its last statement of a rate limit.
    rate: RateStatement,
    /// When that statement changed the limit.
    rate_changed_at: Time,
    /// When its last notice was received.
    at: Time,
}

impl Received {
    fn update_rate(&mut self, now: Time, statement: RateStatement) {
        if !statement.replaces(&self.rate) {
            return;
        }
        self.rate = statement;
        if self.word.rate_limit != statement.limit {
            self.word.rate_limit = statement.limit;
            self.rate_changed_at = now;
        }
    }

    /// Returns whether its limit, or the end of it, is to be reported to other VMs.
    fn reports_limit(&self, now: Time) -> bool {
        let ended = self.rate_changed_at > Time::ZERO
            && now.saturating_sub(self.rate_changed_at) < LIMIT_END_REPORT_TIME;
        self.word.rate_limit.is_limited() || ended
    }
}

/// Returns whether a notice equals the state assumed without any notice.
fn is_default(said: &Said) -> bool {
    matches!(said, Said::Takes(statement) if !statement.limit.is_limited())
}

impl Words {
    /// Applies a notice. Returns whether it changed the state: a shorter pause does not end a
    /// longer one, and a response does not end a limit that was announced after its request was
    /// sent.
    pub fn hear(&mut self, now: Time, life: &Incarnation, said: Said) -> bool {
        if is_default(&said) && !self.by_incarnation.contains_key(life) {
            return false;
        }
        let received = self.by_incarnation.entry(life.clone()).or_default();
        let before = received.word;
        match said {
            Said::Leaves => received.word.leaves = true,
            Said::Rests(pause) => {
                let until = now + pause.min(LONGEST_PAUSE);
                received.word.rests_until = received.word.rests_until.max(until);
            }
            Said::Takes(statement) => received.update_rate(now, statement),
        }
        received.at = now;
        received.word != before
    }

    /// Returns the announced availability of an incarnation.
    #[must_use]
    pub fn of(&self, life: &Incarnation) -> Word {
        self.by_incarnation
            .get(life)
            .copied()
            .unwrap_or_default()
            .word
    }

    /// Returns the limits, and ends of limits, to be reported to other VMs, most recently
    /// received first. Includes only those that changed at or after `changed_after`.
    #[must_use]
    pub fn limits(&self, now: Time, changed_after: Time) -> Vec<ToldLimit> {
        let told = self.by_incarnation.iter().filter(|(_, received)| {
            received.reports_limit(now) && received.rate_changed_at >= changed_after
        });
        let mut told: Vec<ToldLimit> = told
            .map(|(life, received)| ToldLimit::new(life, &received.rate, now))
            .collect();
        told.sort_by_key(|limit| limit.heard_ms);
        told
    }

    /// Removes old notices of incarnations that are no longer listed.
    pub fn forget(&mut self, now: Time, listed: impl Fn(&Incarnation) -> bool) {
        self.by_incarnation
            .retain(|life, received| listed(life) || now.saturating_sub(received.at) < RETENTION);
    }

    /// Returns the number of incarnations with notices.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_incarnation.len()
    }

    /// Returns whether there are no notices.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_incarnation.is_empty()
    }
}
