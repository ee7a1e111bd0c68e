//! The HTTP routes of an engine.

use super::faults::{Fault, FaultKind, On};
use super::frames::{self, Label};
use super::orders::Order;
use super::state::{End, EngineState, Intake, NotTaken, Stream};
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web::{Bytes, Data, Json, Path, Query, ServiceConfig, delete, get, patch, post};
use bytes::BytesMut;
use futures_util::stream::unfold;
use serde::Deserialize;
use serde_json::json;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use uuid::Uuid;

/// The most frames in one write.
const FRAMES: u64 = 64;
/// Tokens when the request does not say.
const DEFAULT_MAX_TOKENS: u64 = 32_768;
/// How late a late call arrives.
const LATE: Duration = Duration::from_millis(600);
const BOOT_HEADER: &str = "x-engine-boot";

pub(super) fn routes(cfg: &mut ServiceConfig, state: Data<EngineState>) {
    cfg.app_data(state)
        .app_data(actix_web::web::JsonConfig::default().limit(4 << 20))
        .route("/v1/completions", post().to(complete))
        .route("/v1/chat/completions", post().to(complete))
        .route("/v1/streams/{id}", get().to(attach))
        .route("/v1/streams/{id}", delete().to(cancel))
        .route("/v1/streams/{id}", patch().to(reprioritise))
        .route("/v1/load", get().to(load))
        .route("/v1/cache/events", get().to(events))
        .route("/v1/orders", post().to(order))
        .route("/v1/orders", get().to(orders))
        .route("/standin/ledger", get().to(ledger))
        .route("/standin/faults", post().to(arm))
        .route("/standin/faults", delete().to(disarm))
        .route("/standin/restart", post().to(restart))
        .route("/standin/leave", post().to(leave))
        .route("/standin/leave", delete().to(stay));
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u64>,
    stream_id: Option<String>,
    #[serde(default)]
    priority: u8,
}

impl Completion {
    fn intake(self) -> Intake {
        let chat = !self.messages.is_empty();
        let prompt = if chat {
            let lines = self.messages.iter();
            lines
                .map(|m| format!("{}: {}\n", m.role, m.content))
                .collect()
        } else {
            self.prompt
        };
        Intake {
            id: self.stream_id.unwrap_or_else(|| Uuid::new_v4().to_string()),
            model: self.model,
            chat,
            prompt,
            priority: self.priority,
            max_tokens: self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        }
    }
}

fn problem(status: StatusCode, code: &str) -> HttpResponse {
    HttpResponse::build(status).json(json!({ "error": { "code": code } }))
}

fn not_run(code: &str) -> HttpResponse {
    problem(StatusCode::SERVICE_UNAVAILABLE, code)
}

async fn complete(state: Data<EngineState>, body: Json<Completion>) -> HttpResponse {
    let fault = state.strike(On::Submit);
    let intake = body.into_inner().intake();
    match fault.map(|f| f.kind) {
        Some(FaultKind::Refuse) => return not_run("not_started"),
        Some(FaultKind::LoseCall) => return std::future::pending().await,
        Some(FaultKind::LateCall) => {
            submit_late(state.into_inner(), intake);
            return std::future::pending().await;
        }
        _ => {}
    }
    let stream = match state.submit(intake) {
        Ok(stream) => stream,
        Err(NotTaken::Known) => return problem(StatusCode::CONFLICT, "stream_known"),
        Err(NotTaken::Fenced) => return problem(StatusCode::CONFLICT, "stream_fenced"),
        Err(NotTaken::Leaving) => return not_run("not_started"),
    };
    if fault.is_some_and(|f| f.kind == FaultKind::Restart) {
        state.restart();
    }
    respond(state, stream, 0, fault)
}

/// A call that was under way when its connection died, and arrives later.
fn submit_late(state: Arc<EngineState>, intake: Intake) {
    actix_rt::spawn(async move {
        tokio::time::sleep(LATE).await;
        // Nobody waits for the result.
        let _ = state.submit(intake);
    });
}

#[derive(Debug, Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

async fn attach(state: Data<EngineState>, id: Path<String>, q: Query<From>) -> HttpResponse {
    let fault = state.strike(On::Attach);
    match fault.map(|f| f.kind) {
        Some(FaultKind::Refuse) => return not_run("not_started"),
        Some(FaultKind::LoseCall) => std::future::pending().await,
        _ => {}
    }
    match state.stream(&id) {
        Some(stream) => respond(state, stream, q.from, fault),
        None => problem(StatusCode::NOT_FOUND, "stream_unknown"),
    }
}

/// One reader of a stream.
struct Reader {
    state: Data<EngineState>,
    stream: Arc<Stream>,
    next: u64,
    fault: Option<Fault>,
    ended: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.stream.readers.fetch_sub(1, Ordering::AcqRel);
    }
}

fn respond(
    state: Data<EngineState>,
    stream: Arc<Stream>,
    next: u64,
    fault: Option<Fault>,
) -> HttpResponse {
    stream.readers.fetch_add(1, Ordering::AcqRel);
    let boot = state.boot();
    let reader = Reader {
        state,
        stream,
        next,
        fault,
        ended: false,
    };
    let body = unfold(reader, async |mut r| {
        let chunk = r.chunk().await?;
        Some((chunk, r))
    });
    HttpResponse::Ok()
        .insert_header(("content-type", "text/event-stream"))
        .insert_header((BOOT_HEADER, boot))
        .streaming(body)
}

fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "cut off by a fault")
}

