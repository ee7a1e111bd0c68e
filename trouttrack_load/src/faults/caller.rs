//! A careful caller.

use super::books::marker;
use crate::client::{Goal, http};
use awc::Client;
use futures_util::StreamExt;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Streamed, may run again.
    StreamMany,
    /// Streamed, runs once.
    StreamOnce,
    /// Whole, may run again.
    WholeMany,
    /// Whole, runs once.
    WholeOnce,
    /// A plain call that may run again.
    PlainMany,
    /// A plain call that runs once.
    PlainOnce,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 6] = [
        Self::StreamMany,
        Self::StreamOnce,
        Self::WholeMany,
        Self::WholeOnce,
        Self::PlainMany,
        Self::PlainOnce,
    ];

    fn service(self) -> &'static str {
        match self {
            Self::StreamMany => "stream-many",
            Self::StreamOnce => "stream-once",
            Self::WholeMany => "whole-many",
            Self::WholeOnce => "whole-once",
            Self::PlainMany => "plain-many",
            Self::PlainOnce => "plain-once",
        }
    }

    /// Whether it must run at most once.
    #[must_use]
    pub fn once(self) -> bool {
        matches!(self, Self::StreamOnce | Self::WholeOnce | Self::PlainOnce)
    }

    /// Whether it goes to a plain service.
    #[must_use]
    pub fn plain(self) -> bool {
        matches!(self, Self::PlainMany | Self::PlainOnce)
    }
}

/// A request that is to be made.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) number: usize,
    pub(super) kind: Kind,
    pub(super) tokens: u64,
    pub(super) keyed: bool,
    pub(super) first: usize,
}

/// What the caller was told in the end.
#[derive(Clone, Debug)]
pub struct Told {
    /// Which request.
    pub number: usize,
    /// Its kind.
    pub kind: Kind,
    /// `complete`, `not-run`, `interrupted`, `unknown`; `none` if no answer
    /// ended in time.
    pub outcome: String,
    /// The text that came.
    pub text: String,
    /// Whether `not-run` was said to it at any time, and it was not repeated
    /// afterwards.
    pub not_run: bool,
}

impl Told {
    /// A caller that was told nothing.
    #[must_use]
    pub fn nothing(number: usize) -> Self {
        Self {
            number,
            kind: Kind::StreamMany,
            outcome: "none".to_owned(),
            text: String::new(),
            not_run: false,
        }
    }
}

/// How long a caller goes on altogether.
const PATIENCE: Duration = Duration::from_secs(45);
/// How long one answer may take.
const ANSWER: Duration = Duration::from_secs(40);
/// Pause before asking again.
const PAUSE: Duration = Duration::from_millis(400);

/// One answer, as far as it came.
#[derive(Debug, Default)]
struct Answer {
    status: u16,
    outcome: String,
    handle: Option<String>,
    text: String,
    tokens: u64,
    /// The answer came to its end.
    ended: bool,
}

struct Caller {
    client: Client,
    gateways: Vec<Goal>,
    request: Request,
    gateway: usize,
}

pub(super) async fn run(gateways: Vec<Goal>, request: Request) -> Told {
    let mut caller = Caller {
        client: http(),
        gateway: request.first,
        gateways,
        request,
    };
    let start = Instant::now();
    let mut told = Told {
        kind: request.kind,
        ..Told::nothing(request.number)
    };
    while start.elapsed() < PATIENCE {
        let (outcome, text) = caller.attempt().await;
        let again = caller.may_ask_again(&outcome);
        told.outcome = outcome;
        told.text = text;
        if !again {
            break;
        }
        caller.gateway += 1;
        tokio::time::sleep(PAUSE).await;
    }
    told.not_run = told.outcome == "not-run";
    told
}

impl Caller {
    fn goal(&self) -> &Goal {
        &self.gateways[self.gateway % self.gateways.len()]
    }

    /// A caller repeats what was not run, and what it may repeat: with its
    /// key, or because its service says so.
    fn may_ask_again(&self, outcome: &str) -> bool {
        let safe = self.request.keyed || !self.request.kind.once();
        match outcome {
            "complete" => false,
            "not-run" => true,
            "interrupted" => !self.request.kind.once(),
            "in-progress" => true,
            // The gateway went away under the caller.
            "gone" => safe,
            _ => !self.request.kind.once(),
        }
    }

