//! Drives one completion from the queue to its end.

use super::attempt::{Attempt, Opened, Read};
use super::body::{Ask, Face};
use super::client::{Clients, Target};
use super::handle::Handle;
use crate::app::{InFlightGuard, Shared};
use crate::canceller::CancelStream;
use crate::claims::Progressed;
use crate::dispatch::Ticket;
use crate::metrics::StreamMetrics;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use trouttrack_config::fleet::{Priority, Service};
use trouttrack_core::request::{
    Cursor, Delivery, Failure, FrameError, Machine, Step, StepResult, Token, Traits,
};
use trouttrack_core::world::NotRunReason;
use trouttrack_core::{OrganisationId, Outcome, RequestId, TokenIndex};
use trouttrack_telemetry::events;
use trouttrack_telemetry::trace::{Hop, RequestTrace};
use uuid::Uuid;

/// The first pause before attaching again; it doubles.
const RESUME_PAUSE: Duration = Duration::from_millis(25);
/// The longest pause before attaching again.
const LONGEST_RESUME_PAUSE: Duration = Duration::from_millis(800);

/// Tokens between two reports of a stream's progress to the tables.
const PROGRESS: u64 = 32;
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

enum Taken {
    Token(TokenIndex, String),
    Nothing,
    Complete(String),
    Broken(Broken),
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

    /// Reads from the open stream. Returns what may be passed on now.
    async fn read(&mut self) -> Vec<(TokenIndex, String)> {
        let patience = match self.cursor.next() {
            0 => self.clients.limits.first_token,
            _ => self.clients.limits.token_gap,
        };
        let mut reads = std::mem::take(&mut self.reads);
        if let Some(attempt) = &mut self.attempt {
            attempt.read(patience, &mut reads).await;
        }
        let mut tokens = Vec::new();
        let mut complete = None;
        for read in reads.drain(..) {
            match self.take(read) {
                Taken::Token(index, text) => tokens.push((index, text)),
                Taken::Nothing => {}
                Taken::Complete(reason) => {
                    complete = Some(reason);
                    break;
                }
                Taken::Broken(broken) => {
                    self.broken = Some(broken);
                    self.attempt = None;
                    break;
                }
            }
        }
        self.reads = reads;
        self.note_tokens(tokens.len());
        if self.parts.service.delivery == Delivery::Whole {
            self.held.append(&mut tokens);
        }
        if let Some(reason) = complete {
            self.complete(reason);
            tokens.append(&mut self.held);
        }
        tokens
    }

    fn note_tokens(&mut self, count: usize) {
        if count == 0 {
            return;
        }
        let now = Instant::now();
        if self.last_token.is_none() {
            self.metrics.first(now.duration_since(self.parts.arrived));
            self.hop(Hop::FirstToken);
            self.note_stream();
        }
        let gap = self.last_token.map(|t| now.duration_since(t));
        self.metrics.tokens(count as u64, gap);
        self.last_token = Some(now);
        self.resumes = 0;
        self.note_progress(count as u64);
    }

    /// Tells the tables every so often how far the stream is.
    fn note_progress(&self, count: u64) {
        let (now, before) = (self.cursor.next(), self.cursor.next() - count);
        if now / PROGRESS != before / PROGRESS
            && let Some(ticket) = self.placed.as_ref().and_then(|p| p.ticket.as_ref())
        {
            ticket.progress(now);
        }
    }

    /// A repeat with the same key may attach to the stream from now on.
    fn note_stream(&self) {
        if self.parts.claimed
            && let Some(handle) = self.handle()
        {
            let progressed = Progressed::Stream(handle);
            self.shared.note_claimed(&self.parts.id, progressed);
        }
    }

    /// Checks one frame.
    fn take(&mut self, read: Read) -> Taken {
        match read {
            Read::Token {
                stream,
                generation,
                index,
                text,
            } => {
                let token = Token {
                    stream: &stream,
                    generation,
                    index,
                };
                match self.cursor.accept(token) {
                    Ok(true) => {
                        self.machine.token();
                        Taken::Token(index, text)
                    }
                    Ok(false) => {
                        self.shared.metrics.frame_refused("duplicate");
                        Taken::Nothing
                    }
                    Err(e) => self.bad_frame(&e),
                }
            }
            Read::End {
                stream,
                generation,
                tokens,
                reason,
            } => {
                let aborted = reason == "abort";
                match self.cursor.finish(&stream, generation, tokens) {
                    Ok(()) if aborted => Taken::Broken(Broken {
                        failure: Failure::Aborted,
                        detail: "the engine ended the generation".to_owned(),
                        silent: false,
                    }),
                    Ok(()) => Taken::Complete(reason),
                    Err(e) => self.bad_frame(&e),
                }
            }
            Read::Silent => {
                events::UPSTREAM_SILENT.log(format_args!(
                    "request={} upstream={} after_token={}",
                    self.parts.id,
                    self.upstream(),
                    self.cursor.next()
                ));
                Taken::Broken(Broken {
                    failure: Failure::Lost,
                    detail: "the upstream went silent".to_owned(),
                    silent: true,
                })
            }
            Read::Lost(detail) => {
                events::UPSTREAM_LOST.log(format_args!(
                    "request={} upstream={} after_token={}: {detail}",
                    self.parts.id,
                    self.upstream(),
                    self.cursor.next()
                ));
                Taken::Broken(Broken {
                    failure: Failure::Lost,
                    detail,
                    silent: false,
                })
            }
        }
    }

