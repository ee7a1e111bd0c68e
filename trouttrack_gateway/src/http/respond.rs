//! Turning a session into a response.

use super::error::ApiError;
use crate::request::{Answer, Ending, Progress, Session, SseWriter};
use actix_web::HttpResponse;
use actix_web::http::header::{CACHE_CONTROL, CONTENT_TYPE};
use actix_web::web::Bytes;
use bytes::BytesMut;
use futures_util::stream::unfold;
use std::convert::Infallible;
use trouttrack_core::{Outcome, TokenIndex};

/// Room for a chunk of a few tokens.
const CHUNK: usize = 1024;

/// Answers with one body after the whole generation.
pub(super) async fn whole(mut session: Session, answer: Answer) -> Result<HttpResponse, ApiError> {
    let mut text = String::new();
    let ending = loop {
        match session.next().await {
            Progress::Tokens(tokens) => text.extend(tokens.into_iter().map(|(_, t)| t)),
            Progress::End(ending) => break ending,
        }
    };
    if ending.outcome != Outcome::Complete && ending.tokens == 0 {
        return Err(ApiError::ended(&answer.id, &ending));
    }
    // A part of an answer is never passed off as a whole one: the status says so.
    let mut res = match ending.outcome {
        Outcome::Complete => HttpResponse::Ok(),
        _ => HttpResponse::BadGateway(),
    };
    Ok(res
        .insert_header((CONTENT_TYPE, "application/json"))
        .insert_header(("x-request-id", answer.id.as_str()))
        .insert_header(("x-outcome", ending.outcome.as_str()))
        .body(answer.whole(&text, &ending)))
}

struct Streaming {
    session: Session,
    writer: SseWriter,
    first: Option<Vec<(TokenIndex, String)>>,
    ended: bool,
}

impl Streaming {
    /// The next bytes for the caller; asked for only as fast as it takes them.
    async fn chunk(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let mut buf = BytesMut::with_capacity(CHUNK);
        let progress = match self.first.take() {
            Some(tokens) => Progress::Tokens(tokens),
            None => self.session.next().await,
        };
        match progress {
            Progress::Tokens(tokens) => {
                for (index, text) in &tokens {
                    self.writer.token(&mut buf, *index, text);
                }
            }
            Progress::End(ending) => {
                self.ended = true;
                self.writer.end(&mut buf, &ending);
            }
        }
        Some(buf.freeze())
    }
}

/// Answers with SSE. The status is sent with the first token, so a request
/// that is not run still gets an honest one.
pub(super) async fn stream(mut session: Session, answer: Answer) -> Result<HttpResponse, ApiError> {
    let first = match session.next().await {
        Progress::Tokens(tokens) => Some(tokens),
        Progress::End(Ending {
            outcome: Outcome::Complete,
            ..
        }) => None,
        Progress::End(ending) => return Err(ApiError::ended(&answer.id, &ending)),
    };
    let handle = session.handle();
    let id = answer.id.clone();
    let streaming = Streaming {
        session,
        writer: SseWriter::new(answer),
        first,
        ended: false,
    };
    let body = unfold(streaming, async |mut s| {
        let chunk = s.chunk().await?;
        Some((Ok::<_, Infallible>(chunk), s))
    });
    let mut res = HttpResponse::Ok();
    res.insert_header((CONTENT_TYPE, "text/event-stream"))
        .insert_header((CACHE_CONTROL, "no-cache"))
        .insert_header(("x-request-id", id));
    if let Some(handle) = handle {
        res.insert_header(("x-resume", handle));
    }
    Ok(res.streaming(body))
}
