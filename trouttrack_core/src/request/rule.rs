//! The retry rule, as a table.
//!
//! A failure is answered by reading [`RULES`] and nothing else: the phase the
//! request was in, how it failed, and whether it may be repeated give the
//! ordered list of [`Step`]s to try.

use crate::Outcome;
use serde::{Deserialize, Serialize};

/// When tokens are passed to the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Delivery {
    /// Each token as it arrives.
    #[default]
    Stream,
    /// All tokens at once, after the generation has ended.
    Whole,
}

/// Where a request stands, as far as the retry rule cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No upstream has been given the request.
    Queued,
    /// The request was sent and no token has arrived.
    HandedOver,
    /// Tokens have arrived and are held back (`delivery = whole`).
    Held,
    /// Tokens have been passed to the caller.
    Delivered,
}

impl Phase {
    /// Every phase.
    pub const ALL: [Self; 4] = [Self::Queued, Self::HandedOver, Self::Held, Self::Delivered];
}

/// How an attempt at an upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No connection could be made, so nothing was sent.
    NotConnected,
    /// The upstream positively refused before running.
    Refused,
    /// Silence, a reset, or an answer that is not to this request.
    Lost,
    /// The upstream positively ended the generation early.
    Aborted,
}

impl Failure {
    /// Every kind of failure.
    pub const ALL: [Self; 4] = [Self::NotConnected, Self::Refused, Self::Lost, Self::Aborted];
}

/// What the configuration says of a service's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Traits {
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Whether the upstream can attach to, resume and fence a stream by its id.
    pub resumable: bool,
    /// When tokens are passed on.
    pub delivery: Delivery,
}

/// The two properties that a [`Rule`] matches on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Matches every request.
    Any,
    /// May be run more than once.
    Repeatable,
    /// Must run at most once.
    NotRepeatable,
}

impl Kind {
    /// Whether a request with these traits is of this kind.
    #[must_use]
    pub fn matches(self, traits: Traits) -> bool {
        match self {
            Self::Any => true,
            Self::Repeatable => traits.repeatable,
            Self::NotRepeatable => !traits.repeatable,
        }
    }
}

/// One thing to try after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Place the request again; nothing has run.
    Elsewhere,
    /// Attach by stream id from the first token not yet passed on.
    ///
    /// Skipped when the upstream is not resumable.
    Resume,
    /// Drop what is held, cancel the stream as well as can be, and place the
    /// request again. Only for repeatable requests.
    RunAgain,
    /// Fence the stream id; go elsewhere only if the same incarnation of the
    /// upstream says that the id never ran.
    ///
    /// Skipped when the upstream is not resumable.
    FenceThenElsewhere,
    /// End with this outcome.
    End(Outcome),
}

/// One row of the retry rule.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// The phase the request was in.
    pub phase: Phase,
    /// The failures that the row answers.
    pub failures: &'static [Failure],
    /// The requests that the row is for.
    pub kind: Kind,
    /// What to try, in order; the last step always ends or replaces the attempt.
    pub steps: &'static [Step],
}

use Failure::{Aborted, Lost, NotConnected, Refused};
use Outcome::{Interrupted, NotRun, Unknown};
use Phase::{Delivered, HandedOver, Held, Queued};
use Step::{Elsewhere, End, FenceThenElsewhere, Resume, RunAgain};

const fn row(
    phase: Phase,
    failures: &'static [Failure],
    kind: Kind,
    steps: &'static [Step],
) -> Rule {
    Rule {
        phase,
        failures,
        kind,
        steps,
    }
}

/// The retry rule. The first row that matches applies.
///
/// `Elsewhere` with no upstream or budget left ends as `not-run`; the
/// [`Machine`](super::Machine) sees to that, because nothing has run.
#[rustfmt::skip]
pub const RULES: &[Rule] = &[
    // Nothing was sent, or the upstream said that it did not run it.
    row(Queued,     &[NotConnected, Refused, Lost, Aborted], Kind::Any,           &[Elsewhere]),
    row(HandedOver, &[NotConnected, Refused],                Kind::Any,           &[Elsewhere]),
    // Sent, no token yet.
    row(HandedOver, &[Lost],                                 Kind::Repeatable,    &[Resume, RunAgain]),
    row(HandedOver, &[Lost],                                 Kind::NotRepeatable, &[Resume, FenceThenElsewhere, End(Unknown)]),
    row(HandedOver, &[Aborted],                              Kind::Repeatable,    &[RunAgain]),
    row(HandedOver, &[Aborted],                              Kind::NotRepeatable, &[End(Unknown)]),
    // Tokens arrived, none passed on.
    row(Held,       &[Lost],                                 Kind::Repeatable,    &[Resume, RunAgain]),
    row(Held,       &[Lost],                                 Kind::NotRepeatable, &[Resume, End(Unknown)]),
    row(Held,       &[Aborted, NotConnected, Refused],       Kind::Repeatable,    &[RunAgain]),
    row(Held,       &[Aborted, NotConnected, Refused],       Kind::NotRepeatable, &[End(Unknown)]),
    // The caller has a first part of one generation: only that generation may go on.
    row(Delivered,  &[Lost],                                 Kind::Any,           &[Resume, End(Interrupted)]),
    row(Delivered,  &[Aborted, NotConnected, Refused],       Kind::Any,           &[End(Interrupted)]),
];

/// What a request that may not be placed again is told, in phases where
/// nothing has run.
pub(crate) const NOTHING_RAN: Outcome = NotRun;

/// Finds the row for a failure.
///
/// # Examples
///
/// ```
/// use trouttrack_core::request::{rule_for, Delivery, Failure, Phase, Step, Traits};
/// let traits = Traits { repeatable: false, resumable: true, delivery: Delivery::Stream };
/// let rule = rule_for(Phase::HandedOver, Failure::Lost, traits);
/// assert_eq!(rule.steps[0], Step::Resume);
/// ```
#[must_use]
pub fn rule_for(phase: Phase, failure: Failure, traits: Traits) -> &'static Rule {
    RULES
        .iter()
        .find(|r| r.phase == phase && r.failures.contains(&failure) && r.kind.matches(traits))
        .expect("the table has a row for every phase, failure and kind; a test checks it")
}
