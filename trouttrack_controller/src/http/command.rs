//! `POST /v1/command`: the operators' language.

use super::auth::operator;
use super::error::{AdminError, AdminErrorCode};
use crate::app::{Shared, Tools};
use crate::changes::{ChangeAnswer, ChangeOutcome, Current, Intent};
use crate::tables;
use actix_web::http::StatusCode;
use actix_web::web::{Data, Json};
use actix_web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use trouttrack_config::fleet::{Change, EntityKind, Field, FleetView, diff};
use trouttrack_config::settings::{OperatorKey, Role};
use trouttrack_core::ConfigVersion;
use trouttrack_core::routing::Explanation;
use trouttrack_language::{Assignment, Command, Kind, Row, Why, parse, run};
use trouttrack_state::config_store::StoreError;
use trouttrack_telemetry::events;

/// The body of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandBody {
    /// The command.
    pub text: String,
    /// The version that the operator saw; a change on another is a conflict.
    #[serde(default)]
    pub base: Option<ConfigVersion>,
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowsBody {
    /// The rows.
    pub rows: Vec<Row>,
    /// Gateways that did not answer; their part is missing.
    pub unreachable: Vec<String>,
}

/// The answer to `why`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WhyBody {
    /// The decisions, oldest first, each with the gateway that made it.
    pub decisions: Vec<Explanation>,
    /// What was found out, in words.
    pub findings: Vec<String>,
    /// Gateways that did not answer; their part is missing.
    pub unreachable: Vec<String>,
}

pub(super) async fn command(
    shared: Data<Shared>,
    tools: Data<Tools>,
    req: HttpRequest,
    body: Json<CommandBody>,
) -> HttpResponse {
    let result = carry_out(&shared, &tools, &req, &body).await;
    result.unwrap_or_else(|e| e.response())
}

pub(super) fn unavailable(e: &StoreError) -> AdminError {
    AdminError::new(AdminErrorCode::Unavailable, e.to_string())
}

async fn carry_out(
    shared: &Shared,
    tools: &Tools,
    req: &HttpRequest,
    body: &CommandBody,
) -> Result<HttpResponse, AdminError> {
    // The key is looked at before the text, which may be anyone's.
    let who = operator(shared, req, Role::Viewer)?;
    let command = parse(&body.text)
        .map_err(|e| AdminError::new(AdminErrorCode::BadRequest, e.to_string()))?;
    match command {
        Command::Show(query) | Command::Watch(query) => {
            let found = tables::rows(query.table, &tools.store, &tools.gateways)
                .await
                .map_err(|e| unavailable(&e))?;
            Ok(HttpResponse::Ok().json(RowsBody {
                rows: run(&query, found.rows),
                unreachable: found.unreachable,
            }))
        }
        Command::Why(Why::Request(id)) => Ok(why_request(tools, id).await),
        Command::Why(Why::Upstream(name)) => why_upstream(tools, &name).await,
        Command::Diff(from, to) => show_diff(tools, from, to).await,
        Command::Undo(version) => {
            operator(shared, req, Role::Operator)?;
            let change = undo(tools, version).await?;
            Ok(change_response(
                &commit(tools, who, body, &command_text(body), &change).await,
            ))
        }
        Command::Create(..)
        | Command::Set(..)
        | Command::Delete(..)
        | Command::Drain(_)
        | Command::Undrain(_)
        | Command::Evacuate(_)
        | Command::TakeBack(_) => {
            operator(shared, req, Role::Operator)?;
            let summary = command.to_string();
            let change = to_change(command);
            let answer = commit(tools, who, body, &summary, &change).await;
            Ok(change_response(&answer))
        }
    }
}

fn command_text(body: &CommandBody) -> String {
    parse(&body.text).map_or_else(|_| String::new(), |c| c.to_string())
}

async fn commit(
    tools: &Tools,
    who: &OperatorKey,
    body: &CommandBody,
    summary: &str,
    change: &Change,
) -> ChangeAnswer {
    events::OPERATOR.log(format_args!("operator={} command={summary}", who.name));
    let intent = Intent {
        author: who.name.clone(),
        summary: summary.to_owned(),
        base: body.base,
    };
    tools.committer.change(&intent, change).await
}

/// The response to a change; its status tells the outcome too.
pub(super) fn change_response(answer: &ChangeAnswer) -> HttpResponse {
    let status = match answer.outcome {
        ChangeOutcome::InForce => StatusCode::OK,
        ChangeOutcome::Committed => StatusCode::ACCEPTED,
        ChangeOutcome::Refused => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeOutcome::Conflict => StatusCode::CONFLICT,
        ChangeOutcome::NotWritten => StatusCode::SERVICE_UNAVAILABLE,
        ChangeOutcome::Unsettled => StatusCode::GATEWAY_TIMEOUT,
    };
    HttpResponse::build(status).json(answer)
}

fn entity_kind(kind: Kind) -> EntityKind {
    match kind {
        Kind::Service => EntityKind::Service,
        Kind::Organisation => EntityKind::Organisation,
        Kind::Upstream => EntityKind::Upstream,
        Kind::Rule => EntityKind::Rule,
    }
}

fn fields(list: Vec<Assignment>) -> Vec<Field> {
    let field = |a: Assignment| Field {
        key: a.field,
        value: a.value,
    };
    list.into_iter().map(field).collect()
}

