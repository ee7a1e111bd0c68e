//! Drives one completion from the queue to its end.

mod ending;
mod frames;
mod hand_over;
mod recover;

pub use ending::Ending;
pub(crate) use ending::REJECTED;
pub(super) use ending::{may_come_back, note_end};

use super::attempt::{Attempt, Read};
use super::body::{Ask, Face};
use super::client::{Clients, Target};
use super::handle::Handle;
use crate::app::{InFlightGuard, Shared};
use crate::dispatch::Ticket;
use crate::metrics::StreamMetrics;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use trouttrack_config::fleet::{Priority, Service};
use trouttrack_core::request::{Cursor, Delivery, Failure, Machine, Traits};
use trouttrack_core::{OrganisationId, RequestId, TokenIndex};
use trouttrack_telemetry::events;
use trouttrack_telemetry::trace::RequestTrace;

/// What the next step of a session brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Tokens to pass on, in order.
    Tokens(Vec<(TokenIndex, String)>),
    /// The end; nothing follows.
    End(Ending),
}

/// What a session is about.
#[derive(Clone, Debug)]
pub struct SessionParts {
    /// The id that the caller was given.
    pub id: RequestId,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// The organisation's weight.
    pub weight: f64,
    /// The organisation's limit.
    pub max_running: Option<usize>,
    /// The service.
    pub service: Service,
    /// How urgent it is.
    pub priority: Priority,
    /// What was asked; `None` when a caller comes back.
    pub ask: Option<Ask>,
    /// Whether it won the claim of an idempotency key.
    pub claimed: bool,
    /// When it arrived.
    pub arrived: Instant,
}

#[derive(Debug)]
struct Placed {
    target: Target,
    boot: Option<String>,
    ticket: Option<Ticket>,
}

#[derive(Debug)]
struct Broken {
    failure: Failure,
    detail: String,
    silent: bool,
}

/// One completion in progress.
#[derive(Debug)]
pub struct Session {
    shared: Arc<Shared>,
    clients: Clients,
    parts: SessionParts,
    machine: Machine,
    cursor: Cursor,
    placed: Option<Placed>,
    attempt: Option<Box<Attempt>>,
    broken: Option<Broken>,
    avoid: Vec<String>,
    again: bool,
    resumes: u32,
    held: Vec<(TokenIndex, String)>,
    reads: Vec<Read>,
    ending: Option<Ending>,
    trace: RequestTrace,
    metrics: StreamMetrics,
    last_token: Option<Instant>,
    hop_start: SystemTime,
    _in_flight: InFlightGuard,
}

impl Session {
    /// A session for a new request.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        clients: Clients,
        parts: SessionParts,
        trace: RequestTrace,
    ) -> Self {
        let traits = Traits {
            repeatable: parts.service.repeatable,
            resumable: true,
            delivery: parts.service.delivery,
        };
        Self {
            machine: Machine::new(traits, clients.limits.attempts),
            cursor: Cursor::new(String::new()),
            metrics: shared.metrics.stream(&parts.service.name),
            _in_flight: InFlightGuard::new(&shared),
            shared,
            clients,
            parts,
            placed: None,
            attempt: None,
            broken: None,
            avoid: Vec::new(),
            again: false,
            resumes: 0,
            held: Vec::new(),
            reads: Vec::new(),
            ending: None,
            trace,
            last_token: None,
            hop_start: SystemTime::now(),
        }
    }

    /// A session for a caller that comes back with a handle and goes on after
    /// `next - 1`. It only ever attaches to that stream.
    #[must_use]
    pub fn returning(
        shared: Arc<Shared>,
        clients: Clients,
        parts: SessionParts,
        trace: RequestTrace,
        handle: &Handle,
        next: TokenIndex,
        target: Target,
    ) -> Self {
        let mut session = Self::new(shared, clients, parts, trace);
        session.cursor = Cursor::resumed(handle.stream.clone(), handle.generation, next);
        session.machine.handed_over();
        session.machine.token();
        session.placed = Some(Placed {
            target,
            boot: None,
            ticket: None,
        });
        session.broken = Some(Broken {
            failure: Failure::Lost,
            detail: "the caller came back".to_owned(),
            silent: false,
        });
        session
    }

    /// The handle by which the caller can come back, once tokens have come.
    #[must_use]
    pub fn handle(&self) -> Option<String> {
        let placed = self.placed.as_ref()?;
        let handle = Handle {
            request: self.parts.id.clone(),
            organisation: self.parts.organisation.clone(),
            service: self.parts.service.name.clone(),
            upstream: placed.target.name.clone(),
            stream: self.cursor.stream().to_owned(),
            generation: self.cursor.generation()?,
            chat: self.face() == Face::Chat,
        };
        Some(self.shared.sealer.seal(&handle))
    }

    fn face(&self) -> Face {
        self.parts.ask.as_ref().map_or(Face::Completion, |a| a.face)
    }

    /// What the session is about.
    #[must_use]
    pub fn parts(&self) -> &SessionParts {
        &self.parts
    }

    /// Waits for tokens to pass on, or for the end.
    pub async fn next(&mut self) -> Progress {
        loop {
            if let Some(ending) = &self.ending {
                return Progress::End(ending.clone());
            }
            if let Some(broken) = self.broken.take() {
                self.recover(broken).await;
            } else if self.attempt.is_none() {
                self.hand_over().await;
            } else {
                let tokens = self.read().await;
                if !tokens.is_empty() {
                    return Progress::Tokens(tokens);
                }
            }
        }
    }

    fn upstream(&self) -> &str {
        self.placed.as_ref().map_or("", |p| &p.target.name)
    }
}

impl Drop for Session {
    /// The caller went away. A stream that it has a part of runs on for a
    /// while, so that it can come back; anything else is cancelled.
    fn drop(&mut self) {
        if self.ending.is_some() {
            return;
        }
        if self.placed.is_none() {
            let outcome = self.machine.give_up();
            if self.parts.claimed {
                note_end(&self.shared, &self.parts.id, outcome);
            }
            return;
        }
        events::CALLER_GONE.log(format_args!(
            "request={} after_token={}",
            self.parts.id,
            self.cursor.next()
        ));
        let can_return = self.parts.service.delivery == Delivery::Stream && self.cursor.next() > 0;
        let after = match can_return {
            true => self.shared.settings.caller.reconnect_grace,
            false => Duration::ZERO,
        };
        self.cancel_in_background(after, true);
        self.trace.finish(&self.parts.id, "caller-gone", true);
    }
}
