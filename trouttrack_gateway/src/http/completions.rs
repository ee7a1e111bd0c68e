//! Completions.

use super::auth::{Admitted, admit};
use super::claim::{self, Claimed};
use super::error::{ApiError, ErrorCode};
use super::{body, respond, resume};
use crate::app::Shared;
use crate::request::{Answer, Ask, Clients, Face, Session, SessionParts};
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use serde_json::json;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use trouttrack_config::fleet::ServiceKind;
use trouttrack_telemetry::trace::RequestTrace;

pub(super) async fn completion(
    shared: Data<Shared>,
    clients: Data<Clients>,
    req: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let result = serve(Face::Completion, shared, clients, req, payload).await;
    result.unwrap_or_else(|e| e.response())
}

pub(super) async fn chat(
    shared: Data<Shared>,
    clients: Data<Clients>,
    req: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let result = serve(Face::Chat, shared, clients, req, payload).await;
    result.unwrap_or_else(|e| e.response())
}

/// The request's trace, below the caller's if it sent one.
pub(super) fn trace(shared: &Shared, req: &HttpRequest, name: &'static str) -> RequestTrace {
    let given = req.headers().get("traceparent");
    let given = given.and_then(|v| v.to_str().ok());
    RequestTrace::start(&shared.tracing, name, given)
}

async fn serve(
    face: Face,
    shared: Data<Shared>,
    clients: Data<Clients>,
    req: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    let arrived = Instant::now();
    let admitted = admit(&shared, &req)?;
    let body = body::read(&shared, &admitted.id, payload).await?;
    let ask = Ask::parse(face, &body).map_err(|e| {
        shared.note_refused(&admitted.id, ErrorCode::BadRequest.as_str());
        ApiError::new(ErrorCode::BadRequest, &admitted.id, e.to_string())
    })?;
    let parts = resolve(&shared, &admitted, &ask, arrived)?;
    let answer = Answer {
        id: admitted.id.clone(),
        model: ask.model.clone(),
        face,
        created: unix_seconds(),
        prompt_tokens: ask.prompt_tokens,
    };
    let stream = ask.stream;
    let trace = trace(&shared, &req, "completion");
    let claimed = claim::claim(&shared, &req, &admitted, &trace).await?;
    if let Claimed::Repeat(handle) = &claimed {
        let again = resume::Again {
            handle,
            next: 0,
            arrived,
        };
        let (session, answer) = resume::session(&shared, &clients, &admitted, again, trace)?;
        return respond(session, answer, stream).await;
    }
    let parts = SessionParts {
        ask: Some(ask),
        claimed: claimed == Claimed::Won,
        ..parts
    };
    let session = Session::new(Arc::clone(&shared), clients.get_ref().clone(), parts, trace);
    respond(session, answer, stream).await
}

async fn respond(session: Session, answer: Answer, stream: bool) -> Result<HttpResponse, ApiError> {
    match stream {
        true => respond::stream(session, answer).await,
        false => respond::whole(session, answer).await,
    }
}

pub(super) fn unix_seconds() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_secs())
}

/// Finds the service for what the caller asks.
fn resolve(
    shared: &Shared,
    admitted: &Admitted,
    ask: &Ask,
    arrived: Instant,
) -> Result<SessionParts, ApiError> {
    let organisation = admitted.organisation();
    let draw = rand::random();
    let resolved = admitted
        .view
        .resolve(&ask.model, &organisation.name, draw)
        .filter(|r| r.service.kind == ServiceKind::Model);
    let Some(resolved) = resolved else {
        shared.note_refused(&admitted.id, ErrorCode::UnknownModel.as_str());
        let message = format!("no model service is named `{}`", ask.model);
        return Err(ApiError::new(
            ErrorCode::UnknownModel,
            &admitted.id,
            message,
        ));
    };
    Ok(admitted.parts(resolved.service, resolved.priority, arrived))
}

/// Lists the model services, as clients of this API expect.
pub(super) async fn models(shared: Data<Shared>, req: HttpRequest) -> HttpResponse {
    let admitted = match admit(&shared, &req) {
        Ok(admitted) => admitted,
        Err(e) => return e.response(),
    };
    let services = admitted.view.fleet.services.iter();
    let data: Vec<_> = services
        .filter(|s| s.kind == ServiceKind::Model)
        .map(|s| json!({ "id": s.name, "object": "model", "owned_by": "trouttrack" }))
        .collect();
    HttpResponse::Ok().json(json!({ "object": "list", "data": data }))
}
