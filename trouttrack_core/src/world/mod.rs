//! Scheduling state of one gateway and the passes that run over it on each tick.

mod notices;
mod peers;
mod queue;
mod relocate;
mod systems;
mod tables;

pub use queue::FairQueue;
pub use relocate::Target;
pub use tables::{
    Decision, Limits, MOVED_FILL, NotRunReason, PLACED_FILL, Request, RequestKey, Submission,
    World, WorldSettings,
};
