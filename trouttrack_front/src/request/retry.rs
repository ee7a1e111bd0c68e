//! Whether a failed attempt is followed by another.

use crate::caller::Admitted;
use crate::state::Front;
use trouttrack_core::request::{Failure, Step, StepResult};
use trouttrack_telemetry::{events, record};

/// Upstreams to which no connection could be made, after which a request is
/// given up: others are as likely out of reach.
const CONNECT_TRIES: u32 = 3;

/// Whether a step of the retry rule is one more attempt.
pub(super) fn is_attempt(step: StepResult) -> bool {
    matches!(
        step,
        StepResult::Try(Step::PlaceAgain | Step::RunAgain | Step::Resume)
    )
}

/// The attempts at one request so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Attempts {
    /// Those that an upstream may have received.
    pub(super) sent: u32,
    /// Those to which no upstream was connected.
    pub(super) unconnected: u32,
}

impl Attempts {
    /// Counts an attempt that an upstream may have received.
    pub(super) fn count_sent(&mut self, front: &Front, service: &str) {
        if self.sent == 0 {
            front.budgets.first_attempt(front.clock.now(), service);
        }
        self.sent += 1;
    }

    /// Whether the route's bound and the shared budget leave room for another
    /// attempt after this failure. Takes one retry from the budget if so.
    pub(super) fn may_retry(
        &self,
        front: &Front,
        admitted: &Admitted,
        service: &str,
        failure: Failure,
    ) -> bool {
        if failure == Failure::NotConnected {
            return self.unconnected < CONNECT_TRIES;
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
