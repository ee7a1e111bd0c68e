//! The state machine of one request.

use super::rule::{Delivery, Failure, NOTHING_RAN, Phase, Step, Traits, rule_for};
use crate::Outcome;
use crate::debug_asserts::assert_ended_once;

/// What to do next after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepResult {
    /// Try this step; report back with one of the `Machine` methods.
    Try(Step),
    /// The request has ended.
    Ended(Outcome),
}

/// One request's way from received to ended.
///
/// The machine holds no connection and no clock. Its owner reports what
/// happened and carries out the [`Step`]s that come back.
///
/// # Examples
///
/// ```
/// use trouttrack_core::request::{Delivery, Failure, Machine, Step, StepResult, Traits};
/// use trouttrack_core::Outcome;
/// let traits = Traits { repeatable: false, resumable: false, delivery: Delivery::Stream };
/// let mut machine = Machine::new(traits, 3);
/// machine.handed_over();
/// // A plain service went silent: its fate is unknown and it is not run again.
/// assert_eq!(machine.failed(Failure::Lost), StepResult::Ended(Outcome::Unknown));
/// ```
#[derive(Clone, Debug)]
pub struct Machine {
    traits: Traits,
    phase: Phase,
    attempts_left: u32,
    steps: &'static [Step],
    ran: bool,
    ended: Option<Outcome>,
}

impl Machine {
    /// A request that was received; `attempts` bounds its hand-overs.
    #[must_use]
    pub fn new(traits: Traits, attempts: u32) -> Self {
        Self {
            traits,
            phase: Phase::Queued,
            attempts_left: attempts,
            steps: &[],
            ran: false,
            ended: None,
        }
    }

    /// The traits given at the start.
    #[must_use]
    pub fn traits(&self) -> Traits {
        self.traits
    }

    /// Where the request stands.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The outcome, once ended.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        self.ended
    }

    /// The request is about to be sent to an upstream.
    pub fn handed_over(&mut self) {
        self.phase = Phase::HandedOver;
        self.attempts_left = self.attempts_left.saturating_sub(1);
    }

    /// A token that the [`Cursor`](super::Cursor) accepted has arrived.
    pub fn token(&mut self) {
        self.ran = true;
        self.phase = match self.traits.delivery {
            Delivery::Stream => Phase::Delivered,
            Delivery::Whole => Phase::Held,
        };
    }

    /// The attempt failed. Returns the first step to try.
    pub fn failed(&mut self, failure: Failure) -> StepResult {
        self.steps = rule_for(self.phase, failure, self.traits).steps;
        self.next_step()
    }

    /// The step given last did not help. Returns the next one.
    pub fn step_failed(&mut self) -> StepResult {
        self.next_step()
    }

    /// The fence showed that the stream id never ran, and never will.
    pub fn fenced(&mut self) -> StepResult {
        self.elsewhere()
    }

    /// The whole answer was taken.
    pub fn complete(&mut self) -> Outcome {
        self.end(Outcome::Complete)
    }

    /// The upstream said that the request is wrong and that it did not run it.
    pub fn rejected(&mut self) -> Outcome {
        self.end(NOTHING_RAN)
    }

    /// The request is given up before it could be placed (deadline, overload,
    /// no upstream, caller gone).
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
            Step::Elsewhere => self.elsewhere(),
            Step::Resume | Step::FenceThenElsewhere if !self.traits.resumable => self.next_step(),
            Step::RunAgain => self.run_again(),
            Step::End(outcome) => StepResult::Ended(self.end(outcome)),
            Step::Resume | Step::FenceThenElsewhere => StepResult::Try(step),
        }
    }

    fn elsewhere(&mut self) -> StepResult {
        self.phase = Phase::Queued;
        if self.attempts_left == 0 {
            return StepResult::Ended(self.give_up());
        }
        StepResult::Try(Step::Elsewhere)
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
        assert_ended_once(self.ended, outcome);
        *self.ended.get_or_insert(outcome)
    }
}
