//! What a caller is told when its request is not answered.

use crate::request::{Ending, REJECTED};
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use serde::Serialize;
use std::fmt;
use std::time::Duration;
use trouttrack_core::{Outcome, RequestId};

/// The stable codes of errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorCode {
    /// The body is not a request.
    BadRequest,
    /// There is no such path.
    NotFound,
    /// No service answers to that name.
    UnknownModel,
    /// The key is missing or belongs to no organisation.
    Unauthorised,
    /// The body is too large.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// The handle is not valid, or is another organisation's.
    BadHandle,
    /// The process is stopping.
    Stopping,
    /// No configuration is in force yet.
    NotConfigured,
    /// An earlier request has the idempotency key; this is its outcome.
    KeyClaimed(Outcome),
    /// The request ended without an answer; the ending says how.
    Ended(Outcome, &'static str),
}

impl ErrorCode {
    /// The code as it is written.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NotFound => "not_found",
            Self::UnknownModel => "unknown_model",
            Self::Unauthorised => "unauthorised",
            Self::TooLarge => "too_large",
            Self::SlowBody => "slow_body",
            Self::BadHandle => "bad_handle",
            Self::Stopping => "stopping",
            Self::NotConfigured => "not_configured",
            Self::KeyClaimed(_) => "key_claimed",
            Self::Ended(_, code) => code,
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NotFound | Self::UnknownModel | Self::BadHandle => StatusCode::NOT_FOUND,
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::Stopping | Self::NotConfigured => StatusCode::SERVICE_UNAVAILABLE,
            Self::KeyClaimed(_) => StatusCode::CONFLICT,
            Self::Ended(_, REJECTED) => StatusCode::BAD_REQUEST,
            Self::Ended(Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Ended(..) => StatusCode::BAD_GATEWAY,
        }
    }

    fn outcome(self) -> Outcome {
        match self {
            Self::Ended(outcome, _) | Self::KeyClaimed(outcome) => outcome,
            _ => Outcome::NotRun,
        }
    }

    /// What the caller may do next.
    fn next(self) -> &'static str {
        match self {
            Self::BadRequest | Self::NotFound | Self::UnknownModel | Self::TooLarge => {
                "change the request"
            }
            Self::Ended(_, REJECTED) => "change the request",
            Self::Unauthorised => "send a valid key in `Authorization: Bearer`",
            Self::BadHandle => "send the request anew",
            Self::SlowBody => "send the request again, faster",
            Self::Stopping | Self::NotConfigured => "send the request again",
            Self::KeyClaimed(Outcome::Unknown) => {
                "ask again with the same key after `Retry-After`, or find out what became of it"
            }
            Self::KeyClaimed(_) => {
                "the outcome is the earlier request's; use a new key to run anew"
            }
            Self::Ended(Outcome::NotRun, _) => "send the request again, after `Retry-After`",
            Self::Ended(Outcome::Interrupted, _) => {
                "keep the part that came, or send the request anew"
            }
            Self::Ended(..) => "find out whether the request took effect before sending it again",
        }
    }
}

/// An error for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// Its code.
    pub code: ErrorCode,
    /// What happened, for a person.
    pub message: String,
    /// The id that the caller was given.
    pub request: RequestId,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Part<'a>,
}

#[derive(Serialize)]
struct Part<'a> {
    code: &'a str,
    message: &'a str,
    request_id: &'a str,
    outcome: Outcome,
    next: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code.as_str(), self.message)
    }
}

impl std::error::Error for ApiError {}

impl ApiError {
    /// An error before the request was placed.
    #[must_use]
    pub fn new(code: ErrorCode, request: &str, message: impl Into<String>) -> Self {
        let soon = matches!(
            code,
            ErrorCode::Stopping
                | ErrorCode::NotConfigured
                | ErrorCode::KeyClaimed(Outcome::Unknown)
                | ErrorCode::Ended(Outcome::NotRun, _)
        );
        Self {
            code,
            message: message.into(),
            request: request.to_owned(),
            retry_after: soon.then_some(Duration::from_secs(1)),
        }
    }

    /// The error for a request that ended without an answer.
    #[must_use]
    pub fn ended(request: &str, ending: &Ending) -> Self {
        Self {
            code: ErrorCode::Ended(ending.outcome, ending.code),
            message: ending.detail.clone(),
            request: request.to_owned(),
            retry_after: ending.retry_after,
        }
    }

    /// The response.
    #[must_use]
    pub fn response(&self) -> HttpResponse {
        let seconds = self
            .retry_after
            .map(|d| d.as_secs_f64().ceil().max(1.0) as u64);
        let mut res = HttpResponse::build(self.code.status());
        res.insert_header(("x-request-id", self.request.as_str()))
            .insert_header(("x-outcome", self.code.outcome().as_str()));
        if let Some(s) = seconds {
            res.insert_header((RETRY_AFTER, s.to_string()));
        }
        if matches!(self.code, ErrorCode::Stopping | ErrorCode::SlowBody) {
            res.force_close();
        }
        res.json(Body {
            error: Part {
                code: self.code.as_str(),
                message: &self.message,
                request_id: &self.request,
                outcome: self.code.outcome(),
                next: self.code.next(),
                retry_after_s: seconds,
            },
        })
    }
}
