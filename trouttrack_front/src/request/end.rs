//! What a request is submitted as, and how it ends.

use crate::caller::{Admitted, Reply};
use crate::state::{Front, Refusal};
use std::time::Duration;
use trouttrack_core::length::LengthKey;
use trouttrack_core::world::{NotRunReason, Submission};
use trouttrack_core::{Outcome, ServiceId, Time, UpstreamId};
use trouttrack_telemetry::{events, record};

/// The part of its objective that a request may wait for an upstream. After
/// it, a caller that comes back at once may still be served in time.
const WAIT_FOR_PLACE: f64 = 0.6;
/// The same for each further attempt, also when the time above is over: what
/// was tried may still be answered late.
const WAIT_AGAIN: f64 = 0.2;
/// A request whose caller guesses no more tokens than this is short: it needs
/// no room to grow, and ends before it could be moved.
pub(crate) const SHORT_TOKENS: u64 = 64;
/// The shortest time after which a refused caller may come back.
const COME_BACK: Duration = Duration::from_millis(100);
/// When a caller refused by a stopping VM may come back: at once, on a new
/// connection, which leads to another VM.
const ELSEWHERE: Duration = Duration::from_millis(20);
/// The longest: overload passes quickly, and callers wait no longer than a
/// third of their time.
const COME_BACK_AT_MOST: Duration = Duration::from_secs(1);

/// What the scheduler is asked for.
pub(crate) fn submission(
    front: &Front,
    admitted: &Admitted,
    service: &ServiceId,
    avoid: &[UpstreamId],
) -> Submission {
    let head = &admitted.head;
    let organisation = admitted.organisation.clone().unwrap_or_default();
    let patience = admitted.route.objective.mul_f64(WAIT_FOR_PLACE);
    let again = front.clock.now() + admitted.route.objective.mul_f64(WAIT_AGAIN);
    Submission {
        id: head.id.clone(),
        weight: 1.0,
        service: service.clone(),
        length_key: LengthKey::new(&admitted.route.name, &head.model, &organisation),
        organisation,
        priority: class(admitted),
        prompt_tokens: head.prompt_tokens,
        deadline: (admitted.received_at + patience)
            .max(again)
            .min(admitted.deadline),
        max_running: None,
        avoid: avoid.to_vec(),
        guessed_tokens: head.guessed_tokens,
        known_tokens: None,
    }
}

/// Core's class 0 never waits for memory; only short requests may be in it.
fn class(admitted: &Admitted) -> u8 {
    match admitted.route.kind.is_stream() && !is_short(admitted) {
        true => admitted.rank.max(1),
        false => admitted.rank,
    }
}

/// Whether a request is thought to write few tokens.
pub(crate) fn is_short(admitted: &Admitted) -> bool {
    let head = &admitted.head;
    head.guessed_tokens
        .unwrap_or(head.most_tokens)
        .min(head.most_tokens.max(1))
        <= SHORT_TOKENS
}

/// How a request ends without an upstream's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// It has not run and never will.
    NotRun {
        reason: &'static str,
        retry_after: Duration,
    },
    /// It may have run.
    Uncertain {
        reason: &'static str,
        timed_out: bool,
    },
}

impl End {
    pub(crate) fn refused(refusal: &Refusal) -> Self {
        let reason = match refusal.reason {
            NotRunReason::QueueFull => "too many requests wait",
            NotRunReason::Deadline => "no upstream had room in time",
            NotRunReason::NoUpstream => "no upstream runs the service",
            NotRunReason::RetryBudget => "the retry budget is used up",
            _ => "refused",
        };
        Self::NotRun {
            reason,
            retry_after: refusal.retry_after.clamp(COME_BACK, COME_BACK_AT_MOST),
        }
    }

    /// This VM is about to end; another one serves.
    pub(crate) fn stopping() -> Self {
        Self::NotRun {
            reason: "this VM is stopping",
            retry_after: ELSEWHERE,
        }
    }

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
        let held = front.clock.now().saturating_sub(admitted.received_at);
        let held_ms = held.as_millis() as u64;
        let kind = kind_name(admitted);
        match self {
            Self::NotRun {
                reason,
                retry_after,
            } => {
                record!(
                    events::NOT_RUN,
                    request = id,
                    reason = *reason,
                    route = admitted.route.name.as_str(),
                    attempts = attempts,
                    held_ms = held_ms,
                    retry_after_ms = retry_after.as_millis() as u64,
                    config_version = admitted.table.version(),
                );
                front.metrics.refused.with_label_values(&[reason]).inc();
                ended(front, kind, "not-run");
                Reply::not_run(id, reason, *retry_after)
            }
            Self::Uncertain { reason, timed_out } => {
                record!(
                    events::UNCERTAIN,
                    request = id,
                    reason = *reason,
                    route = admitted.route.name.as_str(),
                    attempts = attempts,
                    held_ms = held_ms,
                    timed_out = *timed_out,
                );
                ended(front, kind, "uncertain");
                Reply::uncertain(id, reason, *timed_out)
            }
        }
    }
}

/// Logs and counts an upstream's answer.
pub(crate) fn answered(
    front: &Front,
    admitted: &Admitted,
    upstream: &str,
    status: u16,
    attempts: u32,
    first_byte_at: Time,
) {
    let received = admitted.received_at;
    let first = first_byte_at.saturating_sub(received);
    let held = front.clock.now().saturating_sub(received);
    record!(
        events::ANSWERED,
        request = admitted.head.id.as_str(),
        upstream = upstream,
        status = status,
        attempts = attempts,
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
