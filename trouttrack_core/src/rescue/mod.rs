//! Scheduling of the migration of generations off a departing engine.
//!
//! An engine sends copies one at a time over its link, in the order in which all VMs
//! have requested them. Each VM migrates its own generations in two phases. In the
//! pre-copy phase, which starts when the VM learns of the departure, the generation
//! keeps running. In the stop-and-copy phase the generation is stopped and the
//! remainder is copied. Because the caller waits for this phase, it is requested when
//! the link is idle, which is the case when a copy of the most recent tokens
//! completes immediately.
//!
//! To keep the stop-and-copy phases from waiting behind other pre-copies, each
//! pre-copy starts when the ones before it in the schedule are done.
//!
//! Copies that the link cannot complete in the time left must not be requested,
//! because they would delay the stop-and-copy phases of all others until the engine
//! is gone. Every VM reads the same report and schedules the smallest generations
//! first, so all VMs compute the same schedule without communication and the number
//! of generations saved is maximised.

use crate::fleet::EngineSpec;
use crate::{RequestId, Time};
use std::time::Duration;

/// Assumed time from an engine's notice to its end if it reports none.
const MIN_NOTICE: Duration = Duration::from_millis(1500);
/// Maximum age of a report when it is received.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(560);
/// Link time reserved after each pre-copy for the stop-and-copy phase of the generation,
/// so that its caller does not also wait for the next pre-copy.
const STOP_AND_COPY_TIME: Duration = Duration::from_millis(40);
/// Time reserved for stop-and-copy phases before the engine's end. Sufficient for two of
/// them, because copies run one at a time; a longer reserve leaves less time for pre-copies.
const STOP_AND_COPY_RESERVE: Duration = Duration::from_millis(80);
/// Ratio of the duration of a copy to the transfer time of its bytes. Accounts for set-up
/// and for tokens generated during the copy.
const LOCAL_OVERHEAD: f64 = 1.05;
/// The same ratio for a copy to another failure domain, where the link is half as fast.
const REMOTE_OVERHEAD: f64 = 2.1;

/// Upper bound of times that follow from what an engine reports; no engine leaves that late.
const MAX_TIME: Duration = Duration::from_secs(24 * 3600);

/// A departing engine, as seen by one VM.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::rescue::Departure;
/// let ms = Duration::from_millis;
/// let mut departure = Departure::from_notice(ms(1000));
/// departure.set_remaining(ms(1000), ms(1800));
/// assert_eq!(departure.ends_at(), ms(2800));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    noticed_at: Time,
    ends_at: Time,
    report: Option<ReportedGenerations>,
}

/// Generations of an engine, as it reported them.
#[derive(Clone, Debug, PartialEq)]
struct ReportedGenerations {
    /// Time of the first such report, from which the schedule is computed.
    first_reported_at: Time,
    /// Tokens per generation, smallest first.
    generations: Vec<(RequestId, u64)>,
    /// Free capacity in the same failure domain, in tokens.
    free_local_tokens: f64,
    seconds_per_token: f64,
}

/// Position of a generation's copy in the schedule of the link.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ScheduledCopy {
    /// Time from the start of the schedule to the start of the copy.
    offset: Duration,
    /// Whether the same failure domain has capacity for the generation.
    same_domain: bool,
}

impl ReportedGenerations {
    /// Returns the ratio of the duration of a copy to the transfer time of its bytes.
    fn overhead(same_domain: bool) -> f64 {
        if same_domain {
            LOCAL_OVERHEAD
        } else {
            REMOTE_OVERHEAD
        }
    }

    /// Returns the time for which a copy of so many tokens occupies the link.
    fn copy_duration(&self, tokens: f64, same_domain: bool) -> Duration {
        let seconds = tokens * self.seconds_per_token * Self::overhead(same_domain);
        Duration::try_from_secs_f64(seconds).map_or(MAX_TIME, |time| time.min(MAX_TIME))
    }

