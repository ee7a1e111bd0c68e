//! Whether and when a stream's request is sent again.

use super::run::StreamRun;
use crate::request::attempt::AttemptFailure;
use crate::request::end::End;
use crate::request::retry::is_attempt;
use std::time::Duration;
use trouttrack_core::Outcome;
use trouttrack_core::fleet::RouteKind;
use trouttrack_core::request::{Failure, StepResult};
use trouttrack_telemetry::{events, record};

/// Pauses of the objective that an upstream may be silent for: fewer are met
/// under load.
const SILENT_PAUSES: u32 = 5;
/// The same before the first event, in parts of its objective.
const SILENT_FIRST: f64 = 1.2;

impl StreamRun {
    /// What the retry rule says; `None` to try again.
    pub(super) fn end_after(&mut self, failure: AttemptFailure) -> Option<End> {
        // With events passed on, only what is missing may be asked for, and
        // any failure to get it is the same.
        let kind = match self.output.is_begun() {
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
            StepResult::Ended(outcome) => End::of_outcome(outcome, failure.reason),
            StepResult::Try(_) => End::of_outcome(Outcome::NotRun, failure.reason),
        };
        Some(end.unless_run(self.may_have_run))
    }

    fn may_retry(&self, failure: Failure) -> bool {
        let (front, admitted) = (&self.front, &self.admitted);
        self.attempts
            .may_retry(front, admitted, &self.service, failure)
    }

    /// The longest silence before another upstream is asked, where that is
    /// allowed.
    pub(super) fn longest_silence(&self) -> Option<Duration> {
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
        match self.first_event_at {
            None => Some(self.admitted.route.objective.mul_f64(SILENT_FIRST)),
            Some(_) => longest_pause.map(|pause| pause * SILENT_PAUSES),
        }
    }

    /// The end at the caller's deadline.
    pub(super) fn timed_out(&self) -> End {
        match self.may_have_run {
            true => End::Uncertain {
                reason: "no whole answer in time",
                timed_out: true,
            },
            false => End::not_run("no upstream had room in time"),
        }
    }
}
