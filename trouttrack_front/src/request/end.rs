//! Final outcomes of a request, with their logs, metrics and responses.

use crate::caller::{Admitted, Reply};
use crate::metrics::StreamTiming;
use crate::state::{Front, Refusal};
use std::time::Duration;
use trouttrack_core::quarantine::{Hold, Subject};
use trouttrack_core::upstream::MAX_PAUSE;
use trouttrack_core::world::NotRunReason;
use trouttrack_core::{Outcome, Time};
use trouttrack_telemetry::{events, record};

/// Shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest retry delay given to a refused caller. Overload passes quickly, and callers wait
/// for at most a third of their time limit.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest retry delay given while upstreams are known to be full for longer.
const MAX_OVERLOADED_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Retry delay given by a stopping VM. It is short because a new connection reaches another
/// VM.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The lowest HTTP status of a failed response.
const SERVER_ERROR: u16 = 500;

/// Outcome of a request that received no complete response from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The request has not run and will not run.
    NotRun {
        reason: &'static str,
        /// Delay before the caller may retry.
        retry_after: Duration,
    },
    /// The request may have run.
    Uncertain {
        reason: &'static str,
        /// Whether the caller's deadline expired.
        timed_out: bool,
    },
}

impl End {
    /// The scheduler did not place the request.
    pub(crate) fn refused(front: &Front, service: &str, refusal: &Refusal) -> Self {
        if refusal.reason == NotRunReason::Unreachable {
            front.scheduler.report_closed(service);
        }
        let reason = match refusal.reason {
            NotRunReason::QueueFull => "too many requests wait",
            NotRunReason::Deadline => "no upstream had room in time",
            NotRunReason::NoUpstream => "no upstream runs the service",
            NotRunReason::Unreachable => "no upstream can be reached in time",
            NotRunReason::RetryBudget => "the retry budget is used up",
            NotRunReason::RateLimited => "every upstream takes few requests a second",
            NotRunReason::Overloaded => "upstreams free room too slowly",
            NotRunReason::UpstreamPaused => "every upstream has asked for a pause",
            _ => "refused",
        };
        // The end of a pause is known, and a caller that retries sooner is refused again.
        let max_retry_after = match refusal.reason {
            NotRunReason::UpstreamPaused => MAX_PAUSE,
            NotRunReason::Overloaded => MAX_OVERLOADED_RETRY_AFTER,
            _ => MAX_RETRY_AFTER,
        };
        Self::NotRun {
            reason,
            retry_after: refusal.retry_after.clamp(MIN_RETRY_AFTER, max_retry_after),
        }
    }

    /// The outcome of a request that has not run and may not be answered before this VM exits,
    /// if it stops. Other VMs serve the request; if none does, this one is back after its exit.
    pub(crate) fn if_stopping(front: &Front, deadline: Time) -> Option<Self> {
        if front.lifecycle.can_finish(deadline) {
            return None;
        }
        let now = front.clock.now();
        let until_exit = || {
            let ends_at = front.lifecycle.ends_at().unwrap_or(now);
            ends_at.saturating_sub(now)
        };
        let retry_after = match front.peers.any_serves(now) {
            true => STOPPING_RETRY_AFTER,
            false => until_exit().max(STOPPING_RETRY_AFTER),
        };
        Some(Self::NotRun {
            reason: "this VM is stopping",
            retry_after,
        })
    }

    /// Waits until this VM is known to exit before the request's deadline.
    pub(crate) async fn stopping(front: &Front, deadline: Time) -> Self {
        loop {
            front.lifecycle.exits_before(deadline).await;
            if let Some(end) = Self::if_stopping(front, deadline) {
                return end;
            }
        }
    }

    /// This VM exits while the request is in progress.
    pub(crate) fn exited(front: &Front, deadline: Time, may_have_run: bool) -> Self {
        let not_run = Self::if_stopping(front, deadline).filter(|_| !may_have_run);
        not_run.unwrap_or(Self::Uncertain {
            reason: "this VM has stopped",
            timed_out: false,
        })
    }

    /// The request is quarantined because upstreams exited while they ran it.
    pub(crate) fn quarantined(hold: Hold) -> Self {
        Self::NotRun {
            reason: match hold.subject {
                Subject::Request(_) => "upstreams ended while they ran it",
                Subject::Part(_) => "upstreams ended under a part of its prompt",
            },
            retry_after: hold.left,
        }
    }

    /// The request has not run; the caller may retry after the shortest delay.
    pub(crate) fn not_run(reason: &'static str) -> Self {
        Self::NotRun {
            reason,
            retry_after: MIN_RETRY_AFTER,
        }
    }

