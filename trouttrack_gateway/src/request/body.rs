//! What a caller sent, checked.

use bytes::Bytes;
use serde_json::{Map, Value};
use thiserror::Error;
use trouttrack_core::prefix::tokens_of;

/// Which of the two completion calls it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Face {
    /// `/v1/completions`
    Completion,
    /// `/v1/chat/completions`
    Chat,
}

impl Face {
    /// The path of the call, at callers and at engines.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Completion => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// A body that cannot be served.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum BodyError {
    /// Not JSON.
    #[error("the body is not JSON: {0}")]
    NotJson(String),
    /// JSON, but no object.
    #[error("the body must be a JSON object")]
    NotObject,
    /// A field is missing.
    #[error("`{0}` must be given")]
    Missing(&'static str),
    /// A field is wrong.
    #[error("`{field}` {problem}")]
    Field {
        /// Which field.
        field: &'static str,
        /// What is wrong with it.
        problem: &'static str,
    },
}

/// A checked completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Which call it is.
    pub face: Face,
    /// The `model` that the caller names.
    pub model: String,
    /// Whether the caller wants SSE.
    pub stream: bool,
    /// Tokens that the prompt is taken to have.
    pub prompt_tokens: u64,
    /// The most tokens that the caller wants.
    pub max_tokens: Option<u64>,
    fields: Map<String, Value>,
}

fn wrong(field: &'static str, problem: &'static str) -> BodyError {
    BodyError::Field { field, problem }
}

impl Ask {
    /// Reads and checks a body.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong with it.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_gateway::request::{Ask, Face};
    /// let body = br#"{"model": "price-lookup", "prompt": "Rav4, 2019?"}"#;
    /// let ask = Ask::parse(Face::Completion, body).unwrap();
    /// assert_eq!(ask.model, "price-lookup");
    /// assert!(Ask::parse(Face::Chat, body).is_err());
    /// ```
    pub fn parse(face: Face, body: &[u8]) -> Result<Self, BodyError> {
        let value: Value =
            serde_json::from_slice(body).map_err(|e| BodyError::NotJson(e.to_string()))?;
        let Value::Object(fields) = value else {
            return Err(BodyError::NotObject);
        };
        let model = match fields.get("model") {
            None => return Err(BodyError::Missing("model")),
            Some(Value::String(m)) if !m.is_empty() => m.clone(),
            Some(_) => return Err(wrong("model", "must be a text")),
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(b)) => *b,
            Some(_) => return Err(wrong("stream", "must be true or false")),
        };
        let max_tokens = match fields.get("max_tokens") {
            None | Some(Value::Null) => None,
            Some(v) => match v.as_u64() {
                Some(n) if n > 0 => Some(n),
                _ => return Err(wrong("max_tokens", "must be a whole number above 0")),
            },
        };
        if fields.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
            return Err(wrong("n", "must be 1"));
        }
        let prompt_tokens = match face {
            Face::Completion => prompt(&fields)?,
            Face::Chat => messages(&fields)?,
        };
        Ok(Self {
            face,
            model,
            stream,
            prompt_tokens,
            max_tokens,
            fields,
        })
    }

    /// The body for one hand-over to an engine.
    #[must_use]
    pub fn to_engine(&self, model: &str, stream_id: &str, priority: u8, max_tokens: u64) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("model".into(), model.into());
        fields.insert("stream".into(), true.into());
        fields.insert("stream_id".into(), stream_id.into());
        fields.insert("priority".into(), priority.into());
        fields.insert("max_tokens".into(), max_tokens.into());
        Bytes::from(Value::Object(fields).to_string())
    }
}

fn prompt(fields: &Map<String, Value>) -> Result<u64, BodyError> {
    match fields.get("prompt") {
        None => Err(BodyError::Missing("prompt")),
        Some(Value::String(p)) => Ok(tokens_of(p)),
        Some(_) => Err(wrong("prompt", "must be one text")),
    }
}

fn messages(fields: &Map<String, Value>) -> Result<u64, BodyError> {
    let list = match fields.get("messages") {
        None => return Err(BodyError::Missing("messages")),
        Some(Value::Array(list)) if !list.is_empty() => list,
        Some(_) => {
            return Err(wrong(
                "messages",
                "must be a list with at least one message",
            ));
        }
    };
    let mut tokens = 0;
    for message in list {
        let text = |key| message.get(key).and_then(Value::as_str);
        let (Some(role), Some(content)) = (text("role"), text("content")) else {
            let problem = "must each have the texts `role` and `content`";
            return Err(wrong("messages", problem));
        };
        tokens += tokens_of(role) + tokens_of(content);
    }
    Ok(tokens)
}
