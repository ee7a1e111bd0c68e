//! How a request ends.

use super::Session;
use crate::app::Shared;
use crate::claims::Progressed;
use std::time::{Duration, SystemTime};
use trouttrack_core::Outcome;
use trouttrack_core::request::Delivery;
use trouttrack_core::world::NotRunReason;
use trouttrack_telemetry::events;
use trouttrack_telemetry::trace::Hop;

/// When a caller may come back, if nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);
/// The code of a request that the upstream called wrong.
pub(crate) const REJECTED: &str = "upstream_rejected";

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ending {
    /// The outcome.
    pub outcome: Outcome,
    /// Tokens of the answer.
    pub tokens: u64,
    /// `stop`, `length` or `error`.
    pub reason: String,
    /// The stable code of an error.
    pub code: &'static str,
    /// What happened, for a person.
    pub detail: String,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Session {
    pub(super) fn refused(&mut self, reason: NotRunReason, retry_after: Duration) {
        let (code, detail) = match reason {
            NotRunReason::QueueFull => ("overloaded", "too many requests wait"),
            NotRunReason::Deadline | NotRunReason::Unreachable => {
                ("not_placed_in_time", "no upstream had room in time")
            }
            NotRunReason::NoUpstream => ("no_upstream", "no upstream runs this service"),
            NotRunReason::RetryBudget => ("retry_budget", "too many retries of this service"),
            _ => ("not_run", "the request was not placed"),
        };
        let outcome = self.machine.give_up();
        self.end(outcome, code, detail);
        if let Some(ending) = &mut self.ending {
            ending.retry_after = Some(retry_after);
        }
    }

    pub(super) fn complete(&mut self, reason: String) {
        let tokens = self.cursor.next();
        self.attempt = None;
        if let Some(ticket) = self.placed.as_mut().and_then(|p| p.ticket.take()) {
            ticket.complete(tokens);
        }
        self.hop(Hop::Stream);
        let outcome = self.machine.complete();
        self.finish(Ending {
            outcome,
            tokens,
            reason,
            code: "complete",
            detail: String::new(),
            retry_after: None,
        });
    }

    pub(super) fn end(&mut self, outcome: Outcome, code: &'static str, detail: &str) {
        let tokens = match self.parts.service.delivery {
            Delivery::Stream => self.cursor.next(),
            Delivery::Whole => 0,
        };
        self.held.clear();
        self.finish(Ending {
            outcome,
            tokens,
            reason: "error".to_owned(),
            code,
            detail: detail.to_owned(),
            retry_after: may_come_back(outcome, code),
        });
    }

    fn finish(&mut self, ending: Ending) {
        self.shared
            .metrics
            .ended(&self.parts.service.name, ending.outcome);
        let good = matches!(ending.outcome, Outcome::Complete | Outcome::NotRun);
        self.trace
            .finish(&self.parts.id, ending.outcome.as_str(), good);
        let event = match good {
            true => events::ENDED,
            false => events::ENDED_BADLY,
        };
        event.log(format_args!(
            "request={} service={} outcome={} tokens={} code={}",
            self.parts.id, self.parts.service.name, ending.outcome, ending.tokens, ending.code
        ));
        if self.parts.claimed {
            note_end(&self.shared, &self.parts.id, ending.outcome);
        }
        self.ending = Some(ending);
    }

    pub(super) fn hop(&mut self, hop: Hop) {
        self.trace.hop(hop, self.hop_start, Some(self.upstream()));
        self.hop_start = SystemTime::now();
    }
}

/// Notes the end of a request whose key was claimed. One that was not run gives
/// its key up, so that a repeat may run.
pub(in crate::request) fn note_end(shared: &Shared, request: &str, outcome: Outcome) {
    let progressed = match outcome {
        Outcome::NotRun => Progressed::GivenUp,
        outcome => Progressed::Ended(outcome),
    };
    shared.note_claimed(request, progressed);
}

/// When a caller may come back with a request that was not run. What the
/// upstream called wrong stays wrong.
pub(in crate::request) fn may_come_back(outcome: Outcome, code: &str) -> Option<Duration> {
    (outcome == Outcome::NotRun && code != REJECTED).then_some(COME_BACK)
}