    /// The request has not run; no upstream can be tried for this long.
    pub(crate) fn not_run_for(reason: &'static str, wait: Duration) -> Self {
        Self::NotRun {
            reason,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// Converts an outcome of the retry rule.
    pub(crate) fn from_outcome(outcome: Outcome, reason: &'static str) -> Self {
        match outcome {
            Outcome::NotRun => Self::not_run(reason),
            _ => Self::Uncertain {
                reason,
                timed_out: false,
            },
        }
    }

    /// Turns `NotRun` into `Uncertain` for a request that may have run.
    pub(crate) fn uncertain_if_run(self, may_have_run: bool) -> Self {
        match self {
            Self::NotRun { reason, .. } if may_have_run => Self::Uncertain {
                reason,
                timed_out: false,
            },
            end => end,
        }
    }

    /// Logs and counts the outcome, and builds the reply.
    pub(crate) fn reply(&self, front: &Front, admitted: &Admitted, attempts: u32) -> Reply {
        let id = admitted.head.id.as_str();
        self.log(front, admitted, attempts);
        match self {
            Self::NotRun {
                reason,
                retry_after,
            } => {
                front.metrics.refused.with_label_values(&[reason]).inc();
                count_end(front, kind_name(admitted), "not-run");
                Reply::not_run(id, reason, *retry_after)
            }
            Self::Uncertain { reason, timed_out } => {
                count_end(front, kind_name(admitted), "uncertain");
                Reply::uncertain(id, reason, *timed_out)
            }
        }
    }

    fn log(&self, front: &Front, admitted: &Admitted, attempts: u32) {
        let elapsed = front.clock.now().saturating_sub(admitted.received_at);
        let held_ms = elapsed.as_millis() as u64;
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

/// Response of an upstream that was forwarded to the caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardedResponse<'a> {
    /// Id of the upstream that completed the response.
    pub(crate) upstream: &'a str,
    /// HTTP status.
    pub(crate) status: u16,
    /// Number of attempts.
    pub(crate) attempts: u32,
    /// Time at which the first byte was forwarded.
    pub(crate) first_byte_at: Time,
    /// Whether the upstream framed the body, by a length or by chunks.
    pub(crate) framed: bool,
    /// Number of forwarded stream events; zero for a plain call.
    pub(crate) events: u64,
    /// Bytes of a stream after its last complete event.
    pub(crate) partial_bytes: usize,
    /// Longest pause between two events of a stream.
    pub(crate) longest_pause: Duration,
    /// Total time during which the caller of a stream accepted no bytes.
    pub(crate) caller_wait: Duration,
}

/// Logs and counts a forwarded response.
pub(crate) fn record_forwarded(
    front: &Front,
    admitted: &Admitted,
    response: ForwardedResponse<'_>,
) {
    let received = admitted.received_at;
    let first = response.first_byte_at.saturating_sub(received);
    let elapsed = front.clock.now().saturating_sub(received);
    let pause_limit = admitted.route.kind.longest_pause();
    record!(
        events::ANSWERED,
        request = admitted.head.id.as_str(),
        upstream = response.upstream,
        route = admitted.route.name.as_str(),
        status = response.status,
        attempts = response.attempts,
        framed = response.framed,
        events = response.events,
        partial_bytes = response.partial_bytes,
        pause_ms = response.longest_pause.as_millis() as u64,
        max_pause_ms = pause_limit.map(|limit| limit.as_millis() as u64),
        caller_wait_ms = response.caller_wait.as_millis() as u64,
        objective_ms = admitted.route.objective.as_millis() as u64,
        first_ms = first.as_millis() as u64,
        held_ms = elapsed.as_millis() as u64,
    );
    count_end(front, kind_name(admitted), "answered");
    let framing = match response.framed {
        true => "framed",
        false => "unframed",
    };
    let answers = &front.metrics.answers;
    answers
        .with_label_values(&[kind_name(admitted), framing])
        .inc();
    front.metrics.first_byte_after(first);
    if admitted.route.kind.is_stream() && response.status < SERVER_ERROR {
        let timing = StreamTiming {
            first_event: first,
            objective: admitted.route.objective,
            longest_pause: response.longest_pause,
            pause_limit,
        };
        front.metrics.stream_answered(&timing);
    }
}

fn count_end(front: &Front, kind: &str, end: &str) {
    front.metrics.ended.with_label_values(&[kind, end]).inc();
}

fn kind_name(admitted: &Admitted) -> &'static str {
    match admitted.route.kind.is_stream() {
        true => "stream",
        false => "plain",
    }
}
