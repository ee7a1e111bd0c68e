//! What kind of engine the stand-in plays.

use std::path::PathBuf;
use std::time::Duration;
use trouttrack_engine::{EngineSettings, LengthDraw};

/// Options of one engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Size and pace.
    pub engine: EngineSettings,
    /// The lengths that it writes where the prompt does not say.
    pub lengths: LengthDraw,
    /// How old its load reports are.
    pub report_lag: Duration,
    /// How late its cache events are.
    pub event_lag: Duration,
    /// Every n-th cache event is lost; 0 for none.
    pub lose_every: u64,
    /// Whether it refuses orders of an old epoch.
    pub checks_fence: bool,
    /// How long the weight store takes for one model or adapter.
    pub weight_fetch: Duration,
    /// Threads that serve connections.
    pub workers: usize,
    /// Pause before the first step after being idle, so that engines that get
    /// work at the same time do not step in time with each other.
    pub phase: Duration,
    /// Seed of its generations.
    pub seed: u64,
    /// A file to which runs and their ends are written as they happen.
    pub ledger: Option<PathBuf>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            engine: EngineSettings::default(),
            lengths: LengthDraw {
                median: 120.0,
                spread: 1.0,
                longest: 32_768,
            },
            report_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            lose_every: 0,
            checks_fence: true,
            weight_fetch: Duration::from_secs(2),
            workers: 1,
            phase: Duration::ZERO,
            seed: 1,
            ledger: None,
        }
    }
}
