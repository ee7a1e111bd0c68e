//! How large and how fast an engine is.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Size and pace of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSettings {
    /// Blocks of memory, each of [`BLOCK_TOKENS`](trouttrack_core::prefix::BLOCK_TOKENS) tokens.
    pub blocks: u64,
    /// The most sequences decoded together.
    pub max_batch: usize,
    /// What a step costs by itself.
    pub step_base: Duration,
    /// What each decoding sequence adds to a step.
    pub step_per_sequence: Duration,
    /// What each prefilled token adds to a step.
    pub per_prefill_token: Duration,
    /// The most prompt tokens prefilled in one step.
    pub prefill_chunk: u64,
}

impl Default for EngineSettings {
    /// A mid-size engine: 48k tokens of memory, 64 sequences, about 25 ms a
    /// token when half full.
    fn default() -> Self {
        Self {
            blocks: 3072,
            max_batch: 64,
            step_base: Duration::from_micros(18_000),
            step_per_sequence: Duration::from_micros(200),
            per_prefill_token: Duration::from_micros(40),
            prefill_chunk: 512,
        }
    }
}

impl EngineSettings {
    /// Tokens that its memory holds.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(trouttrack_engine::EngineSettings::default().capacity_tokens(), 49_152);
    /// ```
    #[must_use]
    pub fn capacity_tokens(&self) -> u64 {
        self.blocks * trouttrack_core::prefix::BLOCK_TOKENS
    }
}
