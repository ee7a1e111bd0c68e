//! The HTTP routes of the object API.

use super::faults::{PlatformFault, PlatformFaultKind};
use super::state::{Call, Change, Condition, PlatformState, VmEntry};
use actix_web::http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use actix_web::web::{
    Bytes, Data, Json, Path, PayloadConfig, Query, ServiceConfig, delete, get, post, put,
};
use actix_web::{HttpRequest, HttpResponse};
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// The largest object.
const MAX_OBJECT: usize = 1024 * 1024;
/// How long a watch waits at most.
const MAX_WAIT: Duration = Duration::from_secs(30);

pub(super) fn routes(cfg: &mut ServiceConfig, state: Data<PlatformState>) {
    cfg.app_data(state)
        .app_data(PayloadConfig::new(MAX_OBJECT))
        .route("/v1/objects/{key:.*}", get().to(read))
        .route("/v1/objects/{key:.*}", put().to(write))
        .route("/v1/objects/{key:.*}", delete().to(remove))
        .route("/v1/list", get().to(list))
        .route("/v1/watch", get().to(watch))
        .route("/v1/vms", get().to(vms))
        .route("/standin/faults", post().to(arm))
        .route("/standin/faults", delete().to(disarm))
        .route("/standin/vms", put().to(set_vms))
        .route("/standin/calls", get().to(calls));
}

fn down() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(json!({ "error": "down" }))
}

/// Counts the call and plays the fault of a call without effect. `Ok` says
/// which fault is still to be played.
async fn begin(
    state: &PlatformState,
    call: Call,
) -> Result<Option<PlatformFaultKind>, HttpResponse> {
    let fault = state.strike(call == Call::Write);
    match fault {
        Some(PlatformFaultKind::Down) => return Err(down()),
        Some(PlatformFaultKind::LoseCall) => std::future::pending().await,
        Some(kind @ PlatformFaultKind::Slow { .. }) => tokio::time::sleep(kind.delay()).await,
        _ => {}
    }
    if !state.count(call) {
        return Err(HttpResponse::TooManyRequests().json(json!({ "error": "rate" })));
    }
    Ok(fault)
}

async fn read(state: Data<PlatformState>, key: Path<String>) -> HttpResponse {
    if let Err(refusal) = begin(&state, Call::Read).await {
        return refusal;
    }
    match state.get(&key) {
        None => HttpResponse::NotFound().json(json!({ "error": "absent" })),
        Some(o) => HttpResponse::Ok()
            .insert_header((ETAG, format!("\"{}\"", o.version)))
            .body(o.body),
    }
}

fn condition(req: &HttpRequest) -> Option<Condition> {
    let header = |name| {
        let value = req.headers().get(name)?;
        Some(value.to_str().unwrap_or_default().to_owned())
    };
    if let Some(v) = header(IF_NONE_MATCH) {
        return (v == "*").then_some(Condition::Absent);
    }
    match header(IF_MATCH) {
        None => Some(Condition::Any),
        Some(v) => v.trim_matches('"').parse().ok().map(Condition::Version),
    }
}

async fn write(
    state: Data<PlatformState>,
    key: Path<String>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    change(state, &key, &req, Some(body)).await
}

async fn remove(state: Data<PlatformState>, key: Path<String>, req: HttpRequest) -> HttpResponse {
    change(state, &key, &req, None).await
}

async fn change(
    state: Data<PlatformState>,
    key: &str,
    req: &HttpRequest,
    body: Option<Bytes>,
) -> HttpResponse {
    let Some(condition) = condition(req) else {
        return HttpResponse::BadRequest().json(json!({ "error": "condition" }));
    };
    let fault = match begin(&state, Call::Write).await {
        Ok(fault) => fault,
        Err(refusal) => return refusal,
    };
    if let Some(kind @ PlatformFaultKind::LateEffect { .. }) = fault {
        late_effect(
            state.into_inner(),
            key.to_owned(),
            condition,
            body,
            kind.delay(),
        );
        return std::future::pending().await;
    }
    let result = state.write(key, condition, body);
    if fault == Some(PlatformFaultKind::LoseReply) {
        std::future::pending::<()>().await;
    }
    match result {
        Ok(version) => HttpResponse::Ok().json(json!({ "version": version })),
        Err(current) => HttpResponse::PreconditionFailed().json(json!({ "version": current })),
    }
}

/// A write that was under way when its connection died, and lands later.
fn late_effect(
    state: Arc<PlatformState>,
    key: String,
    condition: Condition,
    body: Option<Bytes>,
    delay: Duration,
) {
    actix_rt::spawn(async move {
        tokio::time::sleep(delay).await;
        // Nobody waits for the result.
        let _ = state.write(&key, condition, body);
    });
}

#[derive(Debug, Deserialize)]
struct Prefix {
    #[serde(default)]
    prefix: String,
}

async fn list(state: Data<PlatformState>, q: Query<Prefix>) -> HttpResponse {
    if let Err(refusal) = begin(&state, Call::Read).await {
        return refusal;
    }
    let (revision, changes) = state.list(&q.prefix);
    answer(revision, true, &changes)
}

fn answer(revision: u64, complete: bool, changes: &[Change]) -> HttpResponse {
    HttpResponse::Ok().json(json!({
        "revision": revision,
        "complete": complete,
        "changes": changes,
    }))
}

#[derive(Debug, Deserialize)]
struct Watch {
    #[serde(default)]
    prefix: String,
    since: u64,
    wait_ms: Option<u64>,
}

async fn watch(state: Data<PlatformState>, q: Query<Watch>) -> HttpResponse {
    if let Err(refusal) = begin(&state, Call::Watch).await {
        return refusal;
    }
    let wait = q.wait_ms.map_or(MAX_WAIT, Duration::from_millis);
    let until = tokio::time::Instant::now() + wait.min(MAX_WAIT);
    loop {
        let changed = state.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        match state.since(&q.prefix, q.since) {
            None => {
                let (revision, changes) = state.list(&q.prefix);
                return answer(revision, true, &changes);
            }
            Some((revision, changes)) if !changes.is_empty() => {
                return answer(revision, false, &changes);
            }
            Some((revision, _)) => {
                if tokio::time::timeout_at(until, changed).await.is_err() {
                    return answer(revision, false, &[]);
                }
            }
        }
    }
}

async fn vms(state: Data<PlatformState>) -> HttpResponse {
    if let Err(refusal) = begin(&state, Call::Read).await {
        return refusal;
    }
    HttpResponse::Ok().json(state.vms())
}

async fn arm(state: Data<PlatformState>, fault: Json<PlatformFault>) -> HttpResponse {
    state.arm(fault.into_inner());
    HttpResponse::NoContent().finish()
}

async fn disarm(state: Data<PlatformState>) -> HttpResponse {
    state.disarm();
    HttpResponse::NoContent().finish()
}

async fn set_vms(state: Data<PlatformState>, vms: Json<Vec<VmEntry>>) -> HttpResponse {
    state.set_vms(vms.into_inner());
    HttpResponse::NoContent().finish()
}

async fn calls(state: Data<PlatformState>) -> HttpResponse {
    HttpResponse::Ok().json(state.calls())
}
