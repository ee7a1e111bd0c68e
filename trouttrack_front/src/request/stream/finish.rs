//! How a stream ends, towards its caller and in the log.

use super::run::StreamRun;
use crate::caller::Reply;
use crate::request::attempt::AttemptFailure;
use crate::request::end::{Answered, End, answered};
use bytes::Bytes;
use trouttrack_platform::AnswerHead;
use trouttrack_telemetry::{events, record};

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

impl From<End> for Stopped {
    fn from(end: End) -> Self {
        Self::Finished(Finish::Ended(end))
    }
}

impl StreamRun {
    /// Tells the caller and the log how the stream ended.
    pub(super) async fn finish(&mut self, finish: Finish) {
        let id = self.admitted.head.id.clone();
        match finish {
            Finish::Complete => self.log_answer(http::StatusCode::OK.as_u16()),
            Finish::Answered(head, body) => {
                self.log_answer(head.status.as_u16());
                self.output.end_with(Reply::of_upstream(head, body));
            }
            Finish::Ended(end) => {
                let reply = end.reply(&self.front, &self.admitted, self.attempts.sent);
                if !self.output.end_with(reply) {
                    self.output.break_off().await;
                }
            }
            Finish::CallerLeft => record!(
                events::LEFT_BY_CALLER,
                request = id.as_str(),
                phase = "streaming",
                upstream = self.at_id(),
                events = self.reader.events(),
            ),
        }
    }

    fn log_answer(&self, status: u16) {
        let first = self
            .first_event_at
            .unwrap_or_else(|| self.front.clock.now());
        let answer = Answered {
            upstream: self.at_id(),
            status,
            attempts: self.attempts.sent,
            first_byte_at: first,
            events: self.reader.events(),
        };
        answered(&self.front, &self.admitted, answer);
    }
}
