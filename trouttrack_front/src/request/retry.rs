//! Limits on the attempts of a request.

use super::attempt::AttemptFailure;
use super::end::End;
use super::submission::placement_deadline;
use crate::caller::Admitted;
use crate::state::{Front, Upstream};
use trouttrack_core::request::{Failure, Step, StepResult, UpstreamSearch};
use trouttrack_core::{SoftwareVersion, UpstreamId};
use trouttrack_telemetry::{events, record};

/// Whether the retry rule asks for another attempt.
pub(super) fn is_attempt(step: StepResult) -> bool {
    matches!(
        step,
        StepResult::Try(Step::PlaceAgain | Step::RunAgain | Step::Resume)
    )
}

/// Attempts made for a request so far.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptCounts {
    /// Attempts that an upstream may have received.
    pub(super) sent: u32,
    /// Upstreams that could not be connected to.
    search: UpstreamSearch,
}

impl AttemptCounts {
    /// Counts an attempt that an upstream may have received.
    pub(super) fn count_sent(&mut self, front: &Front, service: &str) {
        if self.sent == 0 {
            front.budgets.first_attempt(front.clock.now(), service);
        }
        self.sent += 1;
    }

    /// Counts an upstream that could not be connected to.
    pub(super) fn count_unconnected(
        &mut self,
        front: &Front,
        admitted: &Admitted,
        upstream: &Upstream,
        failure: &AttemptFailure,
    ) {
        if failure.connection_refused() {
            let until = placement_deadline(front, admitted);
            self.search.record_refused(until);
            return;
        }
        if failure.cancelled_before_send() {
            self.search.record_left();
            return;
        }
        let domain = upstream.failure_domain.as_str();
        let is_silent = failure.connection_timed_out() && domain != front.failure_domain;
        self.search.record_failed(is_silent.then_some(domain));
    }

    /// Counts an upstream that was removed after the request had been placed on it.
    pub(super) fn count_missing(&mut self) {
        self.search.record_left();
    }

    /// Upstreams that the next attempt is to avoid: those tried, and those of failure domains
    /// that are likely to be cut off.
    pub(super) fn avoided(&self, front: &Front, tried: &[UpstreamId]) -> Vec<UpstreamId> {
        if !self.search.avoids_any() {
            return tried.to_vec();
        }
        let avoids = |u: &Upstream| self.search.avoids(&u.failure_domain);
        let cut_off = front.upstreams.ids_where(avoids);
        tried.iter().cloned().chain(cut_off).collect()
    }

    /// Whether the limit of the route and the shared retry budget allow another attempt after
    /// this failure, at upstreams of `version` if one is given. Consumes one retry from the budget
    /// if so, except after a failed connection.
    pub(super) fn may_retry(
        &self,
        front: &Front,
        admitted: &Admitted,
        service: &str,
        version: Option<&SoftwareVersion>,
        tried: &[UpstreamId],
        failure: Failure,
    ) -> bool {
        if failure == Failure::NotConnected {
            let version = version.map(String::as_str);
            let has_untried = front.scheduler.has_untried(service, version, tried);
            return self.search.may_continue(front.clock.now(), has_untried);
        }
        if self.sent >= admitted.route.max_attempts {
            return false;
        }
        let within = front.budgets.try_retry(front.clock.now(), service);
        if !within {
            record!(
                events::RETRY_BUDGET,
                request = admitted.head.id.as_str(),
                service = service,
            );
        }
        within
    }
}

/// Outcome of a request whose failed attempt is not followed by another one. After a failed
/// connection the caller may retry when an upstream of the service may be tried again.
pub(super) fn end_without_retry(front: &Front, service: &str, failure: AttemptFailure) -> End {
    let available_in = front.scheduler.available_in(service);
    match available_in.filter(|_| failure.failure == Failure::NotConnected) {
        Some(wait) => End::not_run_for(failure.reason, wait),
        None => End::not_run(failure.reason),
    }
}