fn draining(name: String, yes: bool) -> Change {
    let value = if yes { "yes" } else { "no" };
    let field = Field {
        key: "draining".to_owned(),
        value: value.to_owned(),
    };
    Change::Set(EntityKind::Upstream, name, vec![field])
}

/// The change that a command asks for.
fn to_change(command: Command) -> Change {
    match command {
        Command::Create(kind, name, list) => Change::Create(entity_kind(kind), name, fields(list)),
        Command::Set(kind, name, list) => Change::Set(entity_kind(kind), name, fields(list)),
        Command::Delete(kind, name) => Change::Delete(entity_kind(kind), name),
        Command::Drain(name) => draining(name, true),
        Command::Undrain(name) => draining(name, false),
        Command::Evacuate(name) => Change::Create(EntityKind::Evacuation, name, Vec::new()),
        Command::TakeBack(name) => Change::Delete(EntityKind::Evacuation, name),
        Command::Show(_)
        | Command::Watch(_)
        | Command::Why(_)
        | Command::Diff(..)
        | Command::Undo(_) => unreachable!("only changes of entities come here"),
    }
}

/// The configuration of a past version.
async fn past(tools: &Tools, version: ConfigVersion) -> Result<FleetView, AdminError> {
    let root = tools.store.root().await.map_err(|e| unavailable(&e))?.root;
    let not_found = || {
        let message = format!("version {version} is not among the last changes");
        AdminError::new(AdminErrorCode::NotFound, message)
    };
    if root.version == version {
        let view = tools.store.view(&root, &[]).await;
        return view.map_err(|e| unavailable(&e));
    }
    let change = root.recent.iter().find(|c| c.version == version);
    let change = change.ok_or_else(not_found)?;
    let past = tools.store.past(&change.change).await;
    let past = past.map_err(|e| unavailable(&e))?.ok_or_else(not_found)?;
    let view = tools.store.view(&past, &[]).await;
    view.map_err(|e| unavailable(&e))
}

async fn undo(tools: &Tools, version: ConfigVersion) -> Result<Change, AdminError> {
    Ok(Change::Replace(past(tools, version).await?.fleet))
}

async fn show_diff(
    tools: &Tools,
    from: ConfigVersion,
    to: Option<ConfigVersion>,
) -> Result<HttpResponse, AdminError> {
    let before = past(tools, from).await?;
    let after = match to {
        Some(to) => past(tools, to).await?,
        None => {
            let current = Current::from_platform(&tools.store, &[]).await;
            current.map_err(|e| unavailable(&e))?.view
        }
    };
    let lines = diff(&before.fleet, &after.fleet);
    let rows = lines
        .iter()
        .filter_map(|line| match serde_json::to_value(line) {
            Ok(Value::Object(map)) => Some(map),
            _ => None,
        })
        .collect();
    Ok(HttpResponse::Ok().json(RowsBody {
        rows,
        unreachable: Vec::new(),
    }))
}

async fn why_request(tools: &Tools, id: String) -> HttpResponse {
    let mut body = WhyBody {
        decisions: Vec::new(),
        findings: Vec::new(),
        unreachable: Vec::new(),
    };
    let answers = tools
        .gateways
        .call_all(|client, cx| {
            let id = id.clone();
            async move { client.why(cx, id).await }
        })
        .await;
    for a in answers {
        match a.result {
            Ok(list) => body.decisions.extend(list),
            Err(_) => body.unreachable.push(a.addr.to_string()),
        }
    }
    if body.decisions.is_empty() {
        let finding = "no gateway that answers remembers a decision about it";
        body.findings.push(finding.to_owned());
    }
    for d in &body.decisions {
        let upstream = d.chosen.as_deref().unwrap_or("none");
        body.findings.push(format!(
            "waited {} ms, then placed on {upstream}: {}",
            d.waited.as_millis(),
            d.rule
        ));
    }
    HttpResponse::Ok().json(body)
}

async fn why_upstream(tools: &Tools, name: &str) -> Result<HttpResponse, AdminError> {
    let current = Current::best(&tools.store, &tools.gateways)
        .await
        .map_err(|e| unavailable(&e))?;
    let Some(upstream) = current.view.upstream(name) else {
        let message = format!("no upstream is named `{name}`");
        return Err(AdminError::new(AdminErrorCode::NotFound, message));
    };
    let mut findings = Vec::new();
    if upstream.draining {
        findings.push("an operator drains it".to_owned());
    }
    let mut unreachable = Vec::new();
    let answers = tools
        .gateways
        .call_all(async |client, cx| client.upstreams(cx).await)
        .await;
    for a in answers {
        let Ok(list) = a.result else {
            unreachable.push(a.addr.to_string());
            continue;
        };
        for u in list.iter().filter(|u| u.name == name) {
            let age = match u.report_age {
                Some(age) => format!("last report {} ms ago", age.as_millis()),
                None => "no load report".to_owned(),
            };
            let leaving = if u.leaving {
                "gets no new work"
            } else {
                "gets work"
            };
            findings.push(format!(
                "{}: {leaving}, circuit {}, {} own of {} running of at most {}, memory forecast {:.0}%, {age}",
                u.gateway,
                u.circuit,
                u.own_running,
                u.running,
                upstream.max_running,
                u.fill * 100.0
            ));
        }
    }
    Ok(HttpResponse::Ok().json(WhyBody {
        decisions: Vec::new(),
        findings,
        unreachable,
    }))
}
