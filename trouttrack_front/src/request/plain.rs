//! A plain call: one answer, taken whole before it is passed on.

use super::attempt::{Attempt, AttemptFailure, handover, send};
use super::end::{Answered, End, answered};
use super::retry::{Attempts, is_attempt};
use super::submission::submission;
use super::suspicion::Suspicion;
use crate::caller::{Admitted, Reply};
use crate::state::{Front, Ticket, Upstream};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::fleet::RouteKind;
use trouttrack_core::request::{Delivery, Failure, Machine, StepResult, Traits};
use trouttrack_core::{ServiceId, Time, UpstreamId};
use trouttrack_platform::AnswerHead;
use trouttrack_telemetry::{events, record};

/// The largest answer that is taken whole; plain services answer with a few
/// kilobytes.
const MOST_BYTES: usize = 4 << 20;
/// The part of the objective that the first attempt may take when the request
/// may be repeated: the rest is enough for a whole call in the usual case.
const FIRST_TRY: f64 = 0.5;

/// Serves a request.
pub(crate) async fn serve(front: &Rc<Front>, admitted: Admitted, body: Bytes) -> Reply {
    let Some(service) = admitted.route.sample_service(&mut rand::rng()).cloned() else {
        return End::not_run("the route has no service").reply(front, &admitted, 0);
    };
    let deadline = front.clock.instant(admitted.deadline);
    let mut call = PlainCall::new(front, &admitted, service, body);
    match tokio::time::timeout_at(deadline, call.drive()).await {
        Ok(reply) => reply,
        Err(_) => {
            let attempts = call.attempts.sent;
            let end = call.timed_out().unless_run(call.may_have_run);
            end.reply(front, &admitted, attempts)
        }
    }
}

/// A whole answer, kept in case no better one comes.
struct WholeAnswer {
    upstream: UpstreamId,
    head: AnswerHead,
    body: Bytes,
    /// Whether its end was marked: one that is not may be an upstream's.
    end_marked: bool,
}

