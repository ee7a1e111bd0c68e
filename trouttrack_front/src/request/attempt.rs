//! Sends a request to an upstream and verifies the head of its response.

use super::quarantine::QuarantineCheck;
use crate::caller::Admitted;
use crate::follow::receive_answer;
use crate::state::{Front, HeldBytes, Ticket, Upstream, fingerprint_text, parts_text};
use bytes::{Bytes, BytesMut};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::request::Failure;
use trouttrack_http::{AnswerBody, BodyError, Reuse, SendError, SendErrorKind, charge};
use trouttrack_platform::{AnswerHead, Handover};
use trouttrack_telemetry::{events, record};

/// Longest idle time of a pooled connection that may carry a request that must not run
/// twice. Such a request is lost if the upstream has already dropped the connection.
/// Upstreams drop idle connections after as little as 300 ms, and a new connection is cheap.
const MAX_REUSE_IDLE: Duration = Duration::from_millis(150);
/// Reason of an attempt whose connection request got no reply.
const NO_CONNECTION: &str = "no connection to the upstream";
/// Reason of an attempt whose connection was refused.
const CONNECTION_REFUSED: &str = "nobody listens at the upstream's address";
/// Reason of an attempt whose connection closed before any response.
const CLOSED_WITHOUT_RESPONSE: &str = "the connection ended without an answer";
/// Reason of an attempt whose response was truncated.
const RESPONSE_TRUNCATED: &str = "the answer broke off";
/// Reason of an attempt whose response has more bytes than it may have.
const RESPONSE_TOO_LARGE: &str = "the answer is too large";
/// Reason of an attempt whose stream was truncated.
pub(super) const STREAM_TRUNCATED: &str = "the stream broke off";
/// Reason of an attempt whose stream was framed as complete in the middle of an event.
pub(super) const ENDED_INSIDE_EVENT: &str = "the stream ended inside an event";
/// Reason of an attempt whose stream may have been cut off: it ended with its connection.
pub(super) const END_UNKNOWN: &str = "the stream may not be complete";
/// Reason of an attempt that took longer than its part of the objective.
pub(super) const UPSTREAM_SLOW: &str = "the upstream is slow";
/// Reason of an attempt that was not sent because its upstream no longer accepts work.
const CANCELLED_BEFORE_SEND: &str = "the upstream wants no work any more";
/// Shortest silence of an upstream after which the path to it is checked. Upstreams may be silent
/// for a second or so.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// Subtracted from the time granted to an upstream, to leave time for the response to return.
const RESPONSE_TRANSIT: Duration = Duration::from_millis(5);

/// Response whose head has been received and matched to the request.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) head: AnswerHead,
    /// The body, not yet read.
    pub(crate) body: AnswerBody,
    /// Whether the body is framed, by a length or by chunks, so that its end shows that it is
    /// complete.
    pub(crate) framed: bool,
}

impl UpstreamResponse {
    /// Reads the whole body, of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Lost`] if the body is truncated or larger than `max_bytes`.
    pub(crate) async fn read_body(&mut self, max_bytes: usize) -> Result<Bytes, AttemptFailure> {
        let lost = |reason| AttemptFailure::new(Failure::Lost, reason);
        let body = self.body.whole(max_bytes).await;
        body.map_err(|e| lost(body_failure(&e, RESPONSE_TRUNCATED)))?
            .ok_or(lost(RESPONSE_TOO_LARGE))
    }

    /// Reads the whole body, of at most `max_bytes` bytes, as far as `held` has room for it.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Lost`] if the body is truncated or larger than `max_bytes`.
    pub(crate) async fn read_counted_body(
        &mut self,
        max_bytes: usize,
        held: &HeldBytes,
    ) -> Result<Bytes, AttemptFailure> {
        let lost = |reason| AttemptFailure::new(Failure::Lost, reason);
        let mut all = BytesMut::new();
        let mut charged = 0;
        loop {
            let chunk = self.body.next().await;
            let chunk = chunk.map_err(|e| lost(body_failure(&e, RESPONSE_TRUNCATED)))?;
            let Some(chunk) = chunk else {
                return Ok(all.freeze());
            };
            charged += charge(&chunk);
            if charged > max_bytes {
                return Err(lost(RESPONSE_TOO_LARGE));
            }
            let reserved = held.reserve(chunk.len()).await;
            reserved.map_err(|_| lost("the answer was discarded"))?;
            all.extend_from_slice(&chunk);
        }
    }
}

