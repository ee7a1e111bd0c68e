//! Handles one caller request, from its head to its response.

use super::admit::{Admitted, admit};
use super::body::CallerBody;
use super::connection::CurrentResponse;
use super::limit::ReadLimit;
use super::reply::Reply;
use crate::request::{End, plain, stream};
use crate::state::{Front, HeldBytes};
use actix_http::{HttpMessage, Payload, Request, Response};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::fleet::CallerLimits;
use trouttrack_platform::CallerHead;
use trouttrack_telemetry::{events, record};

/// How long the body of a request waits for room in the buffers. Ended readers free theirs
/// within a few milliseconds.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(60);

/// Serves a request.
pub(super) async fn handle(front: Rc<Front>, mut req: Request) -> Response<CallerBody> {
    let current = req.conn_data::<CurrentResponse>().cloned();
    let payload = req.take_payload();
    let res = respond(front, &req, payload).await;
    if let Some(current) = current {
        current.set(res.body());
    }
    res
}

async fn respond(front: Rc<Front>, req: &Request, payload: Payload) -> Response<CallerBody> {
    let in_flight = front.lifecycle.enter();
    let close = front.lifecycle.is_stopping();
    let limits = limits(&front);
    let read_limit = req.conn_data::<ReadLimit>().cloned().unwrap_or_default();
    read_limit.begin(limits.body_bytes);
    let head = match decode(req, &limits) {
        Ok(head) => head,
        Err(reply) => return reply.into_response(None, true),
    };
    let admitted = match admit(&front, head) {
        Ok(admitted) => admitted,
        Err(reply) => return reply.into_response(None, close),
    };
    if let Some(end) = End::if_stopping(&front, admitted.deadline) {
        let reply = end.reply(&front, &admitted, 0);
        return reply.into_response(None, true);
    }
    let mut disconnect_guard = DisconnectGuard::new(&admitted);
    let id = admitted.head.id.as_str();
    let organisation = admitted.organisation.as_deref().unwrap_or_default();
    let held = front.buffers.open(id, organisation, limits.body_bytes);
    let body = match read_body(payload, limits.body_bytes, &held, &read_limit).await {
        Ok(body) => body,
        Err(error) => {
            disconnect_guard.disarm();
            let reply = error.reply(&front, &admitted);
            return reply.into_response(None, true);
        }
    };
    read_limit.body_complete(limits.head_bytes);
    let (reply, stream) = match admitted.route.kind.is_stream() {
        true => stream::serve(&front, admitted, body, (in_flight, held)).await,
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
    /// The organisation or the VM has too many bytes buffered.
    NoRoom,
}

impl BodyError {
    fn reply(&self, front: &Front, admitted: &Admitted) -> Reply {
        let id = admitted.head.id.as_str();
        let (status, reason) = match self {
            Self::NoRoom => {
                return End::not_run("the buffers for requests are full").reply(front, admitted, 0);
            }
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

async fn read_body(
    mut payload: Payload,
    max_bytes: usize,
    held: &HeldBytes,
    read_limit: &ReadLimit,
) -> Result<Bytes, BodyError> {
    let mut first: Option<Bytes> = None;
    let mut all = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::Truncated)?;
        read_limit.take(chunk.len());
        if all.len() + first.as_ref().map_or(0, Bytes::len) + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        let reserved = tokio::time::timeout(MAX_ROOM_WAIT, held.reserve(chunk.len()));
        if !matches!(reserved.await, Ok(Ok(()))) {
            return Err(BodyError::NoRoom);
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
