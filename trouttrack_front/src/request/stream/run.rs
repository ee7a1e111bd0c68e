//! A stream's way through its attempts.

use super::finish::{Finish, Stopped};
use super::output::Output;
use super::relay::Relayed;
use super::source::Source;
use crate::caller::Admitted;
use crate::request::EventReader;
use crate::request::attempt::{Attempt, AttemptFailure, handover};
use crate::request::end::End;
use crate::request::retry::Attempts;
use crate::request::submission::{is_short, submission};
use crate::request::suspicion::Suspicion;
use crate::state::{Front, InFlight, Ticket, Upstream};
use bytes::Bytes;
use std::rc::Rc;
use trouttrack_core::fleet::EngineSpec;
use trouttrack_core::request::{Delivery, Failure, Machine, Traits};
use trouttrack_core::{ServiceId, Time, UpstreamId};
use trouttrack_platform::AnswerHead;
use trouttrack_telemetry::{events, record};

/// One stream.
#[derive(Debug)]
pub(super) struct StreamRun {
    /// The front.
    pub(super) front: Rc<Front>,
    /// The request.
    pub(super) admitted: Rc<Admitted>,
    /// The service that was drawn for it.
    pub(super) service: ServiceId,
    /// The request's body.
    pub(super) body: Bytes,
    /// The caller's end.
    pub(super) output: Output,
    /// Cuts what comes into events.
    pub(super) reader: EventReader,
    /// The retry rule.
    pub(super) machine: Machine,
    /// Upstreams that it was placed on.
    avoid: Vec<UpstreamId>,
    /// The upstream that has the request now, or had it last.
    pub(super) at: Option<Rc<Upstream>>,
    /// When that upstream was given it.
    began_at: Time,
    /// What is known against the request.
    pub(super) suspicion: Suspicion,
    /// The attempts so far.
    pub(super) attempts: Attempts,
    /// An upstream may have begun to run it.
    pub(super) may_have_run: bool,
    /// The head to be sent with the first event.
    pub(super) head: Option<AnswerHead>,
    /// When the first event was passed on.
    pub(super) first_event_at: Option<Time>,
    /// Whether the end of the stream was marked: one that is not may be an upstream's.
    pub(super) end_marked: bool,
}

impl StreamRun {
    /// A run that has not begun.
    pub(super) fn new(
        front: Rc<Front>,
        admitted: Admitted,
        service: ServiceId,
        body: Bytes,
        output: Output,
    ) -> Self {
        let resumable = admitted.route.kind.repeatable();
        let traits = Traits {
            repeatable: resumable,
            resumable,
            delivery: Delivery::Stream,
        };
        Self {
            front,
            machine: Machine::new(traits, admitted.route.max_attempts),
            admitted: Rc::new(admitted),
            service,
            body,
            output,
            reader: EventReader::default(),
            avoid: Vec::new(),
            at: None,
            began_at: Time::ZERO,
            suspicion: Suspicion::default(),
            attempts: Attempts::default(),
            may_have_run: false,
            head: None,
            first_event_at: None,
            end_marked: false,
        }
    }

    /// Runs the stream to its end.
    pub(super) async fn run(mut self, in_flight: InFlight) {
        let caller = self.output.watcher();
        let deadline = self.front.clock.instant(self.admitted.deadline);
        let finish = tokio::select! {
            biased;
            () = caller.closed() => Finish::CallerLeft,
            finish = self.drive() => finish,
            () = tokio::time::sleep_until(deadline) => Finish::Ended(self.timed_out()),
        };
        self.finish(finish).await;
        drop(in_flight);
    }

    /// Makes attempts until the request ends.
    async fn drive(&mut self) -> Finish {
        loop {
            let failure = match self.attempt().await {
                Ok(()) => return Finish::Complete,
                Err(Stopped::Finished(finish)) => return finish,
                Err(Stopped::Failed(failure)) => failure,
            };
            if let Some(end) = self.end_after(failure) {
                return Finish::Ended(end);
            }
        }
    }

    /// One placing of the request, up to the end of its stream.
    async fn attempt(&mut self) -> Result<(), Stopped> {
        self.check_held()?;
        let submission = submission(&self.front, &self.admitted, &self.service, &self.avoid);
        let placed = self.front.scheduler.place(submission).await;
        let placed = placed.map_err(|refusal| {
            let end = End::refused(&refusal).unless_run(self.may_have_run);
            Stopped::Finished(Finish::Ended(end))
        })?;
        if !self.admitted.still_admitted(&self.front) {
            let end = End::not_run("keys cannot be confirmed").unless_run(self.may_have_run);
            return Err(Stopped::Finished(Finish::Ended(end)));
        }
        // Another VM may have told of it while it waited.
        self.check_held()?;
        let Some(upstream) = self.front.upstreams.get(&placed.upstream) else {
            self.attempts.unconnected += 1;
            return Err(AttemptFailure::new(Failure::NotConnected, "the upstream is gone").into());
        };
        self.front.metrics.decided(placed.loading, placed.known);
        record!(
            events::PLACED,
            request = self.admitted.head.id.as_str(),
            upstream = upstream.id.as_str(),
            route = self.admitted.route.name.as_str(),
            running = placed.running,
            loading_ms = placed.loading.as_millis() as u64,
            known_ms = placed.known.map(|age| age.as_millis() as u64),
            fill_percent = (placed.fill * 100.0) as u64,
            prompt_tokens = self.admitted.head.prompt_tokens,
            guessed_tokens = self.admitted.head.guessed_tokens,
            attempt = self.attempts.sent + 1,
        );
        self.at = Some(Rc::clone(&upstream));
        self.began_at = self.front.clock.now();
        self.avoid.push(upstream.id.clone());
        let ticket = Rc::new(placed.ticket);
        let outcome = self.stream_from(upstream, &ticket).await;
        self.account(&outcome, &ticket);
        drop(ticket);
        self.learn(&outcome).await;
        outcome
    }

