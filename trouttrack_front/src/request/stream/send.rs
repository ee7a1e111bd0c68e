//! Sends the request of a stream to an upstream and counts the attempt.

use super::finish::{AttemptError, StreamEnd};
use super::run::StreamRun;
use crate::request::attempt::{AttemptFailure, UpstreamResponse, send};
use crate::state::Upstream;
use std::rc::Rc;
use trouttrack_core::request::Failure;
use trouttrack_platform::Handover;

/// Largest body of a response that is not a stream, such as an error.
const MAX_ERROR_BODY_BYTES: usize = 1 << 20;

impl StreamRun {
    /// Sends the request. A response that is not a stream is read completely and returned as
    /// an error.
    pub(super) async fn send(
        &mut self,
        upstream: &Rc<Upstream>,
        to: &Handover,
    ) -> Result<UpstreamResponse, AttemptError> {
        let ran_before = std::mem::replace(&mut self.may_have_run, true);
        let sent = send(&self.front, &self.admitted, upstream, to, self.body.clone()).await;
        self.count_attempt(upstream, to, sent.as_ref().err());
        let kind = sent.as_ref().err().map(|f| f.failure);
        if matches!(kind, Some(Failure::NotConnected | Failure::Refused)) {
            // This attempt did not run the request; an earlier one may have.
            self.may_have_run = ran_before;
        }
        let mut sent = sent?;
        if sent.head.status.is_success() {
            return Ok(sent);
        }
        if self.output.head_sent() {
            let reason = "the stream could not be taken up";
            return Err(AttemptFailure::new(Failure::Lost, reason).into());
        }
        let body = sent.read_body(MAX_ERROR_BODY_BYTES).await?;
        self.framed = sent.framed;
        if sent.head.status.is_server_error() && self.admitted.route.kind.repeatable() {
            let reason = "the upstream answered with a failure";
            if self.attempts.sent < self.admitted.route.max_attempts {
                return Err(AttemptFailure::new(Failure::Aborted, reason).into());
            }
        }
        Err(AttemptError::Finished(StreamEnd::Response(sent.head, body)))
    }

    /// Counts an attempt, or a connect failure if nothing was sent. Continuations of a running
    /// generation are not counted.
    fn count_attempt(
        &mut self,
        upstream: &Upstream,
        to: &Handover,
        failure: Option<&AttemptFailure>,
    ) {
        if to.continue_from.is_some() {
            return;
        }
        if let Some(failure) = failure.filter(|f| f.failure == Failure::NotConnected) {
            let (front, admitted) = (&self.front, &self.admitted);
            self.attempts
                .count_unconnected(front, admitted, upstream, failure);
        } else {
            self.attempts.count_sent(&self.front, &self.service);
            self.machine.handed_over();
            if self.output.head_sent() {
                self.machine.token();
            }
        }
    }
}
