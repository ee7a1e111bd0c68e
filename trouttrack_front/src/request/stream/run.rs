//! A stream's way through its attempts.

use super::output::Output;
use super::relay::{Relayed, Source};
use crate::caller::{Admitted, CallerBody, Reply};
use crate::request::EventReader;
use crate::request::attempt::{AttemptFailure, Sent, handover, send};
use crate::request::end::{End, answered, is_short, submission};
use crate::state::{Front, InFlight, Ticket, Upstream};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use trouttrack_core::fleet::{EngineSpec, RouteKind};
use trouttrack_core::request::{Delivery, Failure, Machine, Step, StepResult, Traits};
use trouttrack_core::{Outcome, ServiceId, Time, UpstreamId};
use trouttrack_platform::{AnswerHead, Handover};
use trouttrack_telemetry::{events, record};

/// The largest answer that is no stream, such as an upstream's failure.
const MOST_BYTES: usize = 1 << 20;
/// Upstreams to which no connection could be made, after which a request is
/// given up.
const CONNECT_TRIES: u32 = 3;
/// What a token is taken to need while a VM that stops decides whether a
/// stream still ends in time: an engine's step under load.
const PER_TOKEN: Duration = Duration::from_millis(10);

/// Serves a request. Returns the answer's head, and its body if it is a
/// stream; the stream goes on by itself.
pub(crate) async fn serve(
    front: &Rc<Front>,
    admitted: Admitted,
    body: Bytes,
    in_flight: InFlight,
) -> (Reply, Option<CallerBody>) {
    if !takes(front, &admitted) {
        return (End::stopping().reply(front, &admitted, 0), None);
    }
    let Some(service) = admitted.route.draw_service(&mut rand::rng()).cloned() else {
        let end = End::not_run("the route has no service");
        return (end.reply(front, &admitted, 0), None);
    };
    let id = admitted.head.id.clone();
    let (pieces, stream) = CallerBody::stream();
    let (head_tx, head) = oneshot::channel();
    let output = Output::new(head_tx, pieces);
    let run = StreamRun::new(Rc::clone(front), admitted, service, body, output);
    actix_rt::spawn(run.run(in_flight));
    match head.await {
        Ok(reply) if reply.body.is_none() => (reply, Some(stream)),
        Ok(reply) => (reply, None),
        Err(_) => (Reply::uncertain(&id, "the stream ended", false), None),
    }
}

/// A VM that stops takes a long stream only if it ends in time and no other VM
/// could take it. Later in the stop guesses are not trusted: what is cut off then
/// was taken in vain.
fn takes(front: &Front, admitted: &Admitted) -> bool {
    let lifecycle = &front.lifecycle;
    if !lifecycle.is_stopping() {
        return true;
    }
    let now = front.clock.now();
    let head = &admitted.head;
    let tokens = match head
        .guessed_tokens
        .filter(|_| lifecycle.trusts_guesses(now))
    {
        Some(guess) => guess,
        None => head.most_tokens,
    };
    let length = PER_TOKEN * u32::try_from(tokens).unwrap_or(u32::MAX);
    let elsewhere = !is_short(admitted) && front.peers.any_serves(now);
    !elsewhere && lifecycle.takes_request_of(now, length)
}

/// How a stream ended.
#[derive(Debug)]
pub(super) enum Finish {
    /// Whole.
    Complete,
    /// With an upstream's answer that is no stream.
    Answered(AnswerHead, Bytes),
    /// Without a whole answer.
    Ended(End),
    /// The caller went away.
    CallerLeft,
}

/// Why an attempt did not finish the request.
#[derive(Debug)]
pub(super) enum Stopped {
    /// The request ends here.
    Finished(Finish),
    /// The retry rule decides.
    Failed(AttemptFailure),
}

impl From<AttemptFailure> for Stopped {
    fn from(failure: AttemptFailure) -> Self {
        Self::Failed(failure)
    }
}