    fn bad_frame(&mut self, e: &FrameError) -> Taken {
        let reason = match e {
            FrameError::Crossed { .. } => "crossed",
            FrameError::OtherGeneration { .. } => "other-generation",
            FrameError::Gap { .. } => "gap",
            _ => "other",
        };
        self.shared.metrics.frame_refused(reason);
        events::FRAME_REFUSED.log(format_args!(
            "request={} upstream={} reason={reason}: {e}",
            self.parts.id,
            self.upstream()
        ));
        Taken::Broken(Broken {
            failure: Failure::Lost,
            detail: e.to_string(),
            silent: false,
        })
    }

    fn upstream(&self) -> &str {
        self.placed.as_ref().map_or("", |p| &p.target.name)
    }

    /// Waits to be placed and hands the request over.
    async fn hand_over(&mut self) {
        let placement = match self.place().await {
            Ok(placement) => placement,
            Err(refusal) => return self.refused(refusal.reason, refusal.retry_after),
        };
        let view = self.shared.view();
        let Some(upstream) = view.upstream(&placement.upstream) else {
            // The configuration changed in between; the ticket gives itself back.
            self.again = true;
            self.avoid.push(placement.upstream);
            return;
        };
        let target = Target::from(upstream);
        self.placed = Some(Placed {
            target: target.clone(),
            boot: placement.boot,
            ticket: Some(placement.ticket),
        });
        self.hop(Hop::Queue);
        let stream = Uuid::new_v4().to_string();
        self.cursor = Cursor::new(stream.clone());
        self.machine.handed_over();
        let Some(body) = self.engine_body(&stream) else {
            return;
        };
        let traceparent = self.trace.traceparent();
        let path = self.face().path();
        let opened =
            Attempt::submit(&self.clients, &target, path, traceparent.as_deref(), body).await;
        self.hop(Hop::HandOver);
        self.opened(opened);
    }

    fn engine_body(&self, stream: &str) -> Option<bytes::Bytes> {
        let ask = self.parts.ask.as_ref()?;
        let service = &self.parts.service;
        let max_tokens = ask.max_tokens.unwrap_or(service.max_tokens);
        let max_tokens = max_tokens.min(service.max_tokens);
        let class = self.parts.priority.class();
        Some(ask.to_engine(&service.model, stream, class, max_tokens))
    }

    async fn place(&mut self) -> Result<crate::dispatch::Placement, crate::dispatch::Refusal> {
        let tokens = self.parts.ask.as_ref().map_or(0, |a| a.prompt_tokens);
        let submission = self
            .shared
            .submission(&self.parts, tokens, self.avoid.clone());
        let placement = self.shared.place(submission, self.again).await?;
        let waited = self.parts.arrived.elapsed();
        self.shared.metrics.placed(&self.parts.service.name, waited);
        Ok(placement)
    }

    fn opened(&mut self, opened: Opened) {
        let (failure, detail) = match opened {
            Opened::Stream(attempt) => {
                self.attempt = Some(attempt);
                return;
            }
            Opened::Rejected(detail) => {
                let outcome = self.machine.rejected();
                return self.end(outcome, REJECTED, &detail);
            }
            Opened::NotConnected(detail) => (Failure::NotConnected, detail),
            Opened::Refused(detail) => (Failure::Refused, detail),
            Opened::Known => (Failure::Lost, "the stream id is known".to_owned()),
            Opened::Unknown => (Failure::Lost, "the stream is not known".to_owned()),
            Opened::Lost(detail) => (Failure::Lost, detail),
        };
        self.broken = Some(Broken {
            failure,
            detail,
            silent: false,
        });
    }

    /// Carries out the steps of the retry rule until one helps.
    async fn recover(&mut self, broken: Broken) {
        self.attempt = None;
        let mut result = self.machine.failed(broken.failure);
        loop {
            result = match result {
                StepResult::Ended(outcome) => {
                    self.give_back(broken.failure);
                    let code = match outcome {
                        Outcome::NotRun => "no_upstream_ran_it",
                        other => other.as_str(),
                    };
                    return self.end(outcome, code, &broken.detail);
                }
                StepResult::Try(Step::Resume) => {
                    if self.resume(broken.silent).await {
                        return;
                    }
                    self.machine.step_failed()
                }
                StepResult::Try(Step::FenceThenElsewhere) => {
                    if self.fence().await {
                        self.machine.fenced()
                    } else {
                        self.machine.step_failed()
                    }
                }
                StepResult::Try(Step::RunAgain) => {
                    self.shared.metrics.recovered("run-again");
                    events::RUN_AGAIN.log(format_args!(
                        "request={} upstream={}: {}",
                        self.parts.id,
                        self.upstream(),
                        broken.detail
                    ));
                    self.cancel_in_background(Duration::ZERO, false);
                    return self.go_elsewhere(broken.failure);
                }
                StepResult::Try(Step::Elsewhere | Step::End(_)) => {
                    self.shared.metrics.recovered("elsewhere");
                    return self.go_elsewhere(broken.failure);
                }
            };
        }
    }

