//! When the generations of a leaving engine are moved.
//!
//! An engine's copies run one after the other over its link. Every VM starts
//! copying its own generations as soon as it hears that the engine leaves,
//! while they go on. The last part of each is copied with the generation
//! stopped, and its caller waits for that: so it begins only when the link is
//! thought to be idle again, or when the engine is about to end.

use crate::Time;
use crate::fleet::EngineSpec;
use std::time::Duration;

/// How long an engine is taken to serve on after its notice when it does not
/// say; reclaimed engines give hardly more.
const SHORTEST_NOTICE: Duration = Duration::from_millis(1500);
/// Before the end, time for the last parts of an engine's generations: each
/// takes some ten milliseconds, and requests of several VMs queue.
const LAST_PARTS: Duration = Duration::from_millis(350);
/// How much longer copies take than their bytes say: part of them goes to
/// other failure domains, at half the speed, and each has a set-up.
const COPY_SLOWDOWN: f64 = 1.5;

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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    noticed_at: Time,
    ends_at: Time,
    link_idle_at: Option<Time>,
}

impl Departure {
    /// The engine's notice was seen.
    #[must_use]
    pub fn noticed(now: Time) -> Self {
        Self {
            noticed_at: now,
            ends_at: now + SHORTEST_NOTICE,
            link_idle_at: None,
        }
    }

    /// The engine said how much longer it serves. Its word is old by an unknown
    /// time, but it knew of its leaving, so it counts from the notice.
    pub fn leaves_in(&mut self, left: Duration) {
        self.ends_at = self.noticed_at + left;
    }

    /// The engine said how many tokens its generations hold, of all VMs.
    pub fn holds(&mut self, tokens: u64, engine: &EngineSpec) {
        let bytes = tokens as f64 * engine.bytes_per_token;
        let seconds = bytes / engine.link_bytes_per_second.max(1.0) * COPY_SLOWDOWN;
        self.link_idle_at = Some(self.noticed_at + Duration::from_secs_f64(seconds));
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

    /// When the last parts are to be copied.
    #[must_use]
    pub fn last_part_at(&self) -> Time {
        let latest = self.ends_at.saturating_sub(LAST_PARTS);
        self.link_idle_at.map_or(latest, |idle| idle.min(latest))
    }
}