impl Reader {
    async fn chunk(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.ended {
            return None;
        }
        loop {
            let stream = Arc::clone(&self.stream);
            let changed = stream.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if stream.gone.load(Ordering::Acquire) {
                self.ended = true;
                return Some(Err(cut()));
            }
            // The end is read first: what was written before it is then seen.
            let end = stream.end.get().copied();
            let written = stream.written.load(Ordering::Acquire);
            if let Some(fault) = self.due(written, end) {
                self.fault = None;
                match self.strike(fault).await {
                    Some(chunk) => return Some(chunk),
                    None => continue,
                }
            }
            if self.next < written {
                return Some(Ok(self.tokens(written)));
            }
            if let Some(end) = end {
                return Some(Ok(self.end(end, written)));
            }
            changed.await;
        }
    }

    /// The fault, once the stream has come to its place.
    fn due(&self, written: u64, end: Option<End>) -> Option<Fault> {
        let fault = self.fault?;
        let at_place = self.next >= fault.at && (written > self.next || fault.at == self.next);
        (at_place || end.is_some() && self.next >= written).then_some(fault)
    }

    fn tokens(&mut self, written: u64) -> Bytes {
        let mut last = written.min(self.next + FRAMES);
        if let Some(f) = self.fault.filter(|f| f.at > self.next) {
            last = last.min(f.at);
        }
        let mut buf = BytesMut::new();
        while self.next < last {
            self.token(&mut buf, self.next);
            self.next += 1;
        }
        buf.freeze()
    }

    fn token(&self, buf: &mut BytesMut, index: u64) {
        let label = Label {
            id: &self.stream.id,
            generation: self.stream.generation,
        };
        frames::token(buf, &self.stream, label, index);
    }

    fn end(&mut self, end: End, tokens: u64) -> Bytes {
        self.ended = true;
        let mut buf = BytesMut::new();
        frames::end(&mut buf, &self.stream, end, tokens);
        buf.freeze()
    }

    /// Does what the fault says. `None` means to go on.
    async fn strike(&mut self, fault: Fault) -> Option<Result<Bytes, io::Error>> {
        let mut buf = BytesMut::new();
        let own = self.stream.generation;
        match fault.kind {
            FaultKind::Reset => {
                self.ended = true;
                return Some(Err(cut()));
            }
            FaultKind::Silent => std::future::pending().await,
            FaultKind::Duplicate => {
                for index in self.next.saturating_sub(3)..self.next {
                    self.token(&mut buf, index);
                }
            }
            FaultKind::Gap => self.next += 1,
            FaultKind::Crossed => {
                let label = Label {
                    id: "stream-of-another",
                    generation: own,
                };
                frames::token(&mut buf, &self.stream, label, self.next);
            }
            FaultKind::OtherGeneration => {
                let label = Label {
                    id: &self.stream.id,
                    generation: own ^ 1,
                };
                frames::token(&mut buf, &self.stream, label, self.next);
            }
            FaultKind::Abort => self.state.abort(&self.stream),
            FaultKind::Refuse | FaultKind::Restart | FaultKind::LoseCall | FaultKind::LateCall => {}
        }
        (!buf.is_empty()).then(|| Ok(buf.freeze()))
    }
}

#[derive(Debug, Deserialize)]
struct CancelQuery {
    #[serde(default)]
    only_unread: bool,
}

async fn cancel(state: Data<EngineState>, id: Path<String>, q: Query<CancelQuery>) -> HttpResponse {
    if let Some(fault) = state.strike(On::Cancel) {
        match fault.kind {
            FaultKind::Silent => std::future::pending().await,
            _ => return not_run("busy"),
        }
    }
    HttpResponse::Ok().json(state.cancel(&id, q.only_unread))
}

#[derive(Debug, Deserialize)]
struct Reprioritise {
    priority: u8,
}

async fn reprioritise(
    state: Data<EngineState>,
    id: Path<String>,
    body: Json<Reprioritise>,
) -> HttpResponse {
    if state.set_priority(&id, body.priority) {
        HttpResponse::NoContent().finish()
    } else {
        problem(StatusCode::NOT_FOUND, "stream_unknown")
    }
}

async fn load(state: Data<EngineState>) -> HttpResponse {
    if let Some(fault) = state.strike(On::Load) {
        match fault.kind {
            FaultKind::Silent => std::future::pending().await,
            _ => return not_run("busy"),
        }
    }
    HttpResponse::Ok().json(state.report())
}

#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

async fn events(state: Data<EngineState>, q: Query<After>) -> HttpResponse {
    HttpResponse::Ok().json(state.events_after(q.after))
}

async fn order(state: Data<EngineState>, body: Json<Order>) -> HttpResponse {
    match state.order(body.into_inner()) {
        None => problem(StatusCode::CONFLICT, "stale_epoch"),
        Some(fetch) => {
            if fetch {
                tokio::time::sleep(state.options.weight_fetch).await;
            }
            HttpResponse::Ok().json(state.orders())
        }
    }
}

async fn orders(state: Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(state.orders())
}

async fn ledger(state: Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(state.ledger())
}

async fn arm(state: Data<EngineState>, fault: Json<Fault>) -> HttpResponse {
    state.arm(fault.into_inner());
    HttpResponse::NoContent().finish()
}

async fn disarm(state: Data<EngineState>) -> HttpResponse {
    state.disarm();
    HttpResponse::NoContent().finish()
}

async fn restart(state: Data<EngineState>) -> HttpResponse {
    state.restart();
    HttpResponse::NoContent().finish()
}

async fn leave(state: Data<EngineState>) -> HttpResponse {
    state.set_leaving(true);
    HttpResponse::NoContent().finish()
}

async fn stay(state: Data<EngineState>) -> HttpResponse {
    state.set_leaving(false);
    HttpResponse::NoContent().finish()
}
