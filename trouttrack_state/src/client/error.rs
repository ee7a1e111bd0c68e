//! Why a call did not give an answer.

use awc::error::{ConnectError, SendRequestError};
use std::fmt;
use thiserror::Error;

/// Whether a call certainly never left: no connection could be made.
///
/// `awc` also says `Connect(Disconnected)` when a connection was closed after
/// the request had been written on it, so that one may have been received.
///
/// # Examples
///
/// ```
/// use awc::error::{ConnectError, SendRequestError};
/// use trouttrack_state::client::never_sent;
/// assert!(never_sent(&SendRequestError::Connect(ConnectError::Timeout)));
/// assert!(!never_sent(&SendRequestError::Connect(ConnectError::Disconnected)));
/// assert!(!never_sent(&SendRequestError::Timeout));
/// ```
#[must_use]
pub fn never_sent(e: &SendRequestError) -> bool {
    match e {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}

/// The kind of a [`PlatformError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum PlatformErrorKind {
    /// The call certainly had no effect: no connection, or the platform said so.
    Unavailable,
    /// The call may have had its effect; its answer is lost.
    ReplyLost,
    /// The platform refused the call as wrong.
    Invalid,
    /// The answer is not what the API promises.
    Garbled,
}

/// A call that gave no answer, with what was called.
#[derive(Debug, Error)]
pub struct PlatformError {
    /// The kind.
    pub kind: PlatformErrorKind,
    /// The call, such as `PUT config/root`.
    pub call: String,
    /// What happened.
    pub detail: String,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            PlatformErrorKind::Unavailable => "not available",
            PlatformErrorKind::ReplyLost => "reply lost",
            PlatformErrorKind::Invalid => "refused as invalid",
            PlatformErrorKind::Garbled => "answer garbled",
        };
        write!(f, "{}: {kind}: {}", self.call, self.detail)
    }
}

impl PlatformError {
    /// Whether the call certainly had no effect.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        matches!(
            self.kind,
            PlatformErrorKind::Unavailable | PlatformErrorKind::Invalid
        )
    }
}
