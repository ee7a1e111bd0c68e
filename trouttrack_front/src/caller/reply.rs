//! Answers of our own, and upstreams' answers passed on.

use super::body::CallerBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;
use std::time::Duration;
use trouttrack_platform::{AnswerHead, CallerAnswer};

/// An answer to a caller, but for the body of a stream.
#[derive(Debug)]
pub(crate) struct Reply {
    /// Status and headers.
    pub head: CallerAnswer,
    /// The body; `None` if it is a stream.
    pub body: Option<Bytes>,
}

impl Reply {
    /// An upstream's whole answer.
    #[must_use]
    pub(crate) fn of_upstream(head: AnswerHead, body: Bytes) -> Self {
        Self {
            head: CallerAnswer::of_upstream(head),
            body: Some(body),
        }
    }

    /// The head of an upstream's stream.
    #[must_use]
    pub(crate) fn stream(head: AnswerHead) -> Self {
        Self {
            head: CallerAnswer::of_upstream(head),
            body: None,
        }
    }

    fn own(status: http::StatusCode, id: &str, error: &str, retry_after: Option<Duration>) -> Self {
        let (head, body) = CallerAnswer::own(status, id, error, retry_after);
        Self {
            head,
            body: Some(body),
        }
    }

    /// The request has not run and never will; the caller may come back.
    #[must_use]
    pub(crate) fn not_run(id: &str, reason: &str, retry_after: Duration) -> Self {
        let status = http::StatusCode::SERVICE_UNAVAILABLE;
        Self::own(status, id, reason, Some(retry_after))
    }

    /// The request may have run, and there is no whole answer.
    #[must_use]
    pub(crate) fn uncertain(id: &str, reason: &str, timed_out: bool) -> Self {
        let status = match timed_out {
            true => http::StatusCode::GATEWAY_TIMEOUT,
            false => http::StatusCode::BAD_GATEWAY,
        };
        Self::own(status, id, reason, None)
    }

    /// The request is not one that is served.
    #[must_use]
    pub(crate) fn rejected(status: http::StatusCode, id: &str, reason: &str) -> Self {
        Self::own(status, id, reason, None)
    }

    /// The response; `stream` is its body if it is a stream. With `close` the
    /// connection takes no further request.
    #[must_use]
    pub(crate) fn into_response(
        self,
        stream: Option<CallerBody>,
        close: bool,
    ) -> Response<CallerBody> {
        let body = match (self.body, stream) {
            (Some(bytes), _) => CallerBody::Whole(bytes),
            (None, Some(stream)) => stream,
            (None, None) => CallerBody::Whole(Bytes::new()),
        };
        let status = StatusCode::from_u16(self.head.status.as_u16());
        let mut res = Response::with_body(status.unwrap_or(StatusCode::BAD_GATEWAY), body);
        for (name, value) in &self.head.headers {
            let name = HeaderName::from_bytes(name.as_str().as_bytes());
            let value = HeaderValue::from_bytes(value.as_bytes());
            if let (Ok(name), Ok(value)) = (name, value) {
                res.headers_mut().append(name, value);
            }
        }
        if close {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        res
    }
}
