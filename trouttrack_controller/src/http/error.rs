//! What an operator is told when a call is not carried out.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use serde::Serialize;
use std::fmt;

/// The stable codes of errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum AdminErrorCode {
    /// The command cannot be parsed, or the body is wrong.
    BadRequest,
    /// The key is missing or not known.
    Unauthorised,
    /// The key does not allow it.
    Forbidden,
    /// There is nothing of that name.
    NotFound,
    /// Neither the platform nor a gateway answers.
    Unavailable,
}

impl AdminErrorCode {
    /// The code as it is written.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorised => "unauthorised",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::Unavailable => "unavailable",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// An error for an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminError {
    /// Its code.
    pub code: AdminErrorCode,
    /// What happened, for a person.
    pub message: String,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Part<'a>,
}

#[derive(Serialize)]
struct Part<'a> {
    code: &'a str,
    message: &'a str,
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code.as_str(), self.message)
    }
}

impl std::error::Error for AdminError {}

impl AdminError {
    /// An error.
    #[must_use]
    pub fn new(code: AdminErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    /// The response.
    #[must_use]
    pub fn response(&self) -> HttpResponse {
        HttpResponse::build(self.code.status()).json(Body {
            error: Part {
                code: self.code.as_str(),
                message: &self.message,
            },
        })
    }
}
