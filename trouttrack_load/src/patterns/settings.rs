//! The settings of a VM's tables, as in the program.

use std::time::Duration;
use trouttrack_core::routing::AnyPolicy;
use trouttrack_core::world::{AdmissionSettings, MOVED_FILL, PLACED_FILL, WorldSettings};

/// Those of one VM of a play with this seed.
pub(super) fn world_settings(failure_domain: String, vm: usize, seed: u64) -> WorldSettings {
    WorldSettings {
        failure_domain,
        ageing: Duration::from_secs(2),
        max_wait: Duration::from_secs(4),
        max_queued: 500,
        urgent_reserve: 0.1,
        growth_quantile: 0.5,
        placed_fill: PLACED_FILL,
        moved_fill: MOVED_FILL,
        look_ahead: 512,
        policy: AnyPolicy::default(),
        admission: AdmissionSettings::default(),
        seed: seed.wrapping_mul(1_000).wrapping_add(vm as u64),
    }
}
