//! Arrival times of a stream's events.

use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::upstream::RateSample;

/// Events after which their rate is sampled.
const EVENTS_PER_SAMPLE: u32 = 8;
/// Shortest wait for the caller that is subtracted from a pause.
const MIN_CALLER_WAIT: Duration = Duration::from_millis(1);

/// Measures the pauses between the events that arrive for a caller, and takes rate samples of
/// the upstream that sends them.
///
/// The pauses include a change to another upstream. Time during which nothing was read from the
/// upstream because the caller accepted no bytes is measured separately.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_front::request::EventPace;
/// let ms = Duration::from_millis;
/// let mut pace = EventPace::default();
/// pace.record(ms(100), 1);
/// pace.caller_waited(ms(100), ms(400));
/// pace.record(ms(450), 1);
/// assert_eq!((pace.longest_pause(), pace.caller_wait()), (ms(50), ms(300)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EventPace {
    last_event_at: Option<Time>,
    longest_pause: Duration,
    sampled_at: Option<Time>,
    /// Events since the last sample.
    unsampled: u32,
    /// Total time during which the caller accepted no bytes.
    caller_wait: Duration,
    /// The part of `caller_wait` since the last event.
    caller_wait_in_pause: Duration,
}

impl EventPace {
    /// Records that `events` events have arrived together. Returns a sample if enough have
    /// arrived since the previous one.
    pub fn record(&mut self, now: Time, events: u32) -> Option<RateSample> {
        let caller_wait = std::mem::take(&mut self.caller_wait_in_pause);
        if let Some(last) = self.last_event_at.replace(now) {
            let pause = now.saturating_sub(last).saturating_sub(caller_wait);
            self.longest_pause = self.longest_pause.max(pause);
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

    /// Records that the caller did not accept bytes from `since` to `now`, and that nothing was
    /// read from the upstream meanwhile. Starts a new series of samples, because the events
    /// that arrive next were produced earlier.
    pub fn caller_waited(&mut self, since: Time, now: Time) {
        let waited = now.saturating_sub(since);
        if waited < MIN_CALLER_WAIT {
            return;
        }
        self.caller_wait += waited;
        self.caller_wait_in_pause += waited;
        self.restart_samples();
    }

    /// Starts a new series of samples at another upstream. The pause until its first event is a
    /// pause of the stream, but not part of a sample of either upstream.
    pub fn change_upstream(&mut self) {
        self.restart_samples();
    }

    fn restart_samples(&mut self) {
        self.sampled_at = None;
        self.unsampled = 0;
    }

    /// Returns the longest pause so far between two events, without `caller_wait`.
    #[must_use]
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    /// Returns the total time during which the caller accepted no bytes.
    #[must_use]
    pub fn caller_wait(&self) -> Duration {
        self.caller_wait
    }
}
