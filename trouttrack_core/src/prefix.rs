//! Prompt prefix hashes, in the form in which engines report them in their cache events.
//!
//! A prompt is cut into blocks of [`BLOCK_TOKENS`] tokens. The hash of a block
//! covers the whole prompt up to the end of that block, so equal hashes mean equal
//! prefixes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens per KV cache block of an engine.
pub const BLOCK_TOKENS: u64 = 16;
/// Bytes per token assumed where the engine's token count is not known.
pub const BYTES_PER_TOKEN: usize = 4;

const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;

/// Estimates the number of tokens in a text.
///
/// # Examples
///
/// ```
/// assert_eq!(trouttrack_core::prefix::tokens_of("twelve chars"), 3);
/// ```
#[must_use]
pub fn tokens_of(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the chained hashes of the complete blocks of a prompt. A partial last block is ignored.
///
/// # Examples
///
/// ```
/// use trouttrack_core::prefix::chain;
/// let a = chain(&"a".repeat(130));
/// let b = chain(&format!("{}{}", "a".repeat(64), "b".repeat(66)));
/// assert_eq!(a.len(), 2);
/// assert_eq!(a[0], b[0]);
/// assert_ne!(a[1], b[1]);
/// ```
#[must_use]
pub fn chain(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}
