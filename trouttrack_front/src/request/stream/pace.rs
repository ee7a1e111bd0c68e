//! Arrival times of a stream's events.

use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::upstream::RateSample;

/// Events after which their rate is sampled.
const EVENTS_PER_SAMPLE: u32 = 8;

/// Measures the pauses between the events that arrive for a caller, and takes rate samples of
/// the upstream that sends them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventPace {
    last_event_at: Option<Time>,
    longest_pause: Duration,
    sampled_at: Option<Time>,
    /// Events since the last sample.
    unsampled: u32,
}

impl EventPace {
    /// Records that `events` events have arrived together. Returns a sample if enough have
    /// arrived since the previous one.
    pub(super) fn record(&mut self, now: Time, events: u32) -> Option<RateSample> {
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(last));
        }
        let Some(sampled_at) = self.sampled_at else {
            self.sampled_at = Some(now);
            return None;
        };
        self.unsampled += events;
        if self.unsampled < EVENTS_PER_SAMPLE {
            return None;
        }
        self.sampled_at = Some(now);
        Some(RateSample::Events {
            events: std::mem::take(&mut self.unsampled),
            elapsed: now.saturating_sub(sampled_at),
        })
    }

    /// Starts a new series of samples at another upstream. The pause until its first event
    /// counts for the caller but not for the upstream.
    pub(super) fn change_upstream(&mut self) {
        self.sampled_at = None;
        self.unsampled = 0;
    }

    /// Returns the longest pause so far between two events.
    pub(super) fn longest_pause(&self) -> Duration {
        self.longest_pause
    }
}