/// Context of a failed attempt, for logs and metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedAttempt<'a> {
    /// Id of the upstream.
    pub(crate) upstream: &'a str,
    /// Request body.
    pub(crate) body: &'a Bytes,
    /// Provides the fingerprint of the request.
    pub(super) quarantine: &'a QuarantineCheck,
    /// Start of the attempt.
    pub(crate) started_at: Time,
    /// Stream events forwarded so far, including those of earlier attempts.
    pub(crate) events: u64,
}

/// Cause of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptFailure {
    /// Failure class, the input of the retry rule.
    pub(crate) failure: Failure,
    /// Reason for logs and for the caller.
    pub(crate) reason: &'static str,
}

impl AttemptFailure {
    pub(crate) const fn new(failure: Failure, reason: &'static str) -> Self {
        Self { failure, reason }
    }

    /// Whether the connection closed before any response. Other VMs may be affected as well.
    pub(crate) fn closed_without_response(&self) -> bool {
        self.reason == CLOSED_WITHOUT_RESPONSE
    }

    /// Whether the upstream's address refused the connection, as no process listens there.
    pub(crate) fn connection_refused(&self) -> bool {
        self.reason == CONNECTION_REFUSED
    }

    /// Whether no connection came up in time, as happens when the network is partitioned.
    pub(crate) fn connection_timed_out(&self) -> bool {
        self.reason == NO_CONNECTION
    }

    /// Whether the attempt was cancelled before it was sent. It then says nothing about the
    /// health of the upstream.
    pub(crate) fn cancelled_before_send(&self) -> bool {
        self.reason == CANCELLED_BEFORE_SEND
    }

    /// Whether the connection closed while the request was in progress, as it does when the
    /// upstream process exits.
    pub(super) fn connection_closed(&self) -> bool {
        [
            CLOSED_WITHOUT_RESPONSE,
            RESPONSE_TRUNCATED,
            STREAM_TRUNCATED,
        ]
        .contains(&self.reason)
    }

    /// Reports the failure to the scheduler. With `is_suspect`, this VM's path to the upstream may
    /// be lost: then what the network may have caused is not held against the upstream, and
    /// nothing is reported to peers.
    pub(super) fn blame(&self, upstream: &Upstream, ticket: &Ticket, is_suspect: bool) {
        match self.failure {
            _ if self.cancelled_before_send() => {}
            Failure::Refused => ticket.refused(),
            Failure::NotConnected if self.connection_refused() && !is_suspect => {
                ticket.connection_refused(&upstream.incarnation());
            }
            Failure::NotConnected => ticket.unreachable(),
            Failure::Lost if is_suspect && self.may_be_the_network() => {}
            // A sound stream may end this way.
            Failure::Lost if self.reason == END_UNKNOWN => {}
            Failure::Lost if self.closed_without_response() => ticket.lost(),
            Failure::Lost | Failure::Aborted => ticket.fault(),
        }
    }

    /// Whether the network may have caused the failure while the upstream ran on.
    pub(super) fn may_be_the_network(&self) -> bool {
        self.connection_closed() || self.reason == UPSTREAM_SLOW
    }

    /// Logs and counts the failure. A request that may have run is logged with what it has in
    /// common with others, so that later arrivals can be matched to it: its fingerprint, its
    /// organisation and the shared parts of its prompt.
    pub(crate) fn report(&self, front: &Front, admitted: &Admitted, attempt: &FailedAttempt<'_>) {
        let may_have_run = matches!(self.failure, Failure::Lost | Failure::Aborted);
        let fingerprint = may_have_run.then(|| {
            let attributes = attempt.quarantine.attributes(admitted, attempt.body);
            fingerprint_text(attributes.request())
        });
        let parts = may_have_run.then(|| parts_text(&admitted.head.prompt_parts()));
        let organisation = admitted.organisation.as_deref();
        let elapsed = front.clock.now().saturating_sub(attempt.started_at);
        record!(
            events::ATTEMPT_FAILED,
            request = admitted.head.id.as_str(),
            upstream = attempt.upstream,
            reason = self.reason,
            then = "retry rule",
            fingerprint = fingerprint.as_deref(),
            organisation = organisation.filter(|_| may_have_run),
            parts = parts.as_deref().filter(|parts| !parts.is_empty()),
            events = attempt.events,
            held_ms = elapsed.as_millis() as u64,
        );
        let result = match self.failure {
            Failure::NotConnected if self.connection_refused() => "connection-refused",
            Failure::NotConnected => "not-connected",
            Failure::Refused => "refused",
            Failure::Lost => "lost",
            Failure::Aborted => "aborted",
        };
        front.metrics.attempts.with_label_values(&[result]).inc();
    }
}

