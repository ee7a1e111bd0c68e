//! A caller that comes back for the rest of its stream.

use super::auth::{Admitted, admit};
use super::error::{ApiError, ErrorCode};
use super::{completions, respond};
use crate::app::Shared;
use crate::request::{Answer, Clients, Face, Handle, Session, SessionParts, Target};
use actix_web::web::{Data, Path};
use actix_web::{HttpRequest, HttpResponse};
use std::sync::Arc;
use std::time::Instant;
use trouttrack_telemetry::trace::RequestTrace;

/// `GET /v1/requests/{handle}`, with `Last-Event-ID` if tokens have come.
pub(super) async fn resume(
    shared: Data<Shared>,
    clients: Data<Clients>,
    req: HttpRequest,
    handle: Path<String>,
) -> HttpResponse {
    let result = serve(shared, clients, &req, &handle).await;
    result.unwrap_or_else(|e| e.response())
}

/// The index after the last event that the caller has.
fn next_index(req: &HttpRequest) -> Option<u64> {
    match req.headers().get("last-event-id") {
        None => Some(0),
        Some(v) => v.to_str().ok()?.parse::<u64>().ok()?.checked_add(1),
    }
}

async fn serve(
    shared: Data<Shared>,
    clients: Data<Clients>,
    req: &HttpRequest,
    text: &str,
) -> Result<HttpResponse, ApiError> {
    let arrived = Instant::now();
    let admitted = admit(&shared, req)?;
    let refuse = |code, message: &str| ApiError::new(code, &admitted.id, message);
    let organisation = admitted.organisation();
    // Whose handle it is, is not told to another organisation.
    let handle = shared
        .sealer
        .open(text)
        .ok()
        .filter(|h| h.organisation == organisation.name)
        .ok_or_else(|| refuse(ErrorCode::BadHandle, "the handle is not valid"))?;
    let next = next_index(req)
        .ok_or_else(|| refuse(ErrorCode::BadRequest, "`Last-Event-ID` must be a number"))?;
    let again = Again {
        handle: &handle,
        next,
        arrived,
    };
    let trace = completions::trace(&shared, req, "resume");
    let (session, answer) = session(&shared, &clients, &admitted, again, trace)?;
    respond::stream(session, answer).await
}

/// A stream that is to be attached to again.
pub(super) struct Again<'a> {
    pub(super) handle: &'a Handle,
    pub(super) next: u64,
    pub(super) arrived: Instant,
}

/// A session that attaches to the stream of a handle.
pub(super) fn session(
    shared: &Data<Shared>,
    clients: &Data<Clients>,
    admitted: &Admitted,
    again: Again<'_>,
    trace: RequestTrace,
) -> Result<(Session, Answer), ApiError> {
    let handle = again.handle;
    let gone = || {
        let message = "the stream is not known any more";
        ApiError::new(ErrorCode::BadHandle, &admitted.id, message)
    };
    let upstream = admitted.view.upstream(&handle.upstream).ok_or_else(gone)?;
    let service = admitted.view.service(&handle.service).ok_or_else(gone)?;
    let parts = SessionParts {
        id: handle.request.clone(),
        ..admitted.parts(service, service.priority, again.arrived)
    };
    let answer = Answer {
        id: handle.request.clone(),
        model: handle.service.clone(),
        face: match handle.chat {
            true => Face::Chat,
            false => Face::Completion,
        },
        created: completions::unix_seconds(),
        prompt_tokens: 0,
    };
    let session = Session::returning(
        Arc::clone(shared),
        clients.get_ref().clone(),
        parts,
        trace,
        handle,
        again.next,
        Target::from(upstream),
    );
    Ok((session, answer))
}
