//! Leases: who may act, until when, and when another may take over.
//!
//! A lease is one object of the platform's service with a holder, an epoch and
//! a duration. No two clocks are ever compared:
//!
//! - a holder may act until the duration, less a margin, has passed on its own
//!   clock since *before* it sent the write that won or renewed the lease;
//! - another takes over only after it has itself seen the object unchanged for
//!   the whole duration on its own clock.
//!
//! Each change of holder raises the epoch. Work that must not be done by an old
//! holder bears the epoch, so whoever receives it can refuse an old one.

use crate::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A lease's number; grows with each change of holder.
pub type Epoch = u64;

/// The object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it.
    pub holder: String,
    /// Its epoch.
    pub epoch: Epoch,
    /// How long it is held without being renewed, in milliseconds.
    pub duration_ms: u64,
}

impl LeaseRecord {
    /// How long it is held without being renewed.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}

/// The part of the duration in which a holder no longer acts, because what it
/// begins then could end too late.
const MARGIN: u32 = 4;
/// A holder renews after this part of the duration.
const RENEW: u32 = 3;

/// A lease as its holder knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The object's version.
    pub version: u64,
    /// The object.
    pub record: LeaseRecord,
    /// Before the write was sent.
    pub since: Time,
}

impl Held {
    /// Whether the holder may begin something at `now`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_core::lease::{Held, LeaseRecord};
    /// let record = LeaseRecord { holder: "c1".into(), epoch: 1, duration_ms: 8000 };
    /// let held = Held { version: 1, record, since: Duration::from_secs(10) };
    /// assert!(held.may_act(Duration::from_secs(15)));
    /// assert!(!held.may_act(Duration::from_secs(16)));
    /// ```
    #[must_use]
    pub fn may_act(&self, now: Time) -> bool {
        let duration = self.record.duration();
        now < self.since + (duration - duration / MARGIN)
    }

    /// Whether it is time to renew.
    #[must_use]
    pub fn renew_due(&self, now: Time) -> bool {
        now >= self.since + self.record.duration() / RENEW
    }
}

/// A lease as another sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    version: u64,
    first_seen: Time,
}

impl Observed {
    /// Notes the object as it was read at `now`; returns whether it has been
    /// unchanged for its whole duration, so that it may be taken over.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_core::lease::{LeaseRecord, Observed};
    /// let record = LeaseRecord { holder: "c1".into(), epoch: 1, duration_ms: 8000 };
    /// let mut observed = Observed::default();
    /// assert!(!observed.see(Duration::from_secs(100), 7, &record));
    /// assert!(!observed.see(Duration::from_secs(107), 7, &record));
    /// assert!(observed.see(Duration::from_secs(108), 7, &record));
    /// ```
    pub fn see(&mut self, now: Time, version: u64, record: &LeaseRecord) -> bool {
        if self.version != version {
            self.version = version;
            self.first_seen = now;
        }
        now >= self.first_seen + record.duration()
    }
}
