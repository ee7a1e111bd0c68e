//! One request and what its caller was told.

use crate::bed::RouteName;
use std::time::Instant;
use trouttrack_platform_standin::Reply;

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// The VM that was asked.
    pub vm: usize,
    /// The life of that VM; `None` if it changed meanwhile.
    pub life: Option<u64>,
    /// Its route.
    pub route: RouteName,
    /// Its key.
    pub key: String,
    /// The call that brought the first event of the stream that it takes up, if it does.
    pub resumes: Option<String>,
    /// Events of that stream that its caller has.
    pub had: u64,
    /// When it was sent.
    pub sent: Instant,
    /// When its caller had what it got.
    pub ended: Instant,
    /// What its caller was told.
    pub told: Told,
}

/// What a caller was told.
#[derive(Clone, Debug)]
pub enum Told {
    /// An answer, perhaps only a part of it.
    Answer(Reply),
    /// The connection ended without one.
    NoAnswer {
        /// Whether anything was written on it.
        was_sent: bool,
    },
    /// Nothing came in time.
    Nothing,
}

impl Call {
    /// The answer, if one came.
    #[must_use]
    pub fn reply(&self) -> Option<&Reply> {
        match &self.told {
            Told::Answer(reply) => Some(reply),
            _ => None,
        }
    }

    /// Whether a whole answer of success came.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.reply().is_some_and(|r| r.whole && is_success(r))
    }

    /// Whether the caller was told that the request has not run.
    #[must_use]
    pub fn told_not_run(&self) -> bool {
        let own = self.reply().filter(|r| r.sealed_by.is_none());
        own.is_some_and(|r| matches!(r.status, 408 | 421 | 429 | 503))
    }
}

/// Whether an answer's status is one of success.
pub(crate) fn is_success(reply: &Reply) -> bool {
    (200..300).contains(&reply.status)
}
