//! One request, from its head to its answer.

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
    let mut left = LeftByCaller::new(&admitted);
    let body = match read_body(req.take_payload(), limits.body_bytes).await {
        Ok(body) => body,
        Err(unread) => {
            left.disarm();
            return unread.reply(&admitted.head.id).into_response(None, true);
        }
    };
    let (reply, stream) = match admitted.route.kind.is_stream() {
        true => stream::serve(&front, admitted, body, in_flight).await,
        false => (plain::serve(&front, admitted, body).await, None),
    };
    left.disarm();
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

/// Why a body was not taken.
enum Unread {
    TooLarge,
    BrokenOff,
}

impl Unread {
    fn reply(&self, id: &str) -> Reply {
        let (status, reason) = match self {
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            Self::BrokenOff => (StatusCode::BAD_REQUEST, "the body broke off"),
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

async fn read_body(mut payload: Payload, most: usize) -> Result<Bytes, Unread> {
    let mut first: Option<Bytes> = None;
    let mut all = BytesMut::new();
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|_| Unread::BrokenOff)?;
        if all.len() + first.as_ref().map_or(0, Bytes::len) + piece.len() > most {
            return Err(Unread::TooLarge);
        }
        match (first.take(), all.is_empty()) {
            (None, true) => first = Some(piece),
            (Some(before), _) => {
                all.extend_from_slice(&before);
                all.extend_from_slice(&piece);
            }
            (None, false) => all.extend_from_slice(&piece),
        }
    }
    Ok(first.unwrap_or_else(|| all.freeze()))
}

/// Reports that the caller closed its connection, which drops the handler.
struct LeftByCaller {
    id: Option<String>,
}

impl LeftByCaller {
    fn new(admitted: &Admitted) -> Self {
        Self {
            id: Some(admitted.head.id.clone()),
        }
    }

    fn disarm(&mut self) {
        self.id = None;
    }
}

impl Drop for LeftByCaller {
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
