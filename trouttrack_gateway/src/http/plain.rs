//! Calls to plain services.

use super::auth::admit;
use super::body;
use super::claim::{self, Claimed};
use super::completions::trace;
use super::error::{ApiError, ErrorCode};
use crate::app::Shared;
use crate::request::{Clients, PlainCall, SessionParts, run_plain};
use actix_web::http::header::CONTENT_TYPE;
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use std::time::Instant;
use trouttrack_config::fleet::ServiceKind;

pub(super) async fn call(
    shared: Data<Shared>,
    clients: Data<Clients>,
    req: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let result = serve(shared, clients, &req, payload).await;
    result.unwrap_or_else(|e| e.response())
}

async fn serve(
    shared: Data<Shared>,
    clients: Data<Clients>,
    req: &HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    let arrived = Instant::now();
    let admitted = admit(&shared, req)?;
    let organisation = admitted.organisation();
    let asked = req.match_info().get("service").unwrap_or_default();
    let resolved = admitted
        .view
        .resolve(asked, &organisation.name, rand::random())
        .filter(|r| r.service.kind == ServiceKind::Plain);
    let Some(resolved) = resolved else {
        shared.note_refused(&admitted.id, ErrorCode::UnknownModel.as_str());
        let message = format!("no plain service is named `{asked}`");
        return Err(ApiError::new(
            ErrorCode::UnknownModel,
            &admitted.id,
            message,
        ));
    };
    let content = body::read(&shared, &admitted.id, payload).await?;
    let trace = trace(&shared, req, "plain call");
    let claimed = claim::claim(&shared, req, &admitted, &trace).await?;
    let parts = SessionParts {
        claimed: claimed == Claimed::Won,
        ..admitted.parts(resolved.service, resolved.priority, arrived)
    };
    let rest = req.match_info().get("path").unwrap_or_default();
    let query = match req.query_string() {
        "" => String::new(),
        q => format!("?{q}"),
    };
    let call = PlainCall {
        method: req.method().clone(),
        path: format!("/{rest}{query}"),
        content_type: req.headers().get(CONTENT_TYPE).cloned(),
        body: content,
    };
    match run_plain(&shared, &clients, &parts, &call, &trace).await {
        Err(ending) => Err(ApiError::ended(&parts.id, &ending)),
        Ok(answer) => {
            let mut res = HttpResponse::build(answer.status);
            if let Some(t) = answer.content_type {
                res.insert_header((CONTENT_TYPE, t));
            }
            Ok(res
                .insert_header(("x-request-id", parts.id.as_str()))
                .insert_header(("x-outcome", "complete"))
                .body(answer.body))
        }
    }
}
