//! Checks that the tokens of a stream arrive once, in order and from one generation.

use crate::{Generation, StreamId, TokenIndex};
use thiserror::Error;

/// A token frame as received from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token<'a> {
    /// Stream id given by the engine.
    pub stream: &'a str,
    /// Generation given by the engine.
    pub generation: Generation,
    /// Index of the token within the generation.
    pub index: TokenIndex,
}

/// Reason why a frame is rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum FrameError {
    /// The frame belongs to another stream.
    #[error("received a frame of stream `{got}` on the connection of stream `{expected}`")]
    OtherStream {
        /// Stream of this request.
        expected: StreamId,
        /// Stream named by the frame.
        got: StreamId,
    },
    /// The frame belongs to another generation.
    #[error("received a frame of generation {got}, expected generation {expected}")]
    OtherGeneration {
        /// Generation of the tokens accepted so far.
        expected: Generation,
        /// Generation named by the frame.
        got: Generation,
    },
    /// One or more preceding tokens are missing.
    #[error("received token {got}, expected token {expected}")]
    Gap {
        /// Next expected index.
        expected: TokenIndex,
        /// Index received.
        got: TokenIndex,
    },
}

/// Position in a stream of tokens.
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
    /// Creates a cursor at the first token of a stream.
    #[must_use]
    pub fn new(stream: StreamId) -> Self {
        Self {
            stream,
            generation: None,
            next: 0,
        }
    }

    /// Creates a cursor in the middle of a generation, for a caller that reconnects.
    #[must_use]
    pub fn resumed(stream: StreamId, generation: Generation, next: TokenIndex) -> Self {
        Self {
            stream,
            generation: Some(generation),
            next,
        }
    }

    /// Returns `true` for a new token and `false` for a duplicate, which is to be dropped.
    ///
    /// # Errors
    ///
    /// Fails for a frame of another stream or generation and for one that leaves a gap.
    /// Such a frame must not be passed on.
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

    /// Checks the final frame of a stream, which must directly follow the last token.
    ///
    /// # Errors
    ///
    /// See [`accept`](Self::accept).
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
            return Err(FrameError::OtherStream {
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

    /// Id of the stream.
    #[must_use]
    pub fn stream(&self) -> &str {
        &self.stream
    }

    /// Next expected index, which equals the number of accepted tokens.
    #[must_use]
    pub fn next(&self) -> TokenIndex {
        self.next
    }

    /// The generation, once a token has been accepted.
    #[must_use]
    pub fn generation(&self) -> Option<Generation> {
        self.generation
    }
}
