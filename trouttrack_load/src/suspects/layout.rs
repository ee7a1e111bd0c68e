//! The fleet, and what befalls it.

use std::time::Duration;
use trouttrack_core::quarantine::QuarantineSettings;

/// What befalls the fleet beside the request that ends engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing else.
    None,
    /// Every two seconds a tenth of the engines ends by itself, and nothing else ends
    /// any.
    EnginesEnd,
    /// Both.
    Both,
    /// A third of the VMs cannot tell the others anything for six seconds.
    Cut,
    /// A third of the VMs start again, one after the other, and know nothing.
    Restarts,
}

impl Trouble {
    pub(super) fn has_fatal(self) -> bool {
        self != Self::EnginesEnd
    }

    pub(super) fn ends_engines(self) -> bool {
        matches!(self, Self::EnginesEnd | Self::Both)
    }
}

/// The fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Layout {
    /// VMs.
    pub vms: usize,
    /// Engines.
    pub engines: usize,
    /// When a request is held.
    pub quarantine: QuarantineSettings,
    /// Whether VMs tell each other.
    pub tell: bool,
    /// What else befalls the fleet.
    pub trouble: Trouble,
    /// How long arrivals go on.
    pub lasts: Duration,
}

impl Layout {
    /// A fleet of this size with nothing else amiss.
    #[must_use]
    pub fn of(vms: usize, engines: usize) -> Self {
        Self {
            vms,
            engines,
            quarantine: QuarantineSettings::default(),
            tell: true,
            trouble: Trouble::None,
            lasts: Duration::from_secs(60),
        }
    }

    /// The same fleet, where a request is held from so many ends on.
    #[must_use]
    pub fn held_from(mut self, ends: usize) -> Self {
        self.quarantine.ends = ends;
        self
    }

    /// The same fleet with other trouble.
    #[must_use]
    pub fn with(mut self, trouble: Trouble) -> Self {
        self.trouble = trouble;
        self
    }
}