    /// Returns the scheduled position of a generation; an unknown one is last.
    fn scheduled_copy(&self, id: &str) -> ScheduledCopy {
        let mut offset = Duration::ZERO;
        let mut free_tokens = self.free_local_tokens;
        for (other, tokens) in &self.generations {
            let tokens = *tokens as f64;
            let same_domain = tokens <= free_tokens;
            if other == id {
                return ScheduledCopy {
                    offset,
                    same_domain,
                };
            }
            if same_domain {
                free_tokens -= tokens;
            }
            offset += self.copy_duration(tokens, same_domain) + STOP_AND_COPY_TIME;
        }
        ScheduledCopy {
            offset,
            same_domain: free_tokens > 0.0,
        }
    }
}

impl Departure {
    /// Creates the state of an engine whose notice is received at `now`.
    #[must_use]
    pub fn from_notice(now: Time) -> Self {
        Self {
            noticed_at: now,
            ends_at: now + MIN_NOTICE,
            report: None,
        }
    }

    /// Creates the state of an engine that reports its own departure, in a report requested at
    /// `asked_at`.
    #[must_use]
    pub fn from_report(asked_at: Time) -> Self {
        Self::from_notice(asked_at.saturating_sub(MAX_REPORT_AGE))
    }

    /// Records the remaining time of service from a report requested at `asked_at`. The
    /// report may be up to [`MAX_REPORT_AGE`] old. It was made after the engine had received
    /// its notice, so it is dated no earlier than the notice.
    pub fn set_remaining(&mut self, asked_at: Time, left: Duration) {
        let said_at = asked_at.saturating_sub(MAX_REPORT_AGE).max(self.noticed_at);
        self.ends_at = said_at + left.min(MAX_TIME);
    }

    /// Records the tokens held by each of the engine's generations, including those of
    /// other VMs. `free_local_tokens` is the free capacity of other engines in its failure
    /// domain, in tokens.
    pub fn set_generations(
        &mut self,
        now: Time,
        mut generations: Vec<(RequestId, u64)>,
        engine: &EngineSpec,
        free_local_tokens: f64,
    ) {
        generations.sort_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
        let seconds_per_token = engine.bytes_per_token / engine.link_bytes_per_second.max(1.0);
        let first_reported_at = self
            .report
            .as_ref()
            .map_or(now, |report| report.first_reported_at);
        self.report = Some(ReportedGenerations {
            first_reported_at,
            generations,
            free_local_tokens,
            seconds_per_token,
        });
    }

    /// Returns the expected end of the engine.
    #[must_use]
    pub fn ends_at(&self) -> Time {
        self.ends_at
    }

    /// Returns whether the engine has reported its generations.
    #[must_use]
    pub fn is_reported(&self) -> bool {
        self.report.is_some()
    }

    /// Returns the latest time to request stop-and-copy phases, whether or not the link
    /// is idle.
    #[must_use]
    pub fn stop_and_copy_deadline(&self) -> Time {
        self.ends_at.saturating_sub(STOP_AND_COPY_RESERVE)
    }

    /// Returns the time at which to request the pre-copy of a generation, which is when
    /// the copies before it are expected to be done.
    #[must_use]
    pub fn pre_copy_at(&self, id: &str) -> Time {
        let starts_at = |report: &ReportedGenerations| {
            report.first_reported_at + report.scheduled_copy(id).offset
        };
        self.report.as_ref().map_or(self.noticed_at, starts_at)
    }

    /// Returns whether the pre-copy of a generation with `tokens` tokens would be done by
    /// [`stop_and_copy_deadline`](Self::stop_and_copy_deadline) if requested at `now`.
    #[must_use]
    pub fn can_complete(&self, now: Time, id: &str, tokens: f64) -> bool {
        let Some(report) = &self.report else {
            return now < self.stop_and_copy_deadline();
        };
        let scheduled_copy = report.scheduled_copy(id);
        let starts_at = now.max(report.first_reported_at + scheduled_copy.offset);
        starts_at + report.copy_duration(tokens, scheduled_copy.same_domain)
            <= self.stop_and_copy_deadline()
    }
}