/// Builds the hand-over with the fields common to all attempts.
pub(crate) fn handover(front: &Front, admitted: &Admitted, upstream: &Upstream) -> Handover {
    let left = front.clock.until(admitted.deadline);
    Handover {
        instance: upstream.id.clone(),
        organisation: admitted.organisation.clone(),
        time_left: left.saturating_sub(RESPONSE_TRANSIT),
        last_event: admitted.head.last_event.clone(),
        ..Handover::default()
    }
}

/// Sends a request and waits for the head of a matching response.
/// Dropping the future closes the connection, which cancels the upstream's work.
///
/// Connecting may take long. The request is not sent if the upstream has stopped accepting
/// work by then, unless it continues a generation from a copy, which would be lost.
pub(crate) async fn send(
    front: &Rc<Front>,
    admitted: &Admitted,
    upstream: &Rc<Upstream>,
    to: &Handover,
    body: Bytes,
) -> Result<UpstreamResponse, AttemptFailure> {
    let req = admitted.head.for_upstream(to, body).map_err(|e| {
        log::warn!("request {}: {e}", admitted.head.id);
        AttemptFailure::new(Failure::Refused, "the request cannot be written")
    })?;
    let reuse = match admitted.route.kind.repeatable() {
        true => Reuse::Any,
        false => Reuse::IdleLessThan(MAX_REUSE_IDLE),
    };
    let continues = to.continue_from.is_some();
    let sent_at = front.clock.now();
    let still_wanted = || {
        let is_current = front.upstreams.is_current(upstream);
        continues || is_current && front.scheduler.accepts_requests(&upstream.id)
    };
    let response = {
        let sending = front.http.send_if(upstream.addr, req, reuse, still_wanted);
        let mut sending = std::pin::pin!(sending);
        let silence = admitted.route.objective.max(MIN_SILENCE);
        match tokio::time::timeout(silence, sending.as_mut()).await {
            Ok(response) => response,
            Err(_) => {
                check_path(front, upstream);
                sending.await
            }
        }
    };
    let raw = response.map_err(|e| send_failure(&e))?;
    let head = AnswerHead::decode(&raw.head);
    receive_answer(front, upstream, &admitted.head.id, sent_at, &head);
    let mut response = UpstreamResponse {
        head,
        body: raw.body,
        framed: raw.framed,
    };
    verify_response(admitted, &mut response)?;
    Ok(response)
}

/// Finds out whether the path to a silent upstream is lost: opens a connection, unless one has just
/// come up. It is kept for a request.
pub(super) fn check_path(front: &Rc<Front>, upstream: &Rc<Upstream>) {
    if !front.paths.begin_check(upstream.addr) {
        return;
    }
    let (front, addr) = (Rc::clone(front), upstream.addr);
    actix_rt::spawn(async move {
        if let Ok(presence) = front.http.probe(addr).await {
            presence.lasts(Duration::ZERO).await;
        }
    });
}

/// Checks that the response belongs to this request, comes from the upstream itself and
/// reports that the request ran.
fn verify_response(
    admitted: &Admitted,
    response: &mut UpstreamResponse,
) -> Result<(), AttemptFailure> {
    let lost = |reason| Err(AttemptFailure::new(Failure::Lost, reason));
    if !response.head.answers(&admitted.head.id) {
        response.body.distrust();
        return lost("the answer is to another request");
    }
    if response.head.not_run {
        return Err(AttemptFailure::new(
            Failure::Refused,
            "the upstream did not run it",
        ));
    }
    if response.head.encoded || !response.head.sealed {
        response.body.distrust();
        return lost("the answer is not the upstream's own");
    }
    Ok(())
}

/// The reason of a body that is not whole: `truncated` unless it has more bytes than it may have.
pub(super) fn body_failure(e: &BodyError, truncated: &'static str) -> &'static str {
    match e {
        BodyError::Oversized => RESPONSE_TOO_LARGE,
        _ => truncated,
    }
}

fn send_failure(e: &SendError) -> AttemptFailure {
    log::debug!("{e}");
    match e.kind {
        SendErrorKind::NotConnected => AttemptFailure::new(Failure::NotConnected, NO_CONNECTION),
        SendErrorKind::NobodyThere => {
            AttemptFailure::new(Failure::NotConnected, CONNECTION_REFUSED)
        }
        SendErrorKind::Withdrawn => {
            AttemptFailure::new(Failure::NotConnected, CANCELLED_BEFORE_SEND)
        }
        SendErrorKind::Oversized => AttemptFailure::new(Failure::Lost, RESPONSE_TOO_LARGE),
        SendErrorKind::Garbled => AttemptFailure::new(Failure::Lost, "the answer is not HTTP"),
        _ => AttemptFailure::new(Failure::Lost, CLOSED_WITHOUT_RESPONSE),
    }
}
