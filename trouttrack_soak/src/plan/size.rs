//! How large a run is.

use std::time::Duration;

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Fronts.
    pub vms: usize,
    /// Plain upstreams, and as many engines.
    pub upstreams: usize,
    /// Callers.
    pub callers: usize,
    /// How long it takes, from the first request to the last.
    pub lasts: Duration,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            vms: 3,
            upstreams: 3,
            callers: 12,
            lasts: Duration::from_secs(15),
        }
    }
}
