//! Scheduling state of one gateway and the passes that run over it on each tick.

mod admission;
mod closed;
mod conditions;
mod demand;
mod limits;
mod memory;
mod notices;
mod peers;
mod queue;
mod rates;
mod reachability;
mod relocate;
mod service_level;
mod systems;
mod tables;

pub use admission::{AdmissionSettings, patience};
pub use closed::ClosedUpstreams;
pub use limits::Limits;
pub use queue::FairQueue;
pub use rates::{KnownRates, SlowdownChange};
pub use reachability::ReachabilityChange;
pub use relocate::Target;
pub use service_level::ServiceLevel;
pub use tables::{
    Decision, MOVED_FILL, NotRunReason, PLACED_FILL, Request, RequestKey, Submission, World,
    WorldSettings,
};
