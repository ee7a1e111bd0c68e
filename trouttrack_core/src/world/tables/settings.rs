//! Settings of the scheduler.

use crate::routing::AnyPolicy;
use crate::world::admission::AdmissionSettings;
use std::time::Duration;

/// Default limit of forecast memory use divided by capacity up to which a request is
/// placed on an engine.
///
/// It is above 1.0 because forecasts are often too high, and because a request that does
/// not fit yet starts as soon as another one ends on that engine, which is sooner than it
/// would be placed from the queue of a full fleet. Much above this value requests are preempted.
pub const PLACED_FILL: f64 = 1.15;
/// Default limit of the same ratio for moving a running request. It is higher than
/// [`PLACED_FILL`] because a generation without a target is lost, whereas a target without
/// enough memory refuses it and another one is tried.
pub const MOVED_FILL: f64 = 1.25;

/// Settings of the scheduler of one gateway.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Failure domain of this process.
    pub failure_domain: String,
    /// Additional wait allowed per priority class below class 0.
    pub ageing: Duration,
    /// Wait after which a request is served before all others, regardless of class and share.
    pub max_wait: Duration,
    /// Maximum queue length; further requests are refused.
    pub max_queued: usize,
    /// Share of an engine's memory that is reserved for class 0.
    pub urgent_reserve: f64,
    /// Quantile of the remaining length that the memory forecast uses.
    pub growth_quantile: f64,
    /// Maximum forecast memory use divided by capacity for placing a request on an engine,
    /// before the reserve is subtracted.
    pub placed_fill: f64,
    /// Maximum of the same ratio for moving a running generation to an engine.
    pub moved_fill: f64,
    /// Horizon of the memory forecast in tokens. Beyond it, other requests have ended and
    /// freed their memory.
    pub look_ahead: u64,
    /// Routing policy.
    pub policy: AnyPolicy,
    /// Admission under contention.
    pub admission: AdmissionSettings,
    /// Seed of the random generator that samples candidates.
    pub seed: u64,
}
