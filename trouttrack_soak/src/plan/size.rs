//! How large a run is.

use crate::bed::DOMAINS;
use std::time::Duration;

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Fronts.
    pub vms: usize,
    /// Failure domains in which upstreams stand by turns, and VMs if they stand apart.
    pub domains: usize,
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
            domains: DOMAINS.len(),
            upstreams: 3,
            callers: 12,
            lasts: Duration::from_secs(15),
        }
    }
}

impl Size {
    /// The names of sizes: VMs, failure domains, engines.
    pub const NAMES: [&str; 3] = ["7-in-4", "6-in-4", "6-in-3"];

    /// The size of a name; `None` if there is none.
    ///
    /// ```
    /// use trouttrack_soak::Size;
    ///
    /// let size = Size::named("6-in-3").unwrap();
    /// assert_eq!((size.vms, size.domains), (6, 3));
    /// assert_eq!(Size::named("none"), None);
    /// ```
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        let (vms, domains, upstreams) = match name {
            "7-in-4" => (7, 4, 9),
            "6-in-4" => (6, 4, 9),
            "6-in-3" => (6, 3, 18),
            _ => return None,
        };
        Some(Self {
            vms,
            domains,
            upstreams,
            ..Self::default()
        })
    }
}
