//! Leases that do not depend on synchronised clocks.
//!
//! A lease is one object in the platform's store with a holder, an epoch and a
//! duration. Clocks of different processes are never compared:
//!
//! - a holder may act until the duration less a safety margin has elapsed on its
//!   own clock, measured from *before* it sent the write that acquired or renewed
//!   the lease;
//! - another process may take over only after it has observed the object
//!   unchanged for the full duration on its own clock.
//!
//! Each change of holder increments the epoch. Operations that a former holder
//! must not perform include the epoch as a fencing token, so that the receiver
//! can reject an outdated one.

use crate::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Fencing token of a lease; increases with each change of holder.
pub type Epoch = u64;

/// The stored lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the holder.
    pub holder: String,
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Time after which the lease expires unless renewed, in milliseconds.
    pub duration_ms: u64,
}

impl LeaseRecord {
    /// Returns the time after which the lease expires unless renewed.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}

/// The holder stops acting for the last `1/MARGIN_DIVISOR` of the duration, because an
/// operation started then could finish after the lease has expired.
const MARGIN_DIVISOR: u32 = 4;
/// The holder renews the lease after `1/RENEWAL_DIVISOR` of the duration.
const RENEWAL_DIVISOR: u32 = 3;

/// A lease from the point of view of its holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Version of the stored object.
    pub version: u64,
    /// Content of the stored object.
    pub record: LeaseRecord,
    /// Time immediately before the write that acquired or renewed the lease was sent.
    pub sent_at: Time,
}

impl HeldLease {
    /// Returns whether the holder may start an operation at `now`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_core::lease::{HeldLease, LeaseRecord};
    /// let record = LeaseRecord { holder: "c1".into(), epoch: 1, duration_ms: 8000 };
    /// let held = HeldLease { version: 1, record, sent_at: Duration::from_secs(10) };
    /// assert!(held.may_act(Duration::from_secs(15)));
    /// assert!(!held.may_act(Duration::from_secs(16)));
    /// ```
    #[must_use]
    pub fn may_act(&self, now: Time) -> bool {
        let duration = self.record.duration();
        now < self.sent_at + (duration - duration / MARGIN_DIVISOR)
    }

    /// Returns whether the lease is due for renewal.
    #[must_use]
    pub fn renew_due(&self, now: Time) -> bool {
        now >= self.sent_at + self.record.duration() / RENEWAL_DIVISOR
    }
}

/// A lease from the point of view of another process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservedLease {
    version: u64,
    first_seen: Time,
}

impl ObservedLease {
    /// Records that the object was read at `now` with this version and content. Returns
    /// whether it has been unchanged for its full duration, so that the lease may be
    /// taken over.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_core::lease::{LeaseRecord, ObservedLease};
    /// let record = LeaseRecord { holder: "c1".into(), epoch: 1, duration_ms: 8000 };
    /// let mut observed = ObservedLease::default();
    /// assert!(!observed.observe(Duration::from_secs(100), 7, &record));
    /// assert!(!observed.observe(Duration::from_secs(107), 7, &record));
    /// assert!(observed.observe(Duration::from_secs(108), 7, &record));
    /// ```
    pub fn observe(&mut self, now: Time, version: u64, record: &LeaseRecord) -> bool {
        if self.version != version {
            self.version = version;
            self.first_seen = now;
        }
        now >= self.first_seen + record.duration()
    }
}