/// One stream.
#[derive(Debug)]
pub(super) struct StreamRun {
    pub(super) front: Rc<Front>,
    pub(super) admitted: Rc<Admitted>,
    pub(super) service: ServiceId,
    pub(super) body: Bytes,
    pub(super) output: Output,
    pub(super) reader: EventReader,
    machine: Machine,
    avoid: Vec<UpstreamId>,
    /// The upstream that has the request now, or had it last.
    pub(super) at: UpstreamId,
    pub(super) sent: u32,
    unconnected: u32,
    /// An upstream may have begun to run it.
    pub(super) may_have_run: bool,
    /// The head to be sent with the first event.
    pub(super) head: Option<AnswerHead>,
    pub(super) first_event_at: Option<Time>,
}

impl StreamRun {
    fn new(
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
            at: UpstreamId::new(),
            sent: 0,
            unconnected: 0,
            may_have_run: false,
            head: None,
            first_event_at: None,
        }
    }

    async fn run(mut self, in_flight: InFlight) {
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

    /// What the retry rule says; `None` to try again.
    fn end_after(&mut self, failure: AttemptFailure) -> Option<End> {
        // With events passed on, only what is missing may be asked for, and
        // any failure to get it is the same.
        let kind = match self.output.is_begun() {
            true => Failure::Lost,
            false => failure.failure,
        };
        let step = self.machine.failed(kind);
        let again = matches!(
            step,
            StepResult::Try(Step::Elsewhere | Step::RunAgain | Step::Resume)
        );
        if again && self.may_retry(failure.failure) {
            record!(
                events::RUN_AGAIN,
                request = self.admitted.head.id.as_str(),
                after = failure.reason,
                events = self.reader.events(),
            );
            return None;
        }
        let end = match step {
            StepResult::Ended(outcome) => End::of_outcome(outcome, failure.reason),
            StepResult::Try(_) => End::of_outcome(Outcome::NotRun, failure.reason),
        };
        Some(end.unless_run(self.may_have_run))
    }

    fn may_retry(&self, failure: Failure) -> bool {
        if failure == Failure::NotConnected {
            return self.unconnected < CONNECT_TRIES;
        }
        if self.sent >= self.admitted.route.max_attempts {
            return false;
        }
        let now = self.front.clock.now();
        let within = self.front.budgets.try_retry(now, &self.service);
        if !within {
            record!(
                events::RETRY_BUDGET,
                request = self.admitted.head.id.as_str(),
                service = self.service.as_str(),
            );
        }
        within
    }

    /// One placing of the request, up to the end of its stream.
    async fn attempt(&mut self) -> Result<(), Stopped> {
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
        let Some(upstream) = self.front.upstreams.get(&placed.upstream) else {
            self.unconnected += 1;
            return Err(AttemptFailure::new(Failure::NotConnected, "the upstream is gone").into());
        };
        record!(
            events::PLACED,
            request = self.admitted.head.id.as_str(),
            upstream = upstream.id.as_str(),
            running = placed.running,
            fill_percent = (placed.fill * 100.0) as u64,
            prompt_tokens = self.admitted.head.prompt_tokens,
            guessed_tokens = self.admitted.head.guessed_tokens,
            attempt = self.sent + 1,
        );
        self.at.clone_from(&upstream.id);
        self.avoid.push(upstream.id.clone());
        let ticket = Rc::new(placed.ticket);
        let outcome = self.stream_from(upstream, &ticket).await;
        self.account(&outcome, &ticket);
        outcome
    }

    fn account(&self, outcome: &Result<(), Stopped>, ticket: &Ticket) {
        match outcome {
            Ok(()) => ticket.complete(self.tokens()),
            Err(Stopped::Failed(failure)) => {
                failure.report(&self.front, &self.admitted, &self.at, "retry rule");
                match failure.failure {
                    Failure::Refused => {}
                    Failure::NotConnected => ticket.unreachable(),
                    Failure::Lost | Failure::Aborted => ticket.fault(),
                }
            }
            Err(Stopped::Finished(_)) => {}
        }
    }

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

    /// Sends the request, and takes an answer that is no stream.
    pub(super) async fn send(
        &mut self,
        upstream: &Upstream,
        to: &Handover,
    ) -> Result<Sent, Stopped> {
        self.may_have_run = true;
        let sent = send(&self.front, &self.admitted, upstream, to, self.body.clone()).await;
        self.count(to, sent.as_ref().err());
        let mut sent = sent?;
        if sent.head.status.is_success() {
            return Ok(sent);
        }
        let lost = |reason| AttemptFailure::new(Failure::Lost, reason);
        if self.output.is_begun() {
            return Err(lost("the stream could not be taken up").into());
        }
        let body = sent.body.whole(MOST_BYTES).await;
        let body = body
            .map_err(|_| lost("the answer broke off"))?
            .ok_or(lost("the answer is too large"))?;
        if sent.head.status.is_server_error() && self.admitted.route.kind.repeatable() {
            let reason = "the upstream answered with a failure";
            if self.sent < self.admitted.route.max_attempts {
                return Err(AttemptFailure::new(Failure::Aborted, reason).into());
            }
        }
        Err(Stopped::Finished(Finish::Answered(sent.head, body)))
    }

    /// Counts an attempt, unless nothing was sent or it goes on with a run.
    fn count(&mut self, to: &Handover, failure: Option<&AttemptFailure>) {
        let kind = failure.map(|f| f.failure);
        if to.continue_from.is_some() {
            return;
        }
        if kind == Some(Failure::NotConnected) {
            self.unconnected += 1;
        } else {
            if self.sent == 0 {
                let now = self.front.clock.now();
                self.front.budgets.first_attempt(now, &self.service);
            }
            self.sent += 1;
            self.machine.handed_over();
            if self.output.is_begun() {
                self.machine.token();
            }
        }
        // A first attempt that was refused or not sent leaves the request as
        // it was.
        let nothing_ran = matches!(kind, Some(Failure::NotConnected | Failure::Refused));
        if nothing_ran && self.machine_never_ran() {
            self.may_have_run = false;
        }
    }

    fn machine_never_ran(&self) -> bool {
        self.sent <= 1 && !self.output.is_begun()
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

    fn timed_out(&self) -> End {
        match self.may_have_run {
            true => End::Uncertain {
                reason: "no whole answer in time",
                timed_out: true,
            },
            false => End::not_run("no upstream had room in time"),
        }
    }

    /// The longest silence before another upstream is asked, where that is
    /// allowed.
    pub(super) fn longest_silence(&self) -> Option<Duration> {
        /// Pauses of the objective that an upstream may be silent for: fewer
        /// are met under load.
        const PAUSES: u32 = 5;
        /// The same before the first event, in parts of its objective.
        const FIRST: f64 = 1.2;
        let RouteKind::Stream {
            resumable: true,
            longest_pause,
        } = self.admitted.route.kind
        else {
            return None;
        };
        if self.sent >= self.admitted.route.max_attempts {
            return None;
        }
        match self.first_event_at {
            None => Some(self.admitted.route.objective.mul_f64(FIRST)),
            Some(_) => longest_pause.map(|pause| pause * PAUSES),
        }
    }

    async fn finish(&mut self, finish: Finish) {
        let id = self.admitted.head.id.clone();
        match finish {
            Finish::Complete => self.log_answer(http::StatusCode::OK.as_u16()),
            Finish::Answered(head, body) => {
                self.log_answer(head.status.as_u16());
                self.output.end_with(Reply::of_upstream(head, body));
            }
            Finish::Ended(end) => {
                let reply = end.reply(&self.front, &self.admitted, self.sent);
                if !self.output.end_with(reply) {
                    self.output.break_off().await;
                }
            }
            Finish::CallerLeft => record!(
                events::LEFT_BY_CALLER,
                request = id.as_str(),
                phase = "streaming",
                upstream = self.at.as_str(),
                events = self.reader.events(),
            ),
        }
    }

    fn log_answer(&self, status: u16) {
        let first = self
            .first_event_at
            .unwrap_or_else(|| self.front.clock.now());
        answered(
            &self.front,
            &self.admitted,
            &self.at,
            status,
            self.sent,
            first,
        );
    }
}
