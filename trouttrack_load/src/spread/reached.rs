//! When the VMs knew.

use std::time::Duration;

/// When each VM knew, and what that cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Reached {
    /// The times, the earliest first; VMs that never knew are left out.
    times: Vec<Duration>,
    /// VMs that were to know.
    of: usize,
    /// Bytes that the busiest VM sent.
    pub busiest: f64,
    /// Bytes that the store sent.
    pub store: f64,
    /// Calls to the store.
    pub calls: usize,
}

impl Reached {
    pub(super) fn new(
        times: impl IntoIterator<Item = Option<Duration>>,
        busiest: f64,
        store: f64,
        calls: usize,
    ) -> Self {
        let all: Vec<Option<Duration>> = times.into_iter().collect();
        let of = all.len();
        let mut times: Vec<Duration> = all.into_iter().flatten().collect();
        times.sort_unstable();
        Self {
            times,
            of,
            busiest,
            store,
            calls,
        }
    }

    /// Whether all VMs knew in the end.
    #[must_use]
    pub fn all(&self) -> bool {
        self.times.len() == self.of
    }

    /// When a part of the VMs knew; `None` if it never did.
    #[must_use]
    pub fn part(&self, part: f64) -> Option<Duration> {
        let needed = (self.of as f64 * part).ceil() as usize;
        self.times.get(needed.max(1) - 1).copied()
    }
}