/// One plain call.
struct PlainCall<'a> {
    front: &'a Rc<Front>,
    admitted: &'a Admitted,
    service: ServiceId,
    body: Bytes,
    machine: Machine,
    /// Upstreams that it was sent to.
    avoid: Vec<UpstreamId>,
    /// What is known against the request.
    suspicion: Suspicion,
    attempts: Attempts,
    /// The attempt at an upstream that has it, while no answer has come.
    handed_over: Option<Ticket>,
    /// When that attempt began.
    placed_at: Time,
    /// An upstream may have run it, and its answer was not usable.
    may_have_run: bool,
    /// A failure that an upstream answered with.
    unwanted: Option<WholeAnswer>,
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
            suspicion: Suspicion::default(),
            attempts: Attempts::default(),
            handed_over: None,
            placed_at: Time::ZERO,
            may_have_run: false,
            unwanted: None,
        }
    }

    /// Makes attempts until the request ends.
    async fn drive(&mut self) -> Reply {
        loop {
            let failure = match self.attempt().await {
                Ok(answer) => return self.pass_on(answer),
                Err(Stopped::Ended(end)) => return self.give_up(&end),
                Err(Stopped::Failed(failure)) => failure,
            };
            self.may_have_run |= matches!(failure.failure, Failure::Lost | Failure::Aborted);
            let step = self.machine.failed(failure.failure);
            if is_attempt(step) && self.may_retry(failure.failure) {
                continue;
            }
            let end = match step {
                StepResult::Ended(outcome) => End::of_outcome(outcome, failure.reason),
                StepResult::Try(_) => End::not_run(failure.reason),
            };
            return self.give_up(&end);
        }
    }

    /// One try at one upstream, from its choice to its whole answer.
    async fn attempt(&mut self) -> Result<WholeAnswer, Stopped> {
        self.check_held()?;
        let submission = submission(self.front, self.admitted, &self.service, &self.avoid);
        let placed = self.front.scheduler.place(submission).await;
        let placed = placed.map_err(|refusal| Stopped::Ended(End::refused(&refusal)))?;
        if !self.admitted.still_admitted(self.front) {
            return Err(Stopped::Ended(End::not_run("keys cannot be confirmed")));
        }
        // Another VM may have told of it while it waited.
        self.check_held()?;
        let Some(upstream) = self.front.upstreams.get(&placed.upstream) else {
            self.attempts.unconnected += 1;
            let failure = AttemptFailure::new(Failure::NotConnected, "the upstream is gone");
            return Err(Stopped::Failed(failure));
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
            attempt = self.attempts.sent + 1,
        );
        self.avoid.push(upstream.id.clone());
        self.handed_over = Some(placed.ticket);
        self.placed_at = self.front.clock.now();
        let outcome = self.exchange(&upstream).await;
        if let Err(failure) = &outcome {
            let attempt = Attempt {
                upstream: &upstream.id,
                body: &self.body,
                suspicion: &self.suspicion,
                began_at: self.placed_at,
                events: 0,
            };
            failure.report(self.front, self.admitted, &attempt);
        }
        if let Some(ticket) = self.handed_over.take() {
            account(&outcome, &ticket);
        }
        self.learn(&upstream, &outcome).await;
        outcome.map_err(Stopped::Failed)
    }

    /// Ends the request if upstreams end when they run it.
    fn check_held(&self) -> Result<(), Stopped> {
        let held = self.suspicion.held(self.front, self.admitted, &self.body);
        held.map_or(Ok(()), |end| Err(Stopped::Ended(end)))
    }

    /// What an attempt says of the request.
    async fn learn(&self, upstream: &Rc<Upstream>, outcome: &Result<WholeAnswer, AttemptFailure>) {
        let (front, admitted, body) = (self.front, self.admitted, &self.body);
        match outcome {
            Ok(answer) if answer.end_marked => {
                self.suspicion.record_completed_run(front, admitted, body);
            }
            Ok(_) => {}
            Err(failure) => {
                let learning = self
                    .suspicion
                    .failed(front, admitted, body, upstream, failure);
                learning.await;
            }
        }
    }

    /// Sends the request to one upstream and takes its whole answer.
    async fn exchange(&mut self, upstream: &Rc<Upstream>) -> Result<WholeAnswer, AttemptFailure> {
        let to = handover(self.front, self.admitted, upstream);
        let sending = send(self.front, self.admitted, upstream, &to, self.body.clone());
        let sent = match self.patience() {
            Some(patience) => {
                let slow = AttemptFailure::new(Failure::Lost, "the upstream is slow");
                let sent = tokio::time::timeout(patience, sending).await;
                sent.unwrap_or(Err(slow))
            }
            None => sending.await,
        };
        self.count(sent.as_ref().err());
        let mut sent = sent?;
        let body = sent.whole_body(MOST_BYTES).await?;
        let answer = WholeAnswer {
            upstream: upstream.id.clone(),
            head: sent.head,
            body,
            end_marked: sent.framed,
        };
        if answer.head.status.is_server_error() && self.machine.traits().repeatable {
            self.unwanted = Some(answer);
            let reason = "the upstream answered with a failure";
            return Err(AttemptFailure::new(Failure::Aborted, reason));
        }
        Ok(answer)
    }

    /// How long an attempt may take while another upstream may be tried: that is
    /// tried early enough to answer within the objective.
    fn patience(&self) -> Option<Duration> {
        let others = self.attempts.sent + 1 < self.admitted.route.max_attempts;
        let again = self.machine.traits().repeatable && others;
        again.then(|| self.admitted.route.objective.mul_f64(FIRST_TRY))
    }

    /// Counts an attempt, unless nothing was sent.
    fn count(&mut self, failure: Option<&AttemptFailure>) {
        if failure.is_some_and(|f| f.failure == Failure::NotConnected) {
            self.attempts.unconnected += 1;
            return;
        }
        self.attempts.count_sent(self.front, &self.service);
        self.machine.handed_over();
    }

    fn may_retry(&self, failure: Failure) -> bool {
        let (front, admitted) = (self.front, self.admitted);
        self.attempts
            .may_retry(front, admitted, &self.service, failure)
    }

    fn pass_on(&mut self, answer: WholeAnswer) -> Reply {
        let passed = Answered {
            upstream: &answer.upstream,
            status: answer.head.status.as_u16(),
            attempts: self.attempts.sent,
            first_byte_at: self.front.clock.now(),
            events: 0,
        };
        answered(self.front, self.admitted, passed);
        Reply::of_upstream(answer.head, answer.body)
    }

    /// An upstream's own failure is a better answer than one of ours.
    fn give_up(&mut self, end: &End) -> Reply {
        match self.unwanted.take() {
            Some(answer) => self.pass_on(answer),
            None => {
                let end = end.clone().unless_run(self.may_have_run);
                end.reply(self.front, self.admitted, self.attempts.sent)
            }
        }
    }

    fn timed_out(&mut self) -> End {
        match self.handed_over.take() {
            Some(ticket) => {
                let held = self.front.clock.now().saturating_sub(self.placed_at);
                // What is slower than its objective may still be there; what a
                // caller gives less time than that says nothing.
                if held >= self.admitted.route.objective {
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

/// Tells the tables what an attempt says of its upstream.
fn account(outcome: &Result<WholeAnswer, AttemptFailure>, ticket: &Ticket) {
    match outcome {
        Ok(answer) if answer.head.status.is_server_error() => ticket.fault(),
        Ok(_) => ticket.complete(0),
        Err(failure) if failure.lost_connection() => ticket.lost(),
        Err(failure) if failure.was_withdrawn() => {}
        Err(failure) => match failure.failure {
            Failure::Refused => ticket.refused(),
            Failure::NotConnected => ticket.unreachable(),
            Failure::Lost | Failure::Aborted => ticket.fault(),
        },
    }
}

/// Why an attempt did not bring the answer.
enum Stopped {
    /// The request ends here.
    Ended(End),
    /// The retry rule decides.
    Failed(AttemptFailure),
}