    async fn attempt(&mut self) -> (String, String) {
        let first = match self.request.kind.plain() {
            true => return self.plain().await,
            false => self.completion().await,
        };
        let Some(mut answer) = first else {
            return ("gone".to_owned(), String::new());
        };
        // The connection broke: come back for the rest, to another gateway.
        let mut tries = 0;
        while !answer.ended && tries < 20 {
            tries += 1;
            self.gateway += 1;
            tokio::time::sleep(PAUSE).await;
            let Some(handle) = answer.handle.clone() else {
                return ("gone".to_owned(), String::new());
            };
            self.come_back(&handle, &mut answer).await;
        }
        if !answer.ended {
            return ("unknown".to_owned(), answer.text);
        }
        if answer.status == 409 && answer.outcome == "unknown" {
            return ("in-progress".to_owned(), String::new());
        }
        (answer.outcome, answer.text)
    }

    fn body(&self) -> Value {
        json!({
            "model": self.request.kind.service(),
            "prompt": format!("{} [tokens={}]", marker(self.request.number), self.request.tokens),
            "stream": true,
        })
    }

    fn key(&self) -> Option<String> {
        self.request.keyed.then(|| marker(self.request.number))
    }

    async fn completion(&self) -> Option<Answer> {
        let goal = self.goal();
        let mut req = self.client.post(format!("{}/v1/completions", goal.url));
        req = req.bearer_auth(goal.key.as_deref().unwrap_or_default());
        if let Some(key) = self.key() {
            req = req.insert_header(("idempotency-key", key));
        }
        let sent = tokio::time::timeout(ANSWER, req.send_json(&self.body())).await;
        let res = sent.ok()?.ok()?;
        let mut answer = Answer::default();
        read(res, &mut answer).await;
        Some(answer)
    }

    async fn come_back(&self, handle: &str, answer: &mut Answer) {
        let goal = self.goal();
        let mut req = self
            .client
            .get(format!("{}/v1/requests/{handle}", goal.url))
            .bearer_auth(goal.key.as_deref().unwrap_or_default());
        if answer.tokens > 0 {
            req = req.insert_header(("last-event-id", (answer.tokens - 1).to_string()));
        }
        if let Ok(Ok(res)) = tokio::time::timeout(ANSWER, req.send()).await {
            read(res, answer).await;
        }
    }

    async fn plain(&self) -> (String, String) {
        let goal = self.goal();
        let service = self.request.kind.service();
        let url = format!("{}/svc/{service}/{}", goal.url, marker(self.request.number));
        let mut req = self.client.post(url);
        req = req.bearer_auth(goal.key.as_deref().unwrap_or_default());
        if let Some(key) = self.key() {
            req = req.insert_header(("idempotency-key", key));
        }
        let answered = async {
            let mut res = req.send().await.ok()?;
            let outcome = res.headers().get("x-outcome").cloned();
            res.body().await.ok()?;
            let outcome = outcome?.to_str().ok()?.to_owned();
            Some((res.status().as_u16(), outcome))
        };
        match tokio::time::timeout(ANSWER, answered).await {
            // The outcome is the earlier request's, which is in progress.
            Ok(Some((409, outcome))) if outcome == "unknown" => {
                ("in-progress".to_owned(), String::new())
            }
            Ok(Some((_, outcome))) => (outcome, String::new()),
            _ => ("gone".to_owned(), String::new()),
        }
    }
}

/// Reads an answer as far as it comes.
async fn read<S>(mut res: awc::ClientResponse<S>, answer: &mut Answer)
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    answer.status = res.status().as_u16();
    if let Some(handle) = res.headers().get("x-resume") {
        answer.handle = handle.to_str().ok().map(str::to_owned);
    }
    let mut pending = String::new();
    loop {
        match tokio::time::timeout(ANSWER, res.next()).await {
            Ok(Some(Ok(chunk))) => pending.push_str(&String::from_utf8_lossy(&chunk)),
            _ => break,
        }
        if answer.status == 200 {
            while let Some((event, rest)) = pending.split_once("\n\n") {
                take_event(event, answer);
                pending = rest.to_owned();
            }
        }
    }
    if answer.status != 200
        && let Ok(json) = serde_json::from_str::<Value>(&pending)
        && let Some(outcome) = json["error"]["outcome"].as_str()
    {
        answer.outcome = outcome.to_owned();
        answer.ended = true;
    }
}

fn take_event(event: &str, answer: &mut Answer) {
    let data = event.lines().find_map(|l| l.strip_prefix("data: "));
    let Some(Ok(json)) = data.map(serde_json::from_str::<Value>) else {
        return;
    };
    if let Some(outcome) = json["trouttrack"]["outcome"].as_str() {
        answer.outcome = outcome.to_owned();
        answer.ended = true;
    } else if let Some(text) = json["choices"][0]["text"].as_str() {
        answer.text.push_str(text);
        answer.tokens += 1;
    }
}
