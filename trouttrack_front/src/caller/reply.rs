//! Responses that the VM generates, and upstream responses that it forwards.

use super::body::CallerBody;
use crate::state::HeldBytes;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_platform::{AnswerHead, CallerAnswer};

/// A response to a caller, without the body if it is a stream.
#[derive(Debug)]
pub(crate) struct Reply {
    /// Status and headers.
    pub head: CallerAnswer,
    /// The body; `None` if it is a stream.
    pub body: Option<Bytes>,
    /// Whether the body has a length or chunks. Without, it ends with its connection.
    pub framed: bool,
    /// Counts the bytes of the body.
    pub held: Option<Rc<HeldBytes>>,
}

impl Reply {
    /// An upstream response that has been read to its end; `framed` as it was by its upstream.
    #[must_use]
    pub(crate) fn of_upstream(head: AnswerHead, body: Bytes, framed: bool) -> Self {
        Self {
            head: CallerAnswer::of_upstream(head),
            body: Some(body),
            framed,
            held: None,
        }
    }

    /// The same reply, with the counter of its bytes.
    #[must_use]
    pub(crate) fn counted_in(mut self, held: Rc<HeldBytes>) -> Self {
        self.held = Some(held);
        self
    }

    /// The head of an upstream's streamed response; `framed` as it is by its upstream.
    #[must_use]
    pub(crate) fn stream(head: AnswerHead, framed: bool) -> Self {
        Self {
            head: CallerAnswer::of_upstream(head),
            body: None,
            framed,
            held: None,
        }
    }

    fn own(status: http::StatusCode, id: &str, error: &str, retry_after: Option<Duration>) -> Self {
        let (head, body) = CallerAnswer::own(status, id, error, retry_after);
        Self {
            head,
            body: Some(body),
            framed: true,
            held: None,
        }
    }

    /// The request has not run and will not run; the caller may retry.
    #[must_use]
    pub(crate) fn not_run(id: &str, reason: &str, retry_after: Duration) -> Self {
        let status = http::StatusCode::SERVICE_UNAVAILABLE;
        Self::own(status, id, reason, Some(retry_after))
    }

    /// The request may have run, but there is no complete response.
    #[must_use]
    pub(crate) fn uncertain(id: &str, reason: &str, timed_out: bool) -> Self {
        let status = match timed_out {
            true => http::StatusCode::GATEWAY_TIMEOUT,
            false => http::StatusCode::BAD_GATEWAY,
        };
        Self::own(status, id, reason, None)
    }

    /// The request is invalid or not allowed.
    #[must_use]
    pub(crate) fn rejected(status: http::StatusCode, id: &str, reason: &str) -> Self {
        Self::own(status, id, reason, None)
    }

    /// Converts the reply into a response. `stream` is the body of a streamed response. With `close`
    /// the connection is closed after the response.
    #[must_use]
    pub(crate) fn into_response(
        self,
        stream: Option<CallerBody>,
        close: bool,
    ) -> Response<CallerBody> {
        let body = match (self.body, stream) {
            (Some(bytes), _) => CallerBody::whole(bytes, self.held),
            (None, Some(stream)) => stream,
            (None, None) => CallerBody::whole(Bytes::new(), None),
        };
        let body = match self.framed {
            true => body,
            false => body.unframed(),
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
        if !self.framed {
            res.head_mut().no_chunking(true);
        }
        if close || !self.framed {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        res
    }
}
