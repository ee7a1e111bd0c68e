//! Retries and idle timeouts of a stream.

use super::run::StreamRun;
use crate::request::attempt::AttemptFailure;
use crate::request::end::End;
use crate::request::retry::{end_without_retry, is_attempt};
use std::time::Duration;
use trouttrack_core::fleet::RouteKind;
use trouttrack_core::request::{Failure, StepResult};
use trouttrack_telemetry::{events, record};

/// Idle timeout between events, in multiples of the longest pause of the route. Smaller
/// multiples occur under load.
const IDLE_TIMEOUT_PAUSES: u32 = 5;
/// Shortest idle timeout. A sound engine may be silent for a second or so.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle timeout before the first event, in multiples of the objective of the route.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 1.2;

impl StreamRun {
    /// Applies the retry rule to a failure. Returns `None` to try again.
    pub(super) fn end_after_failure(&mut self, failure: AttemptFailure) -> Option<End> {
        // Once events have been forwarded, only the remaining ones may be requested, so all
        // failures are equivalent.
        let kind = match self.output.head_sent() {
            true => Failure::Lost,
            false => failure.failure,
        };
        let step = self.machine.failed(kind);
        if is_attempt(step) && self.may_retry(failure.failure) {
            record!(
                events::RUN_AGAIN,
                request = self.admitted.head.id.as_str(),
                after = failure.reason,
                events = self.reader.events(),
            );
            return None;
        }
        let end = match step {
            StepResult::Ended(outcome) => End::from_outcome(outcome, failure.reason),
            StepResult::Try(_) => end_without_retry(&self.front, &self.service, failure),
        };
        Some(end.uncertain_if_run(self.may_have_run))
    }

    fn may_retry(&self, failure: Failure) -> bool {
        let (front, admitted) = (&self.front, &self.admitted);
        let version = self.version.as_ref();
        self.attempts.may_retry(
            front,
            admitted,
            &self.service,
            version,
            &self.avoid,
            failure,
        )
    }

    /// Whether another upstream may go on with the stream, or begin it.
    pub(super) fn has_alternative(&self) -> bool {
        let version = self.version.as_deref();
        let scheduler = &self.front.scheduler;
        version.is_none() || scheduler.has_untried(&self.service, version, &self.avoid)
    }

    /// Time without data after which another upstream is tried; `None` if the route or the
    /// attempt limit does not allow that.
    pub(super) fn idle_timeout(&self) -> Option<Duration> {
        let RouteKind::Stream {
            resumable: true,
            longest_pause,
        } = self.admitted.route.kind
        else {
            return None;
        };
        if self.attempts.sent >= self.admitted.route.max_attempts {
            return None;
        }
        let objective = self.admitted.route.objective;
        let timeout = match self.first_event_at {
            None => objective.mul_f64(FIRST_EVENT_TIMEOUT_FACTOR),
            Some(_) => longest_pause? * IDLE_TIMEOUT_PAUSES,
        };
        Some(timeout.max(MIN_IDLE_TIMEOUT))
    }

    /// Outcome when the caller's deadline expires.
    pub(super) fn timed_out(&self) -> End {
        match self.may_have_run {
            true => End::Uncertain {
                reason: "no whole answer in time",
                timed_out: true,
            },
            false => End::not_run("no upstream had room in time"),
        }
    }

    /// Outcome when this VM exits.
    pub(super) fn exited(&self) -> End {
        End::exited(&self.front, self.admitted.deadline, self.may_have_run)
    }
}
