//! The options of a run in virtual time.

use super::workload::ServiceMix;
use std::time::Duration;
use trouttrack_core::world::{AdmissionSettings, MOVED_FILL, PLACED_FILL, WorldSettings};
use trouttrack_engine::EngineSettings;

/// What stays the same between the policies of a comparison.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// The engines.
    pub engines: Vec<EngineSettings>,
    /// Gateways that decide for themselves.
    pub gateways: usize,
    /// How often engines report.
    pub report_every: Duration,
    /// How often gateways tell each other their use.
    pub heartbeat_every: Duration,
    /// How old reports are.
    pub report_lag: Duration,
    /// What arrives before this is not counted.
    pub warm_up: Duration,
    /// An engine that is lost, and when.
    pub lost: Option<(usize, Duration)>,
    /// For measuring capacity: requests wait without a deadline, all in one
    /// class, so that what completes has the shares of the mix.
    pub endless: bool,
    /// The settings of trouttrack's own policy.
    pub settings: WorldSettings,
}

impl Default for BenchOptions {
    fn default() -> Self {
        Self {
            engines: vec![EngineSettings::default(); 4],
            gateways: 3,
            report_every: Duration::from_millis(500),
            heartbeat_every: Duration::from_millis(500),
            report_lag: Duration::from_millis(500),
            warm_up: Duration::from_secs(60),
            lost: None,
            endless: false,
            settings: WorldSettings {
                failure_domain: "a".into(),
                ageing: Duration::from_secs(5),
                max_wait: Duration::from_secs(30),
                max_queued: 100_000,
                urgent_reserve: 0.1,
                growth_quantile: 0.5,
                placed_fill: PLACED_FILL,
                moved_fill: MOVED_FILL,
                look_ahead: 512,
                policy: "trouttrack".parse().expect("the policy is known"),
                admission: AdmissionSettings::default(),
                seed: 1,
            },
        }
    }
}

impl BenchOptions {
    pub(super) fn class(&self, s: &ServiceMix) -> u8 {
        if self.endless { 1 } else { s.priority }
    }
}
