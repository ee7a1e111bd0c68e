//! The engines' frames.

use serde::Deserialize;
use std::borrow::Cow;
use trouttrack_core::{Generation, TokenIndex};

/// One SSE frame of a completion.
#[derive(Debug, Deserialize)]
pub(super) struct Frame<'a> {
    #[serde(borrow)]
    pub(super) id: Cow<'a, str>,
    #[serde(borrow)]
    pub(super) choices: Vec<FrameChoice<'a>>,
    pub(super) stream: StreamPart,
}

/// The place of a frame in its stream.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct StreamPart {
    pub(super) generation: Generation,
    pub(super) token: TokenIndex,
}

#[derive(Debug, Deserialize)]
pub(super) struct FrameChoice<'a> {
    #[serde(borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow)]
    delta: Option<Delta<'a>>,
    #[serde(borrow)]
    pub(super) finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct Delta<'a> {
    #[serde(borrow)]
    content: Option<Cow<'a, str>>,
}

impl<'a> FrameChoice<'a> {
    pub(super) fn into_text(self) -> String {
        let text = match self.delta {
            Some(delta) => delta.content,
            None => self.text,
        };
        text.map_or_else(String::new, Cow::into_owned)
    }
}

/// The data of the frame after the last.
pub(super) const DONE: &str = "[DONE]";

/// An upstream's error body.
#[derive(Debug, Deserialize)]
pub(super) struct ErrorBody {
    pub(super) error: ErrorPart,
}

#[derive(Debug, Deserialize)]
pub(super) struct ErrorPart {
    pub(super) code: String,
}

/// The code by which an upstream says that it did not run a request.
pub(super) const NOT_STARTED: &str = "not_started";
/// The code by which an engine says that a stream id is taken.
pub(super) const STREAM_KNOWN: &str = "stream_known";

/// An engine's answer to a cancel.
#[derive(Debug, Deserialize)]
pub(super) struct CancelBody {
    pub(super) boot: String,
    pub(super) ran: bool,
}
