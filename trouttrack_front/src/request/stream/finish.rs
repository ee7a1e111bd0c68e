//! Reports the outcome of a stream to its caller and to the log.

use super::run::StreamRun;
use crate::caller::Reply;
use crate::request::attempt::AttemptFailure;
use crate::request::end::{End, ForwardedResponse, record_forwarded};
use bytes::Bytes;
use trouttrack_platform::AnswerHead;
use trouttrack_telemetry::{events, record};

/// Outcome of a stream.
#[derive(Debug)]
pub(super) enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// An upstream returned a response that is not a stream.
    Response(AnswerHead, Bytes),
    /// The request ended without a complete response.
    Ended(End),
    /// The caller disconnected.
    CallerDisconnected,
}

/// Why an attempt did not complete the stream.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// The request ends without another attempt.
    Finished(StreamEnd),
    /// The attempt failed; the retry rule decides.
    Failed(AttemptFailure),
}

impl From<AttemptFailure> for AttemptError {
    fn from(failure: AttemptFailure) -> Self {
        Self::Failed(failure)
    }
}

impl From<End> for AttemptError {
    fn from(end: End) -> Self {
        Self::Finished(StreamEnd::Ended(end))
    }
}

impl StreamRun {
    /// Reports the outcome to the caller and to the log.
    pub(super) async fn finish(&mut self, finish: StreamEnd) {
        let id = self.admitted.head.id.clone();
        match finish {
            StreamEnd::Complete => self.log_response(http::StatusCode::OK.as_u16()),
            StreamEnd::Response(head, body) => {
                self.log_response(head.status.as_u16());
                let reply = Reply::of_upstream(head, body, self.framed);
                self.output.send_reply(reply);
            }
            StreamEnd::Ended(end) => {
                let reply = end.reply(&self.front, &self.admitted, self.attempts.sent);
                if !self.output.send_reply(reply) {
                    self.output.abort().await;
                }
            }
            StreamEnd::CallerDisconnected => record!(
                events::LEFT_BY_CALLER,
                request = id.as_str(),
                phase = "streaming",
                upstream = self.current_id(),
                events = self.reader.events(),
            ),
        }
    }

    fn log_response(&self, status: u16) {
        let first = self
            .first_event_at
            .unwrap_or_else(|| self.front.clock.now());
        let answer = ForwardedResponse {
            upstream: self.current_id(),
            status,
            attempts: self.attempts.sent,
            first_byte_at: first,
            framed: self.framed,
            events: self.reader.events(),
            partial_bytes: self.partial_bytes,
            longest_pause: self.pace.longest_pause(),
            caller_wait: self.pace.caller_wait(),
        };
        record_forwarded(&self.front, &self.admitted, answer);
        self.record_gap_error();
    }
}
