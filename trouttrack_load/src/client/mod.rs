//! A client of completions, for callers' and engines' faces alike.

use awc::{Client, ClientResponse, Connector};
use eventsource_stream::{EventStream, Eventsource};
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::time::{Duration, Instant};
use thiserror::Error;

const CONNECTIONS: usize = 8192;
const CONNECT: Duration = Duration::from_secs(5);
const KEEP_ALIVE: Duration = Duration::from_secs(30);
const DONE: &str = "[DONE]";

/// A request that got no stream.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ClientError {
    /// No answer.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// An error.
    #[error("status {status}: {body}")]
    Status {
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// The stream broke.
    #[error("the stream broke: {0}")]
    Broken(String),
}

/// A frame, as far as the tool looks at it.
#[derive(Debug, Deserialize)]
struct Frame<'a> {
    #[serde(borrow)]
    choices: Vec<FrameChoice<'a>>,
    trouttrack: Option<EndPart>,
}

#[derive(Debug, Deserialize)]
struct FrameChoice<'a> {
    #[serde(borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow)]
    delta: Option<Delta<'a>>,
    #[serde(borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct Delta<'a> {
    #[serde(borrow)]
    content: Option<Cow<'a, str>>,
}

#[derive(Clone, Debug, Deserialize)]
struct EndPart {
    outcome: String,
}

/// What came on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// A token.
    Token(String),
    /// The end; the outcome if the gateway states one.
    End(Option<String>),
}

/// An open stream.
pub struct Stream {
    events: EventStream<ClientResponse>,
    /// The handle by which the stream can be attached to again.
    pub resume: Option<String>,
    /// The request's id at the gateway.
    pub request_id: Option<String>,
}

impl std::fmt::Debug for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Stream").finish_non_exhaustive()
    }
}

/// An HTTP client for the current thread.
#[must_use]
pub fn http() -> Client {
    let connector = Connector::new()
        .timeout(CONNECT)
        .limit(CONNECTIONS)
        .conn_keep_alive(KEEP_ALIVE);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish()
}

/// Where requests go and under which key.
#[derive(Clone, Debug)]
pub struct Goal {
    /// Base URL.
    pub url: String,
    /// The organisation's key; engines take none.
    pub key: Option<String>,
}

impl Stream {
    /// Opens a stream by posting a body.
    ///
    /// # Errors
    ///
    /// No answer, or an error.
    pub async fn post(
        client: &Client,
        goal: &Goal,
        path: &str,
        body: &Value,
    ) -> Result<Self, ClientError> {
        let mut req = client.post(format!("{}{path}", goal.url));
        if let Some(key) = &goal.key {
            req = req.bearer_auth(key);
        }
        let sent = req.send_json(body).await;
        Self::open(sent.map_err(|e| ClientError::NoAnswer(e.to_string()))?).await
    }

    /// Opens a stream by a path.
    ///
    /// # Errors
    ///
    /// No answer, or an error.
    pub async fn get(client: &Client, goal: &Goal, path: &str) -> Result<Self, ClientError> {
        let mut req = client.get(format!("{}{path}", goal.url));
        if let Some(key) = &goal.key {
            req = req.bearer_auth(key);
        }
        let sent = req.send().await;
        Self::open(sent.map_err(|e| ClientError::NoAnswer(e.to_string()))?).await
    }

    async fn open(mut res: ClientResponse) -> Result<Self, ClientError> {
        if !res.status().is_success() {
            let body = res.body().await.unwrap_or_default();
            return Err(ClientError::Status {
                status: res.status().as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
            });
        }
        let header = |name: &str| {
            let value = res.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Ok(Self {
            resume: header("x-resume"),
            request_id: header("x-request-id"),
            events: res.eventsource(),
        })
    }

    /// The next thing that comes; `None` after the end.
    ///
    /// # Errors
    ///
    /// The stream broke.
    pub async fn next(&mut self) -> Result<Option<Item>, ClientError> {
        loop {
            let event = match self.events.next().await {
                None => return Ok(None),
                Some(Err(e)) => return Err(ClientError::Broken(e.to_string())),
                Some(Ok(event)) => event,
            };
            if event.data == DONE {
                return Ok(None);
            }
            let frame: Frame<'_> = serde_json::from_str(&event.data)
                .map_err(|e| ClientError::Broken(e.to_string()))?;
            if let Some(choice) = frame.choices.into_iter().next() {
                return Ok(Some(item(choice, frame.trouttrack)));
            }
        }
    }
}

fn item(choice: FrameChoice<'_>, end: Option<EndPart>) -> Item {
    if choice.finish_reason.is_some() {
        return Item::End(end.map(|e| e.outcome));
    }
    let text = match choice.delta {
        Some(delta) => delta.content,
        None => choice.text,
    };
    Item::Token(text.map_or_else(String::new, Cow::into_owned))
}

/// A whole answer with the times of its tokens.
#[derive(Clone, Debug, Default)]
pub struct Timed {
    /// The text.
    pub text: String,
    /// When each token came.
    pub at: Vec<Instant>,
    /// The outcome, if the gateway stated one.
    pub outcome: Option<String>,
}

/// Reads a stream to its end; `seen` is told each token.
///
/// # Errors
///
/// The stream broke.
pub async fn read_all(
    stream: &mut Stream,
    mut seen: impl FnMut(&str),
) -> Result<Timed, ClientError> {
    let mut out = Timed::default();
    while let Some(item) = stream.next().await? {
        match item {
            Item::Token(text) => {
                seen(&text);
                out.at.push(Instant::now());
                out.text.push_str(&text);
            }
            Item::End(outcome) => out.outcome = outcome,
        }
    }
    Ok(out)
}
