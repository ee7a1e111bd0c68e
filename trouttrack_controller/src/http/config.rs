//! The whole configuration, as a fleet file.

use super::auth::operator;
use super::command::{change_response, unavailable};
use super::error::{AdminError, AdminErrorCode};
use crate::app::{Shared, Tools};
use crate::changes::{ChangeAnswer, ChangeOutcome, Current, Intent};
use actix_web::web::{Bytes, Data, Path, Query};
use actix_web::{HttpRequest, HttpResponse};
use serde::Deserialize;
use serde_json::json;
use trouttrack_config::Findings;
use trouttrack_config::fleet::{Change, from_document, to_ini};
use trouttrack_config::ini::Document;
use trouttrack_config::settings::Role;
use trouttrack_core::ConfigVersion;
use trouttrack_telemetry::events;

/// How findings name a file that came in a body.
const BODY: &str = "fleet.ini";

pub(super) async fn read(
    shared: Data<Shared>,
    tools: Data<Tools>,
    req: HttpRequest,
) -> HttpResponse {
    if let Err(e) = operator(&shared, &req, Role::Viewer) {
        return e.response();
    }
    match Current::best(&tools.store, &tools.gateways).await {
        Err(e) => unavailable(&e).response(),
        Ok(current) => HttpResponse::Ok()
            .content_type("text/plain; charset=utf-8")
            .insert_header(("x-config-version", current.view.version().to_string()))
            .body(to_ini(&current.view.fleet)),
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct Base {
    base: Option<ConfigVersion>,
}

pub(super) async fn replace(
    shared: Data<Shared>,
    tools: Data<Tools>,
    req: HttpRequest,
    q: Query<Base>,
    body: Bytes,
) -> HttpResponse {
    let who = match operator(&shared, &req, Role::Operator) {
        Ok(who) => who,
        Err(e) => return e.response(),
    };
    let Ok(text) = std::str::from_utf8(&body) else {
        let e = AdminError::new(AdminErrorCode::BadRequest, "the body is not UTF-8");
        return e.response();
    };
    events::OPERATOR.log(format_args!("operator={} command=apply", who.name));
    let mut findings = Findings::default();
    let doc = Document::parse(BODY, text, &mut findings);
    let fleet = match from_document(&doc, findings) {
        Ok(fleet) => fleet,
        Err(findings) => return change_response(&refused(&findings)),
    };
    let intent = Intent {
        author: who.name.clone(),
        summary: "apply of a fleet file".to_owned(),
        base: q.base,
    };
    let answer = tools
        .committer
        .change(&intent, &Change::Replace(fleet))
        .await;
    change_response(&answer)
}

fn refused(findings: &Findings) -> ChangeAnswer {
    ChangeAnswer {
        outcome: ChangeOutcome::Refused,
        change: String::new(),
        base: 0,
        version: None,
        in_force: Vec::new(),
        lagging: Vec::new(),
        unreachable: Vec::new(),
        findings: findings.iter().map(ToString::to_string).collect(),
        meanwhile: Vec::new(),
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct MadeOn {
    base: ConfigVersion,
}

pub(super) async fn state(
    shared: Data<Shared>,
    tools: Data<Tools>,
    req: HttpRequest,
    id: Path<String>,
    q: Query<MadeOn>,
) -> HttpResponse {
    if let Err(e) = operator(&shared, &req, Role::Viewer) {
        return e.response();
    }
    match tools.committer.state(&id, q.base).await {
        Ok(state) => HttpResponse::Ok().json(json!({ "change": *id, "state": state })),
        Err(e) => unavailable(&e).response(),
    }
}
