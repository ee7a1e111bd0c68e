//! The client.

use super::backoff::Backoff;
use super::error::{PlatformError, PlatformErrorKind, never_sent};
use super::types::{Changes, Condition, Object, Vm, Write};
use awc::error::{PayloadError, SendRequestError};
use awc::http::{Method, StatusCode};
use awc::{Client, ClientRequest};
use bytes::Bytes;
use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::num::NonZeroU32;
use std::rc::Rc;
use std::time::{Duration, Instant};
use trouttrack_config::settings::PlatformSettings;
use trouttrack_telemetry::events;

/// The largest answer taken: an object, or a list of many.
const MAX_ANSWER: usize = 8 << 20;
/// How much longer than its wait a watch may take.
const WATCH_SLACK: Duration = Duration::from_secs(2);
const FIRST_RETRY: Duration = Duration::from_millis(50);
const LONGEST_RETRY: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct VersionBody {
    version: u64,
}

/// Calls the object API, no more often than its budget allows.
#[derive(Clone)]
pub struct ObjectClient {
    base: Rc<str>,
    client: Client,
    timeout: Duration,
    budget: Rc<DefaultDirectRateLimiter>,
}

impl std::fmt::Debug for ObjectClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ObjectClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

impl ObjectClient {
    /// A client for the current thread.
    #[must_use]
    pub fn new(settings: &PlatformSettings) -> Self {
        let per_second = settings.calls_per_second.max(1.0) as u32;
        let quota = Quota::per_second(NonZeroU32::new(per_second).unwrap_or(NonZeroU32::MIN));
        Self {
            base: settings.url.trim_end_matches('/').into(),
            client: Client::builder().disable_timeout().finish(),
            timeout: settings.timeout,
            budget: Rc::new(RateLimiter::direct(quota)),
        }
    }

    /// Waits until the budget allows a call. Calls are spread, never dropped.
    async fn spend(&self) {
        while let Err(not_until) = self.budget.check() {
            let wait = not_until.wait_time_from(governor::clock::Clock::now(
                &governor::clock::DefaultClock::default(),
            ));
            tokio::time::sleep(wait).await;
        }
    }

