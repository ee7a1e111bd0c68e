//! Outages, slowness and lost replies.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What goes wrong with calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformFaultKind {
    /// Calls are answered with 503.
    Down,
    /// Calls are never answered and have no effect.
    LoseCall,
    /// Writes take effect and are never answered.
    LoseReply,
    /// Calls are answered late.
    Slow {
        /// How late.
        ms: u64,
    },
    /// A write takes effect only after this time; its caller hears nothing.
    LateEffect {
        /// How late.
        ms: u64,
    },
}

impl PlatformFaultKind {
    pub(super) fn delay(self) -> Duration {
        match self {
            Self::Slow { ms } | Self::LateEffect { ms } => Duration::from_millis(ms),
            _ => Duration::ZERO,
        }
    }
}

/// A fault that strikes the next calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformFault {
    /// What goes wrong.
    pub kind: PlatformFaultKind,
    /// How many calls it strikes; all until cleared, if not given.
    pub times: Option<u32>,
    /// Whether it strikes writes only.
    #[serde(default)]
    pub writes_only: bool,
}
