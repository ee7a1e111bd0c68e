//! Calls to plain services, by the same state machine.

use super::client::{Clients, Target};
use super::session::{Ending, SessionParts, may_come_back, note_end};
use super::wire::{ErrorBody, NOT_STARTED};
use crate::app::{InFlightGuard, Shared};
use awc::error::SendRequestError;
use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use awc::http::{Method, StatusCode};
use awc::{ClientRequest, ClientResponse};
use bytes::Bytes;
use std::sync::Arc;
use std::time::SystemTime;
use trouttrack_core::Outcome;
use trouttrack_core::request::{Delivery, Failure, Machine, StepResult, Traits};
use trouttrack_state::client::never_sent;
use trouttrack_telemetry::events;
use trouttrack_telemetry::trace::{Hop, RequestTrace};
use uuid::Uuid;

/// The largest answer taken.
const MAX_ANSWER: usize = 16 << 20;

/// A call as the caller made it.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The method.
    pub method: Method,
    /// Path and query behind the service's name.
    pub path: String,
    /// The type of the body.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// The service's whole answer.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// Its status.
    pub status: StatusCode,
    /// The type of the body.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

enum Tried {
    Answer(PlainAnswer),
    Failed(Failure, String),
}

/// Runs a call: placed like a completion, at most once if not repeatable.
///
/// # Errors
///
/// How it ended, if not with the service's answer.
pub async fn run_plain(
    shared: &Arc<Shared>,
    clients: &Clients,
    parts: &SessionParts,
    call: &PlainCall,
    trace: &RequestTrace,
) -> Result<PlainAnswer, Ending> {
    let _in_flight = InFlightGuard::new(shared);
    let result = run(shared, clients, parts, call, trace).await;
    let outcome = result
        .as_ref()
        .map_or_else(|e| e.outcome, |_| Outcome::Complete);
    let good = matches!(outcome, Outcome::Complete | Outcome::NotRun);
    shared.metrics.ended(&parts.service.name, outcome);
    if parts.claimed {
        note_end(shared, &parts.id, outcome);
    }
    trace.finish(&parts.id, outcome.as_str(), good);
    result
}

async fn run(
    shared: &Arc<Shared>,
    clients: &Clients,
    parts: &SessionParts,
    call: &PlainCall,
    trace: &RequestTrace,
) -> Result<PlainAnswer, Ending> {
    let traits = Traits {
        repeatable: parts.service.repeatable,
        resumable: false,
        delivery: Delivery::Whole,
    };
    let mut machine = Machine::new(traits, clients.limits.attempts);
    let mut avoid: Vec<String> = Vec::new();
    loop {
        let start = SystemTime::now();
        let submission = shared.submission(parts, 0, avoid.clone());
        let placement = match shared.place(submission, !avoid.is_empty()).await {
            Ok(placement) => placement,
            Err(refusal) => {
                let mut ending = ended(machine.give_up(), "overloaded", "the call was not placed");
                ending.retry_after = Some(refusal.retry_after);
                return Err(ending);
            }
        };
        trace.hop(Hop::Queue, start, Some(&placement.upstream));
        let view = shared.view();
        let Some(upstream) = view.upstream(&placement.upstream) else {
            avoid.push(placement.upstream);
            continue;
        };
        let target = Target::from(upstream);
        machine.handed_over();
        let start = SystemTime::now();
        let tried = attempt(clients, &target, call, traits.repeatable, trace).await;
        trace.hop(Hop::HandOver, start, Some(&target.name));
        let (failure, detail) = match tried {
            Tried::Answer(answer) => {
                machine.complete();
                placement.ticket.complete(0);
                return Ok(answer);
            }
            Tried::Failed(failure, detail) => (failure, detail),
        };
        events::UPSTREAM_LOST.log(format_args!(
            "request={} upstream={}: {detail}",
            parts.id, target.name
        ));
        if failure == Failure::Refused {
            placement.ticket.refused();
        } else {
            placement.ticket.fault();
        }
        match machine.failed(failure) {
            StepResult::Ended(outcome) => return Err(ended(outcome, outcome.as_str(), &detail)),
            StepResult::Try(_) => {
                shared.metrics.recovered("elsewhere");
                avoid.push(target.name);
            }
        }
    }
}

fn ended(outcome: Outcome, code: &'static str, detail: &str) -> Ending {
    Ending {
        outcome,
        tokens: 0,
        reason: "error".to_owned(),
        code,
        detail: detail.to_owned(),
        retry_after: may_come_back(outcome, code),
    }
}

async fn attempt(
    clients: &Clients,
    target: &Target,
    call: &PlainCall,
    repeatable: bool,
    trace: &RequestTrace,
) -> Tried {
    let url = format!("{}{}", target.url, call.path);
    let client = match repeatable {
        true => &clients.pooled,
        false => &clients.fresh,
    };
    let stream = Uuid::new_v4().to_string();
    let mut req: ClientRequest = client
        .request(call.method.clone(), url)
        .insert_header(("x-stream-id", stream));
    if let Some(t) = trace.traceparent() {
        req = req.insert_header(("traceparent", t));
    }
    if let Some(t) = &call.content_type {
        req = req.insert_header((CONTENT_TYPE, t.clone()));
    }
    let answered = async {
        let answer = req.send_body(call.body.clone()).await;
        received(answer, &call.method).await
    };
    match tokio::time::timeout(clients.limits.first_token, answered).await {
        Ok(tried) => tried,
        Err(_) => Tried::Failed(Failure::Lost, "no answer in time".to_owned()),
    }
}

async fn received(answer: Result<ClientResponse, SendRequestError>, method: &Method) -> Tried {
    let mut res = match answer {
        Ok(res) => res,
        Err(e) if never_sent(&e) => {
            return Tried::Failed(Failure::NotConnected, e.to_string());
        }
        Err(e) => return Tried::Failed(Failure::Lost, e.to_string()),
    };
    let status = res.status();
    let content_type = res.headers().get(CONTENT_TYPE).cloned();
    let length = res.headers().get(CONTENT_LENGTH).cloned();
    let has_body = *method != Method::HEAD
        && !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if has_body && length.is_none() && !res.headers().contains_key(TRANSFER_ENCODING) {
        // `awc` reads a body that ends with its connection as empty.
        return Tried::Failed(Failure::Lost, "the answer has no length".to_owned());
    }
    let body = match res.body().limit(MAX_ANSWER).await {
        Ok(body) => body,
        Err(e) => return Tried::Failed(Failure::Lost, e.to_string()),
    };
    let promised = length.and_then(|l| l.to_str().ok()?.parse::<usize>().ok());
    if promised.is_some_and(|n| n != body.len()) {
        return Tried::Failed(Failure::Lost, "the answer was cut short".to_owned());
    }
    if status == StatusCode::SERVICE_UNAVAILABLE && says_not_started(&body) {
        return Tried::Failed(Failure::Refused, "the service did not run it".to_owned());
    }
    Tried::Answer(PlainAnswer {
        status,
        content_type,
        body,
    })
}

fn says_not_started(body: &[u8]) -> bool {
    let parsed: Result<ErrorBody, _> = serde_json::from_slice(body);
    parsed.is_ok_and(|b| b.error.code == NOT_STARTED)
}