    async fn send(
        &self,
        call: &Call<'_>,
        req: ClientRequest,
        body: Option<Bytes>,
        timeout: Duration,
    ) -> Result<Raw, PlatformError> {
        self.spend().await;
        let sent = async {
            let req = req.timeout(timeout);
            let mut res = match body {
                Some(body) => req.send_body(body).await,
                None => req.send().await,
            }
            .map_err(|e| call.not_sent(&e))?;
            let status = res.status();
            let version = etag(res.headers().get("etag").and_then(|v| v.to_str().ok()));
            let body = res.body().limit(MAX_ANSWER).await;
            let body = body.map_err(|e: PayloadError| call.lost(&e.to_string()))?;
            Ok(Raw {
                status,
                version,
                body,
            })
        };
        match tokio::time::timeout(timeout, sent).await {
            Ok(answer) => answer,
            Err(_) => Err(call.lost("no answer in time")),
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// The platform gave no answer.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let call = Call::new(Method::GET, key);
        let req = self.client.get(format!("{}/v1/objects/{key}", self.base));
        let raw = self.send(&call, req, None, self.timeout).await?;
        match raw.status {
            StatusCode::OK => {
                let version = raw.version.ok_or_else(|| call.garbled("no version"))?;
                Ok(Some(Object {
                    version,
                    body: raw.body,
                }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(call.status(other)),
        }
    }

    /// Writes an object if the condition holds.
    ///
    /// # Errors
    ///
    /// The platform gave no answer; [`PlatformError::had_no_effect`] tells
    /// whether the write may have taken effect all the same.
    pub async fn put(
        &self,
        key: &str,
        condition: Condition,
        body: Bytes,
    ) -> Result<Write, PlatformError> {
        let call = Call::new(Method::PUT, key);
        let req = self.client.put(format!("{}/v1/objects/{key}", self.base));
        let req = conditional(req, condition);
        let answer = self.send(&call, req, Some(body), self.timeout).await?;
        written(&call, answer)
    }

    /// Deletes an object if it has this version.
    ///
    /// # Errors
    ///
    /// As for [`put`](Self::put).
    pub async fn delete(&self, key: &str, version: u64) -> Result<Write, PlatformError> {
        let call = Call::new(Method::DELETE, key);
        let req = self
            .client
            .delete(format!("{}/v1/objects/{key}", self.base));
        let req = conditional(req, Condition::Version(version));
        let answer = self.send(&call, req, None, self.timeout).await?;
        written(&call, answer)
    }

    /// Writes an object if the condition holds, and finds out what became of
    /// the write if its answer is lost: the same conditional write is made
    /// again, which is harmless, and a refusal is checked by reading back.
    /// `is_ours` tells our content (or a later one that includes it) from any
    /// other.
    ///
    /// # Errors
    ///
    /// The platform gave no answer until `patience` was over. If the error's
    /// [`had_no_effect`](PlatformError::had_no_effect) is false, the write may
    /// still land later.
    pub async fn settle<F>(
        &self,
        key: &str,
        condition: Condition,
        body: Bytes,
        patience: Duration,
        is_ours: F,
    ) -> Result<Write, PlatformError>
    where
        F: Fn(&Bytes) -> bool,
    {
        let until = Instant::now() + patience;
        let mut backoff = Backoff::new(FIRST_RETRY, LONGEST_RETRY);
        let mut in_doubt = false;
        loop {
            let error = match self.put(key, condition, body.clone()).await {
                Ok(Write::Refused(_)) if in_doubt => match self.get(key).await {
                    Ok(now) => return Ok(resolved(key, now, &is_ours)),
                    Err(e) => e,
                },
                Ok(write) => return Ok(write),
                Err(e) => {
                    in_doubt |= !e.had_no_effect();
                    e
                }
            };
            let pause = backoff.next(&mut rand::rng());
            if error.kind == PlatformErrorKind::Invalid || Instant::now() + pause >= until {
                let kind = match in_doubt {
                    true => PlatformErrorKind::ReplyLost,
                    false => error.kind,
                };
                return Err(PlatformError { kind, ..error });
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Lists the objects below a prefix, without their content.
    ///
    /// # Errors
    ///
    /// The platform gave no answer.
    pub async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        let call = Call::new(Method::GET, prefix);
        let req = self
            .client
            .get(format!("{}/v1/list?prefix={prefix}", self.base));
        let answer = self.send(&call, req, None, self.timeout).await?;
        parsed(&call, answer)
    }

    /// Waits up to `wait` for changes below a prefix after a revision.
    ///
    /// # Errors
    ///
    /// The platform gave no answer.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let call = Call::new(Method::GET, prefix);
        let ms = wait.as_millis();
        let url = format!(
            "{}/v1/watch?prefix={prefix}&since={since}&wait_ms={ms}",
            self.base
        );
        let answer = self
            .send(&call, self.client.get(url), None, wait + WATCH_SLACK)
            .await?;
        parsed(&call, answer)
    }

    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// The platform gave no answer.
    pub async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        let call = Call::new(Method::GET, "vms");
        let req = self.client.get(format!("{}/v1/vms", self.base));
        let answer = self.send(&call, req, None, self.timeout).await?;
        parsed(&call, answer)
    }
}

/// What became of a write whose answer was lost, by the object as it is now.
fn resolved(key: &str, now: Option<Object>, is_ours: impl Fn(&Bytes) -> bool) -> Write {
    let version = now.as_ref().map_or(0, |o| o.version);
    let ours = now.is_some_and(|o| is_ours(&o.body));
    events::REPLY_RESOLVED.log(format_args!(
        "key={key} version={version} took_effect={ours}"
    ));
    match ours {
        true => Write::Done(version),
        false => Write::Refused(version),
    }
}

fn etag(value: Option<&str>) -> Option<u64> {
    value?.trim_matches('"').parse().ok()
}

fn conditional(req: ClientRequest, condition: Condition) -> ClientRequest {
    match condition {
        Condition::Absent => req.insert_header(("if-none-match", "*")),
        Condition::Version(v) => req.insert_header(("if-match", format!("\"{v}\""))),
    }
}

/// An answer as it came.
struct Raw {
    status: StatusCode,
    version: Option<u64>,
    body: Bytes,
}

fn written(call: &Call<'_>, raw: Raw) -> Result<Write, PlatformError> {
    let version = || {
        let parsed: Result<VersionBody, _> = serde_json::from_slice(&raw.body);
        parsed
            .map(|b| b.version)
            .map_err(|e| call.lost(&e.to_string()))
    };
    match raw.status {
        StatusCode::OK => Ok(Write::Done(version()?)),
        StatusCode::PRECONDITION_FAILED => Ok(Write::Refused(version()?)),
        other => Err(call.status(other)),
    }
}

fn parsed<T: DeserializeOwned>(call: &Call<'_>, raw: Raw) -> Result<T, PlatformError> {
    if raw.status != StatusCode::OK {
        return Err(call.status(raw.status));
    }
    serde_json::from_slice(&raw.body).map_err(|e| call.garbled(&e.to_string()))
}

/// Names a call in errors.
struct Call<'a> {
    method: Method,
    key: &'a str,
}

impl<'a> Call<'a> {
    fn new(method: Method, key: &'a str) -> Self {
        Self { method, key }
    }

    fn error(&self, kind: PlatformErrorKind, detail: &str) -> PlatformError {
        PlatformError {
            kind,
            call: format!("{} {}", self.method, self.key),
            detail: detail.to_owned(),
        }
    }

    fn not_sent(&self, e: &SendRequestError) -> PlatformError {
        if never_sent(e) {
            return self.error(PlatformErrorKind::Unavailable, &e.to_string());
        }
        self.lost(&e.to_string())
    }

    fn lost(&self, detail: &str) -> PlatformError {
        self.error(PlatformErrorKind::ReplyLost, detail)
    }

    fn garbled(&self, detail: &str) -> PlatformError {
        self.error(PlatformErrorKind::Garbled, detail)
    }

    /// The API says that it does nothing when it answers 429 or 503.
    fn status(&self, status: StatusCode) -> PlatformError {
        let kind = match status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                PlatformErrorKind::Unavailable
            }
            s if s.is_client_error() => PlatformErrorKind::Invalid,
            _ => PlatformErrorKind::ReplyLost,
        };
        self.error(kind, status.as_str())
    }
}