    /// Ends the request if upstreams end when they run it.
    pub(super) fn check_held(&self) -> Result<(), End> {
        let held = self.suspicion.held(&self.front, &self.admitted, &self.body);
        held.map_or(Ok(()), |end| Err(end.unless_run(self.may_have_run)))
    }

    /// What an attempt says of the request.
    async fn learn(&self, outcome: &Result<(), Stopped>) {
        match (outcome, &self.at) {
            (Ok(()), _) if self.end_marked => {
                let (front, admitted) = (&self.front, &self.admitted);
                self.suspicion
                    .record_completed_run(front, admitted, &self.body);
            }
            (Err(Stopped::Failed(failure)), Some(at)) => self.learn_failed(at, failure).await,
            _ => {}
        }
    }

    /// What a failure at an upstream says of the request.
    pub(super) async fn learn_failed(&self, at: &Rc<Upstream>, failure: &AttemptFailure) {
        let (front, admitted) = (&self.front, &self.admitted);
        let learning = self
            .suspicion
            .failed(front, admitted, &self.body, at, failure);
        learning.await;
    }

    /// The id of the upstream that has the request now, or had it last.
    pub(super) fn at_id(&self) -> &str {
        self.at.as_ref().map_or("", |at| at.id.as_str())
    }

    /// Tells the tables what an attempt says of its upstream.
    fn account(&self, outcome: &Result<(), Stopped>, ticket: &Ticket) {
        match outcome {
            Ok(()) => ticket.complete(self.tokens()),
            Err(Stopped::Failed(failure)) => {
                let attempt = Attempt {
                    upstream: self.at_id(),
                    body: &self.body,
                    suspicion: &self.suspicion,
                    began_at: self.began_at,
                    events: self.reader.events(),
                };
                failure.report(&self.front, &self.admitted, &attempt);
                match failure.failure {
                    _ if failure.was_withdrawn() => {}
                    Failure::Refused => ticket.refused(),
                    Failure::NotConnected => ticket.unreachable(),
                    Failure::Lost if failure.lost_connection() => ticket.lost(),
                    Failure::Lost | Failure::Aborted => ticket.fault(),
                }
            }
            // It ends at once, so what fails has nothing running and would be taken for the
            // best one: of 40 streams beside an engine that serves, 24 failed, now 6.
            Err(Stopped::Finished(Finish::Answered(head, _))) if head.status.is_server_error() => {
                ticket.fault();
            }
            Err(Stopped::Finished(_)) => {}
        }
    }

    /// Sends the request to an upstream and passes its stream on, also where it
    /// goes on elsewhere.
    async fn stream_from(
        &mut self,
        upstream: Rc<Upstream>,
        ticket: &Rc<Ticket>,
    ) -> Result<(), Stopped> {
        let mut to = handover(&self.front, &self.admitted, &upstream);
        if let Some(last) = self.reader.last_id() {
            to.last_event = Some(last.to_owned());
        }
        let backup = self.backup(&upstream, ticket);
        to.backup_at = backup.as_ref().map(|b| b.addr);
        let sent = self.send(&upstream, &to).await?;
        let mut source = Source::new(upstream, sent, backup);
        self.reader.goes_on();
        loop {
            match self.relay(&mut source, ticket).await? {
                Relayed::Complete => return Ok(()),
                Relayed::GoesOn(next) => source = *next,
            }
        }
    }

    /// Events were passed on.
    pub(super) fn delivered(&mut self) {
        if self.first_event_at.is_none() {
            self.first_event_at = Some(self.front.clock.now());
            self.machine.token();
        }
    }

    /// Tokens written so far.
    pub(super) fn tokens(&self) -> u64 {
        let per_event = self.engine().map_or(1, |e| e.tokens_per_event);
        self.reader.events() * per_event
    }

    /// What the service's engines can do.
    pub(super) fn engine(&self) -> Option<&EngineSpec> {
        let service = self.admitted.table.service(&self.service)?;
        service.engine.as_ref()
    }

    /// The engine that is to keep a copy of the memory, if there is room.
    pub(super) fn backup(&self, upstream: &Upstream, ticket: &Ticket) -> Option<Rc<Upstream>> {
        let below = self.front.serving.backup_below;
        let able = self.engine().is_some_and(|e| e.backups);
        if below <= 0.0 || !able || is_short(&self.admitted) {
            return None;
        }
        let avoid = [upstream.id.clone()];
        let target = ticket.target(&upstream.failure_domain, &avoid)?;
        if target.fill > below {
            return None;
        }
        self.front.upstreams.get(&target.upstream)
    }
}
