//! One hand-over of a request to an upstream, up to the head of the answer.

use super::suspicion::Suspicion;
use crate::caller::Admitted;
use crate::follow::heard_in_answer;
use crate::state::{Front, Upstream, fingerprint_text};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::request::Failure;
use trouttrack_http::{AnswerBody, Reuse, SendError, SendErrorKind};
use trouttrack_platform::{AnswerHead, Handover};
use trouttrack_telemetry::{events, record};

/// A request that must not run twice is lost with a connection that its upstream
/// has forgotten. Upstreams were seen to forget after 300 ms; one that was used
/// more recently than this is still open, and a new one costs little.
const SURELY_OPEN: Duration = Duration::from_millis(150);
/// What is said of an attempt whose connection ended before any answer.
const ENDED_UNANSWERED: &str = "the connection ended without an answer";
/// What is said of an answer that ended before it was whole.
const BROKE_OFF: &str = "the answer broke off";
/// The same of a stream.
pub(super) const STREAM_BROKE_OFF: &str = "the stream broke off";
/// What is said of an attempt that was not sent because its upstream wants no work any more.
const WITHDRAWN: &str = "the upstream wants no work any more";
/// Taken off the time that upstreams are given, for the way back.
const WAY_BACK: Duration = Duration::from_millis(5);

/// An answer whose head has come and belongs to the request.
#[derive(Debug)]
pub(crate) struct Sent {
    /// Its head.
    pub(crate) head: AnswerHead,
    /// Its body, to come.
    pub(crate) body: AnswerBody,
    /// Whether the body tells where it ends.
    pub(crate) framed: bool,
}

impl Sent {
    /// Takes the whole body, of at most `most` bytes.
    ///
    /// # Errors
    ///
    /// The attempt is lost: what came is not the whole answer.
    pub(crate) async fn whole_body(&mut self, most: usize) -> Result<Bytes, AttemptFailure> {
        let lost = |reason| AttemptFailure::new(Failure::Lost, reason);
        let body = self.body.whole(most).await;
        body.map_err(|_| lost(BROKE_OFF))?
            .ok_or(lost("the answer is too large"))
    }
}

/// An attempt that has failed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt<'a> {
    /// Where it was made.
    pub(crate) upstream: &'a str,
    /// The request's body.
    pub(crate) body: &'a Bytes,
    /// What is known against it.
    pub(super) suspicion: &'a Suspicion,
    /// When it was handed over.
    pub(crate) began_at: Time,
    /// Events of the stream that were passed on by then, also from earlier attempts.
    pub(crate) events: u64,
}

/// Why an attempt gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptFailure {
    /// What the retry rule goes by.
    pub(crate) failure: Failure,
    /// What happened.
    pub(crate) reason: &'static str,
}

impl AttemptFailure {
    pub(crate) const fn new(failure: Failure, reason: &'static str) -> Self {
        Self { failure, reason }
    }

    /// Whether the connection ended before any answer, which other VMs may meet too.
    pub(crate) fn lost_connection(&self) -> bool {
        self.reason == ENDED_UNANSWERED
    }

    /// Whether the attempt says nothing against its upstream: it was not sent.
    pub(crate) fn was_withdrawn(&self) -> bool {
        self.reason == WITHDRAWN
    }

    /// Whether the connection ended with the request on it, as it does when the upstream
    /// ends.
    pub(super) fn broke_off(&self) -> bool {
        [ENDED_UNANSWERED, BROKE_OFF, STREAM_BROKE_OFF].contains(&self.reason)
    }

