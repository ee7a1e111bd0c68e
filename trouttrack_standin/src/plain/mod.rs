//! A plain service: it answers, counts and keeps a ledger.

use crate::ledger::{LedgerFile, LedgerLine};
use crate::server::{Running, StandInError, bind};
use actix_web::web::{Bytes, Data, Json, ServiceConfig, delete, get, post, route};
use actix_web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlainFault {
    /// The call is refused and not run.
    Refuse,
    /// The call takes effect and is never answered.
    LoseReply,
    /// The call takes effect and the answer stops half way.
    CutReply,
    /// The call takes effect; half of the answer comes without a length or chunks, and ends with
    /// its connection.
    UnframedHalf,
    /// The call is never answered and has no effect.
    LoseCall,
}

/// One run in the service's own books.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainRun {
    /// The path that was called.
    pub path: String,
    /// The gateway's id of the hand-over.
    pub stream: String,
    /// The body.
    pub body: String,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Vec<PlainFault>,
    ledger: Vec<PlainRun>,
}

/// The state of one plain service.
#[derive(Debug)]
pub struct PlainState {
    name: String,
    delay: Duration,
    inner: Mutex<Inner>,
    file: LedgerFile,
}

impl PlainState {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    /// Arms a fault for one call; the oldest strikes first.
    pub fn arm(&self, fault: PlainFault) {
        self.lock().faults.push(fault);
    }

    /// Every call that took effect.
    #[must_use]
    pub fn ledger(&self) -> Vec<PlainRun> {
        self.lock().ledger.clone()
    }

    fn strike(&self) -> Option<PlainFault> {
        let mut inner = self.lock();
        (!inner.faults.is_empty()).then(|| inner.faults.remove(0))
    }

    fn run(&self, run: PlainRun) -> usize {
        self.file.write(&LedgerLine {
            marker: &run.path,
            generation: 0,
            ended: None,
        });
        let mut inner = self.lock();
        inner.ledger.push(run);
        inner.ledger.len()
    }
}

/// Starts a plain service that takes `delay` over each call.
///
/// # Errors
///
/// The port cannot be had.
pub fn start(
    addr: SocketAddr,
    name: &str,
    delay: Duration,
) -> Result<Running<Arc<PlainState>>, StandInError> {
    start_with_ledger(addr, name, delay, None)
}

/// As [`start`], writing each run to a file as it happens.
///
/// # Errors
///
/// The port cannot be had.
pub fn start_with_ledger(
    addr: SocketAddr,
    name: &str,
    delay: Duration,
    ledger: Option<&Path>,
) -> Result<Running<Arc<PlainState>>, StandInError> {
    let state = Arc::new(PlainState {
        name: name.to_owned(),
        delay,
        inner: Mutex::default(),
        file: LedgerFile::open(ledger),
    });
    let data = Data::from(Arc::clone(&state));
    bind(addr, 1, state, move |cfg| routes(cfg, data.clone()))
}

fn routes(cfg: &mut ServiceConfig, state: Data<PlainState>) {
    cfg.app_data(state)
        .route("/healthz", get().to(HttpResponse::Ok))
        .route("/standin/ledger", get().to(ledger))
        .route("/standin/faults", post().to(arm))
        .route("/standin/faults", delete().to(disarm))
        .default_service(route().to(call));
}

async fn call(state: Data<PlainState>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let fault = state.strike();
    match fault {
        Some(PlainFault::Refuse) => {
            return HttpResponse::ServiceUnavailable()
                .insert_header(("x-outcome", "not-run"))
                .json(json!({ "error": { "code": "not_started" } }));
        }
        Some(PlainFault::LoseCall) => std::future::pending().await,
        _ => {}
    }
    let header = |name: &str| {
        let value = req.headers().get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    };
    let number = state.run(PlainRun {
        path: req.path().to_owned(),
        stream: header("x-stream-id").to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
    });
    tokio::time::sleep(state.delay).await;
    let answer = json!({ "service": state.name, "path": req.path(), "number": number });
    match fault {
        Some(PlainFault::LoseReply) => std::future::pending().await,
        Some(PlainFault::CutReply) => cut_short(&answer.to_string()),
        Some(PlainFault::UnframedHalf) => unframed_half(&answer.to_string()),
        _ => HttpResponse::Ok().json(answer),
    }
}

fn cut_short(answer: &str) -> HttpResponse {
    let half = Bytes::copy_from_slice(&answer.as_bytes()[..answer.len() / 2]);
    let cut = std::io::Error::new(std::io::ErrorKind::ConnectionReset, "cut off by a fault");
    HttpResponse::Ok()
        .content_type("application/json")
        .streaming(futures_util::stream::iter([Ok(half), Err(cut)]))
}

fn unframed_half(answer: &str) -> HttpResponse {
    let half = Bytes::copy_from_slice(&answer.as_bytes()[..answer.len() / 2]);
    let mut res = HttpResponse::Ok()
        .content_type("application/json")
        .force_close()
        .streaming(futures_util::stream::iter([Ok::<_, Infallible>(half)]));
    res.head_mut().no_chunking(true);
    res
}

async fn ledger(state: Data<PlainState>) -> HttpResponse {
    HttpResponse::Ok().json(state.ledger())
}

async fn arm(state: Data<PlainState>, fault: Json<PlainFault>) -> HttpResponse {
    state.arm(fault.into_inner());
    HttpResponse::NoContent().finish()
}

async fn disarm(state: Data<PlainState>) -> HttpResponse {
    state.lock().faults.clear();
    HttpResponse::NoContent().finish()
}
