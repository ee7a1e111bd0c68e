//! Handles one caller request, from its head to its response.

use super::admit::{Admitted, admit};
use super::body::CallerBody;
use super::reply::Reply;
use crate::request::{End, plain, stream};
use crate::state::Front;
use actix_http::{HttpMessage, Payload, Request, Response};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::StatusCode;
use std::rc::Rc;
use trouttrack_core::fleet::CallerLimits;
use trouttrack_platform::CallerHead;
use trouttrack_telemetry::{events, record};

/// Serves a request.
pub(super) async fn handle(front: Rc<Front>, mut req: Request) -> Response<CallerBody> {
    let in_flight = front.lifecycle.enter();
    let close = front.lifecycle.is_stopping();
    let limits = limits(&front);
    let head = match decode(&req, &limits) {
        Ok(head) => head,
        Err(reply) => return reply.into_response(None, true),
    };
    let admitted = match admit(&front, head) {
        Ok(admitted) => admitted,
        Err(reply) => return reply.into_response(None, close),
    };
    if !front.lifecycle.takes_requests(front.clock.now()) {
        let reply = End::stopping().reply(&front, &admitted, 0);
        return reply.into_response(None, true);
    }
    let mut disconnect_guard = DisconnectGuard::new(&admitted);
    let body = match read_body(req.take_payload(), limits.body_bytes).await {
        Ok(body) => body,
        Err(error) => {
            disconnect_guard.disarm();
            return error.reply(&admitted.head.id).into_response(None, true);
        }
    };
    let (reply, stream) = match admitted.route.kind.is_stream() {
        true => stream::serve(&front, admitted, body, in_flight).await,
        false => (plain::serve(&front, admitted, body).await, None),
    };
    disconnect_guard.disarm();
    reply.into_response(stream, close || front.lifecycle.is_stopping())
}

fn limits(front: &Front) -> CallerLimits {
    front
        .routing
        .table()
        .map_or_else(CallerLimits::default, |t| t.config().limits)
}

fn decode(req: &Request, limits: &CallerLimits) -> Result<CallerHead, Box<Reply>> {
    let size: usize = req
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size > limits.head_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        let reply = Reply::rejected(status, "", "the head is too large");
        return Err(Box::new(reply));
    }
    let target = req
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let headers = req.headers().iter();
    let headers = headers.map(|(name, value)| (name.as_str(), value.as_bytes()));
    CallerHead::decode(req.method().as_str(), target, headers)
        .map_err(|reason| Box::new(Reply::rejected(StatusCode::BAD_REQUEST, "", reason)))
}

/// The reason that a request body could not be read.
enum BodyError {
    TooLarge,
    Truncated,
}

impl BodyError {
    fn reply(&self, id: &str) -> Reply {
        let (status, reason) = match self {
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            Self::Truncated => (StatusCode::BAD_REQUEST, "the body broke off"),
        };
        record!(
            events::REJECTED,
            request = id,
            status = status.as_u16(),
            reason = reason,
        );
        Reply::rejected(status, id, reason)
    }
}

async fn read_body(mut payload: Payload, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut first: Option<Bytes> = None;
    let mut all = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::Truncated)?;
        if all.len() + first.as_ref().map_or(0, Bytes::len) + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        match (first.take(), all.is_empty()) {
            (None, true) => first = Some(chunk),
            (Some(before), _) => {
                all.extend_from_slice(&before);
                all.extend_from_slice(&chunk);
            }
            (None, false) => all.extend_from_slice(&chunk),
        }
    }
    Ok(first.unwrap_or_else(|| all.freeze()))
}

/// Records, when dropped before [`disarm`](Self::disarm), that the caller closed its connection.
/// Closing the connection drops the handler.
struct DisconnectGuard {
    id: Option<String>,
}

impl DisconnectGuard {
    fn new(admitted: &Admitted) -> Self {
        Self {
            id: Some(admitted.head.id.clone()),
        }
    }

    fn disarm(&mut self) {
        self.id = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(id) = &self.id {
            record!(
                events::LEFT_BY_CALLER,
                request = id.as_str(),
                phase = "waiting",
            );
        }
    }
}
