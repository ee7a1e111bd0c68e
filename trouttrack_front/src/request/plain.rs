//! Plain calls: the response is buffered completely before it is forwarded.

use super::attempt::{AttemptFailure, FailedAttempt, UPSTREAM_SLOW, check_path, handover, send};
use super::end::{End, ForwardedResponse, record_forwarded};
use super::quarantine::{QuarantineCheck, SentRequest};
use super::retry::{AttemptCounts, end_without_retry, is_attempt};
use super::submission::build_submission;
use crate::caller::{Admitted, Reply};
use crate::state::{Front, HeldBytes, Ticket, Upstream};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::fleet::RouteKind;
use trouttrack_core::request::{Delivery, Failure, Machine, StepResult, Traits};
use trouttrack_core::upstream::RateSample;
use trouttrack_core::{ServiceId, Time, UpstreamId};
use trouttrack_platform::AnswerHead;
use trouttrack_telemetry::{events, record};

/// Largest response body that is buffered. Responses of plain services have a few kilobytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Fraction of the objective that an attempt may take while another one is possible. The
/// rest is usually enough for a complete call.
const FIRST_ATTEMPT_FRACTION: f64 = 0.5;

/// Serves a request.
pub(crate) async fn serve(front: &Rc<Front>, admitted: Admitted, body: Bytes) -> Reply {
    let Some(service) = admitted.route.sample_service(&mut rand::rng()).cloned() else {
        return End::not_run("the route has no service").reply(front, &admitted, 0);
    };
    let deadline = front.clock.instant(admitted.deadline);
    let mut call = PlainCall::new(front, &admitted, service, body);
    let end = tokio::select! {
        biased;
        reply = call.run_attempts() => return reply,
        () = tokio::time::sleep_until(deadline) => {
            call.timed_out().uncertain_if_run(call.may_have_run)
        }
        () = front.lifecycle.exiting() => {
            let may_have_run = call.may_have_run || call.ticket.is_some();
            End::exited(front, admitted.deadline, may_have_run)
        }
    };
    end.reply(front, &admitted, call.attempts.sent)
}

/// Response with its complete body.
struct BufferedResponse {
    upstream: UpstreamId,
    head: AnswerHead,
    body: Bytes,
    /// Counts the bytes of the body.
    held: Rc<HeldBytes>,
    /// Whether the body was framed. Without framing, the exit of the upstream cannot be told
    /// from the end of the body.
    framed: bool,
}

/// State of a plain call.
struct PlainCall<'a> {
    front: &'a Rc<Front>,
    admitted: &'a Admitted,
    service: ServiceId,
    body: Bytes,
    machine: Machine,
    /// Upstreams that were already tried.
    avoid: Vec<UpstreamId>,
    quarantine: QuarantineCheck,
    attempts: AttemptCounts,
    /// Ticket of the attempt in progress.
    ticket: Option<Ticket>,
    /// Start of the latest attempt.
    placed_at: Time,
    /// Whether an upstream may have run the request without a usable response.
    may_have_run: bool,
    /// Latest server error returned by an upstream, forwarded if no attempt succeeds.
    error_response: Option<BufferedResponse>,
}

impl<'a> PlainCall<'a> {
    fn new(front: &'a Rc<Front>, admitted: &'a Admitted, service: ServiceId, body: Bytes) -> Self {
        let repeatable = matches!(admitted.route.kind, RouteKind::Plain { repeatable: true });
        let traits = Traits {
            repeatable,
            resumable: false,
            delivery: Delivery::Whole,
        };
        Self {
            front,
            admitted,
            service,
            body,
            machine: Machine::new(traits, admitted.route.max_attempts),
            avoid: Vec::new(),
            quarantine: QuarantineCheck::default(),
            attempts: AttemptCounts::default(),
            ticket: None,
            placed_at: Time::ZERO,
            may_have_run: false,
            error_response: None,
        }
    }

    /// Makes attempts until the request has an outcome.
    async fn run_attempts(&mut self) -> Reply {
        loop {
            let failure = match self.attempt().await {
                Ok(response) => return self.forward(response),
                Err(AttemptError::Ended(end)) => return self.end_without_success(&end),
                Err(AttemptError::Failed(failure)) => failure,
            };
            self.may_have_run |= matches!(failure.failure, Failure::Lost | Failure::Aborted);
            let step = self.machine.failed(failure.failure);
            if is_attempt(step) && self.may_retry(failure.failure) {
                continue;
            }
            let end = match step {
                StepResult::Ended(outcome) => End::from_outcome(outcome, failure.reason),
                StepResult::Try(_) => end_without_retry(self.front, &self.service, failure),
            };
            return self.end_without_success(&end);
        }
    }

