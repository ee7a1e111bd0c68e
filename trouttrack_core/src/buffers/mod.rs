//! Bounds the bytes that a VM buffers for peers that read slowly.
//!
//! Each buffer belongs to one request and organisation. A buffer that has reached its own bound
//! waits until its reader continues. Where the bound of an organisation or of the VM is
//! reached, the readers that have been stalled for the longest time are ended: those of the
//! organisation, or those of the organisation that holds the most bytes, so that none is ended
//! because of another organisation's readers. While no reader has been stalled for
//! [`MIN_STALL`], the buffer that wants to grow waits.

mod evict;
mod table;

pub use table::Buffers;

use crate::{OrganisationId, Time};
use std::time::Duration;

/// Shortest stall after which a reader may be ended. Lost packets on a slow link cause shorter
/// ones.
pub const MIN_STALL: Duration = Duration::from_secs(1);

/// Identifies a buffer.
pub type BufferKey = u64;

/// Bounds in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Bound of the unread response of one stream.
    pub request: usize,
    /// Bound of one organisation.
    pub organisation: usize,
    /// Bound of the VM.
    pub vm: usize,
}

impl Default for BufferLimits {
    fn default() -> Self {
        Self {
            request: 128 << 10,
            organisation: 12 << 20,
            vm: 24 << 20,
        }
    }
}

/// Which bound was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// That of the organisation.
    Organisation,
    /// That of the VM.
    Vm,
}

impl Bound {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Vm => "vm",
        }
    }
}

/// A reader that is to be ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedReader {
    /// Its buffer.
    pub key: BufferKey,
    /// Its organisation.
    pub organisation: OrganisationId,
    /// Bytes in its buffer.
    pub bytes: usize,
    /// How long it has been stalled.
    pub stalled_for: Duration,
    /// The bound that was reached.
    pub bound: Bound,
}

/// Result of an attempt to add bytes to a buffer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    /// Whether the bytes were added. If not, the attempt is repeated after bytes were released,
    /// or at `retry_at`.
    pub granted: bool,
    /// Whether the bytes were not added because of the buffer's own bound.
    pub at_own_bound: bool,
    /// When the next reader may be ended to make room, if one is stalled.
    pub retry_at: Option<Time>,
    /// Readers to be ended now. Their bytes count until their buffers are closed.
    pub ended: Vec<EndedReader>,
}
