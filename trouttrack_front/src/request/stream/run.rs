//! Drives a stream through its attempts.

use super::finish::{AttemptError, StreamEnd};
use super::output::Output;
use super::pace::EventPace;
use super::relay::RelayEnd;
use super::resume::Begin;
use super::source::Source;
use crate::caller::Admitted;
use crate::request::EventReader;
use crate::request::attempt::{AttemptFailure, FailedAttempt, handover};
use crate::request::end::End;
use crate::request::quarantine::{QuarantineCheck, SentRequest};
use crate::request::retry::AttemptCounts;
use crate::request::submission::{build_submission, is_short};
use crate::state::{Front, HeldBytes, InFlight, Ticket, Upstream};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::fleet::EngineSpec;
use trouttrack_core::request::{Delivery, Failure, Machine, Traits};
use trouttrack_core::routing::Prediction;
use trouttrack_core::{ServiceId, SoftwareVersion, Time, UpstreamId};
use trouttrack_platform::AnswerHead;
use trouttrack_telemetry::{events, record};

/// State of a stream.
#[derive(Debug)]
pub(super) struct StreamRun {
    pub(super) front: Rc<Front>,
    pub(super) admitted: Rc<Admitted>,
    /// Service selected from the route.
    pub(super) service: ServiceId,
    /// Version of the software that began the stream, the only one that may go on with it; `None`
    /// before its first event.
    pub(super) version: Option<SoftwareVersion>,
    /// Whether the version is recorded for callers that return.
    pub(super) origin_recorded: bool,
    /// Request body.
    pub(super) body: Bytes,
    pub(super) output: Output,
    pub(super) reader: EventReader,
    /// State of the retry rule.
    pub(super) machine: Machine,
    /// Upstreams that were already tried.
    pub(super) avoid: Vec<UpstreamId>,
    /// Upstream of the latest attempt.
    pub(super) current: Option<Rc<Upstream>>,
    /// Start of the latest attempt.
    attempt_started_at: Time,
    /// Prediction for the latest attempt; unknown once it continued at
    /// another upstream.
    pub(super) predicted: Prediction,
    pub(super) quarantine: QuarantineCheck,
    pub(super) attempts: AttemptCounts,
    /// Whether an upstream may have begun to run the request.
    pub(super) may_have_run: bool,
    /// Head of the first upstream, if the stream was continued before its first event.
    pub(super) head: Option<AnswerHead>,
    /// Time at which the first event was forwarded.
    pub(super) first_event_at: Option<Time>,
    /// Pauses between the events.
    pub(super) pace: EventPace,
    /// Whether the body was framed. Without framing, the exit of the upstream cannot be told
    /// from the end of the stream.
    pub(super) framed: bool,
    /// Bytes after the last complete event at the end of the stream.
    pub(super) partial_bytes: usize,
}