    /// Makes one attempt: placement, exchange and accounting.
    async fn attempt(&mut self) -> Result<BufferedResponse, AttemptError> {
        self.check_quarantine()?;
        let avoid = self.attempts.avoided(self.front, &self.avoid);
        let submission = build_submission(self.front, self.admitted, &self.service, None, &avoid);
        let placed = tokio::select! {
            biased;
            end = End::stopping(self.front, self.admitted.deadline), if !self.may_have_run => {
                return Err(AttemptError::Ended(end));
            }
            placed = self.front.scheduler.place(submission) => placed,
            end = self.quarantine.quarantined(self.front, self.admitted, &self.body) => {
                return Err(AttemptError::Ended(end));
            }
        };
        let placed = placed.map_err(|refusal| {
            AttemptError::Ended(End::refused(self.front, &self.service, &refusal))
        })?;
        if !self.admitted.still_admitted(self.front) {
            return Err(AttemptError::Ended(End::not_run(
                "keys cannot be confirmed",
            )));
        }
        // Another VM may have reported the request while it was queued.
        self.check_quarantine()?;
        let Some(upstream) = self.front.upstreams.get(&placed.upstream) else {
            self.avoid.push(placed.upstream);
            let failure = AttemptFailure::new(Failure::NotConnected, "the upstream is gone");
            self.attempts.count_missing();
            return Err(AttemptError::Failed(failure));
        };
        self.front.metrics.decided(placed.loading, placed.known);
        record!(
            events::PLACED,
            request = self.admitted.head.id.as_str(),
            upstream = upstream.id.as_str(),
            route = self.admitted.route.name.as_str(),
            running = placed.running,
            loading_ms = placed.loading.as_millis() as u64,
            waited_ms = placed.waited.as_millis() as u64,
            left_room = placed.left_room,
            known_ms = placed.known.map(|age| age.as_millis() as u64),
            slowdown_percent = (placed.prediction.slowdown * 100.0) as u64,
            attempt = self.attempts.sent + 1,
        );
        self.avoid.push(upstream.id.clone());
        self.ticket = Some(placed.ticket);
        self.placed_at = self.front.clock.now();
        let outcome = self.exchange(&upstream).await;
        if let Err(failure) = &outcome {
            let attempt = FailedAttempt {
                upstream: &upstream.id,
                body: &self.body,
                quarantine: &self.quarantine,
                started_at: self.placed_at,
                events: 0,
            };
            failure.report(self.front, self.admitted, &attempt);
        }
        let elapsed = self.front.clock.now().saturating_sub(self.placed_at);
        // Before the outcome is reported, because it finds out whether this VM's path is at fault.
        self.update_quarantine(&upstream, &outcome).await;
        if let Some(ticket) = self.ticket.take() {
            if outcome.as_ref().is_ok_and(|r| r.head.status.is_success()) {
                ticket.observe(RateSample::Call(elapsed));
            }
            let is_suspect = self.front.paths.is_suspect(upstream.addr);
            record_outcome(&outcome, &upstream, &ticket, is_suspect);
        }
        outcome.map_err(AttemptError::Failed)
    }

    /// Ends the request if it is quarantined.
    fn check_quarantine(&self) -> Result<(), AttemptError> {
        let quarantined = self.quarantine.check(self.front, self.admitted, &self.body);
        quarantined.map_or(Ok(()), |end| Err(AttemptError::Ended(end)))
    }

    /// Updates the quarantine record of the request from the result of an attempt.
    async fn update_quarantine(
        &self,
        upstream: &Rc<Upstream>,
        outcome: &Result<BufferedResponse, AttemptFailure>,
    ) {
        let (front, admitted, body) = (self.front, self.admitted, &self.body);
        match outcome {
            Ok(response) if response.framed => self.quarantine.record_run(front, admitted, body),
            Ok(_) => {}
            Err(failure) => {
                let request = SentRequest {
                    front,
                    admitted,
                    body,
                };
                let update =
                    self.quarantine
                        .record_failure(request, upstream, self.placed_at, failure);
                update.await;
            }
        }
    }

