//! Checks that tokens come once, in order, from one generation.

use crate::{Generation, StreamId, TokenIndex};
use thiserror::Error;

/// One token as an engine sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token<'a> {
    /// The stream that the engine says it belongs to.
    pub stream: &'a str,
    /// The generation that the engine says it comes from.
    pub generation: Generation,
    /// Its place in the generation.
    pub index: TokenIndex,
}

/// Why a frame is not passed on.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum FrameError {
    /// The frame answers another request.
    #[error("frame of stream `{got}` on the connection of stream `{expected}`")]
    Crossed {
        /// The stream of this request.
        expected: StreamId,
        /// The stream that the frame names.
        got: StreamId,
    },
    /// The frame comes from another generation.
    #[error("frame of generation {got}, expected {expected}")]
    OtherGeneration {
        /// The generation whose tokens were taken so far.
        expected: Generation,
        /// The generation that the frame names.
        got: Generation,
    },
    /// One or more tokens are missing before this one.
    #[error("token {got} arrived while {expected} was due")]
    Gap {
        /// The next index due.
        expected: TokenIndex,
        /// The index that arrived.
        got: TokenIndex,
    },
}

/// Follows one stream of tokens.
///
/// # Examples
///
/// ```
/// use trouttrack_core::request::{Cursor, Token};
/// let mut cursor = Cursor::new("s-1".into());
/// let token = |index| Token { stream: "s-1", generation: 7, index };
/// assert_eq!(cursor.accept(token(0)), Ok(true));
/// assert_eq!(cursor.accept(token(0)), Ok(false)); // a duplicate is dropped
/// assert!(cursor.accept(token(2)).is_err()); // a gap is an error
/// ```
#[derive(Clone, Debug)]
pub struct Cursor {
    stream: StreamId,
    generation: Option<Generation>,
    next: TokenIndex,
}

impl Cursor {
    /// Starts at the first token of a stream.
    #[must_use]
    pub fn new(stream: StreamId) -> Self {
        Self {
            stream,
            generation: None,
            next: 0,
        }
    }

    /// Starts in the middle of a generation, for a caller that comes back.
    #[must_use]
    pub fn resumed(stream: StreamId, generation: Generation, next: TokenIndex) -> Self {
        Self {
            stream,
            generation: Some(generation),
            next,
        }
    }

    /// Says whether a token is new (`true`) or a duplicate to be dropped (`false`).
    ///
    /// # Errors
    ///
    /// A frame of another stream or generation, or one that leaves a gap; none
    /// of these may be passed on.
    pub fn accept(&mut self, token: Token<'_>) -> Result<bool, FrameError> {
        self.check(token.stream, token.generation)?;
        if token.index < self.next {
            return Ok(false);
        }
        if token.index > self.next {
            return Err(FrameError::Gap {
                expected: self.next,
                got: token.index,
            });
        }
        self.generation = Some(token.generation);
        self.next += 1;
        Ok(true)
    }

    /// Checks the frame that ends a stream: it must follow the last token.
    ///
    /// # Errors
    ///
    /// As for [`accept`](Self::accept).
    pub fn finish(
        &mut self,
        stream: &str,
        generation: Generation,
        tokens: TokenIndex,
    ) -> Result<(), FrameError> {
        self.check(stream, generation)?;
        if tokens != self.next {
            return Err(FrameError::Gap {
                expected: self.next,
                got: tokens,
            });
        }
        Ok(())
    }

    fn check(&self, stream: &str, generation: Generation) -> Result<(), FrameError> {
        if stream != self.stream {
            return Err(FrameError::Crossed {
                expected: self.stream.clone(),
                got: stream.to_owned(),
            });
        }
        match self.generation {
            Some(expected) if expected != generation => Err(FrameError::OtherGeneration {
                expected,
                got: generation,
            }),
            _ => Ok(()),
        }
    }

    /// The stream followed.
    #[must_use]
    pub fn stream(&self) -> &str {
        &self.stream
    }

    /// The index of the next token due, which is the count of tokens taken.
    #[must_use]
    pub fn next(&self) -> TokenIndex {
        self.next
    }

    /// The generation, once a token has been taken.
    #[must_use]
    pub fn generation(&self) -> Option<Generation> {
        self.generation
    }
}