    fn go_elsewhere(&mut self, failure: Failure) {
        self.avoid.push(self.upstream().to_owned());
        self.give_back(failure);
        self.held.clear();
        self.last_token = None;
        self.again = true;
        self.resumes = 0;
    }

    fn give_back(&mut self, failure: Failure) {
        let ticket = self.placed.take().and_then(|p| p.ticket);
        if let Some(ticket) = ticket
            && failure != Failure::Refused
        {
            ticket.fault();
        }
    }

    /// Attaches to the stream again, several times if need be.
    async fn resume(&mut self, silent: bool) -> bool {
        let Some(target) = self.placed.as_ref().map(|p| p.target.clone()) else {
            return false;
        };
        self.hop_start = SystemTime::now();
        let mut pause = RESUME_PAUSE;
        // A stream that is merely slow answers the probe and costs nothing.
        let mut counts = !silent;
        loop {
            if counts {
                self.resumes += 1;
            }
            if self.resumes > self.clients.limits.resumes {
                return false;
            }
            counts = true;
            let stream = self.cursor.stream().to_owned();
            let from = self.cursor.next();
            match Attempt::attach(&self.clients, &target, &stream, from).await {
                Opened::Stream(attempt) => {
                    self.attempt = Some(attempt);
                    self.shared.metrics.recovered("resume");
                    self.hop(Hop::Resume);
                    events::STREAM_RESUMED.log(format_args!(
                        "request={} upstream={} from_token={from}",
                        self.parts.id, target.name
                    ));
                    return true;
                }
                Opened::Unknown | Opened::Rejected(_) => return false,
                Opened::NotConnected(_) | Opened::Refused(_) | Opened::Known | Opened::Lost(_) => {}
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_RESUME_PAUSE);
        }
    }

    /// Makes sure that the stream id never runs, if it has not run.
    async fn fence(&mut self) -> bool {
        let Some(placed) = &self.placed else {
            return false;
        };
        // Without a known incarnation, a restart in between could hide a run.
        let Some(boot) = &placed.boot else {
            return false;
        };
        let stream = self.cursor.stream();
        let answer = Attempt::cancel(&self.clients, &placed.target, stream, false).await;
        let fenced = answer.is_ok_and(|c| !c.ran && c.boot == *boot);
        if fenced {
            self.shared.metrics.recovered("fence");
            events::FENCED.log(format_args!(
                "request={} upstream={} stream={stream}",
                self.parts.id, placed.target.name
            ));
        }
        fenced
    }

    /// Has the stream cancelled; the ticket is kept until then.
    fn cancel_in_background(&mut self, after: Duration, only_unread: bool) {
        let Some(placed) = &mut self.placed else {
            return;
        };
        self.shared.canceller.do_send(CancelStream {
            target: placed.target.clone(),
            stream: self.cursor.stream().to_owned(),
            after,
            only_unread,
            ticket: match only_unread {
                true => placed.ticket.take(),
                false => None,
            },
        });
    }

    fn refused(&mut self, reason: NotRunReason, retry_after: Duration) {
        let (code, detail) = match reason {
            NotRunReason::QueueFull => ("overloaded", "too many requests wait"),
            NotRunReason::Deadline => ("not_placed_in_time", "no upstream had room in time"),
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

    fn complete(&mut self, reason: String) {
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

    fn end(&mut self, outcome: Outcome, code: &'static str, detail: &str) {
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

    fn hop(&mut self, hop: Hop) {
        self.trace.hop(hop, self.hop_start, Some(self.upstream()));
        self.hop_start = SystemTime::now();
    }
}

/// Notes the end of a request whose key was claimed. One that was not run gives
/// its key up, so that a repeat may run.
pub(super) fn note_end(shared: &Shared, request: &str, outcome: Outcome) {
    let progressed = match outcome {
        Outcome::NotRun => Progressed::GivenUp,
        outcome => Progressed::Ended(outcome),
    };
    shared.note_claimed(request, progressed);
}

/// When a caller may come back with a request that was not run. What the
/// upstream called wrong stays wrong.
pub(super) fn may_come_back(outcome: Outcome, code: &str) -> Option<Duration> {
    (outcome == Outcome::NotRun && code != REJECTED).then_some(COME_BACK)
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