impl StreamRun {
    pub(super) fn new(
        front: Rc<Front>,
        admitted: Admitted,
        begin: Begin,
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
            service: begin.service,
            version: begin.version,
            origin_recorded: false,
            body,
            output,
            reader: EventReader::default(),
            avoid: Vec::new(),
            current: None,
            attempt_started_at: Time::ZERO,
            predicted: Prediction::UNKNOWN,
            quarantine: QuarantineCheck::default(),
            attempts: AttemptCounts::default(),
            may_have_run: false,
            head: None,
            first_event_at: None,
            pace: EventPace::default(),
            framed: false,
            partial_bytes: 0,
        }
    }

    /// Runs the stream until it ends, its caller disconnects or its deadline expires.
    pub(super) async fn run(mut self, guards: (InFlight, Rc<HeldBytes>)) {
        let front = Rc::clone(&self.front);
        let caller = self.output.disconnect_watcher();
        let deadline = front.clock.instant(self.admitted.deadline);
        let finish = tokio::select! {
            biased;
            () = caller.closed() => self.disconnected(),
            finish = self.run_attempts() => finish,
            () = tokio::time::sleep_until(deadline) => StreamEnd::Ended(self.timed_out()),
            () = front.lifecycle.exiting() => StreamEnd::Ended(self.exited()),
        };
        self.finish(finish).await;
        drop(guards);
    }

    /// Outcome when the caller's connection is closed, by the caller or by this VM.
    pub(super) fn disconnected(&self) -> StreamEnd {
        match self.output.reader_ended() {
            true => StreamEnd::Ended(End::Uncertain {
                reason: "the caller read too slowly",
                timed_out: false,
            }),
            false => StreamEnd::CallerDisconnected,
        }
    }

    /// Makes attempts until the request ends.
    async fn run_attempts(&mut self) -> StreamEnd {
        loop {
            let failure = match self.attempt().await {
                Ok(()) => return StreamEnd::Complete,
                Err(AttemptError::Finished(end)) => return end,
                Err(AttemptError::Failed(failure)) => failure,
            };
            if let Some(end) = self.end_after_failure(failure) {
                return StreamEnd::Ended(end);
            }
        }
    }

    /// Makes one attempt: placement, forwarding of the stream and accounting.
    async fn attempt(&mut self) -> Result<(), AttemptError> {
        self.check_quarantine()?;
        let avoid = self.attempts.avoided(&self.front, &self.avoid);
        let submission = build_submission(
            &self.front,
            &self.admitted,
            &self.service,
            self.version.as_ref(),
            &avoid,
        );
        let placed = tokio::select! {
            biased;
            end = End::stopping(&self.front, self.admitted.deadline), if !self.may_have_run => {
                return Err(end.into());
            }
            placed = self.front.scheduler.place(submission) => placed,
            end = self.quarantine.quarantined(&self.front, &self.admitted, &self.body) => {
                return Err(end.uncertain_if_run(self.may_have_run).into());
            }
        };
        let placed = placed.map_err(|refusal| {
            let end = End::refused(&self.front, &self.service, &refusal)
                .uncertain_if_run(self.may_have_run);
            AttemptError::Finished(StreamEnd::Ended(end))
        })?;
        if !self.admitted.still_admitted(&self.front) {
            let end = End::not_run("keys cannot be confirmed").uncertain_if_run(self.may_have_run);
            return Err(AttemptError::Finished(StreamEnd::Ended(end)));
        }
        // Another VM may have reported the request while it was queued.
        self.check_quarantine()?;
        let Some(upstream) = self.front.upstreams.get(&placed.upstream) else {
            self.avoid.push(placed.upstream);
            let failure = AttemptFailure::new(Failure::NotConnected, "the upstream is gone");
            self.attempts.count_missing();
            return Err(failure.into());
        };
        self.front.metrics.decided(placed.loading, placed.known);
        record!(
            events::PLACED,
            request = self.admitted.head.id.as_str(),
            upstream = upstream.id.as_str(),
            version = upstream.version(),
            resumes = self.admitted.head.resumes.as_deref(),
            last_event = self.admitted.head.last_event.as_deref(),
            route = self.admitted.route.name.as_str(),
            running = placed.running,
            loading_ms = placed.loading.as_millis() as u64,
            waited_ms = placed.waited.as_millis() as u64,
            left_room = placed.left_room,
            known_ms = placed.known.map(|age| age.as_millis() as u64),
            predicted_first_ms = placed.prediction.first_token.as_millis() as u64,
            predicted_gap_ms = placed
                .prediction
                .event_gap
                .map(|gap| gap.as_millis() as u64),
            slowdown_percent = (placed.prediction.slowdown * 100.0) as u64,
            harm_percent = (placed.prediction.excess.harm * 100.0) as u64,
            fill_percent = (placed.fill * 100.0) as u64,
            prompt_tokens = self.admitted.head.prompt_tokens,
            guessed_tokens = self.admitted.head.guessed_tokens,
            attempt = self.attempts.sent + 1,
        );
        self.current = Some(Rc::clone(&upstream));
        self.attempt_started_at = self.front.clock.now();
        self.predicted = placed.prediction;
        self.avoid.push(upstream.id.clone());
        let ticket = Rc::new(placed.ticket);
        let outcome = self.run_at(upstream, &ticket).await;
        // Before the outcome is reported, because it finds out whether this VM's path is at fault.
        self.update_quarantine(&outcome).await;
        self.record_outcome(&outcome, &ticket);
        drop(ticket);
        outcome
    }

    /// Ends the request if it is quarantined.
    pub(super) fn check_quarantine(&self) -> Result<(), End> {
        let quarantined = self
            .quarantine
            .check(&self.front, &self.admitted, &self.body);
        quarantined.map_or(Ok(()), |end| Err(end.uncertain_if_run(self.may_have_run)))
    }

    /// Updates the quarantine record of the request from the result of an attempt.
    async fn update_quarantine(&self, outcome: &Result<(), AttemptError>) {
        match (outcome, &self.current) {
            (Ok(()), _) if self.framed => {
                let (front, admitted) = (&self.front, &self.admitted);
                self.quarantine.record_run(front, admitted, &self.body);
            }
            (Err(AttemptError::Failed(failure)), Some(at)) => self.on_failure(at, failure).await,
            _ => {}
        }
    }

    /// Updates the quarantine record of the request after a failure at an upstream.
    pub(super) async fn on_failure(&self, upstream: &Rc<Upstream>, failure: &AttemptFailure) {
        let request = SentRequest {
            front: &self.front,
            admitted: &self.admitted,
            body: &self.body,
        };
        let update =
            self.quarantine
                .record_failure(request, upstream, self.attempt_started_at, failure);
        update.await;
    }

    /// Id of the upstream of the latest attempt; empty before the first one.
    pub(super) fn current_id(&self) -> &str {
        self.current
            .as_ref()
            .map_or("", |current| current.id.as_str())
    }

    /// Reports the result of an attempt to the scheduler.
    fn record_outcome(&self, outcome: &Result<(), AttemptError>, ticket: &Ticket) {
        match outcome {
            Ok(()) => ticket.complete(self.tokens()),
            Err(AttemptError::Failed(failure)) => {
                let attempt = FailedAttempt {
                    upstream: self.current_id(),
                    body: &self.body,
                    quarantine: &self.quarantine,
                    started_at: self.attempt_started_at,
                    events: self.reader.events(),
                };
                failure.report(&self.front, &self.admitted, &attempt);
                if let Some(current) = &self.current {
                    let is_suspect = self.front.paths.is_suspect(current.addr);
                    failure.blame(current, ticket, is_suspect);
                }
            }
            // A failing engine responds at once, so it has nothing running and would look like
            // the best candidate.
            Err(AttemptError::Finished(StreamEnd::Response(head, _)))
                if head.status.is_server_error() =>
            {
                ticket.fault();
            }
            Err(AttemptError::Finished(_)) => {}
        }
    }

    /// Sends the request to an upstream and forwards its stream, following it to other
    /// upstreams if the generation is moved.
    async fn run_at(
        &mut self,
        upstream: Rc<Upstream>,
        ticket: &Rc<Ticket>,
    ) -> Result<(), AttemptError> {
        let mut to = handover(&self.front, &self.admitted, &upstream);
        if let Some(last) = self.reader.last_id() {
            to.last_event = Some(last.to_owned());
        }
        let select_backup = self.select_backup(&upstream, ticket);
        to.backup_at = select_backup.as_ref().map(|b| b.addr);
        let sent = self.send(&upstream, &to).await?;
        self.pace.change_upstream();
        self.quarantine.change_upstream();
        let mut source = Source::new(upstream, sent, select_backup);
        self.reader.skip_delivered();
        loop {
            match self.relay(&mut source, ticket).await? {
                RelayEnd::Complete => return Ok(()),
                RelayEnd::Continued(next) => source = *next,
            }
        }
    }

    /// Time since the start of the latest attempt.
    pub(super) fn attempt_age(&self, now: Time) -> Duration {
        now.saturating_sub(self.attempt_started_at)
    }

    /// Records that events were forwarded.
    pub(super) fn mark_first_event(&mut self) {
        if self.first_event_at.is_none() {
            let now = self.front.clock.now();
            let waited = now.saturating_sub(self.attempt_started_at);
            let predicted = self.predicted.first_token;
            self.front
                .metrics
                .first_token_error
                .observe(predicted, waited);
            self.first_event_at = Some(now);
            self.machine.token();
        }
    }

    /// Records the error of the predicted mean time between two events.
    pub(super) fn record_gap_error(&self) {
        let gaps = self.reader.events().saturating_sub(1) as u32;
        if let (Some(predicted), Some(first)) = (self.predicted.event_gap, self.first_event_at)
            && gaps > 0
        {
            let mean = self.front.clock.now().saturating_sub(first) / gaps;
            self.front.metrics.event_gap_error.observe(predicted, mean);
        }
    }

    /// Number of tokens forwarded so far, estimated from the events.
    pub(super) fn tokens(&self) -> u64 {
        let per_event = self.engine_spec().map_or(1, |e| e.tokens_per_event);
        self.reader.events() * per_event
    }

    /// Capabilities of the engines of the service.
    pub(super) fn engine_spec(&self) -> Option<&EngineSpec> {
        let service = self.admitted.table.service(&self.service)?;
        service.engine.as_ref()
    }

    /// Selects an engine to keep a copy of the KV cache, if one has room below the configured
    /// fill level.
    pub(super) fn select_backup(
        &self,
        upstream: &Upstream,
        ticket: &Ticket,
    ) -> Option<Rc<Upstream>> {
        let max_fill = self.front.serving.backup_below;
        let supported = self.engine_spec().is_some_and(|e| e.backups);
        if max_fill <= 0.0 || !supported || is_short(&self.admitted) {
            return None;
        }
        let avoid = [upstream.id.clone()];
        let target = ticket.target(&upstream.failure_domain, upstream.version(), &avoid)?;
        if target.fill > max_fill {
            return None;
        }
        let target = self.front.upstreams.get(&target.upstream)?;
        target.runs_version_of(upstream).then_some(target)
    }
}
