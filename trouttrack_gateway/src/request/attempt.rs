//! One connection to an engine for one stream.

use super::client::{Clients, Target};
use super::wire::{CancelBody, DONE, ErrorBody, Frame, NOT_STARTED, STREAM_KNOWN};
use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use awc::{ClientRequest, ClientResponse};
use bytes::Bytes;
use eventsource_stream::{Event, EventStream, EventStreamError, Eventsource};
use futures_util::{FutureExt, StreamExt};
use std::time::Duration;
use trouttrack_core::{Generation, StreamId, TokenIndex};
use trouttrack_state::client::never_sent;

/// The most frames taken in one read, so that they share one write.
const FRAMES: usize = 64;
/// The largest error body looked at.
const ERROR_BODY: usize = 16 * 1024;

/// What was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// One token.
    Token {
        /// The stream that the frame names.
        stream: StreamId,
        /// Its generation.
        generation: Generation,
        /// Its place.
        index: TokenIndex,
        /// Its text.
        text: String,
    },
    /// The end that the engine states.
    End {
        /// The stream that the frame names.
        stream: StreamId,
        /// Its generation.
        generation: Generation,
        /// Tokens of the whole generation.
        tokens: TokenIndex,
        /// `stop`, `length` or `abort`.
        reason: String,
    },
    /// Nothing came in time.
    Silent,
    /// The connection ended before the stream did, or carried something else.
    Lost(String),
}

/// What became of opening a stream.
#[derive(Debug)]
pub enum Opened {
    /// It is open.
    Stream(Box<Attempt>),
    /// Nothing was sent.
    NotConnected(String),
    /// The engine says that it did not run the request and may elsewhere run.
    Refused(String),
    /// The engine says that the request is wrong and that it did not run it.
    Rejected(String),
    /// The engine knows the stream id already.
    Known,
    /// The engine does not know the stream.
    Unknown,
    /// Anything else: it may have run.
    Lost(String),
}

/// What became of a cancel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cancelled {
    /// The engine's incarnation.
    pub boot: String,
    /// Whether the stream ever ran there.
    pub ran: bool,
}

/// An open stream.
pub struct Attempt {
    events: EventStream<ClientResponse>,
}

impl std::fmt::Debug for Attempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Attempt").finish_non_exhaustive()
    }
}

type SseResult = Option<Result<Event, EventStreamError<PayloadError>>>;

impl Attempt {
    /// Hands a request over.
    pub async fn submit(
        clients: &Clients,
        target: &Target,
        path: &str,
        traceparent: Option<&str>,
        body: Bytes,
    ) -> Opened {
        let url = format!("{}{path}", target.url);
        let mut req = clients.pooled.post(url).content_type("application/json");
        if let Some(t) = traceparent {
            req = req.insert_header(("traceparent", t));
        }
        let sent = req.send_body(body);
        match tokio::time::timeout(clients.limits.first_token, sent).await {
            Ok(answer) => opened(answer).await,
            Err(_) => Opened::Lost("no answer in time".to_owned()),
        }
    }

    /// Attaches to a stream at a token.
    pub async fn attach(
        clients: &Clients,
        target: &Target,
        stream: &str,
        from: TokenIndex,
    ) -> Opened {
        let url = format!("{}/v1/streams/{stream}?from={from}", target.url);
        let sent = clients.fresh.get(url).send();
        match tokio::time::timeout(clients.limits.probe, sent).await {
            Ok(answer) => opened(answer).await,
            Err(_) => Opened::Lost("no answer to the probe".to_owned()),
        }
    }

    /// Cancels a stream, or makes sure that its id never runs. With
    /// `only_unread` a stream that someone reads goes on.
    ///
    /// # Errors
    ///
    /// The engine did not answer as it should; the stream may run.
    pub async fn cancel(
        clients: &Clients,
        target: &Target,
        stream: &str,
        only_unread: bool,
    ) -> Result<Cancelled, String> {
        let url = format!(
            "{}/v1/streams/{stream}?only_unread={only_unread}",
            target.url
        );
        let req: ClientRequest = clients.fresh.delete(url);
        let answered = async {
            let mut res = req.send().await.map_err(|e| e.to_string())?;
            if res.status() != StatusCode::OK {
                return Err(res.status().to_string());
            }
            let body: CancelBody = res.json().await.map_err(|e| e.to_string())?;
            Ok(Cancelled {
                boot: body.boot,
                ran: body.ran,
            })
        };
        match tokio::time::timeout(clients.limits.probe, answered).await {
            Ok(answer) => answer,
            Err(_) => Err("no answer in time".to_owned()),
        }
    }

    /// Reads what has come, waiting up to `patience` for the first of it.
    pub async fn read(&mut self, patience: Duration, out: &mut Vec<Read>) {
        let first = match tokio::time::timeout(patience, self.events.next()).await {
            Ok(event) => parse(event),
            Err(_) => Some(Read::Silent),
        };
        let mut next = first;
        loop {
            let last = matches!(next, Some(Read::End { .. } | Read::Lost(_) | Read::Silent));
            out.extend(next);
            if last || out.len() >= FRAMES {
                return;
            }
            match self.events.next().now_or_never() {
                Some(event) => next = parse(event),
                None => return,
            }
        }
    }
}

/// `None` for a frame that says nothing.
fn parse(event: SseResult) -> Option<Read> {
    let event = match event {
        None => return Some(Read::Lost("the connection ended".to_owned())),
        Some(Err(e)) => return Some(Read::Lost(e.to_string())),
        Some(Ok(event)) => event,
    };
    if event.data == DONE {
        return None;
    }
    let frame: Frame<'_> = match serde_json::from_str(&event.data) {
        Ok(frame) => frame,
        Err(e) => return Some(Read::Lost(format!("not a frame: {e}"))),
    };
    let stream = frame.id.into_owned();
    let generation = frame.stream.generation;
    let Some(choice) = frame.choices.into_iter().next() else {
        return Some(Read::Lost("a frame without a choice".to_owned()));
    };
    Some(match &choice.finish_reason {
        Some(reason) => Read::End {
            stream,
            generation,
            tokens: frame.stream.token,
            reason: reason.clone().into_owned(),
        },
        None => Read::Token {
            stream,
            generation,
            index: frame.stream.token,
            text: choice.into_text(),
        },
    })
}

async fn opened(answer: Result<ClientResponse, SendRequestError>) -> Opened {
    let mut res = match answer {
        Ok(res) => res,
        Err(e) if never_sent(&e) => return Opened::NotConnected(e.to_string()),
        Err(e) => return Opened::Lost(e.to_string()),
    };
    let status = res.status();
    if status == StatusCode::OK {
        let events = res.eventsource();
        return Opened::Stream(Box::new(Attempt { events }));
    }
    let body = res.body().limit(ERROR_BODY).await.unwrap_or_default();
    let code = serde_json::from_slice::<ErrorBody>(&body).map(|b| b.error.code);
    let code = code.unwrap_or_default();
    match (status, code.as_str()) {
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, NOT_STARTED) => {
            Opened::Refused(code)
        }
        (StatusCode::CONFLICT, STREAM_KNOWN) => Opened::Known,
        (StatusCode::CONFLICT, _) => Opened::Refused(code),
        (StatusCode::NOT_FOUND, "stream_unknown") => Opened::Unknown,
        (s, _) if s.is_client_error() => Opened::Rejected(format!("{status} {code}")),
        _ => Opened::Lost(format!("status {status}")),
    }
}
