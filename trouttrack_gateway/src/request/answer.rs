//! What the caller is sent.

use super::body::Face;
use super::session::Ending;
use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;
use trouttrack_core::{Outcome, RequestId, ServiceId, TokenIndex};

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    trouttrack: Option<EndPart<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<StreamError<'a>>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Content<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Content<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Content<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

/// How the request ended, beside the fields that clients know.
#[derive(Serialize)]
struct EndPart<'a> {
    request_id: &'a str,
    outcome: Outcome,
    tokens: u64,
}

#[derive(Serialize)]
struct StreamError<'a> {
    code: &'static str,
    message: &'a str,
}

/// What stands in every chunk of one answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The id that the caller was given.
    pub id: RequestId,
    /// The model as the caller named it.
    pub model: ServiceId,
    /// Which call it answers.
    pub face: Face,
    /// When it began, in seconds since 1970.
    pub created: u64,
    /// Tokens that the prompt is taken to have.
    pub prompt_tokens: u64,
}

impl Answer {
    fn chunk<'a>(&'a self, object: &'static str, choice: Choice<'a>) -> Chunk<'a> {
        Chunk {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage: None,
            trouttrack: None,
            error: None,
        }
    }

    fn usage(&self, tokens: u64) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: tokens,
            total_tokens: self.prompt_tokens + tokens,
        }
    }

    /// The body of an answer that is not streamed.
    #[must_use]
    pub fn whole(&self, text: &str, ending: &Ending) -> Bytes {
        let (object, text, message) = match self.face {
            Face::Completion => ("text_completion", Some(text), None),
            Face::Chat => {
                let role = Some("assistant");
                let content = Some(text);
                ("chat.completion", None, Some(Content { role, content }))
            }
        };
        let mut chunk = self.chunk(
            object,
            Choice {
                index: 0,
                text,
                delta: None,
                message,
                finish_reason: Some(&ending.reason),
            },
        );
        chunk.usage = Some(self.usage(ending.tokens));
        chunk.trouttrack = Some(EndPart {
            request_id: &self.id,
            outcome: ending.outcome,
            tokens: ending.tokens,
        });
        Bytes::from(serde_json::to_vec(&chunk).expect("a chunk serialises to JSON"))
    }
}

/// Writes an answer as SSE.
#[derive(Clone, Debug)]
pub struct SseWriter {
    answer: Answer,
}

impl SseWriter {
    /// A writer of one answer.
    #[must_use]
    pub fn new(answer: Answer) -> Self {
        Self { answer }
    }

    fn object(&self) -> &'static str {
        match self.answer.face {
            Face::Completion => "text_completion",
            Face::Chat => "chat.completion.chunk",
        }
    }

    fn choice<'a>(&self, text: Option<&'a str>, finish_reason: Option<&'a str>) -> Choice<'a> {
        let (text, delta) = match self.answer.face {
            Face::Completion => (Some(text.unwrap_or_default()), None),
            Face::Chat => {
                let role = None;
                let content = text;
                (None, Some(Content { role, content }))
            }
        };
        Choice {
            index: 0,
            text,
            delta,
            message: None,
            finish_reason,
        }
    }

    /// Writes one token; its SSE id is its place in the generation.
    pub fn token(&self, buf: &mut BytesMut, index: TokenIndex, text: &str) {
        buf.put_slice(b"id: ");
        buf.put_slice(itoa::Buffer::new().format(index).as_bytes());
        buf.put_slice(b"\n");
        let chunk = self
            .answer
            .chunk(self.object(), self.choice(Some(text), None));
        write_data(buf, &chunk);
    }

    /// Writes the end, with the outcome.
    pub fn end(&self, buf: &mut BytesMut, ending: &Ending) {
        let mut chunk = self
            .answer
            .chunk(self.object(), self.choice(None, Some(&ending.reason)));
        chunk.usage = Some(self.answer.usage(ending.tokens));
        chunk.trouttrack = Some(EndPart {
            request_id: &self.answer.id,
            outcome: ending.outcome,
            tokens: ending.tokens,
        });
        if ending.outcome != Outcome::Complete {
            chunk.error = Some(StreamError {
                code: ending.outcome.as_str(),
                message: &ending.detail,
            });
        }
        write_data(buf, &chunk);
        buf.put_slice(b"data: [DONE]\n\n");
    }
}

fn write_data(buf: &mut BytesMut, chunk: &Chunk<'_>) {
    buf.put_slice(b"data: ");
    serde_json::to_writer(buf.writer(), chunk).expect("a chunk serialises to JSON");
    buf.put_slice(b"\n\n");
}
