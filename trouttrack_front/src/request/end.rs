//! How a request ends.

use crate::caller::{Admitted, Reply};
use crate::state::{Front, Refusal};
use std::time::Duration;
use trouttrack_core::quarantine::Hold;
use trouttrack_core::upstream::MAX_PAUSE;
use trouttrack_core::world::NotRunReason;
use trouttrack_core::{Outcome, Time};
use trouttrack_telemetry::{events, record};

/// The shortest time after which a refused caller may come back.
const COME_BACK: Duration = Duration::from_millis(100);
/// The longest: overload passes quickly, and callers wait no longer than a
/// third of their time.
const COME_BACK_AT_MOST: Duration = Duration::from_secs(1);
/// When a caller refused by a stopping VM may come back: at once, on a new
/// connection, which leads to another VM.
const ELSEWHERE: Duration = Duration::from_millis(20);

/// How a request ends without an upstream's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// It has not run and never will.
    NotRun {
        /// Why.
        reason: &'static str,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// It may have run.
    Uncertain {
        /// Why there is no whole answer.
        reason: &'static str,
        /// Whether the caller's time was over.
        timed_out: bool,
    },
}

impl End {
    /// The scheduler found no place for it.
    pub(crate) fn refused(refusal: &Refusal) -> Self {
        let reason = match refusal.reason {
            NotRunReason::QueueFull => "too many requests wait",
            NotRunReason::Deadline => "no upstream had room in time",
            NotRunReason::NoUpstream => "no upstream runs the service",
            NotRunReason::Unreachable => "no upstream can be reached in time",
            NotRunReason::RetryBudget => "the retry budget is used up",
            NotRunReason::RateLimited => "every upstream takes few requests a second",
            NotRunReason::UpstreamPaused => "every upstream has asked for a pause",
            _ => "refused",
        };
        // A pause is known to its end: who comes back sooner is refused once more.
        let at_most = match refusal.reason {
            NotRunReason::UpstreamPaused => MAX_PAUSE,
            _ => COME_BACK_AT_MOST,
        };
        Self::NotRun {
            reason,
            retry_after: refusal.retry_after.clamp(COME_BACK, at_most),
        }
    }

    /// This VM is about to end; another one serves.
    pub(crate) fn stopping() -> Self {
        Self::NotRun {
            reason: "this VM is stopping",
            retry_after: ELSEWHERE,
        }
    }

    /// Upstreams end when they run it.
    pub(crate) fn held(hold: Hold) -> Self {
        Self::NotRun {
            reason: "upstreams ended while they ran it",
            retry_after: hold.left,
        }
    }

    /// It has not run; the caller may come back soon.
    pub(crate) fn not_run(reason: &'static str) -> Self {
        Self::NotRun {
            reason,
            retry_after: COME_BACK,
        }
    }

    /// The end that the retry rule came to.
    pub(crate) fn of_outcome(outcome: Outcome, reason: &'static str) -> Self {
        match outcome {
            Outcome::NotRun => Self::not_run(reason),
            _ => Self::Uncertain {
                reason,
                timed_out: false,
            },
        }
    }

    /// The same end, but for a request that may have run.
    pub(crate) fn unless_run(self, may_have_run: bool) -> Self {
        match self {
            Self::NotRun { reason, .. } if may_have_run => Self::Uncertain {
                reason,
                timed_out: false,
            },
            end => end,
        }
    }

    /// Logs and counts the end, and makes the answer.
    pub(crate) fn reply(&self, front: &Front, admitted: &Admitted, attempts: u32) -> Reply {
        let id = admitted.head.id.as_str();
        self.log(front, admitted, attempts);
        match self {
            Self::NotRun {
                reason,
                retry_after,
            } => {
                front.metrics.refused.with_label_values(&[reason]).inc();
                ended(front, kind_name(admitted), "not-run");
                Reply::not_run(id, reason, *retry_after)
            }
            Self::Uncertain { reason, timed_out } => {
                ended(front, kind_name(admitted), "uncertain");
                Reply::uncertain(id, reason, *timed_out)
            }
        }
    }

    fn log(&self, front: &Front, admitted: &Admitted, attempts: u32) {
        let held = front.clock.now().saturating_sub(admitted.received_at);
        let held_ms = held.as_millis() as u64;
        match self {
            Self::NotRun {
                reason,
                retry_after,
            } => record!(
                events::NOT_RUN,
                request = admitted.head.id.as_str(),
                reason = *reason,
                route = admitted.route.name.as_str(),
                attempts = attempts,
                held_ms = held_ms,
                retry_after_ms = retry_after.as_millis() as u64,
                config_version = admitted.table.version(),
            ),
            Self::Uncertain { reason, timed_out } => record!(
                events::UNCERTAIN,
                request = admitted.head.id.as_str(),
                reason = *reason,
                route = admitted.route.name.as_str(),
                attempts = attempts,
                held_ms = held_ms,
                timed_out = *timed_out,
            ),
        }
    }
}

/// An upstream's answer that was passed on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answered<'a> {
    /// The upstream that ended it.
    pub(crate) upstream: &'a str,
    /// Its status.
    pub(crate) status: u16,
    /// Attempts that it took.
    pub(crate) attempts: u32,
    /// When its first byte was passed on.
    pub(crate) first_byte_at: Time,
    /// Events of a stream; zero for a plain call.
    pub(crate) events: u64,
}

/// Logs and counts an upstream's answer.
pub(crate) fn answered(front: &Front, admitted: &Admitted, answer: Answered<'_>) {
    let received = admitted.received_at;
    let first = answer.first_byte_at.saturating_sub(received);
    let held = front.clock.now().saturating_sub(received);
    record!(
        events::ANSWERED,
        request = admitted.head.id.as_str(),
        upstream = answer.upstream,
        route = admitted.route.name.as_str(),
        status = answer.status,
        attempts = answer.attempts,
        events = answer.events,
        objective_ms = admitted.route.objective.as_millis() as u64,
        first_ms = first.as_millis() as u64,
        held_ms = held.as_millis() as u64,
    );
    ended(front, kind_name(admitted), "answered");
    front.metrics.first_byte_after(first);
}

fn ended(front: &Front, kind: &str, end: &str) {
    front.metrics.ended.with_label_values(&[kind, end]).inc();
}

fn kind_name(admitted: &Admitted) -> &'static str {
    match admitted.route.kind.is_stream() {
        true => "stream",
        false => "plain",
    }
}