    /// Logs and counts the failure. What may have run is named by its fingerprint, so that
    /// it is known again when it comes back.
    pub(crate) fn report(&self, front: &Front, admitted: &Admitted, attempt: &Attempt<'_>) {
        let may_have_run = matches!(self.failure, Failure::Lost | Failure::Aborted);
        let fingerprint = may_have_run.then(|| {
            let request = attempt.suspicion.fingerprint(admitted, attempt.body);
            fingerprint_text(request)
        });
        let held = front.clock.now().saturating_sub(attempt.began_at);
        record!(
            events::ATTEMPT_FAILED,
            request = admitted.head.id.as_str(),
            upstream = attempt.upstream,
            reason = self.reason,
            then = "retry rule",
            fingerprint = fingerprint.as_deref(),
            events = attempt.events,
            held_ms = held.as_millis() as u64,
        );
        let result = match self.failure {
            Failure::NotConnected => "not-connected",
            Failure::Refused => "refused",
            Failure::Lost => "lost",
            Failure::Aborted => "aborted",
        };
        front.metrics.attempts.with_label_values(&[result]).inc();
    }
}

/// Fills in what every hand-over to an upstream says.
pub(crate) fn handover(front: &Front, admitted: &Admitted, upstream: &Upstream) -> Handover {
    let left = front.clock.until(admitted.deadline);
    Handover {
        instance: upstream.id.clone(),
        organisation: admitted.organisation.clone(),
        time_left: left.saturating_sub(WAY_BACK),
        last_event: admitted.head.last_event.clone(),
        ..Handover::default()
    }
}

/// Sends a request and waits for the head of an answer that belongs to it.
/// Dropping the future cancels the upstream's work by closing the connection.
///
/// A connection may come up long after the request was placed: what the upstream does not
/// want any more by then is not sent. A generation that goes on there from a copy is: it would
/// be lost.
pub(crate) async fn send(
    front: &Rc<Front>,
    admitted: &Admitted,
    upstream: &Rc<Upstream>,
    to: &Handover,
    body: Bytes,
) -> Result<Sent, AttemptFailure> {
    let req = admitted.head.for_upstream(to, body).map_err(|e| {
        log::warn!("request {}: {e}", admitted.head.id);
        AttemptFailure::new(Failure::Refused, "the request cannot be written")
    })?;
    let reuse = match admitted.route.kind.repeatable() {
        true => Reuse::Any,
        false => Reuse::IdleLessThan(SURELY_OPEN),
    };
    let goes_on = to.continue_from.is_some();
    let sent_at = front.clock.now();
    let still = || goes_on || front.scheduler.accepts_requests(&upstream.id);
    let sent = front.http.send_if(upstream.addr, req, reuse, still).await;
    let answer = sent.map_err(|e| failed(&e))?;
    let head = AnswerHead::decode(&answer.head);
    heard_in_answer(front, upstream, &admitted.head.id, sent_at, &head);
    let mut sent = Sent {
        head,
        body: answer.body,
        framed: answer.framed,
    };
    check(admitted, &mut sent)?;
    Ok(sent)
}

/// Whether the answer is one to this request, and says that it ran.
fn check(admitted: &Admitted, sent: &mut Sent) -> Result<(), AttemptFailure> {
    let lost = |reason| Err(AttemptFailure::new(Failure::Lost, reason));
    if !sent.head.answers(&admitted.head.id) {
        sent.body.distrust();
        return lost("the answer is to another request");
    }
    if sent.head.not_run {
        return Err(AttemptFailure::new(
            Failure::Refused,
            "the upstream did not run it",
        ));
    }
    if sent.head.encoded || !sent.head.sealed {
        sent.body.distrust();
        return lost("the answer is not the upstream's own");
    }
    Ok(())
}

fn failed(e: &SendError) -> AttemptFailure {
    log::debug!("{e}");
    match e.kind {
        SendErrorKind::NotConnected => {
            AttemptFailure::new(Failure::NotConnected, "no connection to the upstream")
        }
        SendErrorKind::NobodyThere => AttemptFailure::new(
            Failure::NotConnected,
            "nobody listens at the upstream's address",
        ),
        SendErrorKind::Withdrawn => AttemptFailure::new(Failure::NotConnected, WITHDRAWN),
        SendErrorKind::Garbled => AttemptFailure::new(Failure::Lost, "the answer is not HTTP"),
        _ => AttemptFailure::new(Failure::Lost, ENDED_UNANSWERED),
    }
}
