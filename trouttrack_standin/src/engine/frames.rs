//! The frames of a stream, as SSE.

use super::state::{End, Stream};
use bytes::{BufMut, BytesMut};
use serde::Serialize;
use trouttrack_engine::token_text;

#[derive(Serialize)]
struct Frame<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    stream: StreamPart,
}

#[derive(Serialize)]
struct StreamPart {
    generation: u64,
    token: u64,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

fn choice<'a>(
    chat: bool,
    text: Option<&'a str>,
    finish_reason: Option<&'static str>,
) -> Choice<'a> {
    let delta = chat.then_some(Delta { content: text });
    let text = if chat {
        None
    } else {
        Some(text.unwrap_or_default())
    };
    Choice {
        index: 0,
        text,
        delta,
        finish_reason,
    }
}

/// What a frame says of where it belongs; a fault may change it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Label<'a> {
    pub(super) id: &'a str,
    pub(super) generation: u64,
}

fn write(buf: &mut BytesMut, stream: &Stream, label: Label<'_>, token: u64, c: Choice<'_>) {
    let object = if stream.chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    let frame = Frame {
        id: label.id,
        object,
        created: 0,
        model: &stream.model,
        choices: [c],
        stream: StreamPart {
            generation: label.generation,
            token,
        },
    };
    buf.put_slice(b"data: ");
    serde_json::to_writer(buf.writer(), &frame).expect("a frame serialises to JSON");
    buf.put_slice(b"\n\n");
}

/// Writes one token's frame.
pub(super) fn token(buf: &mut BytesMut, stream: &Stream, label: Label<'_>, index: u64) {
    let text = token_text(stream.generation, index);
    write(
        buf,
        stream,
        label,
        index,
        choice(stream.chat, Some(&text), None),
    );
}

/// Writes the frames that end a stream.
pub(super) fn end(buf: &mut BytesMut, stream: &Stream, end: End, tokens: u64) {
    let label = Label {
        id: &stream.id,
        generation: stream.generation,
    };
    let reason = match end {
        End::Stop => "stop",
        End::Length => "length",
        End::Aborted | End::Cancelled => "abort",
    };
    write(
        buf,
        stream,
        label,
        tokens,
        choice(stream.chat, None, Some(reason)),
    );
    buf.put_slice(b"data: [DONE]\n\n");
}
