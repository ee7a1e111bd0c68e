//! Table of retry rules.
//!
//! [`RULES`] alone decides how a failure is handled: the phase of the request, the kind of
//! failure and whether the request may be repeated determine the ordered list of [`Step`]s
//! to try.

use crate::Outcome;
use serde::{Deserialize, Serialize};

/// When tokens are delivered to the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Delivery {
    /// Token by token, on arrival.
    #[default]
    Stream,
    /// All at once, after the generation has ended.
    Whole,
}

/// Progress of a request, as far as it matters for retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The request has not been sent to any upstream.
    Queued,
    /// The request was sent; no token has arrived.
    HandedOver,
    /// Tokens have arrived and are buffered (`delivery = whole`).
    Held,
    /// Tokens have been delivered to the caller.
    Delivered,
}

impl Phase {
    /// All phases.
    pub const ALL: [Self; 4] = [Self::Queued, Self::HandedOver, Self::Held, Self::Delivered];
}

/// Failure of an attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The upstream explicitly refused the request before running it.
    Refused,
    /// Timeout, connection reset, or an answer to another request.
    Lost,
    /// The upstream explicitly ended the generation early.
    Aborted,
}

impl Failure {
    /// All failures.
    pub const ALL: [Self; 4] = [Self::NotConnected, Self::Refused, Self::Lost, Self::Aborted];
}

/// Configured properties of a service's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Traits {
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Whether the upstream can attach to, resume and fence a stream by its id.
    pub resumable: bool,
    /// When tokens are delivered.
    pub delivery: Delivery,
}

/// Repeatability that a [`Rule`] matches on.
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
    /// Whether a request with the given traits matches.
    #[must_use]
    pub fn matches(self, traits: Traits) -> bool {
        match self {
            Self::Any => true,
            Self::Repeatable => traits.repeatable,
            Self::NotRepeatable => !traits.repeatable,
        }
    }
}

/// Recovery step after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Place the request on another upstream; nothing has run.
    PlaceAgain,
    /// Reattach to the stream by its id, from the first token not yet passed on.
    ///
    /// Skipped when the upstream is not resumable.
    Resume,
    /// Discard buffered tokens, make a best-effort attempt to cancel the stream, and place
    /// the request again. Only for repeatable requests.
    RunAgain,
    /// Fence the stream id, and place the request on another upstream only if the same
    /// incarnation of the upstream confirms that the id never ran.
    ///
    /// Skipped when the upstream is not resumable.
    FenceThenPlaceAgain,
    /// End with this outcome.
    End(Outcome),
}

/// A row of the table of retry rules.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Phase of the request.
    pub phase: Phase,
    /// Failures that the row applies to.
    pub failures: &'static [Failure],
    /// Requests that the row applies to.
    pub kind: Kind,
    /// Steps to try, in order. The last one always ends the request or starts a new attempt.
    pub steps: &'static [Step],
}

use Failure::{Aborted, Lost, NotConnected, Refused};
use Outcome::{Interrupted, NotRun, Unknown};
use Phase::{Delivered, HandedOver, Held, Queued};
use Step::{End, FenceThenPlaceAgain, PlaceAgain, Resume, RunAgain};

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

/// The retry rules. The first matching row applies.
///
/// If no upstream or budget is left for `PlaceAgain`, the
/// [`Machine`](super::Machine) ends the request as `not-run`, because nothing has run.
#[rustfmt::skip]
pub const RULES: &[Rule] = &[
    // Nothing was sent, or the upstream confirmed that it did not run the request.
    row(Queued,     &[NotConnected, Refused, Lost, Aborted], Kind::Any,           &[PlaceAgain]),
    row(HandedOver, &[NotConnected, Refused],                Kind::Any,           &[PlaceAgain]),
    // Sent, no token received.
    row(HandedOver, &[Lost],                                 Kind::Repeatable,    &[Resume, RunAgain]),
    row(HandedOver, &[Lost],                                 Kind::NotRepeatable, &[Resume, FenceThenPlaceAgain, End(Unknown)]),
    row(HandedOver, &[Aborted],                              Kind::Repeatable,    &[RunAgain]),
    row(HandedOver, &[Aborted],                              Kind::NotRepeatable, &[End(Unknown)]),
    // Tokens received, none delivered.
    row(Held,       &[Lost],                                 Kind::Repeatable,    &[Resume, RunAgain]),
    row(Held,       &[Lost],                                 Kind::NotRepeatable, &[Resume, End(Unknown)]),
    row(Held,       &[Aborted, NotConnected, Refused],       Kind::Repeatable,    &[RunAgain]),
    row(Held,       &[Aborted, NotConnected, Refused],       Kind::NotRepeatable, &[End(Unknown)]),
    // The caller has the first tokens of a generation: only that generation may continue.
    row(Delivered,  &[Lost],                                 Kind::Any,           &[Resume, End(Interrupted)]),
    row(Delivered,  &[Aborted, NotConnected, Refused],       Kind::Any,           &[End(Interrupted)]),
];

/// Outcome of a request that is not placed again, in phases in which nothing has run.
pub(crate) const NOTHING_RAN: Outcome = NotRun;

/// Returns the rule for a failure.
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
        .expect("RULES covers every phase, failure and kind")
}
