//! State machine of a request.

use super::rule::{Delivery, Failure, NOTHING_RAN, Phase, Step, Traits, rule_for};
use crate::Outcome;
use crate::debug_asserts::assert_ended_once;

/// What to do next after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepResult {
    /// Try this step and report the result with one of the [`Machine`] methods.
    Try(Step),
    /// The request has ended.
    Ended(Outcome),
}

/// State of one request from arrival to its outcome.
///
/// The machine holds no connection and no clock. Its owner reports events and carries out
/// the returned [`Step`]s.
///
/// # Examples
///
/// ```
/// use trouttrack_core::request::{Delivery, Failure, Machine, Step, StepResult, Traits};
/// use trouttrack_core::Outcome;
/// let traits = Traits { repeatable: false, resumable: false, delivery: Delivery::Stream };
/// let mut machine = Machine::new(traits, 3);
/// machine.handed_over();
/// // The upstream of a non-repeatable request was lost: the request may have run, so it is
/// // not repeated.
/// assert_eq!(machine.failed(Failure::Lost), StepResult::Ended(Outcome::Unknown));
/// ```
#[derive(Clone, Debug)]
pub struct Machine {
    traits: Traits,
    phase: Phase,
    attempts_left: u32,
    steps: &'static [Step],
    ran: bool,
    outcome: Option<Outcome>,
}

impl Machine {
    /// Creates the machine of a received request, which is sent at most `attempts` times.
    #[must_use]
    pub fn new(traits: Traits, attempts: u32) -> Self {
        Self {
            traits,
            phase: Phase::Queued,
            attempts_left: attempts,
            steps: &[],
            ran: false,
            outcome: None,
        }
    }

    /// Traits of the request.
    #[must_use]
    pub fn traits(&self) -> Traits {
        self.traits
    }

    /// Current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The outcome, once the request has ended.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        self.outcome
    }

    /// Records that the request is about to be sent to an upstream.
    pub fn handed_over(&mut self) {
        self.phase = Phase::HandedOver;
        self.attempts_left = self.attempts_left.saturating_sub(1);
    }

    /// Records a token that the [`Cursor`](super::Cursor) has accepted.
    pub fn token(&mut self) {
        self.ran = true;
        self.phase = match self.traits.delivery {
            Delivery::Stream => Phase::Delivered,
            Delivery::Whole => Phase::Held,
        };
    }

    /// Records that the attempt failed. Returns the first step to try.
    pub fn failed(&mut self, failure: Failure) -> StepResult {
        self.steps = rule_for(self.phase, failure, self.traits).steps;
        self.next_step()
    }

    /// Records that the last step failed. Returns the next one.
    pub fn step_failed(&mut self) -> StepResult {
        self.next_step()
    }

    /// Records that the stream id is fenced: it never ran and never will.
    pub fn fenced(&mut self) -> StepResult {
        self.place_again()
    }

    /// Records that the complete answer has been received.
    pub fn complete(&mut self) -> Outcome {
        self.end(Outcome::Complete)
    }

    /// Records that the upstream rejected the request as invalid without running it.
    pub fn rejected(&mut self) -> Outcome {
        self.end(NOTHING_RAN)
    }

    /// Ends a request that is not placed (again): deadline, overload, no upstream, or caller
    /// disconnected.
    pub fn give_up(&mut self) -> Outcome {
        let outcome = match self.phase {
            Phase::Queued if !self.ran => NOTHING_RAN,
            Phase::Delivered => Outcome::Interrupted,
            _ => Outcome::Unknown,
        };
        self.end(outcome)
    }

    fn next_step(&mut self) -> StepResult {
        let Some((&step, rest)) = self.steps.split_first() else {
            return StepResult::Ended(self.give_up());
        };
        self.steps = rest;
        match step {
            Step::PlaceAgain => self.place_again(),
            Step::Resume | Step::FenceThenPlaceAgain if !self.traits.resumable => self.next_step(),
            Step::RunAgain => self.run_again(),
            Step::End(outcome) => StepResult::Ended(self.end(outcome)),
            Step::Resume | Step::FenceThenPlaceAgain => StepResult::Try(step),
        }
    }

    fn place_again(&mut self) -> StepResult {
        self.phase = Phase::Queued;
        if self.attempts_left == 0 {
            return StepResult::Ended(self.give_up());
        }
        StepResult::Try(Step::PlaceAgain)
    }

    fn run_again(&mut self) -> StepResult {
        self.ran = true;
        if self.attempts_left == 0 {
            return StepResult::Ended(self.give_up());
        }
        self.phase = Phase::Queued;
        StepResult::Try(Step::RunAgain)
    }

    fn end(&mut self, outcome: Outcome) -> Outcome {
        assert_ended_once(self.outcome, outcome);
        *self.outcome.get_or_insert(outcome)
    }
}
