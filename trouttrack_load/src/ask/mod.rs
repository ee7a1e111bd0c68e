//! Sends example requests and prints the answers as they come.

use crate::client::{ClientError, Goal, Stream, http, read_all};
use serde::Deserialize;
use serde_json::{Value, json};
use std::io::Write as _;
use std::path::Path;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Characters of an answer that are printed.
const SHOWN: usize = 160;

/// The examples cannot be read.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum AskError {
    /// No file.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// Not JSON.
    #[error("{0}: {1}")]
    Json(String, serde_json::Error),
}

/// One example request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Example {
    /// Whose it is.
    pub organisation: String,
    /// What it is, for the reader.
    pub about: String,
    /// A completion, if given.
    pub body: Option<Value>,
    /// A call to a plain service, if given: a path below `/svc`.
    pub svc: Option<String>,
}

/// Reads examples from a file.
///
/// # Errors
///
/// The file cannot be read.
pub fn read(file: &Path) -> Result<Vec<Example>, AskError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| AskError::Read(name.clone(), e))?;
    serde_json::from_str(&text).map_err(|e| AskError::Json(name, e))
}

fn print(text: &str) {
    let mut out = std::io::stdout();
    // Output that nobody reads any more is no error.
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

/// The gap below which 95 in 100 lie.
fn gap_p95(at: &[Instant]) -> Duration {
    let mut gaps: Vec<Duration> = at.windows(2).map(|w| w[1] - w[0]).collect();
    gaps.sort_unstable();
    let i = (gaps.len() * 95 / 100).min(gaps.len().saturating_sub(1));
    gaps.get(i).copied().unwrap_or_default()
}

/// Sends one example and prints its answer. Returns whether it was complete.
pub async fn ask(goal: &Goal, example: &Example) -> bool {
    print(&format!(
        "\n# {} ({})\n",
        example.about, example.organisation
    ));
    let result = match (&example.body, &example.svc) {
        (Some(body), _) => completion(goal, body).await,
        (None, Some(path)) => plain(goal, path).await,
        (None, None) => Ok(false),
    };
    result.unwrap_or_else(|e| {
        print(&format!("{e}\n"));
        false
    })
}

async fn completion(goal: &Goal, body: &Value) -> Result<bool, ClientError> {
    let path = match body.get("messages") {
        Some(_) => "/v1/chat/completions",
        None => "/v1/completions",
    };
    let mut body = body.clone();
    body["stream"] = json!(true);
    let start = Instant::now();
    let mut stream = Stream::post(&http(), goal, path, &body).await?;
    let mut shown = 0;
    let timed = read_all(&mut stream, |token| {
        if shown < SHOWN {
            print(token);
        }
        shown += token.len();
    })
    .await?;
    let more = if shown > SHOWN { " …" } else { "" };
    let first = timed.at.first().map_or(Duration::ZERO, |t| *t - start);
    let outcome = timed.outcome.unwrap_or_else(|| "none stated".to_owned());
    print(&format!(
        "{more}\noutcome {outcome}, {} tokens, first token {} ms, between tokens {:.1} ms for 95 in 100, request {}\n",
        timed.at.len(),
        first.as_millis(),
        gap_p95(&timed.at).as_secs_f64() * 1e3,
        stream.request_id.unwrap_or_default(),
    ));
    Ok(outcome == "complete")
}

async fn plain(goal: &Goal, path: &str) -> Result<bool, ClientError> {
    let url = format!("{}/svc/{path}", goal.url);
    let mut req = http().get(url);
    if let Some(key) = &goal.key {
        req = req.bearer_auth(key);
    }
    let start = Instant::now();
    let mut res = req
        .send()
        .await
        .map_err(|e| ClientError::NoAnswer(e.to_string()))?;
    let outcome = res.headers().get("x-outcome").cloned();
    let outcome = outcome.and_then(|o| o.to_str().ok().map(str::to_owned));
    let body = res.body().await.unwrap_or_default();
    print(&format!(
        "{}\noutcome {}, status {}, {} ms\n",
        String::from_utf8_lossy(&body),
        outcome.as_deref().unwrap_or("none stated"),
        res.status().as_u16(),
        start.elapsed().as_millis()
    ));
    Ok(outcome.as_deref() == Some("complete"))
}
