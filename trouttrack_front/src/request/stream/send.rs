//! Sending a stream's request to one upstream, and counting that.

use super::finish::{Finish, Stopped};
use super::run::StreamRun;
use crate::request::attempt::{AttemptFailure, Sent, send};
use crate::state::Upstream;
use std::rc::Rc;
use trouttrack_core::request::Failure;
use trouttrack_platform::Handover;

/// The largest answer that is no stream, such as an upstream's failure.
const MOST_BYTES: usize = 1 << 20;

impl StreamRun {
    /// Sends the request, and takes an answer that is no stream.
    pub(super) async fn send(
        &mut self,
        upstream: &Rc<Upstream>,
        to: &Handover,
    ) -> Result<Sent, Stopped> {
        let ran_before = std::mem::replace(&mut self.may_have_run, true);
        let sent = send(&self.front, &self.admitted, upstream, to, self.body.clone()).await;
        self.count(to, sent.as_ref().err());
        let kind = sent.as_ref().err().map(|f| f.failure);
        if matches!(kind, Some(Failure::NotConnected | Failure::Refused)) {
            // This attempt did not run it; an earlier one may have.
            self.may_have_run = ran_before;
        }
        let mut sent = sent?;
        if sent.head.status.is_success() {
            return Ok(sent);
        }
        if self.output.is_begun() {
            let reason = "the stream could not be taken up";
            return Err(AttemptFailure::new(Failure::Lost, reason).into());
        }
        let body = sent.whole_body(MOST_BYTES).await?;
        if sent.head.status.is_server_error() && self.admitted.route.kind.repeatable() {
            let reason = "the upstream answered with a failure";
            if self.attempts.sent < self.admitted.route.max_attempts {
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
            self.attempts.unconnected += 1;
        } else {
            self.attempts.count_sent(&self.front, &self.service);
            self.machine.handed_over();
            if self.output.is_begun() {
                self.machine.token();
            }
        }
    }
}
