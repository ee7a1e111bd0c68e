//! What became of a request that got no answer.

use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// The kind of a [`SendError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum SendErrorKind {
    /// No connection could be made; nothing was sent.
    NotConnected,
    /// The peer's VM answered that nobody listens there; nothing was sent.
    NobodyThere,
    /// The request was withdrawn while its connection came up; nothing was sent.
    Withdrawn,
    /// The request was written, at least in part, and no answer came: it may
    /// have been received.
    Lost,
    /// What came back is not HTTP.
    Garbled,
    /// More bytes came back than an answer may take besides its body.
    Oversized,
}

/// A request that got no answer, with the peer and the cause.
#[derive(Debug, Error)]
pub struct SendError {
    /// The kind.
    pub kind: SendErrorKind,
    /// The peer.
    pub peer: SocketAddr,
    /// What happened.
    pub detail: String,
}

impl SendError {
    /// An error with its cause.
    #[must_use]
    pub fn new(kind: SendErrorKind, peer: SocketAddr, detail: impl fmt::Display) -> Self {
        Self {
            kind,
            peer,
            detail: detail.to_string(),
        }
    }

    /// Whether the request certainly did not reach the peer.
    #[must_use]
    pub fn was_not_sent(&self) -> bool {
        matches!(
            self.kind,
            SendErrorKind::NotConnected | SendErrorKind::NobodyThere | SendErrorKind::Withdrawn
        )
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            SendErrorKind::NotConnected => "not connected",
            SendErrorKind::NobodyThere => "nobody there",
            SendErrorKind::Withdrawn => "not sent",
            SendErrorKind::Lost => "no answer",
            SendErrorKind::Garbled => "not HTTP",
            SendErrorKind::Oversized => "too many bytes",
        };
        write!(f, "{}: {kind}: {}", self.peer, self.detail)
    }
}

/// An answer's body is not known to be whole.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum BodyError {
    /// The body broke off before its end.
    #[error("the body broke off: {0}")]
    Broken(hyper::Error),
    /// More bytes came than the body and its framing may take.
    #[error("the body has more bytes of framing than it may have")]
    Oversized,
    /// The body ended with its connection, which another process relays: either may have ended.
    #[error("the relayed connection ended, and the body with it")]
    UncertainEnd,
}
