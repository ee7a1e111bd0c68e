//! Limits on the attempts of a request.

use crate::caller::Admitted;
use crate::state::Front;
use trouttrack_core::request::{Failure, Step, StepResult};
use trouttrack_telemetry::{events, record};

/// Failed connections after which a request ends, since other upstreams are then as likely to
/// be unreachable.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Whether the retry rule asks for another attempt.
pub(super) fn is_attempt(step: StepResult) -> bool {
    matches!(
        step,
        StepResult::Try(Step::PlaceAgain | Step::RunAgain | Step::Resume)
    )
}

/// Attempts made for a request so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AttemptCounts {
    /// Attempts that an upstream may have received.
    pub(super) sent: u32,
    /// Attempts that found no connection to their upstream.
    pub(super) connect_failures: u32,
}

impl AttemptCounts {
    /// Counts an attempt that an upstream may have received.
    pub(super) fn count_sent(&mut self, front: &Front, service: &str) {
        if self.sent == 0 {
            front.budgets.first_attempt(front.clock.now(), service);
        }
        self.sent += 1;
    }

    /// Whether the limit of the route and the shared retry budget allow another attempt after
    /// this failure. Consumes one retry from the budget if so, except after a failed connection.
    pub(super) fn may_retry(
        &self,
        front: &Front,
        admitted: &Admitted,
        service: &str,
        failure: Failure,
    ) -> bool {
        if failure == Failure::NotConnected {
            return self.connect_failures < MAX_CONNECT_FAILURES;
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
