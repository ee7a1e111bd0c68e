//! Exponential backoff for upstreams that refuse requests without running them.
//!
//! Refusals return immediately, so a refusing upstream has nothing running and, if a refusal
//! counted as success, no failures: the router would prefer it to all others. Instead it gets
//! no requests for a backoff period that grows with each consecutive refusal, and then a
//! single trial request. An upstream that names a pause gets no requests for that long, see
//! [`UpstreamNotices`](super::UpstreamNotices), and then a trial request as well.

use crate::Time;
use std::time::Duration;

/// Backoff after the first refusal that names no pause, equal to the retry delay that refused
/// callers are given.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of backoff doublings, which caps the backoff at 1.6 s. Upstreams that name a
/// pause ask for several seconds; one that names none may have capacity again at any time.
const MAX_DOUBLINGS: u32 = 4;

/// Consecutive refusals by an upstream, as seen by this VM.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Refusals {
    consecutive: u32,
    /// End of the backoff.
    backoff_until: Time,
    /// Whether a trial request is in flight.
    trial_in_flight: bool,
}

impl Refusals {
    /// Records a refusal. Refusals during the backoff are not counted, so that requests that
    /// were sent together and refused together count once.
    pub(crate) fn record_refusal(&mut self, now: Time) {
        self.trial_in_flight = false;
        if now < self.backoff_until {
            return;
        }
        let doublings = self.consecutive.min(MAX_DOUBLINGS);
        self.backoff_until = now + INITIAL_BACKOFF * (1 << doublings);
        self.consecutive += 1;
    }

    /// Records that the upstream has run a request, which resets the backoff.
    pub(crate) fn record_run(&mut self) {
        *self = Self::default();
    }

    /// Records that a request was sent.
    pub(crate) fn record_sent(&mut self) {
        self.trial_in_flight = self.consecutive > 0;
    }

    /// Records the end of a request, whatever its outcome.
    pub(crate) fn record_end(&mut self) {
        self.trial_in_flight = false;
    }

    /// Returns whether a request may be sent at `now`.
    pub(crate) fn allows(&self, now: Time) -> bool {
        now >= self.backoff_until && !self.trial_in_flight
    }

    /// Returns the earliest time at which a request may be sent.
    pub(crate) fn retry_at(&self, now: Time) -> Time {
        self.backoff_until.max(now)
    }
}
