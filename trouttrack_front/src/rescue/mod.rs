//! Moving running generations away from an engine that leaves.

mod carry;
mod observe;
mod task;

pub use carry::Carry;
pub use observe::observe;
pub use task::{Carried, CarryTask, Moved};