    /// Sends the request to an upstream and reads its complete response.
    async fn exchange(
        &mut self,
        upstream: &Rc<Upstream>,
    ) -> Result<BufferedResponse, AttemptFailure> {
        let to = handover(self.front, self.admitted, upstream);
        let sending = send(self.front, self.admitted, upstream, &to, self.body.clone());
        let sent = match self.attempt_timeout() {
            Some(attempt_timeout) => {
                let sent = tokio::time::timeout(attempt_timeout, sending).await;
                sent.unwrap_or_else(|_| {
                    check_path(self.front, upstream);
                    Err(AttemptFailure::new(Failure::Lost, UPSTREAM_SLOW))
                })
            }
            None => sending.await,
        };
        self.count_attempt(upstream, sent.as_ref().err());
        let mut sent = sent?;
        let organisation = self.admitted.organisation.as_deref().unwrap_or_default();
        let id = self.admitted.head.id.as_str();
        let held = self.front.buffers.open(id, organisation, MAX_BODY_BYTES);
        let body = sent.read_counted_body(MAX_BODY_BYTES, &held).await?;
        let response = BufferedResponse {
            upstream: upstream.id.clone(),
            head: sent.head,
            body,
            held,
            framed: sent.framed,
        };
        if response.head.status.is_server_error() && self.machine.traits().repeatable {
            self.error_response = Some(response);
            let reason = "the upstream answered with a failure";
            return Err(AttemptFailure::new(Failure::Aborted, reason));
        }
        Ok(response)
    }

    /// Time limit of an attempt while another upstream may be tried, so that the next one can
    /// still respond within the objective.
    fn attempt_timeout(&self) -> Option<Duration> {
        let attempts_left = self.attempts.sent + 1 < self.admitted.route.max_attempts;
        let may_try_another = self.machine.traits().repeatable && attempts_left;
        may_try_another.then(|| {
            self.admitted
                .route
                .objective
                .mul_f64(FIRST_ATTEMPT_FRACTION)
        })
    }

    /// Counts an attempt, or a connect failure if nothing was sent.
    fn count_attempt(&mut self, upstream: &Upstream, failure: Option<&AttemptFailure>) {
        if let Some(failure) = failure.filter(|f| f.failure == Failure::NotConnected) {
            self.attempts
                .count_unconnected(self.front, self.admitted, upstream, failure);
            return;
        }
        self.attempts.count_sent(self.front, &self.service);
        self.machine.handed_over();
    }

    fn may_retry(&self, failure: Failure) -> bool {
        let (front, admitted) = (self.front, self.admitted);
        self.attempts
            .may_retry(front, admitted, &self.service, None, &self.avoid, failure)
    }

    fn forward(&mut self, response: BufferedResponse) -> Reply {
        let forwarded = ForwardedResponse {
            upstream: &response.upstream,
            status: response.head.status.as_u16(),
            attempts: self.attempts.sent,
            first_byte_at: self.front.clock.now(),
            framed: response.framed,
            events: 0,
            partial_bytes: 0,
            longest_pause: Duration::ZERO,
            caller_wait: Duration::ZERO,
        };
        record_forwarded(self.front, self.admitted, forwarded);
        Reply::of_upstream(response.head, response.body, response.framed).counted_in(response.held)
    }

    /// Forwards the server error of an upstream if there is one, since it tells the caller more
    /// than an error of this VM.
    fn end_without_success(&mut self, end: &End) -> Reply {
        match self.error_response.take() {
            Some(response) => self.forward(response),
            None => {
                let end = end.clone().uncertain_if_run(self.may_have_run);
                end.reply(self.front, self.admitted, self.attempts.sent)
            }
        }
    }

    /// Whether the path to the upstream of the latest attempt may be lost.
    fn is_path_suspect(&self) -> bool {
        let latest = self
            .avoid
            .last()
            .and_then(|id| self.front.upstreams.get(id));
        latest.is_some_and(|u| self.front.paths.is_suspect(u.addr))
    }

    fn timed_out(&mut self) -> End {
        match self.ticket.take() {
            Some(ticket) => {
                let elapsed = self.front.clock.now().saturating_sub(self.placed_at);
                // A caller deadline shorter than the objective says nothing about the
                // reachability of the upstream, nor does a lost path of this VM.
                let in_time = elapsed < self.admitted.route.objective;
                if !in_time && !self.is_path_suspect() {
                    ticket.unreachable();
                }
                End::Uncertain {
                    reason: "no answer in time",
                    timed_out: true,
                }
            }
            None => End::not_run("no upstream had room in time"),
        }
    }
}

/// Reports the result of an attempt to the scheduler. `is_suspect` tells whether this VM's path to
/// the upstream may be lost.
fn record_outcome(
    outcome: &Result<BufferedResponse, AttemptFailure>,
    upstream: &Upstream,
    ticket: &Ticket,
    is_suspect: bool,
) {
    match outcome {
        Ok(response) if response.head.status.is_server_error() => ticket.fault(),
        Ok(_) => ticket.complete(0),
        Err(failure) => failure.blame(upstream, ticket, is_suspect),
    }
}

/// Why an attempt produced no response to forward.
enum AttemptError {
    /// The request ends without another attempt.
    Ended(End),
    /// The attempt failed; the retry rule decides.
    Failed(AttemptFailure),
}
